#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../target/case3 ] && [ -x ../../target/release/gaugestand ] || exit 2
timeout --kill-after=2 115 ../target/case3 ../.. .
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2

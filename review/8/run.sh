#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-2/stand-ins"
[ -x "$program" ] && [ -x "$root/target/release/gaugestand" ] || { echo "build first: see review/build-2.sh"; exit 2; }
exec "$program" slow-write "$root" "$folder"

#!/usr/bin/env bash
# Builds the stand-ins of all cases, with the standard library alone. The node is built by the `build` command of
# deploy/balancer.toml before.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for case in [0-9]; do
    rustc --edition 2024 -O -A warnings -o "target/case$case" "$case/case.rs"
done

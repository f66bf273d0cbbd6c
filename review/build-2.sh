#!/bin/sh
# Builds the stand-ins of the second review, into target/review-2. Needs nothing but the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs

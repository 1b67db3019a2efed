#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start. They need no crate.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standin-2/main.rs

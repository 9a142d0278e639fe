#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on, with the Rust toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/11/harness.rs -o target/review-3/harness
for source in review/{12,13,14,15}/case.rs; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O --crate-name "case_$number" \
        -o "target/review-3/case-$number" "$source"
done

#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 with the Rust toolchain alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.rs; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O --crate-name "case_$number" \
        -o "target/review-2/case-$number" "$source"
done

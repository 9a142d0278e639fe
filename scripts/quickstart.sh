#!/usr/bin/env bash
# Builds borageline, starts a small fleet on loopback, tries each kind of
# request, checks every answer and stops all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --bins --quiet
exec target/debug/borageline-bench quickstart

#!/usr/bin/env bash
# Builds the programs of the cases with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in review/harness/*.rs; do
    name=$(basename "$program" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -A dead_code -o "target/review/$name" "$program"
done

#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to review/14 with the compiler alone; no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand-ins-3/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = platform ] || rustc --edition 2024 -O -o "target/review-3/$name" "$source"
done

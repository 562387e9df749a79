#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They need the Rust compiler and its standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/sim review/stand-ins/sim.rs

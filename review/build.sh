#!/bin/sh
# Builds the stand-ins of all cases: one program, of the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -C opt-level=2 -o target/review/play review/play/main.rs

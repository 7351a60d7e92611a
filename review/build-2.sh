#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, one program that stands in review/6/play, with the compiler alone: no crate, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/play-2 review/6/play/main.rs

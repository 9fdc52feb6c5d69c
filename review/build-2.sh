#!/bin/sh
# Builds the stand-ins of the second review. They need the compiler alone: no package, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standins-2/main.rs

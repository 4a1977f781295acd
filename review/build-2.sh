#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts of the second review. They need nothing but the
# compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/standin-2/main.rs -o target/review-2/cases

#!/bin/sh
# Builds the stand-ins of the cases of this review, each into one program, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/standin-3/case_*.rs; do
    name=$(basename "$case" .rs)
    rustc --edition 2021 -O -A dead_code -o "target/review-3/$name" "$case"
done

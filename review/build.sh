#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program each, standard library only, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-9]/case.rs; do
    number="$(basename "$(dirname "$source")")"
    rustc --edition 2024 -O -o "target/review/case-$number" "$source"
done

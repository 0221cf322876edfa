#!/bin/sh
# Builds the stand-ins of the cases in review/4 to review/8. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/main.rs; do
    [ -e "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$case" "$source"
done

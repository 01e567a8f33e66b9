#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only. The programs under test are built by the
# command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_ins_2/*.rs; do
    name=$(basename "$source" .rs)
    if [ "$name" != fleet ]; then
        rustc --edition 2024 -O -o "target/review-2/$name" "$source"
    fi
done

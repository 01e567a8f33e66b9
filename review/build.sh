#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stand_ins/main.rs -o target/review/review-case

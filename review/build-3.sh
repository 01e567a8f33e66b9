#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13, with the standard library only. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for program in planned_stop moved_key reborn_worker; do
  rustc --edition 2024 -O -o "target/review-3/$program" "review/stand_ins_3/$program.rs"
done

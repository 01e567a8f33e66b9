#!/usr/bin/env bash
# Runs the stand-in of a case: run_case_3.sh PROGRAM FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
for file in "target/review-3/$1" target/release/radishpaddle-gateway target/release/radishpaddle-coordinator; do
  if [ ! -x "$file" ]; then
    echo "$file is missing: run the build of the deploy file and review/build-3.sh"
    exit 2
  fi
done
exec "target/review-3/$1" "$folder/record.txt"

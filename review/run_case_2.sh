#!/usr/bin/env bash
# Runs the stand-in program $2 for the case in the folder $1 and ends everything that it started.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -um
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program=target/review-2/$2
for needed in "$program" target/release/radishpaddle-coordinator target/release/radishpaddle-gateway; do
    if [ ! -x "$needed" ]; then
        echo "$needed is missing: run the build of the deploy file and review/build-2.sh" >&2
        exit 2
    fi
done
temporary=$(mktemp -d)
CASE_DIR=$folder TMPDIR=$temporary timeout -k 1 115 "$program" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac

#!/usr/bin/env bash
# Runs one case: run_case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
program=target/review/review-case
if [ ! -x "$program" ] || [ ! -x target/release/radishpaddle-gateway ] || [ ! -x target/release/radishpaddle-coordinator ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR

# Ends what is left of the run, also when the run itself was ended.
finish() {
  [ -n "${case_id:-}" ] && kill -TERM "$case_id" 2>/dev/null && wait "$case_id"
  sed -n 's/.* start [a-z0-9-]* pid \([0-9]*\)$/\1/p' "$2/record.txt" 2>/dev/null | while read -r id; do
    case "$(readlink "/proc/$id/exe")" in
      */target/release/radishpaddle-*) kill -KILL "$id" 2>/dev/null ;;
    esac
  done
  rm -rf "$TMPDIR"
}
trap 'finish "$@"' EXIT
trap 'exit 2' INT TERM HUP

timeout -s TERM -k 1 110 "$program" "$1" "$2" &
case_id=$!
wait "$case_id"
status=$?
case_id=
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac

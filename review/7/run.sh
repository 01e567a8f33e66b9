#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case_2.sh" "$(dirname "$0")" silent_join

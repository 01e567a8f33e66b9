#!/usr/bin/env bash
exec "$(dirname "$0")/../run_case_2.sh" "$(dirname "$0")" left_in_line

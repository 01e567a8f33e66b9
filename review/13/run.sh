#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec bash "$(dirname "$0")/../run_case_3.sh" reborn_worker "$(dirname "$0")"

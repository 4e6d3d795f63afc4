#!/usr/bin/env bash
# TROUBLE=0 runs the case without its disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")"

#!/usr/bin/env bash
# Runs the program of one case: review/run-case.sh FOLDER. It ends with the case's exit code.
set -u
here="$(cd "$1" && pwd)"
ROOT="$(cd "$here/../.." && pwd)"
number="$(basename "$here")"
program="$ROOT/target/review/case-$number"
RUN_COMMAND="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")"
if [ ! -x "$program" ] || [ -z "$RUN_COMMAND" ]; then
    echo "COULD NOT RUN: build the deploy file's program and run review/build.sh first"
    exit 2
fi
CASE_TMP="$(mktemp -d)"
trap 'rm -rf "$CASE_TMP"' EXIT
export ROOT RUN_COMMAND CASE_TMP RECORD="$here/record.txt"
timeout -k 2 115 "$program"
code=$?
# Whatever the case has not ended itself: only processes whose configuration lies in this run's folder.
for process in $(cat "$CASE_TMP"/*.pid 2>/dev/null); do kill -KILL "$process" 2>/dev/null; done
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

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
export ROOT RUN_COMMAND CASE_TMP RECORD="$here/record.txt"
running=
# Ends the case's program, then a gateway that it has not ended itself: each leaves its process id in this run's
# folder until it has ended.
clean_up() {
    [ -z "$running" ] || kill -TERM "$running" 2>/dev/null
    [ -z "$running" ] || wait "$running" 2>/dev/null
    for process in $(cat "$CASE_TMP"/*.pid 2>/dev/null); do kill -KILL "$process" 2>/dev/null; done
    rm -rf "$CASE_TMP"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
timeout -k 2 110 "$program" &
running=$!
wait "$running"
code=$?
running=
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

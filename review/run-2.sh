#!/bin/sh
# Runs a case of the second review: run-2.sh NUMBER NAME. The exit codes are those of the cases: 1 the rule was
# broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-2/standins ] || { echo "first: review/build-2.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
end() {
    [ -f "$folder/pids" ] && kill -KILL $(cat "$folder/pids") 2>/dev/null
    kill -KILL "$standins" 2>/dev/null
    rm -rf "$folder"
    exit 2
}
trap end INT TERM
target/review-2/standins "$2" "$folder" "review/$1/record.txt" &
standins=$!
wait "$standins"
code=$?
rm -rf "$folder"
exit $code

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cases=$root/target/review-2/review-cases
[ -x "$cases" ] || { echo "run review/build-2.sh first"; exit 2; }
timeout -k 5 110 "$cases" restored-store "$root" "$here"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2

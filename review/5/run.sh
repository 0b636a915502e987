#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(dirname "$(realpath "$0")")
number=$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x "build/review/case-$number" ] || exit 2
timeout -k 5 110 "build/review/case-$number" "review/$number"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

#!/usr/bin/env bash
# Builds the program of each case that has a script, into build/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/[1-5]/case.c; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread \
	    -Ireview -o "build/review/case-$number" \
	    "$source" review/stage.c review/store.c -ljansson
done

#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10 into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[6-9]/case.c review/10/case.c; do
	[ -f "$case" ] || continue
	number=$(basename "$(dirname "$case")")
	# shellcheck disable=SC2046
	${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra \
	    -Wno-unused-parameter $(pkg-config --cflags jansson) \
	    -o "target/review/case$number" "$case" review/kit.c \
	    $(pkg-config --libs jansson) -lpthread
done

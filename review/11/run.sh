#!/bin/sh
# Plays the case once; TROUBLE=0 plays it without the disruption. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin3 ] && [ -x target/wigeonstep ] || exit 2
exec target/review-standin3 -case twice -record review/11/record.txt -program target/wigeonstep

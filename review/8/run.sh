#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonwood ] && [ -x target/review-2 ] || exit 2
exec target/review-2 notice review/8/record.txt

#!/bin/sh
# Runs the case on a deployment of 5 core and 3 edge machines. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wigeonwood ] && [ -x target/review3-lab ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
exec target/review3-lab -case last-tenant -program target/wigeonwood -record review/13/record.txt

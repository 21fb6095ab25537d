#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/standin ] && [ -x target/violetthread ] || { echo "build first: deploy file, review/build.sh"; exit 2; }
exec target/standin limits "$folder/record.txt"

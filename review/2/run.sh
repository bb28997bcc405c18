#!/bin/bash
# Plays the case; TROUBLE=0 plays it without the kills of the added stores. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")" || exit 2
harness=../bin/harness
program=../../target/rosestand-platform
[ -x "$harness" ] && [ -x "$program" ] || { echo "build target/ and review/bin/ first" >&2; exit 2; }
exec "$harness" added-stores "$program" "$PWD/record.txt"

#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] && [ -x target/gullhavend ] || { echo "build the system and run review/build-2.sh first" >&2; exit 2; }
exec target/review2 joined review/7

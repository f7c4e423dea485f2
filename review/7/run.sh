#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the time in which the store is down. Exit code: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/7 ] && [ -x target/amaranth-router ] || exit 2
exec target/review/7 review/7

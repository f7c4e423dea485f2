#!/usr/bin/env bash
# Runs "go test" with the arguments given, without the tests listed in KNOWN-RED.txt, and prints
# those that it leaves out. A line "test: NAME" of that file names one top-level test or subtest.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=""
if [ -f KNOWN-RED.txt ]; then
	while read -r name; do
		echo "known red, not run: $name"
		skip="${skip:+$skip|}^${name}\$"
	done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi

exec "${GO:-go}" test -count=1 ${skip:+-skip "$skip"} "$@"

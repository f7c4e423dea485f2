#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review/. They contain the stand-ins for the store and the replicas.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 6 7 8 9 10; do
	if [ -f "review/$n/main.go" ]; then
		go build -o "target/review/$n" "./review/$n"
	fi
done

#!/usr/bin/env bash
# Builds the program of each script of the review, with the stand-ins that it starts.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[1-5]/main.go; do
  folder=$(dirname "$main")
  go build -o "review/bin/$(basename "$folder")" "./$folder"
done

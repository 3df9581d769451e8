#!/usr/bin/env bash
# Builds the stand-ins of the second review's script cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/_tools2

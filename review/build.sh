#!/usr/bin/env bash
# Builds the program that plays the cases, with the stand-ins of the store, the upstreams and the callers. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review-world .

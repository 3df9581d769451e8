#!/usr/bin/env bash
# Runs all tests, as the README says.
set -euo pipefail
cd "$(dirname "$0")"
go test -race -timeout 10m ./... "$@"

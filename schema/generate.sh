#!/usr/bin/env bash
# Generates the Go types of the schemas. With --check it fails when a committed file is out of date.
set -euo pipefail
cd "$(dirname "$0")/.."

generate() { # schema package output
  go tool -modfile=tools/go.mod go-jsonschema --only-models --tags json,yaml --capitalization ID --struct-name-from-title \
    -p "$2" -o "$3" "$1"
  gofmt -w "$3"
}

out=.
if [ "${1:-}" = --check ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
  mkdir -p "$out/internal/model" "$out/internal/wire" "$out/internal/settings" "$out/internal/coordinator"
fi
generate schema/inventory.schema.json model "$out/internal/model/inventory_gen.go"
generate schema/messages.schema.json wire "$out/internal/wire/messages_gen.go"
generate schema/settings.schema.json settings "$out/internal/settings/settings_gen.go"
go run ./schema/linkgen schema/links.schema.json "$out/internal/coordinator/messages_gen.go"
if [ "$out" != . ]; then
  diff -u internal/coordinator/messages_gen.go "$out/internal/coordinator/messages_gen.go"
  diff -u internal/model/inventory_gen.go "$out/internal/model/inventory_gen.go"
  diff -u internal/wire/messages_gen.go "$out/internal/wire/messages_gen.go"
  diff -u internal/settings/settings_gen.go "$out/internal/settings/settings_gen.go"
fi

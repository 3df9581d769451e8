// Package schema embeds the JSON schemas that define the inventory and the settings.
package schema

import _ "embed" // The schemas are compiled in, so that no file is needed at run time.

// Inventory is the JSON schema of the operators' inventory.
//
//go:embed inventory.schema.json
var Inventory []byte

// Settings is the JSON schema of the entry daemon's settings.
//
//go:embed settings.schema.json
var Settings []byte

package schema

import (
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the fields into the documentation page instead of comparing them")

const (
	page   = "../docs/operators/inventory.md"
	marker = "<!-- The rest is made from the schema. -->\n"
)

// Guards against a page whose fields differ from the schema. -update writes them.
func TestInventoryPage(t *testing.T) {
	fields, err := InventoryFields()
	require.NoError(t, err)
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	text, _, found := strings.Cut(string(data), marker)
	require.True(t, found)
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(text+marker+fields), 0o644))
		return
	}
	assert.Equal(t, text+marker+fields, string(data))
}

// Guards against fields that the page cannot explain.
func TestEachFieldHasADescription(t *testing.T) {
	root := &part{}
	require.NoError(t, json.Unmarshal(Inventory, root))
	for name, def := range root.Defs {
		for field, p := range def.Properties {
			assert.True(t, p.Description != "" || p.Ref != "" || p.Items != nil && p.Items.Ref != "", name+"."+field)
		}
	}
}

package schema

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// part is what the documentation shows of a schema.
type part struct {
	Ref              string           `json:"$ref"`
	Type             string           `json:"type"`
	Description      string           `json:"description"`
	Properties       map[string]*part `json:"properties"`
	Required         []string         `json:"required"`
	Items            *part            `json:"items"`
	Enum             []string         `json:"enum"`
	Minimum          *float64         `json:"minimum"`
	Maximum          *float64         `json:"maximum"`
	ExclusiveMinimum *float64         `json:"exclusiveMinimum"`
	MinItems         int              `json:"minItems"`
	Defs             map[string]*part `json:"$defs"`
}

// InventoryFields returns a Markdown section for each mapping of the inventory, with a table of its fields.
func InventoryFields() (string, error) {
	root := &part{}
	if err := json.Unmarshal(Inventory, root); err != nil {
		return "", fmt.Errorf("read the inventory schema: %w", err)
	}
	var b strings.Builder
	section(&b, "Inventory", root)
	for _, name := range slices.Sorted(maps.Keys(root.Defs)) {
		section(&b, name, root.Defs[name])
	}
	return b.String(), nil
}

func section(b *strings.Builder, name string, p *part) {
	fmt.Fprintf(b, "\n### %s\n\n", name)
	if p.Description != "" {
		b.WriteString(p.Description + "\n\n")
	}
	b.WriteString("| field | type | needed | limits | meaning |\n|---|---|---|---|---|\n")
	for _, field := range slices.Sorted(maps.Keys(p.Properties)) {
		f := p.Properties[field]
		needed := "no"
		if slices.Contains(p.Required, field) {
			needed = "yes"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", field, kind(f), needed, limits(f), f.Description)
	}
}

func kind(p *part) string {
	switch {
	case p.Ref != "":
		name := strings.TrimPrefix(p.Ref, "#/$defs/")
		return fmt.Sprintf("[%s](#%s)", name, strings.ToLower(name))
	case p.Items != nil:
		return "list of " + kind(p.Items)
	case p.Type == "object":
		return "mapping"
	default:
		return p.Type
	}
}

func limits(p *part) string {
	var out []string
	if p.ExclusiveMinimum != nil {
		out = append(out, fmt.Sprintf("above %v", *p.ExclusiveMinimum))
	}
	if p.Minimum != nil {
		out = append(out, fmt.Sprintf("at least %v", *p.Minimum))
	}
	if p.Maximum != nil {
		out = append(out, fmt.Sprintf("at most %v", *p.Maximum))
	}
	if p.MinItems > 0 {
		out = append(out, fmt.Sprintf("at least %d item", p.MinItems))
	}
	if len(p.Enum) > 0 {
		out = append(out, strings.Join(p.Enum, " or "))
	}
	return strings.Join(out, ", ")
}

package inventory

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"boragehinge.example/boragehinge/schema"
)

// node is the part of a JSON schema that the schemas of this project use.
type node struct {
	Ref                  string           `json:"$ref"`
	Type                 string           `json:"type"`
	Properties           map[string]*node `json:"properties"`
	AdditionalProperties json.RawMessage  `json:"additionalProperties"`
	Required             []string         `json:"required"`
	Items                *node            `json:"items"`
	MinItems             int              `json:"minItems"`
	Enum                 []string         `json:"enum"`
	Format               string           `json:"format"`
	Minimum              *float64         `json:"minimum"`
	Maximum              *float64         `json:"maximum"`
	ExclusiveMinimum     *float64         `json:"exclusiveMinimum"`
	Defs                 map[string]*node `json:"$defs"`
	values               *node            // schema of the values of an object with free names
}

type place struct{ line, column int }

func placeOf(n ast.Node) place {
	if m, ok := n.(*ast.MappingNode); ok && len(m.Values) > 0 {
		n = m.Values[0].Key
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return place{t.Position.Line, t.Position.Column}
	}
	return place{1, 1}
}

// nearest returns the place of the field, or of the closest parent that the document holds.
func nearest(places map[string]place, field string) place {
	for {
		if p, ok := places[field]; ok {
			return p
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return place{1, 1}
		}
		field = field[:i]
	}
}

// walker compares a YAML tree with the schema and builds the plain value of what fits.
type walker struct {
	file     string
	root     *node
	places   map[string]place
	findings []Finding
}

func newWalker(file string) *walker {
	root := &node{}
	if err := json.Unmarshal(schema.Inventory, root); err != nil {
		panic("the embedded inventory schema is not valid: " + err.Error())
	}
	return &walker{file: file, root: root, places: map[string]place{}}
}

func (w *walker) add(p place, field, format string, args ...any) {
	w.findings = append(w.findings, Finding{File: w.file, Line: p.line, Column: p.column, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (w *walker) resolve(s *node) *node {
	for s.Ref != "" {
		s = w.root.Defs[strings.TrimPrefix(s.Ref, "#/$defs/")]
	}
	if s.values == nil && len(s.AdditionalProperties) > 0 && s.AdditionalProperties[0] == '{' {
		s.values = &node{}
		if err := json.Unmarshal(s.AdditionalProperties, s.values); err != nil {
			panic("the embedded inventory schema is not valid: " + err.Error())
		}
	}
	return s
}

// walk returns the plain value of n, or nil when n does not fit the schema.
func (w *walker) walk(n ast.Node, s *node, field string) any {
	s = w.resolve(s)
	p := placeOf(n)
	if _, ok := w.places[field]; !ok {
		w.places[field] = p
	}
	switch n.Type() {
	case ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		w.add(p, field, "YAML anchors, aliases, merge keys and tags are not allowed in an inventory")
		return nil
	}
	switch s.Type {
	case "object":
		return w.object(n, s, field)
	case "array":
		return w.array(n, s, field)
	case "string":
		return w.text(n, s, field)
	case "boolean":
		if b, ok := n.(*ast.BoolNode); ok {
			return b.Value
		}
	default:
		if v, ok := number(n); ok {
			return w.bounded(v, s, p, field)
		}
	}
	w.wrongType(n, s, field)
	return nil
}

func (w *walker) wrongType(n ast.Node, s *node, field string) {
	want := map[string]string{"object": "a mapping", "array": "a list", "string": "a text", "boolean": "true or false", "integer": "a whole number", "number": "a number"}[s.Type]
	w.add(placeOf(n), field, "must be %s, but is %s", want, kind(n))
}

func kind(n ast.Node) string {
	switch n.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.NullType:
		return "empty"
	case ast.BoolType:
		return "a boolean"
	case ast.IntegerType, ast.FloatType, ast.InfinityType, ast.NanType:
		return "a number"
	default:
		return "a text"
	}
}

func number(n ast.Node) (float64, bool) {
	switch v := n.(type) {
	case *ast.FloatNode:
		return v.Value, true
	case *ast.InfinityNode:
		return v.Value, true
	case *ast.NanNode:
		return math.NaN(), true
	case *ast.IntegerNode:
		switch i := v.Value.(type) {
		case int64:
			return float64(i), true
		case uint64:
			return float64(i), true
		}
	}
	return 0, false
}

func (w *walker) bounded(v float64, s *node, p place, field string) any {
	switch {
	case math.IsNaN(v) || math.IsInf(v, 0):
		w.add(p, field, "must be a finite number")
	case s.Type == "integer" && v != math.Trunc(v):
		w.add(p, field, "must be a whole number, but is %v", v)
	case s.Minimum != nil && v < *s.Minimum:
		w.add(p, field, "must be at least %v, but is %v", *s.Minimum, v)
	case s.Maximum != nil && v > *s.Maximum:
		w.add(p, field, "must be at most %v, but is %v", *s.Maximum, v)
	case s.ExclusiveMinimum != nil && v <= *s.ExclusiveMinimum:
		w.add(p, field, "must be greater than %v, but is %v", *s.ExclusiveMinimum, v)
	case s.Type == "integer" && math.Abs(v) > 1<<53:
		w.add(p, field, "is too large")
	case s.Type == "integer":
		return int64(v)
	default:
		return v
	}
	return nil
}

func (w *walker) text(n ast.Node, s *node, field string) any {
	var value string
	switch v := n.(type) {
	case *ast.StringNode:
		value = v.Value
	case *ast.LiteralNode:
		value = v.Value.Value
	default:
		w.wrongType(n, s, field)
		return nil
	}
	p := placeOf(n)
	if len(s.Enum) > 0 && !slices.Contains(s.Enum, value) {
		w.add(p, field, "must be one of %s, but is %q", strings.Join(s.Enum, ", "), value)
		return nil
	}
	if s.Format == "date-time" {
		if _, err := time.Parse(time.RFC3339, value); err != nil {
			w.add(p, field, "must be an RFC 3339 time such as 2027-01-31T18:00:00Z, but is %q", value)
			return nil
		}
	}
	return value
}

func (w *walker) array(n ast.Node, s *node, field string) any {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		w.wrongType(n, s, field)
		return nil
	}
	if len(seq.Values) < s.MinItems {
		w.add(placeOf(n), field, "needs at least %d item", s.MinItems)
	}
	out := make([]any, len(seq.Values)) // an item that does not fit stays as null, so that the indices of the others hold
	for i, item := range seq.Values {
		out[i] = w.walk(item, s.Items, fmt.Sprintf("%s[%d]", field, i))
	}
	return out
}

func (w *walker) object(n ast.Node, s *node, field string) any {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		w.wrongType(n, s, field)
		return nil
	}
	out := map[string]any{}
	seen := map[string]bool{}
	for _, v := range values {
		key := v.Key.String()
		if k, ok := v.Key.(*ast.StringNode); ok {
			key = k.Value
		}
		path := strings.TrimPrefix(field+"."+key, ".")
		p := placeOf(v.Key)
		if seen[key] {
			w.add(p, path, "is given twice")
			continue
		}
		seen[key] = true
		w.places[path] = p
		child := s.Properties[key]
		if child == nil {
			child = s.values
		}
		if child == nil {
			w.add(p, path, "unknown field%s", suggestion(key, s.Properties))
			continue
		}
		if value := w.walk(v.Value, child, path); value != nil {
			out[key] = value
		}
	}
	for _, name := range s.Required {
		if !seen[name] {
			w.add(placeOf(n), strings.TrimPrefix(field+"."+name, "."), "is missing")
		}
	}
	return out
}

// suggestion names the field that differs from key only in case, hyphens or underscores.
func suggestion(key string, properties map[string]*node) string {
	plain := func(s string) string { return strings.ToLower(strings.NewReplacer("-", "", "_", "").Replace(s)) }
	for name := range properties {
		if plain(name) == plain(key) {
			return fmt.Sprintf("; did you mean %q?", name)
		}
	}
	return ""
}

package inventory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"boragehinge.example/boragehinge/internal/model"
)

// MaxDocumentBytes is the size limit of an inventory. 600 upstreams need about 100 KB.
const MaxDocumentBytes = 2 << 20

// maxNesting bounds the recursion of the YAML parser, whose stack grows with the nesting of the document.
const maxNesting = 64

// maxMappingLines bounds the fields of a mapping: the parser's time grows with their square, to 0.27 s at 2000 fields.
const maxMappingLines = 1000

// SchemaVersion is the only schema version that this package reads.
const SchemaVersion = 1

// Parse reads a YAML document and checks it against the schema. It returns nil and all findings when there are any.
func Parse(file string, data []byte) (*model.Inventory, []Finding) {
	inv, _, findings := parse(file, data)
	if len(findings) > 0 {
		return nil, findings
	}
	return inv, nil
}

// Check reads a YAML document, checks it against the schema and validates it against the time now. It returns nil and
// all findings, in the order of the lines, when there are any.
func Check(file string, data []byte, now time.Time) (*model.Inventory, []Finding) {
	inv, places, findings := parse(file, data)
	if inv != nil {
		findings = append(findings, located(file, places, findings, Validate(inv, now))...)
	}
	if len(findings) > 0 {
		sortFindings(findings)
		return nil, findings
	}
	return inv, nil
}

// located gives the validation findings their place and drops those that repeat a schema finding on the same field.
func located(file string, places map[string]place, known, found []Finding) []Finding {
	var out []Finding
next:
	for _, f := range found {
		for _, k := range known {
			if within(f.Field, k.Field) {
				continue next
			}
		}
		p := nearest(places, f.Field)
		f.File, f.Line, f.Column = file, p.line, p.column
		out = append(out, f)
	}
	return out
}

// parse returns what can be read of the document even if there are findings, so that validation can add to them. The
// inventory is nil after a syntax error.
func parse(file string, data []byte) (*model.Inventory, map[string]place, []Finding) {
	at := func(line, column int, message string) []Finding {
		return []Finding{{File: file, Line: line, Column: column, Message: message}}
	}
	if len(data) > MaxDocumentBytes {
		return nil, nil, at(1, 1, fmt.Sprintf("the document has %d bytes; the limit is %d", len(data), MaxDocumentBytes))
	}
	tree, finding := syntaxTree(data)
	if finding != nil {
		return nil, nil, at(finding.Line, finding.Column, finding.Message)
	}
	body, finding := onlyDocument(tree)
	if finding != nil {
		return nil, nil, at(finding.Line, finding.Column, finding.Message)
	}
	w := newWalker(file)
	value := w.walk(body, w.root, "")
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, nil, append(w.findings, at(1, 1, "the document cannot be read: "+err.Error())...)
	}
	inv := &model.Inventory{}
	if err := json.Unmarshal(encoded, inv); err != nil {
		return nil, nil, append(w.findings, at(1, 1, "the document cannot be read: "+err.Error())...)
	}
	return inv, w.places, w.findings
}

func onlyDocument(tree *ast.File) (ast.Node, *Finding) {
	var body ast.Node
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			p := placeOf(doc.Body)
			return nil, &Finding{Line: p.line, Column: p.column, Message: "a file holds one document, this is a second one"}
		}
		body = doc.Body
	}
	if body == nil {
		return nil, &Finding{Line: 1, Column: 1, Message: "the document is empty"}
	}
	return body, nil
}

// syntaxTree parses the document. A panic of the YAML parser on malformed input counts as a syntax error, because the
// input comes from outside the process.
func syntaxTree(data []byte) (tree *ast.File, finding *Finding) {
	defer func() {
		if recover() != nil {
			tree, finding = nil, &Finding{Line: 1, Column: 1, Message: "the document is not valid YAML"}
		}
	}()
	if i := bytes.IndexByte(data, 0); i >= 0 {
		line := 1 + bytes.Count(data[:i], []byte("\n"))
		return nil, &Finding{Line: line, Column: i - bytes.LastIndexByte(data[:i], '\n'), Message: "the document holds a NUL byte"}
	}
	tokens := lexer.Tokenize(string(data))
	if finding := outsized(tokens); finding != nil {
		return nil, finding
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err == nil {
		return tree, nil
	}
	f := &Finding{Line: 1, Column: 1, Message: "the document is not valid YAML"}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		f.Message += ": " + syntax.GetMessage()
		if t := syntax.GetToken(); t != nil && t.Position != nil {
			f.Line, f.Column = t.Position.Line, t.Position.Column
		}
	}
	return nil, f
}

// outsized reports nesting and mappings beyond what an inventory needs, before the parser sees them.
func outsized(tokens token.Tokens) *Finding {
	flow, line, onLine := 0, 0, 0
	keys := map[int]int{} // lines of the mapping that is open at a column
	for _, t := range tokens {
		if t.Position.Line != line {
			line, onLine = t.Position.Line, 0
			maps.DeleteFunc(keys, func(column, _ int) bool { return column > t.Position.Column })
			if t.Type != token.SequenceEntryType && t.Type != token.CommentType {
				keys[t.Position.Column]++
			}
			if keys[t.Position.Column] > maxMappingLines {
				return &Finding{Line: line, Column: t.Position.Column, Message: fmt.Sprintf("a mapping has more than %d lines", maxMappingLines)}
			}
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			flow++
		case token.MappingEndType, token.SequenceEndType:
			flow--
		case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType, token.AnchorType, token.TagType:
			onLine++
		}
		if flow > maxNesting || (onLine > maxNesting && flow <= 0) || (flow <= 0 && t.Position.Column > 64*maxNesting) {
			return &Finding{Line: line, Column: t.Position.Column, Message: fmt.Sprintf("the document is nested deeper than %d levels", maxNesting)}
		}
	}
	return nil
}

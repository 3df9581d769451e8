package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a document. Line and Column start at 1; they are 0 when the fault has no known place.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Field   string `json:"field,omitempty"` // path such as services[0].upstreams[2].address
	Message string `json:"message"`
}

// String returns the finding as file:line:column: field: message, without the parts that are unknown.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// FindingsError is an error that carries all findings of a document.
type FindingsError struct{ Findings []Finding }

// Error returns one finding a line.
func (e *FindingsError) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// within reports whether the field path is parent or lies below it.
func within(field, parent string) bool {
	rest, ok := strings.CutPrefix(field, parent)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

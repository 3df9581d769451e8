package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"

	"github.com/spf13/pflag"

	"boragehinge.example/boragehinge/schema"
)

// Prefix starts the name of each environment variable.
const Prefix = "BORAGEHINGE_"

// Field describes one setting.
type Field struct {
	Name            string   `json:"-"`
	Type            string   `json:"type"` // string, integer, boolean or array
	Description     string   `json:"description"`
	Default         any      `json:"default"` // nil when the setting must be given
	Enum            []string `json:"enum"`
	Format          string   `json:"format"`
	Pattern         string   `json:"pattern"`
	MinLength       int      `json:"minLength"`
	MaxLength       int      `json:"maxLength"`
	MaxItems        int      `json:"maxItems"`
	Minimum         *int64   `json:"minimum"`
	Maximum         *int64   `json:"maximum"`
	Items           *Field   `json:"items"`
	EnvironmentOnly bool     `json:"x-environment-only"`
	Secret          bool     `json:"x-secret"`
}

// Flag returns the name of the flag without the hyphens in front.
func (f Field) Flag() string {
	var b strings.Builder
	for _, r := range f.Name {
		if unicode.IsUpper(r) {
			b.WriteByte('-')
			r = unicode.ToLower(r)
		}
		b.WriteRune(r)
	}
	return b.String()
}

// Variable returns the name of the environment variable.
func (f Field) Variable() string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(f.Flag(), "-", "_"))
}

// Required reports whether the setting must be given.
func (f Field) Required() bool { return f.Default == nil }

// Fields returns all settings, sorted by name.
func Fields() []Field {
	var root struct {
		Properties map[string]Field `json:"properties"`
	}
	if err := json.Unmarshal(schema.Settings, &root); err != nil {
		panic("the embedded settings schema is not valid: " + err.Error())
	}
	var out []Field
	for _, name := range slices.Sorted(maps.Keys(root.Properties)) {
		f := root.Properties[name]
		f.Name = name
		out = append(out, f)
	}
	return out
}

// rawValue keeps the text of a flag. It accepts any text, so that Load reports a wrong value together with the others.
type rawValue struct{ text, kind string }

func (v *rawValue) String() string        { return v.text }
func (v *rawValue) Set(text string) error { v.text = text; return nil }
func (v *rawValue) Type() string          { return v.kind }

// Register adds the flags of all settings that may be given as flags.
func Register(flags *pflag.FlagSet) {
	kinds := map[string]string{"string": "text", "integer": "number", "boolean": "bool", "array": "list"}
	for _, f := range Fields() {
		if f.EnvironmentOnly {
			continue
		}
		flag := flags.VarPF(&rawValue{text: f.defaultText(), kind: kinds[f.Type]}, f.Flag(), "", f.Description)
		if f.Type == "boolean" {
			flag.NoOptDefVal = "true"
		}
	}
}

func (f Field) defaultText() string {
	switch d := f.Default.(type) {
	case nil:
		return ""
	case []any:
		return ""
	case float64:
		return fmt.Sprintf("%.0f", d)
	default:
		return fmt.Sprint(d)
	}
}

package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/pflag"
)

// Finding is one fault of the settings. Source names the flag or the variable that gave the value.
type Finding struct {
	Setting string `json:"setting"`
	Source  string `json:"source"`
	Message string `json:"message"`
}

// String returns the finding as source: message.
func (f Finding) String() string { return f.Source + ": " + f.Message }

// Error carries all findings of the settings.
type Error struct{ Findings []Finding }

// Error returns one finding a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// loader collects the values and the findings of one Load.
type loader struct {
	flags    *pflag.FlagSet
	environ  map[string]string
	values   map[string]any
	sources  map[string]string
	findings []Finding
}

// Load resolves the settings from the parsed flags, then the environment (as os.Environ returns it), then the defaults.
// The error is an *Error with all findings; no settings are returned then.
func Load(flags *pflag.FlagSet, environ []string) (*Settings, error) {
	l := &loader{flags: flags, environ: map[string]string{}, values: map[string]any{}, sources: map[string]string{}}
	for _, pair := range environ {
		if name, value, ok := strings.Cut(pair, "="); ok && strings.HasPrefix(name, Prefix) {
			l.environ[name] = value
		}
	}
	fields := Fields()
	for _, f := range fields {
		l.read(f)
	}
	l.unknownVariables(fields)
	s := l.settings()
	l.check(s)
	if len(l.findings) > 0 {
		return nil, &Error{Findings: l.findings}
	}
	return s, nil
}

// LoadProcess is Load with the environment of this process.
func LoadProcess(flags *pflag.FlagSet) (*Settings, error) { return Load(flags, os.Environ()) }

func (l *loader) add(setting, format string, args ...any) {
	l.findings = append(l.findings, Finding{Setting: setting, Source: l.sources[setting], Message: fmt.Sprintf(format, args...)})
}

func (l *loader) failed(settings ...string) bool {
	return slices.ContainsFunc(l.findings, func(f Finding) bool { return slices.Contains(settings, f.Setting) })
}

func (l *loader) unknownVariables(fields []Field) {
	for name := range l.environ {
		if !slices.ContainsFunc(fields, func(f Field) bool { return f.Variable() == name }) {
			l.findings = append(l.findings, Finding{Source: name, Message: "there is no such setting"})
		}
	}
	slices.SortStableFunc(l.findings, func(a, b Finding) int { return strings.Compare(a.Setting, b.Setting) })
}

// read takes the value of one setting from the first source that gives it.
func (l *loader) read(f Field) {
	l.values[f.Name] = f.Default
	l.sources[f.Name] = "--" + f.Flag()
	text, given := "", false
	if flag := l.flags.Lookup(f.Flag()); flag != nil && flag.Changed && !f.EnvironmentOnly {
		text, given = flag.Value.String(), true
	} else if value, ok := l.environ[f.Variable()]; ok && value != "" {
		text, given = value, true
		l.sources[f.Name] = f.Variable()
	}
	if f.EnvironmentOnly {
		l.sources[f.Name] = f.Variable()
	}
	if !given {
		if f.Required() {
			l.values[f.Name] = ""
			l.add(f.Name, "must be given, as a flag or as %s", f.Variable())
		}
		return
	}
	value, problem := f.parse(text)
	if problem != "" {
		l.add(f.Name, "%s", problem)
		return
	}
	l.values[f.Name] = value
}

// parse returns the value of the text, or what is wrong with it. The problem does not repeat the value of a secret.
func (f Field) parse(text string) (value any, problem string) {
	switch f.Type {
	case "integer":
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, fmt.Sprintf("must be a whole number, but is %q", text)
		}
		if f.Minimum != nil && n < *f.Minimum || f.Maximum != nil && n > *f.Maximum {
			return nil, fmt.Sprintf("must be from %d to %d, but is %d", *f.Minimum, *f.Maximum, n)
		}
		return n, ""
	case "boolean":
		b, err := strconv.ParseBool(text)
		if err != nil {
			return nil, fmt.Sprintf("must be true or false, but is %q", text)
		}
		return b, ""
	case "array":
		return f.parseList(text)
	default:
		return text, f.checkText(text)
	}
}

func (f Field) parseList(text string) (value any, problem string) {
	items := []string{}
	for item := range strings.SplitSeq(text, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		if problem := f.Items.checkText(item); problem != "" {
			return nil, problem
		}
		items = append(items, item)
	}
	if len(items) > f.MaxItems {
		return nil, fmt.Sprintf("has %d items; the limit is %d", len(items), f.MaxItems)
	}
	return items, ""
}

func (f Field) checkText(text string) string {
	switch {
	case f.MaxLength > 0 && (len(text) < f.MinLength || len(text) > f.MaxLength):
		return fmt.Sprintf("must have %d to %d characters, but has %d", f.MinLength, f.MaxLength, len(text))
	case f.Pattern != "" && !regexp.MustCompile(f.Pattern).MatchString(text):
		return fmt.Sprintf("must be letters, digits, dots, hyphens or underscores, but is %q", text)
	case len(f.Enum) > 0 && !slices.Contains(f.Enum, text):
		return fmt.Sprintf("must be one of %s, but is %q", strings.Join(f.Enum, ", "), text)
	}
	switch f.Format {
	case "x-address":
		if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
			return fmt.Sprintf("must be an IP address and a port such as 10.1.2.3:7001, but is %q", text)
		}
	case "x-url":
		u, err := url.Parse(text)
		if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return "must be an http or https URL without query, such as http://10.1.2.3:9000"
		}
	case "x-certificate":
		return checkCertificates(text)
	}
	return ""
}

func (l *loader) settings() *Settings {
	s := &Settings{}
	data, err := json.Marshal(l.values)
	if err == nil {
		err = json.Unmarshal(data, s)
	}
	if err != nil {
		panic("the settings schema and the generated type differ: " + err.Error())
	}
	return s
}

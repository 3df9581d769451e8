package settings

import (
	"fmt"
	"strings"
)

// Document returns the text of docs/operators/settings.md.
func Document() string {
	var b strings.Builder
	b.WriteString(`# Settings of an entry

This page is made from schema/settings.schema.json by ` + "`go test ./internal/settings -run TestDocument -update`" + `.

Each setting is a flag of ` + "`boragehinge entry`" + ` and an environment variable; the flag goes first. An empty variable counts
as not given. A variable that starts with ` + "`" + Prefix + "`" + ` and names no setting is an error. Settings with keys or certificates
are read from the environment only, because the flags of a process are visible to other users of the host. All faults
are reported together at start, and the accepted settings are logged in one line without secrets.

| flag | variable | type | default | limits | meaning |
|---|---|---|---|---|---|
`)
	for _, f := range Fields() {
		flag := "`--" + f.Flag() + "`"
		if f.EnvironmentOnly {
			flag = "none"
		}
		value := "`" + f.defaultText() + "`"
		if f.Required() {
			value = "must be given"
		} else if value == "``" {
			value = "empty"
		}
		fmt.Fprintf(&b, "| %s | `%s` | %s | %s | %s | %s |\n", flag, f.Variable(), f.Type, value, f.limits(), f.Description)
	}
	return b.String()
}

func (f Field) limits() string {
	switch {
	case f.Minimum != nil && f.Maximum != nil:
		return fmt.Sprintf("%d to %d", *f.Minimum, *f.Maximum)
	case len(f.Enum) > 0:
		return strings.Join(f.Enum, ", ")
	case f.MaxLength > 0:
		return fmt.Sprintf("%d to %d characters", f.MinLength, f.MaxLength)
	case f.MaxItems > 0:
		return fmt.Sprintf("at most %d IP addresses with port", f.MaxItems)
	case f.Format == "x-address":
		return "IP address and port"
	case f.Format == "x-url":
		return "http or https URL"
	case f.Format == "x-certificate", f.Format == "x-key":
		return "PEM text"
	}
	return ""
}

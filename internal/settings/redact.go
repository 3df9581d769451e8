package settings

import (
	"encoding/json"
	"fmt"
	"strings"
)

// String returns all settings in one line, as key=value pairs. Keys are left out, and certificates are only named as set.
func (s Settings) String() string {
	data, err := json.Marshal(s) // the type has no method that json.Marshal would call
	var values map[string]any
	if err == nil {
		err = json.Unmarshal(data, &values)
	}
	if err != nil {
		return "settings can't be shown: " + err.Error()
	}
	var parts []string
	for _, f := range Fields() {
		v := values[f.Name]
		if text, ok := v.(string); ok && f.EnvironmentOnly && text != "" {
			v = "set"
		}
		parts = append(parts, fmt.Sprintf("%s=%v", f.Name, v))
	}
	return strings.Join(parts, " ")
}

package gateway

import "strings"

// Keys of updates from the operators and statuses logs. The platform adapter maps the store's keys to them.
const (
	ConfigKey   = "config"
	MoveKey     = "move/"     // followed by the service
	EvacuateKey = "evacuate/" // followed by the data centre
)

// cutKey splits a key into its kind, including the slash, and its name.
func cutKey(key string) (kind, name string, ok bool) {
	kind, name, ok = strings.Cut(key, "/")
	return kind + "/", name, ok
}

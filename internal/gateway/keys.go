package gateway

import "strings"

// Keys of the operators' records and of the statuses, as the adapter of the platform gives them to updates.
const (
	ConfigKey   = "config"
	MoveKey     = "move/"     // followed by the service
	EvacuateKey = "evacuate/" // followed by the data centre
)

func cutKey(key string) (kind, name string, ok bool) {
	kind, name, ok = strings.Cut(key, "/")
	return kind + "/", name, ok
}

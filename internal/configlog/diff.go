package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// maxDifferences limits the fields that Differences lists.
const maxDifferences = 20

// Differences lists the fields in which two JSON documents differ, as paths such as
// `services[bench-orders].slots`. Elements of lists are matched by their `name`, or by their index if they have no
// unique names. It lists at most 20 fields, followed by "..." if there are more.
func Differences(a, b json.RawMessage) []string {
	var x, y any
	if len(a) > 0 && json.Unmarshal(a, &x) != nil || len(b) > 0 && json.Unmarshal(b, &y) != nil {
		return []string{"(unreadable)"}
	}
	var paths []string
	appendDifferences("", x, y, &paths)
	if len(paths) > maxDifferences {
		paths = append(paths[:maxDifferences], "...")
	}
	return paths
}

func appendDifferences(path string, a, b any, out *[]string) {
	if len(*out) > maxDifferences || reflect.DeepEqual(a, b) {
		return
	}
	am, aIsMap := a.(map[string]any)
	bm, bIsMap := b.(map[string]any)
	if aIsMap && bIsMap {
		appendMapDifferences(path, ".", am, bm, out)
		return
	}
	al, aIsList := a.([]any)
	bl, bIsList := b.([]any)
	if aIsList && bIsList {
		appendMapDifferences(path, "[", byName(al), byName(bl), out)
		return
	}
	if path == "" {
		path = "(whole document)"
	}
	*out = append(*out, path)
}

func appendMapDifferences(path, separator string, a, b map[string]any, out *[]string) {
	keys := map[string]bool{}
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		next := path + separator + k
		switch {
		case separator == "[":
			next += "]"
		case path == "":
			next = k
		}
		av, inA := a[k]
		bv, inB := b[k]
		if inA != inB {
			*out = append(*out, next)
			continue
		}
		appendDifferences(next, av, bv, out)
	}
}

// byName indexes a list by the names of its elements, or by position if a name is missing or duplicated.
func byName(list []any) map[string]any {
	named := map[string]any{}
	for _, v := range list {
		m, _ := v.(map[string]any)
		name, ok := m["name"].(string)
		if _, taken := named[name]; !ok || taken {
			return byIndex(list)
		}
		named[name] = v
	}
	return named
}

func byIndex(list []any) map[string]any {
	placed := map[string]any{}
	for i, v := range list {
		placed[fmt.Sprint(i)] = v
	}
	return placed
}

package inventory

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"boragehinge.example/boragehinge/internal/model"
)

// item is one named part of an inventory, with its fields as plain text.
type item map[string]string

// Differences says in plain sentences what differs between two inventories. Items are compared by name, so their order
// does not count. Equal inventories have no differences.
func Differences(old, current *model.Inventory) []string {
	a, b := items(old), items(current)
	names := map[string]bool{}
	for n := range a {
		names[n] = true
	}
	for n := range b {
		names[n] = true
	}
	var out []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, had := a[name]
		after, has := b[name]
		switch {
		case !had:
			out = append(out, fmt.Sprintf("%s is added%s.", capital(name), summary(after)))
		case !has:
			out = append(out, capital(name)+" is removed.")
		default:
			out = append(out, changes(name, before, after)...)
		}
	}
	return out
}

func capital(s string) string { return strings.ToUpper(s[:1]) + s[1:] }

func summary(it item) string {
	if it["address"] == "" {
		return ""
	}
	return " at " + it["address"] + " in " + it["dataCentre"] + " with version " + it["version"]
}

func changes(name string, before, after item) []string {
	fields := map[string]bool{}
	for f := range before {
		fields[f] = true
	}
	for f := range after {
		fields[f] = true
	}
	var out []string
	for _, f := range slices.Sorted(maps.Keys(fields)) {
		if before[f] != after[f] {
			out = append(out, fmt.Sprintf("%s: %s changes from %s to %s.", capital(name), f, shown(before[f]), shown(after[f])))
		}
	}
	return out
}

func shown(value string) string {
	if value == "" {
		return "unset"
	}
	return value
}

func items(inv *model.Inventory) map[string]item {
	out := map[string]item{}
	for _, s := range inv.Sites {
		put(out, fmt.Sprintf("site %s", s.Name), s, "dataCentres")
		for _, dc := range s.DataCentres {
			put(out, "data centre "+dc.Name, dc)
			out["data centre "+dc.Name]["site"] = s.Name
		}
	}
	for _, c := range inv.Classes {
		put(out, "request class "+c.Name, c)
	}
	for _, c := range inv.Customers {
		put(out, "customer "+c.Name, c)
	}
	for _, s := range inv.Services {
		put(out, "service "+s.Name, s, "upstreams", "routes")
		order := make([]string, len(s.Routes))
		for i, r := range s.Routes {
			put(out, "route "+r.Name+" of service "+s.Name, r)
			order[i] = r.Name
		}
		out["service "+s.Name]["order of routes"] = strings.Join(order, ", ")
		for _, u := range s.Upstreams {
			put(out, "upstream "+u.Name, u)
			out["upstream "+u.Name]["service"] = s.Name
		}
	}
	if inv.Rules == nil {
		return out
	}
	for _, r := range inv.Rules.DataCentres {
		put(out, "rule for data centre "+r.DataCentre, r)
	}
	for _, r := range inv.Rules.Versions {
		put(out, "version rule of service "+r.Service, r)
	}
	for _, r := range inv.Rules.Limits {
		put(out, "limit"+limitName(r), r)
	}
	return out
}

func limitName(r model.LimitRule) string {
	name := " of customer " + r.Customer
	if c := orDefault(r.Class, ""); c != "" {
		name += " in class " + c
	}
	if s := orDefault(r.Service, ""); s != "" {
		name += " on service " + s
	}
	return name
}

// put adds the fields of v, which are those of its JSON form, without the skipped ones and the name.
func put(out map[string]item, name string, v any, skip ...string) {
	it := item{}
	out[name] = it
	data, err := json.Marshal(v)
	if err != nil {
		return // the model holds no value that JSON cannot express
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return
	}
	for f, raw := range fields {
		if f != "name" && !slices.Contains(skip, f) {
			it[f] = strings.Trim(string(raw), `"`)
		}
	}
}

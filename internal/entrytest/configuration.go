package entrytest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/inventory"
)

// Upstream specifies one upstream of the service "orders".
type Upstream struct{ Name, Address, DataCentre, Version string }

// Inventory returns an inventory of one service in the data centres dc-1 and dc-2, with rules appended.
func Inventory(rules string, upstreams ...Upstream) string {
	text := `schemaVersion: 1
sites:
  - name: site
    region: region
    dataCentres: [{name: dc-1, delaysMs: {dc-2: 0.5}}, {name: dc-2, delaysMs: {dc-1: 0.5}}]
classes:
  - {name: urgent, priority: 0, deadlineMs: 5000}
  - {name: ordinary, priority: 4, deadlineMs: 20000}
services:
  - name: orders
    match: {pathPrefix: /}
    defaultClass: ordinary
    slots: 4
    routes:
      - {name: orders, pathPrefix: /orders, methods: [POST], idempotent: false}
    upstreams:
`
	for _, u := range upstreams {
		text += fmt.Sprintf("      - {name: %s, address: %q, dataCentre: %s, version: %q}\n", u.Name, u.Address, u.DataCentre, u.Version)
	}
	return text + rules
}

// Apply appends a configuration to the log of the stand-in and returns its version.
func Apply(t testing.TB, platform *standin.Server, text string) int64 {
	t.Helper()
	inv, findings := inventory.Check("test.yaml", []byte(text), time.Now())
	require.Empty(t, findings)
	raw, err := inventory.EncodeJSON(inv)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	fold, err := configlog.Load(ctx, platform)
	require.NoError(t, err)
	d, err := configlog.Submit(ctx, platform, fold, configlog.Submission{
		ChangeID: configlog.NewChangeID(), Base: fold.Current().Offset, Operator: "test", Inventory: raw,
	})
	require.NoError(t, err)
	require.True(t, d.Accepted)
	return d.Version
}

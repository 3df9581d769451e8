package main

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/load"
)

// Guards against a run that reports success although a guarantee was broken, and flags that don't reach the run.
func TestLoadCommand(t *testing.T) {
	var up []*emulator.Server
	for _, address := range []string{"127.0.54.1:9104", "127.0.54.2:9104"} {
		s := emulator.New(emulator.Config{Name: address, Seed: 1})
		require.NoError(t, s.Start(address))
		t.Cleanup(s.Close)
		up = append(up, s)
	}
	file := writeFile(t, `
schemaVersion: 1
sites: [{name: s, dataCentres: [{name: e-1}]}]
classes: [{name: urgent, priority: 0}]
services:
  - name: bench
    match: {pathPrefix: /bench}
    defaultClass: urgent
    upstreams:
      - {name: b-1, address: "127.0.54.1:9104", dataCentre: e-1, version: "1"}
      - {name: b-2, address: "127.0.54.2:9104", dataCentre: e-1, version: "1"}
`)
	out, err := run("", "load", "--direct-only", "--inventory", file, "--rate", "200", "--calls", "20", "--warm-up", "0s", "-o", "json",
		"--call", "name=orders,method=POST,path=/bench/{n},idempotent=false")
	require.NoError(t, err, out)
	var r loadResult
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Direct.Kinds, 1)
	assert.Equal(t, 20, r.Direct.Kinds[0].Done)
	assert.Equal(t, 20, r.Direct.Records.Calls)
	first, _ := up[0].Totals()
	second, _ := up[1].Totals()
	assert.Equal(t, 20, first.Completed+second.Completed)

	for _, c := range []struct {
		args []string
		says string
	}{
		{[]string{"--service", "none"}, "no service none"},
		{[]string{"--call", "size=3"}, "--call"},
		{[]string{"--rate", "0"}, "the rate"},
		{[]string{"--inventory", "../../examples/broken.yaml"}, "broken.yaml:"},
	} {
		_, err = run("", append([]string{"load", "--inventory", file}, c.args...)...)
		assert.ErrorContains(t, err, c.says)
	}
	assert.True(t, broken(&load.Report{Records: &load.Records{Doubled: 1}}))
	assert.True(t, broken(&load.Report{Kinds: []*load.KindReport{{Wrong: 1}}}))
	assert.False(t, broken(&load.Report{Records: &load.Records{Calls: 1}}))
}

// Guards against options of experiments that are read wrongly, or unknown ones that give an empty table.
func TestSimulateCommand(t *testing.T) {
	out, err := run("", "simulate", "dispatch", "--slots", "3", "--loads", "0.5", "--faults", "none", "--bursts", "false", "--variable",
		"true", "--policies", "owner,ideal", "--duration", "2s", "--seed", "9")
	require.NoError(t, err)
	assert.Contains(t, out, "slots=3 load=50% bursts=false variable=true fault=none seed=9 duration=2s")
	assert.Contains(t, out, "\nideal ")
	assert.NotContains(t, out, "round-robin")
	_, err = run("", "simulate", "dispatch", "--policies", "none")
	assert.ErrorContains(t, err, "--policies")
	_, err = run("", "simulate", "dispatch", "--loads", "x")
	assert.ErrorContains(t, err, "--loads")
	out, err = run("", "simulate", "members", "--help")
	require.NoError(t, err)
	assert.Contains(t, out, "--links-down")
}

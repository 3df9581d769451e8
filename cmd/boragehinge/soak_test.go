package main

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/soak"
)

// Guards against flags that don't reach the run, and output that leaves out a count.
func TestSoakCommand(t *testing.T) {
	out, err := run("", "soak", "--duration", "2s", "--seed", "3", "--entries", "3", "--rate", "20", "--faults", "slow", "-o", "json")
	require.NoError(t, err, out)
	var r soak.Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	assert.Equal(t, uint64(3), r.Seed)
	assert.Positive(t, r.Calls)
	for _, name := range soak.Names() {
		assert.Contains(t, r.Counts, name)
	}
	_, err = run("", "soak", "--faults", "flood")
	assert.ErrorContains(t, err, "flood")
	_, err = run("", "soak", "--entries", "0")
	assert.ErrorContains(t, err, "entries")
}

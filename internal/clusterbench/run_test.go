package clusterbench

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a measurement that hangs, or nodes that never find each other or miss a version.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		require.NoError(t, Run(&out, Options{Nodes: []int{18}, Window: time.Second, LinksDown: []float64{0, 0.1}, Seed: 1}))
		require.NotContains(t, out.String(), "not within")
		require.Contains(t, out.String(), "nodes=18 dead member known everywhere")
		t.Log(out.String())
	})
}

package clusterbench

import (
	"bytes"
	"flag"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// On a machine that is busy otherwise, a large size needs the simulated clock of the test: in real time, its processes
// are paused.
var nodes = flag.Int("nodes", 18, "number of nodes of TestRun")

// Guards against a measurement that hangs, or nodes that never find each other or miss a version.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		require.NoError(t, Run(io.MultiWriter(&out, t.Output()), Options{Nodes: []int{*nodes}, Window: 5 * time.Second, LinksDown: []float64{0, 0.1, 0.5}, Seed: 1}))
		require.NotContains(t, out.String(), "not within")
		require.Contains(t, out.String(), "dead member known everywhere")
	})
}

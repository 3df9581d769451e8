package plot

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/capacity"
)

const clusterLines = `
    nodes=16 sent bytes/s=1648 highest=1650 (budget 16384) messages/s=17.6 cpu=0.049% of a core (budget 2.4) memory=0.62 MB (budget 32) links=15.0 confirmed=16 pauses=0
    nodes=16 sent bytes/s=1652 highest=1660 (budget 16384) messages/s=17.6 cpu=0.051% of a core (budget 2.4) memory=0.66 MB (budget 32) links=15.0 confirmed=16 pauses=0
    nodes=16 version known everywhere, 0 % of paths down, at once: 0.70 s
    nodes=64 version known everywhere, 10 % of paths down, at once: 1.00 s
    nodes=64 dead member known everywhere: 2.74 s
`

// Guards against figures of one column drawn as another's.
func TestReadCluster(t *testing.T) {
	v, err := readCluster(strings.NewReader(clusterLines))
	require.NoError(t, err)
	require.Equal(t, []Point{{X: 16, Y: 1650, Low: 1648, High: 1652}}, v.points("bytes"))
	require.Equal(t, []Point{{X: 16, Y: 0.05, Low: 0.049, High: 0.051}}, v.points("cpu"))
	require.Equal(t, []Point{{X: 16, Y: 0.64, Low: 0.62, High: 0.66}}, v.points("memory"))
	require.Equal(t, []Point{{X: 64, Y: 2.74, Low: 2.74, High: 2.74}}, v.points("dead member known everywhere"))
	_, err = readCluster(strings.NewReader("nothing"))
	require.ErrorIs(t, err, errNoFigures)
}

// Guards against classes or policies that change places, and against a file of other columns.
func TestLatencyCharts(t *testing.T) {
	text := strings.Join(header, ",") + "\nowner,urgent,0.5,1,9.00,40.00,0,10,5\nowner,urgent,0.5,2,9.00,42.00,0,10,5\nideal,bulk,0.5,1,9.00,30.00,0,10,5\n"
	charts, err := LatencyCharts(strings.NewReader(text))
	require.NoError(t, err)
	require.Len(t, charts, len(classes))
	for _, c := range charts[0].Curves {
		if c.Name == "owner" {
			require.Equal(t, []Point{{X: 50, Y: 41, Low: 40, High: 42}}, c.Points)
		} else {
			require.Empty(t, c.Points)
		}
	}
	_, err = LatencyCharts(strings.NewReader("a,b\n"))
	require.ErrorIs(t, err, errColumns)
}

// Guards against pictures without their labels, and against formats that are silently written as another.
func TestDraw(t *testing.T) {
	c := Chart{Title: "title", X: "nodes", Y: "ms", LogX: true, LogY: true, Legend: true, Bounds: []Bound{{"budget", 5}},
		Curves: []Curve{{"curve", []Point{{1, 2, 1, 3}, {10, 20, 20, 20}}}}}
	file := filepath.Join(t.TempDir(), "x.svg")
	require.NoError(t, Draw(file, c, c))
	svg, err := os.ReadFile(file)
	require.NoError(t, err)
	for _, text := range []string{"title", "nodes", "ms", "curve", "budget"} {
		require.Contains(t, string(svg), text)
	}
	require.ErrorIs(t, Draw(filepath.Join(t.TempDir(), "x.bmp"), c), errFormat)
	require.ErrorIs(t, Draw(file, Chart{}), errEmpty)
}

// Guards against a report whose missing series leaves a curve out of a picture.
func TestMissingSeries(t *testing.T) {
	err := DrawCapacity(t.TempDir(), "svg", bytes.NewReader([]byte(`{"series":[]}`)))
	require.ErrorIs(t, err, errSeries)
}

// Guards against runs at nearly the same rate that are drawn as separate points, and against rates that are merged with
// others.
func TestRoundedSizes(t *testing.T) {
	for x, want := range map[float64]float64{0: 0, 1: 1, 99.9: 100, 199.4: 200, 201: 200, 787.6: 790, 0.0123: 0.012} {
		require.InDelta(t, want, twoDigits(x), 1e-9)
	}
	report := report{capacity.Report{Series: []*capacity.Series{{
		Experiment: "e", Name: "n", Size: "calls/s", Samples: []capacity.Sample{{X: 199.4, Y: 1}, {X: 201, Y: 3}, {X: 401, Y: 5}},
	}}}}
	c, err := report.curve(source{"legend", "e", "n", "calls/s"}, 2, true)
	require.NoError(t, err)
	require.Equal(t, []Point{{X: 200, Y: 4, Low: 2, High: 6}, {X: 400, Y: 10, Low: 10, High: 10}}, c.Points)
	c, err = report.curve(source{"legend", "e", "n", "calls/s"}, 1, false)
	require.NoError(t, err)
	require.Len(t, c.Points, 3)
}

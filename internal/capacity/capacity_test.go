package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/inventory"
)

// Guards against a wrong slope or intercept: points on a line give that line without error.
func TestFitOfPointsOnALine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slope := rapid.Float64Range(-100, 100).Draw(t, "slope")
		intercept := rapid.Float64Range(-100, 100).Draw(t, "intercept")
		var samples []Sample
		for x := range rapid.IntRange(2, 20).Draw(t, "n") {
			samples = append(samples, Sample{float64(x), intercept + slope*float64(x)})
		}
		l, err := fit(samples)
		require.NoError(t, err)
		require.InDelta(t, slope, l.Slope, 1e-9)
		require.InDelta(t, intercept, l.Intercept, 1e-9)
		require.InDelta(t, 0, l.Residual, 1e-9)
	})
}

// Guards against a wrong error of the fit. The expected values are worked out by hand: slope 1.5, mean (2, 3), squares
// of the distances 0.25 + 1 + 0.25.
func TestFitErrors(t *testing.T) {
	l, err := fit([]Sample{{1, 2}, {2, 2}, {3, 5}})
	require.NoError(t, err)
	require.InDelta(t, 1.5, l.Slope, 1e-12)
	require.InDelta(t, 0, l.Intercept, 1e-12)
	require.InDelta(t, math.Sqrt(1.5/2), l.SlopeError, 1e-12)
	require.InDelta(t, math.Sqrt(1.5)*math.Sqrt(1.0/3+2), l.InterceptError, 1e-12)
	require.InDelta(t, math.Sqrt(0.5), l.Residual, 1e-12)
	require.InDelta(t, 15, l.At(10), 1e-12)
}

// Guards against a division by zero when a series has one size only.
func TestFitNeedsTwoSizes(t *testing.T) {
	for _, samples := range [][]Sample{nil, {{1, 2}}, {{1, 2}, {1, 3}}} {
		_, err := fit(samples)
		require.ErrorIs(t, err, errTooFew)
	}
}

// Guards against a median of unsorted values and against a changed argument.
func TestMedian(t *testing.T) {
	values := []float64{5, 1, 3}
	require.InDelta(t, 3, median(values), 0)
	require.Equal(t, []float64{5, 1, 3}, values)
	require.InDelta(t, 2.5, median([]float64{4, 1, 2, 3}), 0)
	require.True(t, math.IsNaN(median(nil)))
}

// Guards against mixed-up series and a table whose figures differ from the samples.
func TestReport(t *testing.T) {
	var r Report
	for _, x := range []float64{10, 4, 4, 10} {
		r.add("e", "cpu", "us", "calls", x, 2*x+1)
		r.add("e", "other", "us", "calls", x, 7)
	}
	r.add("e", "once", "us", "calls", 1, 0.0123)
	r.finish()
	require.Len(t, r.Series, 3)
	require.Equal(t, []Point{{4, 9, 9, 9, 2}, {10, 21, 21, 21, 2}}, r.Series[0].Points())
	require.InDelta(t, 2, r.Series[0].Fit.Slope, 1e-9)
	require.Nil(t, r.Series[2].Fit)

	var table, encoded bytes.Buffer
	require.NoError(t, r.WriteTable(&table))
	require.Regexp(t, `cpu +calls=4 +9 us +\[9 to 9\] +2 runs`, table.String())
	require.Regexp(t, `cpu +fit +1 \+ 2 x calls`, table.String())
	require.Regexp(t, `once +calls=1 +0\.012 us`, table.String())
	require.NoError(t, r.WriteJSON(&encoded))
	var back Report
	require.NoError(t, json.Unmarshal(encoded.Bytes(), &back))
	require.Equal(t, r.Series, back.Series)
}

// Guards against an inventory of the experiments that an operator couldn't apply.
func TestSyntheticInventoryIsValid(t *testing.T) {
	for _, size := range inventorySizes {
		inv := synthetic(size.services, size.upstreams)
		n := 0
		for _, s := range inv.Services {
			n += len(s.Upstreams)
		}
		require.Equal(t, size.upstreams, n)
		require.NoError(t, measureChange(&Report{}, inv, 1))
	}
	require.Len(t, inventory.NewSnapshot(1, synthetic(20, 600)).Pools(), 20*dataCentres)
}

// Guards against a misspelled experiment that silently measures nothing.
func TestUnknownExperiment(t *testing.T) {
	err := Run(context.Background(), io.Discard, Options{Experiments: []string{"cals"}})
	require.ErrorIs(t, err, errExperiment)
}

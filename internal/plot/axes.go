package plot

import (
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
)

// xs returns the different X values, rising.
func (c Chart) xs() []float64 {
	var out []float64
	for _, curve := range c.Curves {
		for _, v := range curve.Points {
			out = append(out, v.X)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// ticksAt labels measured values on a logarithmic axis, leaving out labels that would overlap.
func ticksAt(xs []float64) []plot.Tick {
	const leastRatio = 1.3
	var out []plot.Tick
	last := 0.0
	for _, x := range xs {
		if last > 0 && x/last < leastRatio {
			continue
		}
		out = append(out, plot.Tick{Value: x, Label: strconv.FormatFloat(x, 'f', -1, 64)})
		last = x
	}
	return out
}

// logTicks labels the powers of ten and marks the steps between them.
type logTicks struct{}

// Ticks implements plot.Ticker.
func (logTicks) Ticks(lowest, highest float64) []plot.Tick {
	var out []plot.Tick
	for e := math.Floor(math.Log10(lowest)); e <= math.Ceil(math.Log10(highest)); e++ {
		power := math.Pow(10, e)
		out = append(out, plot.Tick{Value: power, Label: strconv.FormatFloat(power, 'g', -1, 64)})
		for step := 2.0; step < 10; step++ {
			out = append(out, plot.Tick{Value: power * step})
		}
	}
	return slices.DeleteFunc(out, func(t plot.Tick) bool { return t.Value < lowest*0.999 || t.Value > highest*1.001 })
}

func labelled(xs []float64) []plot.Tick {
	var out []plot.Tick
	for _, x := range xs {
		out = append(out, plot.Tick{Value: x, Label: strconv.FormatFloat(x, 'f', -1, 64)})
	}
	return out
}

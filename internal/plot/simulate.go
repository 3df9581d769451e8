package plot

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch/simulate"
)

// simulatedLoads are the offered loads relative to the capacity.
var simulatedLoads = []float64{0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95, 1.0, 1.1, 1.2}

var classes = []string{"urgent", "ordinary", "bulk"}

var header = []string{"policy", "class", "load", "seed", "p50Ms", "p99Ms", "refused", "offered", "goodputPerSecond"}

// Simulate writes the latency of each class under each policy and load as CSV: 25 upstreams with 3 slots, steady
// arrivals, exponential service times, no fault.
func Simulate(w io.Writer, seeds int, duration time.Duration) error {
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return err
	}
	for seed := range seeds {
		for _, load := range simulatedLoads {
			for _, policy := range simulate.Policies {
				r := simulate.Measure(simulate.Case{
					Upstreams: 25, Slots: 3, Load: load, Variable: true, Fault: "none", Seed: int64(seed + 1), Duration: duration,
				}, policy)
				if err := writeResult(out, r, policy, load, seed+1); err != nil {
					return err
				}
			}
		}
	}
	out.Flush()
	return out.Error()
}

func writeResult(out *csv.Writer, r *simulate.Result, policy string, load float64, seed int) error {
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 2, 64)
	}
	for i, class := range classes {
		err := out.Write([]string{
			policy, class, strconv.FormatFloat(load, 'f', -1, 64), strconv.Itoa(seed), ms(r.Quantile(i, 0.5)), ms(r.Quantile(i, 0.99)),
			strconv.Itoa(r.Refused[i]), strconv.Itoa(r.Offered[i]), strconv.FormatFloat(r.Goodput(), 'f', 0, 64),
		})
		if err != nil {
			return err
		}
	}
	return nil
}

var errColumns = errors.New("unexpected columns in the file of the simulation")

// LatencyCharts returns one chart per class from what Simulate wrote: p99 against load, one curve per policy, the
// median and the range over the seeds.
func LatencyCharts(r io.Reader) ([]Chart, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read the simulation: %w", err)
	}
	if len(rows) == 0 || !slices.Equal(rows[0], header) {
		return nil, errColumns
	}
	values := groups{}
	for _, row := range rows[1:] {
		load, err1 := strconv.ParseFloat(row[2], 64)
		p99, err2 := strconv.ParseFloat(row[5], 64)
		if err := errors.Join(err1, err2); err != nil {
			return nil, fmt.Errorf("read the simulation: %w", err)
		}
		values.add(row[1]+"/"+row[0], 100*load, p99)
	}
	var charts []Chart
	for i, class := range classes {
		c := Chart{Title: class + " calls", X: "offered load, % of the capacity", Y: "p99 latency, ms", LogY: true, Legend: i == 0, RangeY: [2]float64{10, 10_000},
			TicksX: []float64{50, 60, 70, 80, 90, 100, 110, 120}}
		for _, policy := range simulate.Policies {
			c.Curves = append(c.Curves, Curve{Name: policy, Points: values.points(class + "/" + policy)})
		}
		charts = append(charts, c)
	}
	return charts, nil
}

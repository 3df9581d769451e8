package plot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"boragehinge.example/boragehinge/internal/capacity"
)

var errSeries = errors.New("the report lacks a series")

// report finds series by experiment, name and size.
type report struct{ capacity.Report }

// ReadReports merges JSON reports of internal/capacity.
func readReports(readers []io.Reader) (report, error) {
	var all report
	for _, r := range readers {
		var one capacity.Report
		if err := json.NewDecoder(r).Decode(&one); err != nil {
			return all, fmt.Errorf("read a report of measurements: %w", err)
		}
		all.Series = append(all.Series, one.Series...)
	}
	return all, nil
}

func (r report) curve(legend, experiment, name, size string, scale float64) (Curve, error) {
	for _, s := range r.Series {
		if s.Experiment != experiment || s.Name != name || s.Size != size {
			continue
		}
		c := Curve{Name: legend}
		for _, p := range s.Points() {
			c.Points = append(c.Points, Point{X: p.X, Y: p.Median * scale, Low: p.Min * scale, High: p.Max * scale})
		}
		return c, nil
	}
	return Curve{}, fmt.Errorf("%w: %s, %s by %s", errSeries, experiment, name, size)
}

// source names a curve of a chart.
type source struct{ legend, experiment, name, size string }

func (r report) chart(c Chart, scale float64, sources ...source) (Chart, error) {
	c.Legend = true
	for _, s := range sources {
		curve, err := r.curve(s.legend, s.experiment, s.name, s.size, scale)
		if err != nil {
			return c, err
		}
		c.Curves = append(c.Curves, curve)
	}
	return c, nil
}

// picture is a file of charts; the sources of each chart are one experiment's.
type picture struct {
	name   string
	charts []chartSpec
}

type chartSpec struct {
	chart   Chart
	scale   float64
	sources []source
}

func roles(prefix, experiment, size string, parts ...string) []source {
	var out []source
	for _, p := range parts {
		out = append(out, source{p, experiment, prefix + p, size})
	}
	return out
}

// capacityPictures are the pictures from the report of internal/capacity.
var capacityPictures = []picture{
	{"cpu-per-call", []chartSpec{
		{Chart{Title: "CPU time per call", X: "upstreams", Y: "us", LogX: true}, 1,
			roles("CPU per call, ", "calls", "upstreams", "direct to the owner, owner", "forwarded, ingress", "forwarded, owner", "forwarded, client")},
		{Chart{Title: "CPU time per call", X: "concurrent calls", Y: "us", LogX: true}, 1,
			roles("CPU per call, ", "calls", "concurrent calls", "direct to the owner, owner", "forwarded, ingress", "forwarded, owner", "forwarded, client")},
	}},
	{"added-latency", []chartSpec{
		{Chart{Title: "Time added at p50", X: "concurrent calls", Y: "ms", LogX: true, Bounds: nil}, 1,
			roles("added at p50, ", "latency", "concurrent calls", "direct to the owner", "forwarded")},
		{Chart{Title: "Time added at p99", X: "concurrent calls", Y: "ms", LogX: true, Bounds: []Bound{{"bound for 99 in 100 calls", 2}}}, 1,
			roles("added at p99, ", "latency", "concurrent calls", "direct to the owner", "forwarded")},
	}},
	{"memory", []chartSpec{
		{Chart{Title: "Memory of held calls", X: "calls or connections", Y: "MiB, heap and stacks"}, 1.0 / 1024, []source{
			{"running call, ingress", "memory", "in use for running calls, ingress", "running calls"},
			{"running call, owner", "memory", "in use for running calls, owner", "running calls"},
			{"queued call, owner", "memory", "in use for queued calls, owner", "queued calls"},
			{"streaming call, ingress", "memory", "in use for streaming calls, ingress", "streaming calls"},
			{"idle connection, ingress", "memory", "in use for idle connections, ingress", "idle connections"},
		}},
		{Chart{Title: "Memory of request-ID records", X: "records", Y: "MiB"}, 1.0 / 1024, []source{
			{"fact only", "records", "memory, fact only", "records"},
			{"with an answer of 200 bytes", "records", "memory, answer of 200 bytes", "records"},
		}},
	}},
	{"configuration", []chartSpec{
		{Chart{Title: "CPU time of a configuration change", X: "upstreams", Y: "ms"}, 0.001, roles("", "configuration", "upstreams",
			"parse and check (operators' command)", "decode", "fold of a change", "build of the snapshot", "swap into all pools")},
		{Chart{Title: "CPU time of pools without calls", X: "pools of 4 upstreams", Y: "% of a core"}, 0.1, []source{
			{"ticks and sweeps", "pools", "CPU without calls", "pools of 4 upstreams"},
		}},
	}},
}

// DrawCapacity draws the pictures of the reports into a directory, with the format's extension such as svg.
func DrawCapacity(directory, format string, reports ...io.Reader) error {
	r, err := readReports(reports)
	if err != nil {
		return err
	}
	for _, p := range capacityPictures {
		var charts []Chart
		for _, spec := range p.charts {
			c, err := r.chart(spec.chart, spec.scale, spec.sources...)
			if err != nil {
				return err
			}
			charts = append(charts, c)
		}
		if err := Draw(strings.Join([]string{directory, "/", p.name, ".", format}, ""), charts...); err != nil {
			return err
		}
	}
	return nil
}

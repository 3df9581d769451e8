package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// Series is one quantity, measured at several sizes and several times at each.
type Series struct {
	Experiment string   `json:"experiment"`
	Name       string   `json:"name"`
	Unit       string   `json:"unit"`
	Size       string   `json:"size"` // what Sample.X counts
	Samples    []Sample `json:"samples"`
	// Fit is nil when the samples have only one size.
	Fit *Line `json:"fit,omitempty"`
}

// Point is the summary of the samples of one size.
type Point struct {
	X                float64
	Median, Min, Max float64
	Runs             int
}

// Points returns the samples by size, the smallest first.
func (s Series) Points() []Point {
	bySize := map[float64][]float64{}
	for _, m := range s.Samples {
		bySize[m.X] = append(bySize[m.X], m.Y)
	}
	var out []Point
	for x, values := range bySize {
		out = append(out, Point{X: x, Median: median(values), Min: slices.Min(values), Max: slices.Max(values), Runs: len(values)})
	}
	slices.SortFunc(out, func(a, b Point) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	return out
}

// Machine says where and when a report was made.
type Machine struct {
	CPUs       int       `json:"cpus"`
	MemoryMB   int       `json:"memoryMB"`
	GoVersion  string    `json:"goVersion"`
	LoadBefore []float64 `json:"loadBefore"` // load averages over 1, 5 and 15 minutes at the start
	LoadAfter  []float64 `json:"loadAfter"`
}

// Report is the result of Run.
type Report struct {
	Machine Machine   `json:"machine"`
	Series  []*Series `json:"series"`
}

// add records one sample.
func (r *Report) add(experiment, name, unit, size string, x, y float64) {
	for _, s := range r.Series {
		if s.Experiment == experiment && s.Name == name && s.Size == size {
			s.Samples = append(s.Samples, Sample{x, y})
			return
		}
	}
	r.Series = append(r.Series, &Series{Experiment: experiment, Name: name, Unit: unit, Size: size, Samples: []Sample{{x, y}}})
}

// finish fits all series.
func (r *Report) finish() {
	for _, s := range r.Series {
		if l, err := fit(s.Samples); err == nil {
			s.Fit = &l
		}
	}
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// WriteTable writes one block per experiment with the median, the range and the fit of each series.
func (r *Report) WriteTable(w io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "machine: %d CPUs, %d MB, %s, load average %.1f before and %.1f after\n",
		r.Machine.CPUs, r.Machine.MemoryMB, r.Machine.GoVersion, first(r.Machine.LoadBefore), first(r.Machine.LoadAfter))
	experiment := ""
	for _, s := range r.Series {
		if s.Experiment != experiment {
			experiment = s.Experiment
			fmt.Fprintf(&text, "\n[%s]\n", experiment)
		}
		s.write(&text)
	}
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(columns, text.String()); err != nil {
		return err
	}
	return columns.Flush()
}

func (s Series) write(w *strings.Builder) {
	for _, p := range s.Points() {
		fmt.Fprintf(w, "%s\t%s=%s\t%s %s\t[%s to %s]\t%d runs\n", s.Name, s.Size, number(p.X), number(p.Median), s.Unit,
			number(p.Min), number(p.Max), p.Runs)
	}
	if s.Fit != nil {
		fmt.Fprintf(w, "%s\tfit\t%s + %s x %s\t[+- %s, +- %s]\tresidual %s\n", s.Name, number(s.Fit.Intercept),
			number(s.Fit.Slope), s.Size, number(s.Fit.InterceptError), number(s.Fit.SlopeError), number(s.Fit.Residual))
	}
}

// number formats a value with about four significant digits.
func number(v float64) string {
	a := math.Abs(v)
	switch {
	case a >= 1000 || v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	case a >= 10:
		return fmt.Sprintf("%.1f", v)
	case a >= 0.01:
		return fmt.Sprintf("%.3f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func first(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return values[0]
}

package plot

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
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

// curve finds a series. With rounded, samples whose size was itself measured, such as a rate, share a point when their
// sizes are equal to two significant digits.
func (r report) curve(from source, scale float64, rounded bool) (Curve, error) {
	for _, s := range r.Series {
		if s.Experiment != from.experiment || s.Name != from.name || s.Size != from.size {
			continue
		}
		values := groups{}
		for _, sample := range s.Samples {
			x := sample.X
			if rounded {
				x = twoDigits(x)
			}
			values.add(from.legend, x, sample.Y*scale)
		}
		return Curve{Name: from.legend, Points: values.points(from.legend)}, nil
	}
	return Curve{}, fmt.Errorf("%w: %s, %s by %s", errSeries, from.experiment, from.name, from.size)
}

func twoDigits(x float64) float64 {
	if x <= 0 {
		return x
	}
	unit := math.Pow(10, math.Floor(math.Log10(x))-1)
	return math.Round(x/unit) * unit
}

// source names a curve of a chart.
type source struct{ legend, experiment, name, size string }

func (r report) chart(spec chartSpec) (Chart, error) {
	c := spec.chart
	c.Legend = true
	for _, s := range spec.sources {
		curve, err := r.curve(s, spec.scale, spec.rounded)
		if err != nil {
			return c, err
		}
		c.Curves = append(c.Curves, curve)
	}
	return c, nil
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
			c, err := r.chart(spec)
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

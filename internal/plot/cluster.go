package plot

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

var errNoFigures = errors.New("no lines of internal/clusterbench in the file")

var (
	costLine  = regexp.MustCompile(`nodes=(\d+) sent bytes/s=([\d.]+) highest=([\d.]+) .*messages/s=([\d.]+) cpu=([\d.]+)% .* memory=([\d.]+) MB`)
	delayLine = regexp.MustCompile(`nodes=(\d+) (version known everywhere, .+|dead member known everywhere): ([\d.]+) s`)
)

// cluster holds the figures of clusterbench by name.
func readCluster(r io.Reader) (groups, error) {
	values := groups{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if m := costLine.FindStringSubmatch(lines.Text()); m != nil {
			for i, name := range []string{"bytes", "highest", "messages", "cpu", "memory"} {
				values.addText(name, m[1], m[i+2])
			}
		}
		if m := delayLine.FindStringSubmatch(lines.Text()); m != nil {
			values.addText(m[2], m[1], m[3])
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read the figures of nodes: %w", err)
	}
	if len(values["bytes"]) == 0 {
		return nil, errNoFigures
	}
	return values, nil
}

// addText adds numbers that a pattern has matched.
func (g groups) addText(curve, x, y string) {
	a, err1 := strconv.ParseFloat(x, 64)
	b, err2 := strconv.ParseFloat(y, 64)
	if errors.Join(err1, err2) == nil {
		g.add(curve, a, b)
	}
}

// ClusterCharts returns the cost of the control work of a node, and the delays, against the number of nodes, from the
// output of internal/clusterbench.
func ClusterCharts(r io.Reader) (cost, delay []Chart, err error) {
	v, err := readCluster(r)
	if err != nil {
		return nil, nil, err
	}
	cost = []Chart{
		{Title: "Frames of a node without pools", X: "nodes", Y: "bytes/s sent", LogX: true, Legend: true,
			Curves: []Curve{{"mean", v.points("bytes")}, {"highest node", v.points("highest")}}, Bounds: []Bound{{"budget", 16 << 10}}},
		{Title: "CPU time of a node, in-memory links", X: "nodes", Y: "% of a core", LogX: true, Legend: true,
			Curves: []Curve{{"mean", v.points("cpu")}}, Bounds: []Bound{{"budget", 2.4}}},
		{Title: "Memory of a node, in-memory links", X: "nodes", Y: "MB", LogX: true, Legend: true,
			Curves: []Curve{{"mean", v.points("memory")}}, Bounds: []Bound{{"budget", 32}}},
	}
	spread := Chart{Title: "Configuration version known to all nodes", X: "nodes", Y: "s", LogX: true, Legend: true, Bounds: []Bound{{"bound", 18}}}
	for _, name := range []string{"0 % of paths down, at once", "10 % of paths down, at once", "50 % of paths down, at once"} {
		spread.Curves = append(spread.Curves, Curve{strings.TrimSuffix(name, ", at once"), v.points("version known everywhere, " + name)})
	}
	death := Chart{Title: "Dead member known to all nodes", X: "nodes", Y: "s", LogX: true,
		Curves: []Curve{{"dead member", v.points("dead member known everywhere")}}}
	return cost, []Chart{spread, death}, nil
}

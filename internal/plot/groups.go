package plot

import (
	"maps"
	"slices"
)

// groups collects values by curve and X.
type groups map[string]map[float64][]float64

func (g groups) add(curve string, x, y float64) {
	if g[curve] == nil {
		g[curve] = map[float64][]float64{}
	}
	g[curve][x] = append(g[curve][x], y)
}

// points returns the median and the range at each X, rising.
func (g groups) points(curve string) []Point {
	var out []Point
	for _, x := range slices.Sorted(maps.Keys(g[curve])) {
		v := slices.Sorted(slices.Values(g[curve][x]))
		middle := (v[(len(v)-1)/2] + v[len(v)/2]) / 2
		out = append(out, Point{X: x, Y: middle, Low: v[0], High: v[len(v)-1]})
	}
	return out
}

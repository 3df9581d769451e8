package plot

// Point is a value with the range over the runs.
type Point struct{ X, Y, Low, High float64 }

// Curve is one line of a chart.
type Curve struct {
	Name   string
	Points []Point
}

// Bound is a horizontal line, such as a budget.
type Bound struct {
	Name string
	Y    float64
}

// Chart is one panel.
type Chart struct {
	Title, X, Y string
	LogX, LogY  bool
	RangeY      [2]float64 // of the Y axis; zero means by the values
	TicksX      []float64  // labelled values; empty means chosen ones
	Curves      []Curve
	Bounds      []Bound
	Legend      bool
}

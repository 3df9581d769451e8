package capacity

import (
	"errors"
	"math"
	"slices"
)

// errTooFew is returned for a fit through fewer than two different sizes.
var errTooFew = errors.New("a fit needs at least two different sizes")

// Line is a straight line fitted by least squares.
type Line struct {
	Slope          float64 `json:"slope"`
	SlopeError     float64 `json:"slopeError"` // standard error; 0 for two samples
	Intercept      float64 `json:"intercept"`
	InterceptError float64 `json:"interceptError"` // standard error; 0 for two samples
	// Residual is the root mean square distance of the samples from the line.
	Residual float64 `json:"residual"`
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Sample is one run at one size.
type Sample struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// fit returns the line with the least squares of the distances in Y.
func fit(samples []Sample) (Line, error) {
	n := float64(len(samples))
	var meanX, meanY float64
	for _, s := range samples {
		meanX += s.X / n
		meanY += s.Y / n
	}
	var sxx, sxy float64
	for _, s := range samples {
		sxx += (s.X - meanX) * (s.X - meanX)
		sxy += (s.X - meanX) * (s.Y - meanY)
	}
	if sxx == 0 || n < 2 {
		return Line{}, errTooFew
	}
	l := Line{Slope: sxy / sxx}
	l.Intercept = meanY - l.Slope*meanX
	var squares float64
	for _, s := range samples {
		d := s.Y - l.At(s.X)
		squares += d * d
	}
	l.Residual = math.Sqrt(squares / n)
	if n > 2 {
		variance := squares / (n - 2)
		l.SlopeError = math.Sqrt(variance / sxx)
		l.InterceptError = math.Sqrt(variance * (1/n + meanX*meanX/sxx))
	}
	return l, nil
}

// median returns the middle value, or the mean of the two middle ones. It returns NaN without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

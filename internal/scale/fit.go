package scale

import (
	"fmt"
	"math"

	"dunereach/internal/measure"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through measured points, by least squares.
type Fit struct {
	Slope, Intercept           float64
	SlopeError, InterceptError float64 // standard errors; NaN with fewer than three points
	Least, Most                float64 // range of the sizes measured: beyond it the line is only worked out
	Points                     int
}

// FitLine fits a line through values at sizes.
func FitLine(sizes, values []float64) Fit {
	f := Fit{Least: math.Inf(1), Most: math.Inf(-1), Points: len(sizes)}
	f.Intercept, f.Slope = stat.LinearRegression(sizes, values, nil, false)
	mean := stat.Mean(sizes, nil)
	residuals, spread := 0.0, 0.0
	for n, x := range sizes {
		f.Least, f.Most = min(f.Least, x), max(f.Most, x)
		residuals += math.Pow(values[n]-f.At(x), 2)
		spread += math.Pow(x-mean, 2)
	}
	if len(sizes) < 3 {
		f.SlopeError, f.InterceptError = math.NaN(), math.NaN()
		return f
	}
	variance := residuals / float64(len(sizes)-2)
	f.SlopeError = math.Sqrt(variance / spread)
	f.InterceptError = math.Sqrt(variance * (1/float64(len(sizes)) + mean*mean/spread))
	return f
}

// At is the line's value at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*size }

// Rows print a fit: the slope by so many of the size, its standard error and the intercept.
func (f Fit) Rows(name, unit string, per float64) []measure.Row {
	return []measure.Row{
		measure.Figure(fmt.Sprintf("%s: slope, each %.0f %s (%.0f to %.0f measured)", name, per, unit, f.Least, f.Most), f.Slope*per),
		measure.Figure(name+": standard error of the slope", f.SlopeError*per),
		measure.Figure(name+": intercept", f.Intercept),
	}
}

// bounded is a row with that upper bound, NaN: none.
func bounded(name string, value, bound float64) measure.Row {
	if math.IsNaN(bound) {
		return measure.Figure(name, value)
	}
	return measure.AtMost(name, value, bound)
}

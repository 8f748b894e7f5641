package scale

import (
	"fmt"
	"math"

	"dunereach/internal/measure"
)

// lineThrough fits a line through values at sizes. Two points, as in the short forms, or points at one size are too few for a fit: the
// line then goes through the first and the last point, and its errors are NaN.
func lineThrough(sizes, values []float64) Fit {
	points := make([]Point, len(sizes))
	for k := range sizes {
		points[k] = Point{Size: sizes[k], Cost: values[k]}
	}
	if line, err := FitLine(points); err == nil {
		return line
	}
	first, last := points[0], points[len(points)-1]
	line := Fit{SlopeError: math.NaN(), InterceptError: math.NaN(), Residual: math.NaN(), Points: len(points)}
	line.From, line.To = min(first.Size, last.Size), max(first.Size, last.Size)
	line.Slope = (last.Cost - first.Cost) / (last.Size - first.Size)
	line.Intercept = first.Cost - line.Slope*first.Size
	return line
}

// Rows returns the results of a fit: the slope per unitsPerStep units of size, its standard error, and the intercept.
func (f Fit) Rows(name, unit string, unitsPerStep float64) []measure.Row {
	return []measure.Row{
		measure.Figure(fmt.Sprintf("%s: slope, each %.0f %s (%.0f to %.0f measured)", name, unitsPerStep, unit, f.From, f.To), f.Slope*unitsPerStep),
		measure.Figure(name+": standard error of the slope", f.SlopeError*unitsPerStep),
		measure.Figure(name+": intercept", f.Intercept),
	}
}

// bounded returns a row with the given upper bound, or without a bound if it is NaN.
func bounded(name string, value, bound float64) measure.Row {
	if math.IsNaN(bound) {
		return measure.Figure(name, value)
	}
	return measure.AtMost(name, value, bound)
}

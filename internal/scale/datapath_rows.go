package scale

import (
	"fmt"

	"dunereach/internal/measure"
)

// slopeRows returns the costs by size, one per row, and the line through them: slope, standard error and intercept. The fit weights
// points by their relative error, since the sizes span decades.
func slopeRows(name string, sizes []int, costs []float64) ([]measure.Row, Fit, error) {
	var rows []measure.Row
	points := make([]Point, len(sizes))
	for k, size := range sizes {
		points[k] = Point{float64(size), costs[k]}
		rows = append(rows, measure.Figure(fmt.Sprintf("%s: %d", name, size), costs[k]))
	}
	fit, err := FitRelative(points)
	if err != nil {
		return nil, fit, fmt.Errorf("%s: %w", name, err)
	}
	span := fmt.Sprintf("%s: fit from %g to %g, ", name, fit.From, fit.To)
	return append(rows,
		measure.Figure(span+"slope", fit.Slope),
		measure.Figure(span+"slope's standard error", fit.SlopeError),
		measure.Figure(span+"intercept", fit.Intercept),
		measure.Figure(span+"intercept's standard error", fit.InterceptError)), fit, nil
}

package scale

import (
	"math"
	"testing"
)

// TestLineThrough checks that many points are fitted and that two points give a line without errors.
func TestLineThrough(t *testing.T) {
	// Residuals of 1, -1, -1, 1 around y = x at 0, 1, 2, 3: variance 4/2, sum of squared deviations of the sizes 5.
	many := lineThrough([]float64{0, 1, 2, 3}, []float64{1, 0, 1, 4})
	if math.Abs(many.Slope-1) > 1e-9 || math.Abs(many.SlopeError-math.Sqrt(2.0/5)) > 1e-9 ||
		math.Abs(many.InterceptError-math.Sqrt(2*(0.25+1.5*1.5/5))) > 1e-9 {
		t.Errorf("example computed by hand: %+v", many)
	}
	if many.From != 0 || many.To != 3 || many.Points != 4 || math.Abs(many.CostAt(10)-10) > 1e-9 {
		t.Errorf("range and value: %+v", many)
	}
	two := lineThrough([]float64{1, 2}, []float64{1, 3})
	if two.Slope != 2 || two.Intercept != -1 || !math.IsNaN(two.SlopeError) || !math.IsNaN(two.InterceptError) {
		t.Errorf("two points: %+v", two)
	}
}

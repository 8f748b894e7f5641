package scale

import (
	"math"
	"testing"
)

// TestFitLine: a line is found again, and its errors are those of a worked example.
func TestFitLine(t *testing.T) {
	exact := FitLine([]float64{100, 400, 800, 1600}, []float64{1.5, 3, 5, 9})
	if math.Abs(exact.Slope-0.005) > 1e-12 || math.Abs(exact.Intercept-1) > 1e-9 || exact.SlopeError > 1e-12 {
		t.Errorf("an exact line: %+v", exact)
	}
	// Residuals of 1, -1, -1, 1 around y = x at 0, 1, 2, 3: variance 4/2, spread 5.
	f := FitLine([]float64{0, 1, 2, 3}, []float64{1, 0, 1, 4})
	if math.Abs(f.Slope-1) > 1e-9 || math.Abs(f.SlopeError-math.Sqrt(2.0/5)) > 1e-9 || math.Abs(f.InterceptError-math.Sqrt(2*(0.25+1.5*1.5/5))) > 1e-9 {
		t.Errorf("a worked example: %+v", f)
	}
	if f.Least != 0 || f.Most != 3 || f.Points != 4 || math.Abs(f.At(10)-10) > 1e-9 {
		t.Errorf("range and value: %+v", f)
	}
	if two := FitLine([]float64{1, 2}, []float64{1, 2}); !math.IsNaN(two.SlopeError) {
		t.Errorf("two points have no error: %v", two.SlopeError)
	}
}

package scale

import (
	"errors"
	"math"
	"testing"
)

func checkNear(t *testing.T, quantity string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*max(1, math.Abs(want)) {
		t.Errorf("%s: got %v, want %v", quantity, got, want)
	}
}

func TestFitOfAnExactLineHasNoError(t *testing.T) {
	for name, fitOf := range map[string]func([]Point) (Fit, error){"plain": FitLine, "relative": FitRelative} {
		fit, err := fitOf([]Point{{72, 3 + 2*72}, {8, 3 + 2*8}, {3900, 3 + 2*3900}, {500, 3 + 2*500}})
		if err != nil {
			t.Fatal(name, err)
		}
		checkNear(t, name+" slope", fit.Slope, 2)
		checkNear(t, name+" intercept", fit.Intercept, 3)
		checkNear(t, name+" cost at 1,000", fit.CostAt(1000), 2003)
		if fit.SlopeError > 1e-9 || fit.InterceptError > 1e-6 || fit.From != 8 || fit.To != 3900 || fit.Points != 4 {
			t.Errorf("%s: %+v", name, fit)
		}
	}
}

// Computed by hand: sizes 1 to 4, mean 2.5; costs 2, 4, 5, 4, mean 3.75; sums of squares and of products 5 and 3.5, residual sum of
// squares 2.3.
func TestFitStandardErrors(t *testing.T) {
	fit, err := FitLine([]Point{{1, 2}, {2, 4}, {3, 5}, {4, 4}})
	if err != nil {
		t.Fatal(err)
	}
	checkNear(t, "slope", fit.Slope, 0.7)
	checkNear(t, "intercept", fit.Intercept, 2)
	checkNear(t, "residual", fit.Residual, math.Sqrt(2.3/2))
	checkNear(t, "slope's error", fit.SlopeError, math.Sqrt(2.3/2/5))
	checkNear(t, "intercept's error", fit.InterceptError, math.Sqrt(2.3/2*(0.25+6.25/5)))
}

// A point that is 10 % off at the largest size must not determine the intercept of a relative fit.
func TestRelativeFitKeepsSmallSizes(t *testing.T) {
	points := []Point{{8, 18}, {72, 82}, {500, 510}, {3900, 3910 * 1.1}}
	relative, err := FitRelative(points)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := FitLine(points)
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(relative.CostAt(8)/18-1) > 0.05 {
		t.Errorf("the relative fit gives %v at 8, measured was 18", relative.CostAt(8))
	}
	if math.Abs(plain.CostAt(8)-18) < math.Abs(relative.CostAt(8)-18) {
		t.Errorf("the plain fit is nearer at the smallest size: %v against %v", plain.CostAt(8), relative.CostAt(8))
	}
}

func TestFitRefusesBadPoints(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}}, {{5, 1}, {5, 2}, {5, 3}}} {
		if _, err := FitLine(points); !errors.Is(err, ErrTooFewPoints) {
			t.Errorf("%v: %v", points, err)
		}
	}
	if _, err := FitLine([]Point{{1, 1}, {2, math.NaN()}, {3, 3}}); err == nil {
		t.Error("FitLine accepted a cost that is NaN")
	}
	if _, err := FitRelative([]Point{{1, 1}, {2, 0}, {3, 3}}); err == nil {
		t.Error("FitRelative accepted a cost of 0")
	}
}

package scale

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrTooFewPoints is returned for a fit of fewer than three points, or of points at a single size: the error of the line cannot be
// estimated from them.
var ErrTooFewPoints = errors.New("a fit needs at least three points at two different sizes")

// Point is one measurement: the cost at a size.
type Point struct {
	Size, Cost float64
}

// Fit is a straight line fitted to points by least squares: cost = Intercept + Slope x size.
type Fit struct {
	Slope, Intercept float64
	// SlopeError and InterceptError are standard errors: about two thirds of repeated measurements lie within one of them.
	SlopeError, InterceptError float64
	// Residual is the standard deviation of the costs about the line.
	Residual float64
	// From and To are the smallest and the largest size measured. Outside this range the line is extrapolated.
	From, To float64
	// Points is the number of measurements.
	Points int
}

// FitLine fits a straight line to points of equal weight. Points that are not finite are an error.
func FitLine(points []Point) (Fit, error) {
	equalWeights := make([]float64, len(points))
	for k := range equalWeights {
		equalWeights[k] = 1
	}
	return fitWeighted(points, equalWeights)
}

// FitRelative fits a straight line by relative errors. It suits costs that span decades, where FitLine would follow only the largest
// sizes. Costs must be greater than 0.
func FitRelative(points []Point) (Fit, error) {
	weights := make([]float64, len(points))
	for k, point := range points {
		if !(point.Cost > 0) {
			return Fit{}, fmt.Errorf("point %d: the cost of a relative fit must be greater than 0, not %v", k, point.Cost)
		}
		weights[k] = 1 / (point.Cost * point.Cost)
	}
	return fitWeighted(points, weights)
}

// fitWeighted is weighted least squares; see Draper and Smith, Applied Regression Analysis, chapters 1 and 9. Weights are scaled
// to a mean of 1, so that Residual is in the unit of the cost.
func fitWeighted(points []Point, weights []float64) (Fit, error) {
	if err := checkPoints(points); err != nil {
		return Fit{}, err
	}
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	count := float64(len(points))
	meanSize, meanCost := 0.0, 0.0
	for k, point := range points {
		share := weights[k] / total
		meanSize += share * point.Size
		meanCost += share * point.Cost
	}
	squares, products := 0.0, 0.0
	for k, point := range points {
		weight := weights[k] / total * count
		squares += weight * (point.Size - meanSize) * (point.Size - meanSize)
		products += weight * (point.Size - meanSize) * (point.Cost - meanCost)
	}
	fit := Fit{Slope: products / squares, Points: len(points)}
	fit.Intercept = meanCost - fit.Slope*meanSize
	squaredResiduals := 0.0
	for k, point := range points {
		residual := point.Cost - fit.CostAt(point.Size)
		squaredResiduals += weights[k] / total * count * residual * residual
	}
	fit.Residual = math.Sqrt(squaredResiduals / (count - 2))
	fit.SlopeError = fit.Residual / math.Sqrt(squares)
	fit.InterceptError = fit.Residual * math.Sqrt(1/count+meanSize*meanSize/squares)
	bySize := func(a, b Point) int { return int(math.Copysign(1, a.Size-b.Size)) }
	fit.From, fit.To = slices.MinFunc(points, bySize).Size, slices.MaxFunc(points, bySize).Size
	return fit, nil
}

func checkPoints(points []Point) error {
	different := false
	for k, point := range points {
		for _, value := range []float64{point.Size, point.Cost} {
			if math.IsNaN(value) || math.IsInf(value, 0) {
				return fmt.Errorf("point %d: size %v and cost %v must be finite", k, point.Size, point.Cost)
			}
		}
		different = different || point.Size != points[0].Size
	}
	if len(points) < 3 || !different {
		return ErrTooFewPoints
	}
	return nil
}

// CostAt returns the cost of the line at a size.
func (f Fit) CostAt(size float64) float64 { return f.Intercept + f.Slope*size }

// String returns the line, the standard errors of its slope and intercept, and the range of sizes that it was fitted to.
func (f Fit) String() string {
	return fmt.Sprintf("%.4g (+- %.2g) + %.4g (+- %.2g) x size, %d points from %g to %g",
		f.Intercept, f.InterceptError, f.Slope, f.SlopeError, f.Points, f.From, f.To)
}

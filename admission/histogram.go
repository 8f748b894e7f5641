package admission

import "math"

// histogram counts values in buckets whose bounds grow by a fixed ratio.
type histogram struct {
	low, logRatio float64
	counts        []float64
	n, sum        float64
}

func newHistogram(low, high, ratio float64) histogram {
	lr := math.Log(ratio)
	return histogram{low: low, logRatio: lr, counts: make([]float64, int(math.Log(high/low)/lr)+2)}
}

func (h *histogram) add(v float64) {
	i := 0
	if v > h.low {
		i = min(int(math.Log(v/h.low)/h.logRatio)+1, len(h.counts)-1)
	}
	h.counts[i]++
	h.n++
	h.sum += v
}

// copyScaled replaces the counts of h by those of o times f.
func (h *histogram) copyScaled(o *histogram, f float64) {
	for i, c := range o.counts {
		h.counts[i] = c * f
	}
	h.n, h.sum = o.n*f, o.sum*f
}

func (h *histogram) mean() float64 {
	if h.n == 0 {
		return 0
	}
	return h.sum / h.n
}

// quantile is the upper bound of the bucket in which share q of the counts is reached.
func (h *histogram) quantile(q float64) float64 {
	want, seen := q*h.n, 0.0
	for i, c := range h.counts {
		if seen += c; seen >= want && seen > 0 {
			return h.low * math.Exp(float64(i)*h.logRatio)
		}
	}
	return 0
}

// window sums amounts over a sliding time span, which is divided into steps.
type window struct {
	step   float64
	sums   []float64
	newest int64 // step number of the newest bucket
}

func newWindow(span float64, steps int) window {
	return window{step: span / float64(steps), sums: make([]float64, steps+1), newest: math.MinInt64}
}

// bucket returns the bucket of step i. The step after the newest is the oldest.
func (w *window) bucket(i int64) *float64 {
	n := int64(len(w.sums))
	return &w.sums[((i%n)+n)%n]
}

func (w *window) advance(now float64) {
	k, n := int64(math.Floor(now/w.step)), int64(len(w.sums))
	for i := max(w.newest+1, k-n+1); i <= k; i++ {
		*w.bucket(i) = 0
	}
	w.newest = max(w.newest, k)
}

func (w *window) add(now, v float64) {
	w.advance(now)
	*w.bucket(w.newest) += v
}

// most is an upper bound: it sums the whole span and all of the step in which the span begins.
func (w *window) most(now float64) (sum float64) {
	w.advance(now)
	for _, v := range w.sums {
		sum += v
	}
	return sum
}

// least is a lower bound: it sums only the steps that lie completely inside the span.
func (w *window) least(now float64) float64 {
	sum := w.most(now)
	return sum - *w.bucket(w.newest + 1)
}

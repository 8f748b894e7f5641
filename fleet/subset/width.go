package subset

// ClassCapacity is the number of databases on which a class of requests may run, and the number of those that can take a request
// now.
type ClassCapacity struct{ Allowed, Usable int }

// Summary describes the databases that a router holds, or those that a narrower subset would hold.
type Summary struct {
	Held    int
	Usable  int             // databases of these that are ready, healthy, warm and not full
	Classes []ClassCapacity // by class; the caller omits a class that may run on no database of the whole list
}

// Insufficient reports whether the usable databases are too few: fewer than half of those held, or for some class none or fewer than
// half of those allowed.
func (s *Summary) Insufficient() bool {
	if 2*s.Usable < s.Held {
		return true
	}
	for _, class := range s.Classes {
		if class.Usable == 0 || 2*class.Usable < class.Allowed {
			return true
		}
	}
	return false
}

// Times of a WidthController, in seconds.
const (
	// WidenInterval is the minimum time between two steps up. The databases that the last step added have had their first attempts by
	// then.
	WidenInterval = 1.0
	// NarrowDelay is the time for which the narrower subset must be sufficient before a step down. It is longer than the worst minute of
	// flapping during a warm-up.
	NarrowDelay = 30.0
)

// WidthController controls the factor by which a router's subset exceeds its ordinary size. The zero value is the ordinary width.
type WidthController struct {
	doublings       int
	changedAt       float64
	sufficientSince float64
	sufficient      bool
}

// Factor returns the width: 1, 2, 4 and so on.
func (w *WidthController) Factor() int { return 1 << w.doublings }

// Update takes the current state of the subset and of the one that is a step narrower, and reports whether the width has changed. If
// the subset is insufficient it widens at once, by one doubling per call, up to maxWidth. It narrows after the narrower subset has
// been sufficient for NarrowDelay, which jitter, from 0 to 1, lengthens by up to a half, so that the routers of a fleet do not all
// narrow at the same time.
func (w *WidthController) Update(now float64, current, narrower *Summary, maxWidth int, jitter float64) bool {
	if current.Insufficient() {
		w.sufficient = false
		if 2*w.Factor() > maxWidth || w.doublings > 0 && now-w.changedAt < WidenInterval {
			return false
		}
		w.doublings, w.changedAt = w.doublings+1, now
		return true
	}
	if w.doublings == 0 || narrower.Insufficient() {
		w.sufficient = false
		return false
	}
	if !w.sufficient {
		w.sufficient, w.sufficientSince = true, now
	}
	if now-w.sufficientSince < NarrowDelay*(1+jitter/2) {
		return false
	}
	w.doublings, w.changedAt, w.sufficient = w.doublings-1, now, false
	return true
}

// replanThreshold is the relative change of a pool's effective weight at which the sizes are adjusted to it.
const replanThreshold = 0.05

// NextPlannedWeight returns the effective weight from which sizes are computed from now on: the planned one until the pool's weight
// differs from it by a twentieth. Below that, no change of the pool changes a subset that does not contain the database in question.
func NextPlannedWeight(planned, effective float64) float64 {
	if planned > 0 && effective > planned*(1-replanThreshold) && effective < planned*(1+replanThreshold) {
		return planned
	}
	return effective
}

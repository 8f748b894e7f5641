package subset

// Room is how many databases a class of requests may run on, and how many of those can take a request now.
type Room struct{ Allowed, Usable int }

// Summary is what a router can tell of the databases it holds, or of those of them that a narrower subset would hold.
type Summary struct {
	Held    int
	Usable  int    // of them: ready, healthy, warm and not full
	Classes []Room // by class; a class with none allowed in the whole list is left out by the caller
}

// Short tells whether the databases are too few: fewer than half of them can be used, or a class has none or under half of its own.
func (s *Summary) Short() bool {
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

// Times of a Width, in seconds.
const (
	// WidenEvery is the time between two steps up. What was entered by the last one has had its first attempts by then.
	WidenEvery = 1.0
	// CalmFor is how long the narrower subset has to do before a step down: longer than a warm-up's worst minute of flapping.
	CalmFor = 30.0
)

// Width is how many times its ordinary size a router's subset has. The zero value is the ordinary width.
type Width struct {
	doublings int
	changedAt float64
	calmFrom  float64
	calm      bool
}

// Factor is 1, 2, 4 and so on.
func (w *Width) Factor() int { return 1 << w.doublings }

// Step takes what is seen now: of the subset as it is, and of the one a step narrower. It widens at once, by one doubling a step, up
// to widest; it narrows after a time of calm that spread, from 0 to 1, lengthens by up to a half, so that a fleet does not return at
// once. It tells whether the width has changed.
func (w *Width) Step(now float64, seen, narrower *Summary, widest int, spread float64) bool {
	if seen.Short() {
		w.calm = false
		if 2*w.Factor() > widest || w.doublings > 0 && now-w.changedAt < WidenEvery {
			return false
		}
		w.doublings, w.changedAt = w.doublings+1, now
		return true
	}
	if w.doublings == 0 || narrower.Short() {
		w.calm = false
		return false
	}
	if !w.calm {
		w.calm, w.calmFrom = true, now
	}
	if now-w.calmFrom < CalmFor*(1+spread/2) {
		return false
	}
	w.doublings, w.changedAt, w.calm = w.doublings-1, now, false
	return true
}

// replanAt is the change of a pool's effective weight at which sizes are evened out anew.
const replanAt = 0.05

// Plan is the effective weight to even out by from now on: the one before, until the pool's has moved away from it by a twentieth.
// Below that no change of the pool moves a place in a subset that does not hold the database in question.
func Plan(before, effective float64) float64 {
	if before > 0 && effective > before*(1-replanAt) && effective < before*(1+replanAt) {
		return before
	}
	return effective
}

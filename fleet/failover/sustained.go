package failover

// sustained filters a signal. The value falls at once, but rises only to the level that the signal has kept for some time.
// A single evaluation of reports can be wrong: in the first second after a start, reports of honest routers cover a
// fraction of a second and weigh little compared with those of a few routers that report wrong data.
type sustained struct {
	value  float64
	rising bool
	since  float64 // seconds: when the signal rose above value
	lowest float64 // lowest signal since then
}

// observe records the signal of one evaluation and returns the sustained value. Both now and delay are in seconds.
func (s *sustained) observe(now, signal, delay float64) float64 {
	if signal <= s.value {
		s.value, s.rising = signal, false
		return s.value
	}
	if !s.rising {
		s.rising, s.since, s.lowest = true, now, signal
	}
	s.lowest = min(s.lowest, signal)
	if now >= s.since+delay {
		s.value, s.since, s.lowest = s.lowest, now, signal
	}
	return s.value
}

// sustain updates the conditions of each zone that must last for several evaluations before they affect a plan: its own
// routers do not reach it, and it is slower than the others.
func (c *Controller) sustain(now float64) {
	for z := range c.unreached {
		unreached := 0.0
		if c.LastAssessment.Unreachable[z][z] {
			unreached = 1
		}
		c.unreached[z].observe(now, unreached, lostDelay)
		c.slowdown[z].observe(now, c.LastAssessment.Slow[z], lostDelay)
	}
}

// unusable reports whether a plan must send nothing from one zone to another because routers in the first do not reach the
// second. A zone's own work moves only once that has lasted for a while, as for a zone that is lost to all.
func (c *Controller) unusable(from, to int) bool {
	if from == to {
		return c.unreached[to].value > 0
	}
	return c.LastAssessment.Unreachable[from][to]
}

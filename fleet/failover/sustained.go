package failover

// sustained follows a signal: down at once, and up only to what the signal has stayed at or above for some time. One look at
// reports can be wrong: in the first second after a start the reports of honest routers are about a fraction of a second and weigh
// little beside those of a few liars.
type sustained struct {
	value  float64
	rising bool
	since  float64 // seconds: when the signal rose above value
	lowest float64 // of the signal since then
}

// observe takes the signal of one look and returns the sustained value. Both now and delay are seconds.
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

// sustain updates, by zone, what has to last for some looks before a plan is made by it: that its own routers do not reach it, and
// how many times slower than the others it is.
func (c *Controller) sustain(now float64) {
	for z := range c.unreached {
		unreached := 0.0
		if c.Verdict.Cut[z][z] {
			unreached = 1
		}
		c.unreached[z].observe(now, unreached, loseAfter)
		c.slowdown[z].observe(now, c.Verdict.Slow[z], loseAfter)
	}
}

// cut tells whether a plan sends nothing from one zone to another because the first one's routers do not reach it. A zone's own
// work is moved only where that has lasted, as it is for a zone that all have lost.
func (c *Controller) cut(from, to int) bool {
	if from == to {
		return c.unreached[to].value > 0
	}
	return c.Verdict.Cut[from][to]
}

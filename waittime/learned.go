package waittime

// This file exports the learned corrections for the process that runs after a restart, and imports them there.

// Learned holds the corrections for one team and profile, indexed by kind of time.
type Learned struct {
	Team, Profile int // team -1: over all teams
	Corrections   [kinds]Correction
}

// Correction is the state of one tracker: the number of observations, both quantiles of the logarithm, and the mean deviation.
type Correction struct{ N, Q50, Q90, Dev float64 }

// Learned returns the learned corrections, those over all teams first. Cells with fewer than three observations are left out.
func (e *Estimator) Learned() (all []Learned) {
	const minObservations = 3 // a new cell has more after its first seconds
	for _, cells := range [][]cell{e.all, e.cells} {
		for k := range cells {
			c := &cells[k]
			l := Learned{Team: c.team, Profile: c.profile}
			observations := 0.0
			for n := range c.trackers {
				t := &c.trackers[n]
				observations = max(observations, t.n)
				l.Corrections[n] = Correction{t.n, t.q50, t.q90, t.dev}
			}
			if c.team >= -1 && observations >= minObservations {
				all = append(all, l)
			}
		}
	}
	return all
}

// Restore takes over corrections that an earlier process learned. New observations soon outweigh a correction with a small N.
func (e *Estimator) Restore(all []Learned) {
	for _, l := range all {
		if l.Profile < 0 || l.Profile >= len(e.all) {
			continue
		}
		c := &e.all[l.Profile]
		if l.Team >= 0 {
			c = e.cell(l.Team, l.Profile)
		}
		for n, correction := range l.Corrections {
			if correction.N > 0 {
				c.trackers[n] = tracker{n: correction.N, q50: correction.Q50, q90: max(correction.Q90, correction.Q50), dev: correction.Dev}
			}
		}
	}
}

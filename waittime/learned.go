package waittime

// This file exports the learned corrections for a later process, and imports them.

// Learned is the correction for one team and profile, by kind of time.
type Learned struct {
	Team, Profile int // Team -1: over all teams
	Corrections   [kinds]Correction
}

// Correction is the state of a tracker: observations, both quantiles of the logarithm, and the mean deviation.
type Correction struct{ N, Q50, Q90, Dev float64 }

// Learned returns the learned corrections, those over all teams first. Cells with fewer than three observations are left out.
func (b *Estimator) Learned() (all []Learned) {
	const some = 3 // observations: fewer than a new cell learns in its first seconds
	for _, cells := range [][]cell{b.all, b.cells} {
		for k := range cells {
			c := &cells[k]
			l := Learned{Team: c.team, Profile: c.profile}
			most := 0.0
			for n := range c.trackers {
				x := &c.trackers[n]
				most = max(most, x.n)
				l.Corrections[n] = Correction{x.n, x.q50, x.q90, x.dev}
			}
			if c.team >= -1 && most >= some {
				all = append(all, l)
			}
		}
	}
	return all
}

// Restore takes over what an earlier process learned. A correction with a small N is soon overruled.
func (b *Estimator) Restore(all []Learned) {
	for _, l := range all {
		if l.Profile < 0 || l.Profile >= len(b.all) {
			continue
		}
		c := &b.all[l.Profile]
		if l.Team >= 0 {
			c = b.cell(l.Team, l.Profile)
		}
		for n, x := range l.Corrections {
			if x.N > 0 {
				c.trackers[n] = tracker{n: x.N, q50: x.Q50, q90: max(x.Q90, x.Q50), dev: x.Dev}
			}
		}
	}
}

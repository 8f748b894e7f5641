package waittime

// This file gives the corrections that were learned to a process that comes after this one, and takes them.

// Learned is the correction for one team and profile, by kind of time.
type Learned struct {
	Team, Profile int // Team -1: over all teams
	Of            [kinds]Correction
}

// Correction is what a tracker has come to.
type Correction struct{ N, Q50, Q90, Dev float64 }

// Learned corrections, those over all teams first. Cells with next to nothing behind them are left out.
func (b *Book) Learned() (all []Learned) {
	const some = 3 // observations: fewer than a new cell learns in its first seconds
	for _, cells := range [][]cell{b.all, b.cells} {
		for k := range cells {
			c := &cells[k]
			l := Learned{Team: c.team, Profile: c.profile}
			most := 0.0
			for n := range c.of {
				x := &c.of[n]
				most = max(most, x.n)
				l.Of[n] = Correction{x.n, x.q50, x.q90, x.dev}
			}
			if c.team >= -1 && most >= some {
				all = append(all, l)
			}
		}
	}
	return all
}

// Take what an earlier process learned: a small N is soon overruled.
func (b *Book) Take(all []Learned) {
	for _, l := range all {
		if l.Profile < 0 || l.Profile >= len(b.all) {
			continue
		}
		c := &b.all[l.Profile]
		if l.Team >= 0 {
			c = b.cell(l.Team, l.Profile)
		}
		for n, x := range l.Of {
			if x.N > 0 {
				c.of[n] = tracker{n: x.N, q50: x.Q50, q90: max(x.Q90, x.Q50), dev: x.Dev}
			}
		}
	}
}

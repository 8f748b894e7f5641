package admission

import "dunereach/waittime"

// This file tells the book of waits what the module expects and what came of it. Without a book it does nothing but name
// the fixed pause. Its decisions are the book's, and the arrival estimate's (brain.go).

// ghost is a refused command that is looked at again: when would it have been let in?
type ghost struct {
	record
	since, base float64
	told        waittime.Estimate
}

const (
	mostGhosts = 32   // looked at every tick, each as an arrival is
	everyGhost = 8    // of the refused, so that a burst doesn't fill them all
	ghostLife  = 15.0 // seconds: longer than any client is told to stay away
)

// pauseOf is how long a refused client should stay away.
func (b *Brain) pauseOf(r *record, p *profile) float64 {
	w := b.set.Waits
	if w == nil {
		return b.set.MaxPause / 2 // half of what clients honour: most do, and the rest spreads them
	}
	if b.now > r.took { // given up in the line: what it would wait for now is the honest answer, and it is no ghost
		start := w.Predict(waittime.Start, r.Team, r.Profile, b.waitOf(r)+b.ownPlaces(r, p))
		b.host.Told(r.ID, waittime.Return, start)
		return min(max(start.P50, waittime.MinPause), b.set.MaxPause)
	}
	base, part := b.backIn(r, p), 1.0
	if b.set.Teams != nil {
		part = b.set.Teams.ShareOf(r.Team)
	}
	alone := w.Predict(waittime.Return, r.Team, r.Profile, base)
	pause, e := w.Refuse(b.now, r.Mark, r.Team, r.Profile, base, r.cost*b.pace/max(b.places(&b.all), 1), part)
	b.host.Told(r.ID, waittime.Return, e)
	if b.refused++; b.refused%everyGhost == 0 && len(b.ghosts) < mostGhosts {
		b.ghosts = append(b.ghosts, ghost{*r, b.now, base, alone})
	}
	return pause
}

// keptFor is the room kept for clients that were told a time, for a command that comes without one.
func (b *Brain) keptFor(r *record) float64 {
	if b.set.Waits == nil || r.booked {
		return 0
	}
	return b.set.Waits.ReservedLoad(b.now)
}

// lookAgain finds when refused commands would have been let in.
func (b *Brain) lookAgain() {
	kept := b.ghosts[:0]
	for k := range b.ghosts {
		g := &b.ghosts[k]
		if in, old := b.wouldTake(g.record), b.now-g.since; in || old >= ghostLife {
			b.set.Waits.ObserveReturn(g.Team, g.Profile, g.base, g.told, old, !in)
		} else {
			kept = append(kept, *g)
		}
	}
	b.ghosts = kept
}

// wouldTake tells whether the arrival estimate would let in a command that was refused if it came now, chance aside.
func (b *Brain) wouldTake(r record) bool {
	r.ID, r.booked, r.out = 0, false, send{engine: -1}
	r.aim, r.rank = b.now+r.aim-r.took, r.price+b.set.Ageing*b.now
	r.took, r.dueBy = b.now, b.now+r.TimeLeft
	return b.inTime(&r, &b.prof[r.Profile])
}

// WouldTake tells whether the arrival estimate would let a command in now, chance aside. Nothing changes by it.
func (b *Brain) WouldTake(now float64, c Command) bool {
	b.now = now
	r := record{Command: c, took: now, worth: b.prof[c.Profile].Benefit}
	b.expect(&r, &b.prof[c.Profile])
	return b.wouldTake(r)
}

// promise tells how long a command that is held for the first time will take.
func (b *Brain) promise(i int32) {
	r := &b.cmds.rec[i]
	if b.set.Waits == nil || r.held || r.promised || r.sends > 0 {
		return
	}
	p := &b.prof[r.Profile]
	r.promised = true
	base := b.waitOf(r) + b.ownPlaces(r, p)
	start, answer := b.set.Waits.Promise(b.now, i, r.Team, r.Profile, base, b.runs(p))
	b.host.Told(r.ID, waittime.Start, start)
	b.host.Told(r.ID, waittime.Answer, answer)
}

// ownPlaces is how long the places of a command take to come free behind all that leaves before it: so many of those in
// use end in a mean time.
func (b *Brain) ownPlaces(r *record, p *profile) float64 {
	return float64(p.Threads) * max(b.stay, r.best) / max(b.places(&b.all), 1)
}

func (b *Brain) runs(p *profile) waittime.Estimate {
	return waittime.Estimate{P50: p.read.quantile(0.5), P90: p.read.quantile(0.9)}
}

// leaves tells that a command is sent: its wait is over, or there was none.
func (b *Brain) leaves(i int32, p *profile) {
	w, r := b.set.Waits, &b.cmds.rec[i]
	if w == nil || r.sends > 0 {
		return
	}
	if r.promised {
		w.Fulfilled(b.now, i, waittime.Start)
		return
	}
	r.promised = true
	_, answer := w.Promise(b.now, i, r.Team, r.Profile, -1, b.runs(p))
	b.host.Told(r.ID, waittime.Answer, answer)
}

// came tells that a command's client has its answer.
func (b *Brain) came(i int32, o *Outcome) {
	if b.set.Waits == nil {
		return
	}
	if o.End == Answered {
		b.stay += 0.02 * (o.Lag - b.stay) // over some fifty
	}
	b.set.Waits.Fulfilled(b.now, i, waittime.Answer)
}

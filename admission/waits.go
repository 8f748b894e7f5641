package admission

import "dunereach/waittime"

// This file tells the book of waits what the module expects and what came of it. Without a book it does nothing but name
// the fixed pause. Its decisions are the book's, and the arrival estimate's (brain.go).

// trackedRejection is a refused command that is looked at again: when would it have been let in?
type trackedRejection struct {
	requestState
	rejectedAt, baseWait float64
	estimated            waittime.Estimate
}

const (
	maxTracked = 32   // looked at every tick, each as an arrival is
	trackEvery = 8    // of the refused, so that a burst doesn't fill them all
	trackFor   = 15.0 // seconds: longer than any client is told to stay away
)

// retryPause is how long a refused client should stay away.
func (b *Brain) retryPause(r *requestState, p *profileState) float64 {
	w := b.settings.Waits
	if w == nil {
		return b.settings.MaxPause / 2 // half of what clients honour: most do, and the rest spreads them
	}
	if b.now > r.takenAt { // given up in the line: what it would wait for now is the honest answer, and it is no ghost
		start := w.Predict(waittime.Start, r.Team, r.Profile, b.queueWait(r)+b.slotWait(r, p))
		b.host.Told(r.ID, waittime.Return, start)
		return min(max(start.P50, waittime.MinPause), b.settings.MaxPause)
	}
	baseWait, teamShare := b.timeUntilAdmitted(r, p), 1.0
	if b.settings.Teams != nil {
		teamShare = b.settings.Teams.ShareOf(r.Team)
	}
	unadjusted := w.Predict(waittime.Return, r.Team, r.Profile, baseWait)
	pause, e := w.Refuse(b.now, r.Mark, r.Team, r.Profile, baseWait, r.cost*b.averageSlowdown/max(b.slots(&b.total), 1), teamShare)
	b.host.Told(r.ID, waittime.Return, e)
	if b.rejections++; b.rejections%trackEvery == 0 && len(b.trackedRejections) < maxTracked {
		b.trackedRejections = append(b.trackedRejections, trackedRejection{*r, b.now, baseWait, unadjusted})
	}
	return pause
}

// reservedWait is the room kept for clients that were told a time, for a command that comes without one.
func (b *Brain) reservedWait(r *requestState) float64 {
	if b.settings.Waits == nil || r.reserved {
		return 0
	}
	return b.settings.Waits.ReservedLoad(b.now)
}

// checkTrackedRejections finds when refused commands would have been let in.
func (b *Brain) checkTrackedRejections() {
	kept := b.trackedRejections[:0]
	for k := range b.trackedRejections {
		g := &b.trackedRejections[k]
		if admitted, elapsed := b.wouldAdmit(g.requestState), b.now-g.rejectedAt; admitted || elapsed >= trackFor {
			b.settings.Waits.ObserveReturn(g.Team, g.Profile, g.baseWait, g.estimated, elapsed, !admitted)
		} else {
			kept = append(kept, *g)
		}
	}
	b.trackedRejections = kept
}

// wouldAdmit tells whether the arrival estimate would let in a command that was refused if it came now, chance aside.
func (b *Brain) wouldAdmit(r requestState) bool {
	r.ID, r.reserved, r.inFlight = 0, false, attempt{server: -1}
	r.target, r.rank = b.now+r.target-r.takenAt, r.price+b.settings.Ageing*b.now
	r.takenAt, r.deadline = b.now, b.now+r.TimeLeft
	return b.estimatesMeetTargets(&r, &b.profiles[r.Profile])
}

// WouldTake tells whether the arrival estimate would let a command in now, chance aside. Nothing changes by it.
func (b *Brain) WouldTake(now float64, c Command) bool {
	b.now = now
	r := requestState{Command: c, takenAt: now, benefit: b.profiles[c.Profile].Benefit}
	b.estimate(&r, &b.profiles[c.Profile])
	return b.wouldAdmit(r)
}

// sendEstimate tells how long a command that is held for the first time will take.
func (b *Brain) sendEstimate(i int32) {
	r := &b.requests.states[i]
	if b.settings.Waits == nil || r.queued || r.estimateSent || r.attempts > 0 {
		return
	}
	p := &b.profiles[r.Profile]
	r.estimateSent = true
	baseWait := b.queueWait(r) + b.slotWait(r, p)
	start, answer := b.settings.Waits.Promise(b.now, i, r.Team, r.Profile, baseWait, b.runTime(p))
	b.host.Told(r.ID, waittime.Start, start)
	b.host.Told(r.ID, waittime.Answer, answer)
}

// slotWait is how long the places of a command take to come free behind all that leaves before it: so many of those in
// use end in a mean time.
func (b *Brain) slotWait(r *requestState, p *profileState) float64 {
	return float64(p.Threads) * max(b.meanAttemptTime, r.bestTime) / max(b.slots(&b.total), 1)
}

func (b *Brain) runTime(p *profileState) waittime.Estimate {
	return waittime.Estimate{P50: p.current.quantile(0.5), P90: p.current.quantile(0.9)}
}

// endWait tells that a command is sent: its wait is over, or there was none.
func (b *Brain) endWait(i int32, p *profileState) {
	w, r := b.settings.Waits, &b.requests.states[i]
	if w == nil || r.attempts > 0 {
		return
	}
	if r.estimateSent {
		w.Fulfilled(b.now, i, waittime.Start)
		return
	}
	r.estimateSent = true
	_, answer := w.Promise(b.now, i, r.Team, r.Profile, -1, b.runTime(p))
	b.host.Told(r.ID, waittime.Answer, answer)
}

// answerReceived tells that a command's client has its answer.
func (b *Brain) answerReceived(i int32, o *Outcome) {
	if b.settings.Waits == nil {
		return
	}
	if o.End == Answered {
		b.meanAttemptTime += 0.02 * (o.Lag - b.meanAttemptTime) // over some fifty
	}
	b.settings.Waits.Fulfilled(b.now, i, waittime.Answer)
}

package admission

import "dunereach/waittime"

// This file passes the controller's estimates, and what became of them, to the estimator of waits. Without an estimator
// it only provides the fixed retry pause. The decisions are those of the estimator, and of the estimate on arrival
// (controller.go).

// trackedRejection is a rejected request that is evaluated again, to find when it would have been admitted.
type trackedRejection struct {
	requestState
	rejectedAt, baseWait float64
	estimated            waittime.Estimate
}

const (
	maxTracked = 32   // evaluated every tick, at the cost of an arrival each
	trackEvery = 8    // one of so many rejections is tracked, so that a burst does not use up all places
	trackFor   = 15.0 // seconds: longer than any client is asked to stay away
)

// retryPause is the time that a rejected client should wait before it retries.
func (b *Controller) retryPause(r *requestState, p *profileState) float64 {
	w := b.config.Waits
	if w == nil {
		return b.config.MaxPause / 2 // half of the pause that clients honour: most do, and the others spread the retries
	}
	if b.now > r.takenAt { // given up in the queue: its estimate is the present wait, and it is not tracked
		start := w.Predict(waittime.Start, r.Team, r.Profile, b.queueWait(r)+b.slotWait(r, p))
		b.host.ReportEstimate(r.ID, waittime.RetryAdmission, start)
		return min(max(start.P50, waittime.MinPause), b.config.MaxPause)
	}
	baseWait, teamShare := b.timeUntilAdmitted(r, p), 1.0
	if b.config.Teams != nil {
		teamShare = b.config.Teams.TeamShare(r.Team)
	}
	unadjusted := w.Predict(waittime.RetryAdmission, r.Team, r.Profile, baseWait)
	pause, e := w.Reject(b.now, r.RequestKey, r.Team, r.Profile, baseWait, r.cost*b.averageSlowdown/max(b.slots(&b.total), 1), teamShare)
	b.host.ReportEstimate(r.ID, waittime.RetryAdmission, e)
	if b.rejections++; b.rejections%trackEvery == 0 && len(b.trackedRejections) < maxTracked {
		b.trackedRejections = append(b.trackedRejections, trackedRejection{*r, b.now, baseWait, unadjusted})
	}
	return pause
}

// reservedWait is the wait that capacity reserved for clients with an estimate adds for a request without a reservation.
func (b *Controller) reservedWait(r *requestState) float64 {
	if b.config.Waits == nil || r.reserved {
		return 0
	}
	return b.config.Waits.ReservedLoad(b.now)
}

// checkTrackedRejections finds out when rejected requests would have been admitted.
func (b *Controller) checkTrackedRejections() {
	kept := b.trackedRejections[:0]
	for k := range b.trackedRejections {
		g := &b.trackedRejections[k]
		if admitted, elapsed := b.wouldAdmit(g.requestState), b.now-g.rejectedAt; admitted || elapsed >= trackFor {
			b.config.Waits.ObserveRetryAdmission(g.Team, g.Profile, g.baseWait, g.estimated, elapsed, !admitted)
		} else {
			kept = append(kept, *g)
		}
	}
	b.trackedRejections = kept
}

// wouldAdmit reports whether the estimate on arrival would admit a rejected request if it arrived now, without the
// random allowance.
func (b *Controller) wouldAdmit(r requestState) bool {
	r.ID, r.reserved, r.inFlight = 0, false, attempt{server: -1}
	r.target, r.rank = b.now+r.target-r.takenAt, r.price+b.config.Ageing*b.now
	r.takenAt, r.deadline = b.now, b.now+r.TimeLeft
	return b.estimatesMeetTargets(&r, &b.profiles[r.Profile])
}

// WouldAdmit reports whether the estimate on arrival would admit a request now, without the random allowance. It
// changes no state.
func (b *Controller) WouldAdmit(now float64, c Request) bool {
	b.now = now
	r := requestState{Request: c, takenAt: now, benefit: b.profiles[c.Profile].Benefit}
	b.estimate(&r, &b.profiles[c.Profile])
	return b.wouldAdmit(r)
}

// sendEstimate reports the expected times of a request that is queued for the first time.
func (b *Controller) sendEstimate(i int32) {
	r := &b.requests.states[i]
	if b.config.Waits == nil || r.queued || r.estimateSent || r.attempts > 0 {
		return
	}
	p := &b.profiles[r.Profile]
	r.estimateSent = true
	baseWait := b.queueWait(r) + b.slotWait(r, p)
	start, answer := b.config.Waits.TrackRequest(b.now, i, r.Team, r.Profile, baseWait, b.runTime(p))
	b.host.ReportEstimate(r.ID, waittime.Start, start)
	b.host.ReportEstimate(r.ID, waittime.Completion, answer)
}

// slotWait is the time until slots come free for a request after all requests that leave before it: the slots in use
// become free within the mean duration of an attempt.
func (b *Controller) slotWait(r *requestState, p *profileState) float64 {
	return float64(p.Threads) * max(b.meanAttemptTime, r.bestTime) / max(b.slots(&b.total), 1)
}

func (b *Controller) runTime(p *profileState) waittime.Estimate {
	return waittime.Estimate{P50: p.current.quantile(0.5), P90: p.current.quantile(0.9)}
}

// endWait reports that an attempt of the request starts: its wait is over, or there was none.
func (b *Controller) endWait(i int32, p *profileState) {
	w, r := b.config.Waits, &b.requests.states[i]
	if w == nil || r.attempts > 0 {
		return
	}
	if r.estimateSent {
		w.Occurred(b.now, i, waittime.Start)
		return
	}
	r.estimateSent = true
	_, answer := w.TrackRequest(b.now, i, r.Team, r.Profile, -1, b.runTime(p))
	b.host.ReportEstimate(r.ID, waittime.Completion, answer)
}

// answerReceived reports that a client has its answer.
func (b *Controller) answerReceived(i int32, o *Outcome) {
	if b.config.Waits == nil {
		return
	}
	if o.End == Completed {
		b.meanAttemptTime += 0.02 * (o.Latency - b.meanAttemptTime) // averaged over about fifty answers
	}
	b.config.Waits.Occurred(b.now, i, waittime.Completion)
}

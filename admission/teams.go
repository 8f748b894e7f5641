package admission

// This file reports queued requests and the start and end of attempts to the teams, and carries out their decisions. It
// decides nothing; without teams it only maintains the queue.

func (b *Controller) enqueue(i int32) {
	b.sendEstimate(i)
	b.requests.enqueue(i)
	if t := b.config.Teams; t != nil {
		r := &b.requests.states[i]
		p := &b.profiles[r.Profile]
		t.Enqueue(b.now, i, r.Team, r.rank, r.cost, float64(p.Threads), r.target-r.bestTime*max(1, p.slowdown))
		if !b.hasUsableServer(r, p) {
			t.MarkUnplaceable(i)
		}
	}
}

func (b *Controller) dequeue(i int32) {
	b.requests.dequeue(i)
	if t := b.config.Teams; t != nil {
		t.Dequeue(i)
	}
}

// mayStart reports whether it is the request's turn, and its team's ceiling allows it.
func (b *Controller) mayStart(r *requestState) bool {
	if b.config.Teams == nil {
		return true
	}
	i, ok := b.requests.at[r.ID]
	if !ok { // not a request in the set, but a copy that is evaluated again
		i = -1
	}
	return b.config.Teams.MayStart(b.now, i, r.Team)
}

// hasUsableServer reports whether some server would accept the request if it had free slots.
func (b *Controller) hasUsableServer(r *requestState, p *profileState) bool {
	if b.keyed(r) && b.requests.states[b.requests.byKey[r.Key].head].ID != r.ID {
		return false // another request of its key goes first
	}
	for k := range b.servers {
		if e := &b.servers[k]; b.placementAllowed(r, p, e) && !e.unhealthy && b.now >= e.fullUntil {
			return true
		}
	}
	return false
}

func (b *Controller) chargeTeam(i int32, mayBeLowered bool) {
	if t := b.config.Teams; t != nil {
		r := &b.requests.states[i]
		t.AttemptStarted(b.now, i, r.Team, r.cost, r.threads, mayBeLowered)
	}
}

// settleTeam reports the work of an ended attempt: none if it never ran, the measured work if it was reported, and the
// expected work if the attempt ran or may still be running on the server.
func (b *Controller) settleTeam(i int32, o *Outcome) {
	t := b.config.Teams
	if t == nil {
		return
	}
	r := &b.requests.states[i]
	work := -1.0
	switch {
	case o.End == Completed && o.Work > 0:
		work = o.Work
	case o.End.NeverRan():
		work = 0
	case o.End == Cancelled && b.config.Cancels: // it has stopped, and can't have used more than its threads
		work = min(r.cost, o.Latency*float64(b.profiles[r.Profile].Threads))
	}
	t.AttemptEnded(b.now, i, work)
}

// applyPriorityChanges carries out changes of priority. An attempt that is lowered by a level has a quarter of the
// share (levels are 1 : 4 : 8 : 16) and counts as a quarter of its threads, so that the requests that it makes way for
// find slots.
func (b *Controller) applyPriorityChanges() {
	t := b.config.Teams
	if t == nil {
		return
	}
	for _, c := range t.Tick(b.now, b.total.cores*b.share) {
		r := &b.requests.states[c.Slot]
		if r.inFlight.server < 0 {
			continue
		}
		previous, step := r.threads, 1
		if r.threads *= 4; c.Lowered {
			r.threads, step = previous/4, -1
		}
		r.priority += step
		if !r.inFlight.presumedLost {
			b.servers[r.inFlight.server].addThreads(r.short, r.threads-previous)
		}
		b.host.Priority(r.ID, r.priority, 0)
	}
}

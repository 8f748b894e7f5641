package admission

// This file tells the teams what is held, sent and ended and carries out what they decide. It decides nothing; without
// teams it does nothing but keep the held line.

func (b *Brain) enqueue(i int32) {
	b.sendEstimate(i)
	b.requests.enqueue(i)
	if t := b.settings.Teams; t != nil {
		r := &b.requests.states[i]
		p := &b.profiles[r.Profile]
		t.Enqueue(b.now, i, r.Team, r.rank, r.cost, float64(p.Threads), r.target-r.bestTime*max(1, p.slowdown))
		if !b.hasUsableServer(r, p) {
			t.MarkUnplaceable(i)
		}
	}
}

func (b *Brain) dequeue(i int32) {
	b.requests.dequeue(i)
	if t := b.settings.Teams; t != nil {
		t.Dequeue(i)
	}
}

// mayStart tells whether it is the command's turn, and its team's ceiling allows it.
func (b *Brain) mayStart(r *requestState) bool {
	if b.settings.Teams == nil {
		return true
	}
	i, ok := b.requests.at[r.ID]
	if !ok { // one that is only looked at again
		i = -1
	}
	return b.settings.Teams.MayStart(b.now, i, r.Team)
}

// hasUsableServer tells whether some engine would take the command if it had places.
func (b *Brain) hasUsableServer(r *requestState, p *profileState) bool {
	if b.isOrdered(r) && b.requests.states[b.requests.byKey[r.Key].head].ID != r.ID {
		return false // another of its key goes first
	}
	for k := range b.servers {
		if e := &b.servers[k]; b.placementAllowed(r, p, e) && !e.unhealthy && b.now >= e.fullUntil {
			return true
		}
	}
	return false
}

func (b *Brain) chargeTeam(i int32, mayBeLowered bool) {
	if t := b.settings.Teams; t != nil {
		r := &b.requests.states[i]
		t.AttemptStarted(b.now, i, r.Team, r.cost, r.threads, mayBeLowered)
	}
}

// settleTeam tells what a send took: nothing where it never ran, what was told where it was, and what was expected where it
// ran or may go on at the engine.
func (b *Brain) settleTeam(i int32, o *Outcome) {
	t := b.settings.Teams
	if t == nil {
		return
	}
	r := &b.requests.states[i]
	work := -1.0
	switch {
	case o.End == Answered && o.Work > 0:
		work = o.Work
	case o.End.NeverRan():
		work = 0
	case o.End == Cancelled && b.settings.Cancels: // it has stopped, and can't have had more than its threads
		work = min(r.cost, o.Lag*float64(b.profiles[r.Profile].Threads))
	}
	t.AttemptEnded(b.now, i, work)
}

// applyPriorityChanges carries out the changes of levels. A send that is a level down has a quarter of the share (levels are 1 : 4
// : 8 : 16) and counts as that much of its threads, so that what it stepped back for finds a place.
func (b *Brain) applyPriorityChanges() {
	t := b.settings.Teams
	if t == nil {
		return
	}
	for _, c := range t.Tick(b.now, b.total.cores*b.share) {
		r := &b.requests.states[c.At]
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

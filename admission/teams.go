package admission

// This file tells the teams what is held, sent and ended and carries out what they decide. It decides nothing; without
// teams it does nothing but keep the held line.

func (b *Brain) hold(i int32) {
	b.promise(i)
	b.cmds.hold(i)
	if t := b.set.Teams; t != nil {
		r := &b.cmds.rec[i]
		p := &b.prof[r.Profile]
		t.Enqueue(b.now, i, r.Team, r.rank, r.cost, float64(p.Threads), r.aim-r.best*max(1, p.slow))
		if !b.usable(r, p) {
			t.MarkUnplaceable(i)
		}
	}
}

func (b *Brain) unhold(i int32) {
	b.cmds.unhold(i)
	if t := b.set.Teams; t != nil {
		t.Dequeue(i)
	}
}

// may tells whether it is the command's turn, and its team's ceiling allows it.
func (b *Brain) may(r *record) bool {
	if b.set.Teams == nil {
		return true
	}
	i, ok := b.cmds.at[r.ID]
	if !ok { // one that is only looked at again
		i = -1
	}
	return b.set.Teams.MayStart(b.now, i, r.Team)
}

// usable tells whether some engine would take the command if it had places.
func (b *Brain) usable(r *record, p *profile) bool {
	if b.inOrder(r) && b.cmds.rec[b.cmds.keys[r.Key].head].ID != r.ID {
		return false // another of its key goes first
	}
	for k := range b.engines {
		if e := &b.engines[k]; b.allowed(r, p, e) && !e.ill && b.now >= e.fullTo {
			return true
		}
	}
	return false
}

func (b *Brain) charge(i int32, bends bool) {
	if t := b.set.Teams; t != nil {
		r := &b.cmds.rec[i]
		t.AttemptStarted(b.now, i, r.Team, r.cost, r.takes, bends)
	}
}

// settled tells what a send took: nothing where it never ran, what was told where it was, and what was expected where it
// ran or may go on at the engine.
func (b *Brain) settled(i int32, o *Outcome) {
	t := b.set.Teams
	if t == nil {
		return
	}
	r := &b.cmds.rec[i]
	work := -1.0
	switch {
	case o.End == Answered && o.Work > 0:
		work = o.Work
	case o.End.NeverRan():
		work = 0
	case o.End == Cancelled && b.set.Cancels: // it has stopped, and can't have had more than its threads
		work = min(r.cost, o.Lag*float64(b.prof[r.Profile].Threads))
	}
	t.AttemptEnded(b.now, i, work)
}

// turnLevels carries out the changes of levels. A send that is a level down has a quarter of the share (levels are 1 : 4
// : 8 : 16) and counts as that much of its threads, so that what it stepped back for finds a place.
func (b *Brain) turnLevels() {
	t := b.set.Teams
	if t == nil {
		return
	}
	for _, c := range t.Tick(b.now, b.all.cores*b.share) {
		r := &b.cmds.rec[c.At]
		if r.out.engine < 0 {
			continue
		}
		was, by := r.takes, 1
		if r.takes *= 4; c.Lowered {
			r.takes, by = was/4, -1
		}
		r.level += by
		if !r.out.lost {
			b.engines[r.out.engine].load(r.short, r.takes-was)
		}
		b.host.Priority(r.ID, r.level, 0)
	}
}

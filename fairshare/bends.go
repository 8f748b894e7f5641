package fairshare

// This file lowers and raises the levels of sends that run.

// Tick keeps time: it refills floors and ceilings, and gives the changes of levels to make now. capacity is the work that
// this router's part of the pool can do, core seconds a second. The list is good until the next call.
func (t *Tree) Tick(now, capacity float64) []Change {
	gone := max(now-t.ticked, 0)
	t.now, t.ticked, t.capacity = now, now, max(capacity, 1e-3)
	t.refill(gone)
	t.changes = t.changes[:0]
	if t.tokens = min(t.tokens+gone*t.spec.Changes, max(t.spec.Changes/4, 1)); t.spec.Changes == 0 {
		t.tokens = 0
	}
	for k := 0; k < len(t.outs); k++ {
		if a := &t.acct[t.outs[k]]; a.raise {
			a.raise = false
			t.bend(t.outs[k], false)
		}
	}
	t.lower()
	return t.changes
}

// crowds is the share of all running threads that a team has over its part of the pool.
func (t *Tree) crowds(team int) float64 {
	i := t.leaf(team)
	return t.nodes[i].threads/max(t.threads, 1) - t.part(i)
}

// lower has running sends of teams over their budgets step back for one inside its that waits, and raises them again
// when none has waited for a while.
func (t *Tree) lower() {
	const (
		patience  = 0.5 // of the time that a held command has: its turn will not come by ends alone
		calm      = 1.0 // seconds: longer than short commands run, so that one wave is one change there and one back
		done      = 0.7 // a send this far is over before it matters
		far       = 0.1 // of all threads that a team has over its part: no chance, and worth the harm
		mostBent  = 0.1 // of the threads: lowered ones still run, crowd the cores and may come too late
		mostTimes = 1   // a send goes down
	)
	if h := t.watch(); h >= 0 {
		a := &t.acct[h]
		if t.now >= a.since+patience*(a.due-a.since) && t.now >= a.stuck && t.Inside(a.team) && t.crowds(a.team) < 0 {
			t.pressed = t.now
			for freed := 0.0; freed < a.threads && t.tokens >= 1 && t.bent < t.threads*mostBent; {
				best, least := int32(-1), 0.0
				for _, at := range t.outs {
					b := &t.acct[at]
					if !b.bends || b.lowered || b.share >= done || b.bent >= mostTimes {
						continue
					}
					if over := t.crowds(b.team); over > max(least, far) {
						best, least = at, over
					}
				}
				if best < 0 {
					break
				}
				freed += t.acct[best].threads
				t.bend(best, true)
			}
			return
		}
	}
	if t.now-t.pressed < calm || t.bent == 0 {
		return
	}
	for k := 0; k < len(t.outs) && t.tokens >= 1; k++ {
		if t.acct[t.outs[k]].lowered {
			t.bend(t.outs[k], false)
		}
	}
}

func (t *Tree) bend(at int32, down bool) {
	a := &t.acct[at]
	t.tokens--
	if a.lowered = down; down {
		a.bent++
		t.bent += a.threads
	} else {
		t.bent -= a.threads
	}
	t.changes = append(t.changes, Change{at, down})
}

// refill gives floors and ceilings what the time since the last brings, up to their burst.
func (t *Tree) refill(gone float64) {
	for _, i := range t.metered {
		n := &t.nodes[i]
		if rate := n.Floor * t.capacity; rate > 0 {
			n.floorLeft = min(max(n.floorLeft, -longestDebt*rate)+rate*gone, max(n.Burst, rate))
			t.move(i)
		}
		if rate := n.Ceiling * t.capacity; rate > 0 {
			n.ceilLeft = min(max(n.ceilLeft, -longestDebt*rate)+rate*gone, max(n.Burst, rate))
		}
	}
}

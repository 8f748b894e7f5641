package fairshare

// This file lowers and restores the priorities of running attempts.

// Tick advances time: it refills floors and ceilings and returns the changes of priorities to make now. capacity is the work that
// this router's share of the pool can do, core seconds per second. The list is valid until the next call.
func (t *Tree) Tick(now, capacity float64) []PriorityChange {
	elapsed := max(now-t.lastTick, 0)
	t.now, t.lastTick, t.capacity = now, now, max(capacity, 1e-3)
	t.refill(elapsed)
	t.changes = t.changes[:0]
	if t.tokens = min(t.tokens+elapsed*t.spec.Changes, max(t.spec.Changes/4, 1)); t.spec.Changes == 0 {
		t.tokens = 0
	}
	for k := 0; k < len(t.running); k++ {
		if a := &t.entries[t.running[k]]; a.restore {
			a.restore = false
			t.changePriority(t.running[k], false)
		}
	}
	t.adjustPriorities()
	return t.changes
}

// excessThreads returns by how much a team's fraction of all running threads exceeds its share of the pool.
func (t *Tree) excessThreads(team int) float64 {
	i := t.leaf(team)
	return t.nodes[i].threads/max(t.threads, 1) - t.share(i)
}

// adjustPriorities lowers running attempts of teams over their share for a queued request of a team within its own, and restores
// them when none has waited too long for a while.
func (t *Tree) adjustPriorities() {
	const (
		patience    = 0.5 // of a request's time in the queue: attempts that end will not make room in time
		calm        = 1.0 // seconds: longer than short requests run, so that a wave of them causes one change and one back
		done        = 0.7 // of an attempt: it ends before a change matters
		far         = 0.1 // of all threads that a team has over its share: not by chance, and worth the cost
		mostLowered = 0.1 // of the threads: lowered attempts still run, use cores and may miss their targets
		mostTimes   = 1   // that an attempt is lowered
	)
	if h := t.trackHead(); h >= 0 {
		a := &t.entries[h]
		if t.now >= a.queuedAt+patience*(a.latestStart-a.queuedAt) && t.now >= a.unplaceableUntil && t.WithinShare(a.team) && t.excessThreads(a.team) < 0 {
			t.lastPressure = t.now
			for freed := 0.0; freed < a.threads && t.tokens >= 1 && t.loweredThreads < t.threads*mostLowered; {
				best, least := int32(-1), 0.0
				for _, at := range t.running {
					b := &t.entries[at]
					if !b.adjustable || b.lowered || b.progress >= done || b.timesLowered >= mostTimes {
						continue
					}
					if over := t.excessThreads(b.team); over > max(least, far) {
						best, least = at, over
					}
				}
				if best < 0 {
					break
				}
				freed += t.entries[best].threads
				t.changePriority(best, true)
			}
			return
		}
	}
	if t.now-t.lastPressure < calm || t.loweredThreads == 0 {
		return
	}
	for k := 0; k < len(t.running) && t.tokens >= 1; k++ {
		if t.entries[t.running[k]].lowered {
			t.changePriority(t.running[k], false)
		}
	}
}

// changePriority lowers or restores the priority of one attempt.
func (t *Tree) changePriority(at int32, down bool) {
	a := &t.entries[at]
	t.tokens--
	if a.lowered = down; down {
		a.timesLowered++
		t.loweredThreads += a.threads
	} else {
		t.loweredThreads -= a.threads
	}
	t.changes = append(t.changes, PriorityChange{at, down})
}

// refill gives floors and ceilings what the elapsed time brings, up to their burst.
func (t *Tree) refill(elapsed float64) {
	for _, i := range t.limited {
		n := &t.nodes[i]
		if rate := n.Floor * t.capacity; rate > 0 {
			n.floorLeft = min(max(n.floorLeft, -longestDebt*rate)+rate*elapsed, max(n.Burst, rate))
			t.reorder(i)
		}
		if rate := n.Ceiling * t.capacity; rate > 0 {
			n.ceilLeft = min(max(n.ceilLeft, -longestDebt*rate)+rate*elapsed, max(n.Burst, rate))
		}
	}
}

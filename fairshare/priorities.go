package fairshare

// This file lowers and restores the priorities of running attempts.

// Tick advances the time, refills floors and ceilings, and returns the priority changes to make now. capacity is the
// work that this router's share of the pool can do, in core seconds per second. The returned slice is valid until the
// next call.
func (t *Tree) Tick(now, capacity float64) []PriorityChange {
	elapsed := max(now-t.lastTick, 0)
	t.now, t.lastTick, t.capacity = now, now, max(capacity, 1e-3)
	t.refill(elapsed)
	t.changes = t.changes[:0]
	if t.tokens = min(t.tokens+elapsed*t.spec.MaxPriorityChanges, max(t.spec.MaxPriorityChanges/4, 1)); t.spec.MaxPriorityChanges == 0 {
		t.tokens = 0
	}
	for k := 0; k < len(t.running); k++ {
		if e := &t.entries[t.running[k]]; e.restoreAtTick {
			e.restoreAtTick = false
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

// adjustPriorities lowers running attempts of teams over their share if a request of a team within its share has waited
// too long. Once no such request has waited for restoreDelay, it restores the priorities.
func (t *Tree) adjustPriorities() {
	const (
		minWaitFraction    = 0.5 // of a request's time in the queue; after that, ending attempts will not free threads in time
		restoreDelay       = 1.0 // seconds; longer than short requests run, so that a wave of them causes one change and one restore
		maxProgress        = 0.7 // completed fraction of an attempt; beyond it, the attempt ends before a change has an effect
		minExcess          = 0.1 // of all threads that a team has over its share; less may be chance and is not worth the cost
		maxLoweredFraction = 0.1 // of all threads; lowered attempts still run, use cores and may miss their latency targets
		maxTimesLowered    = 1   // per attempt
	)
	if head := t.trackHead(); head >= 0 {
		e := &t.entries[head]
		if t.now >= e.queuedAt+minWaitFraction*(e.latestStart-e.queuedAt) && t.now >= e.unplaceableUntil && t.WithinShare(e.team) && t.excessThreads(e.team) < 0 {
			t.lastPressureAt = t.now
			for freed := 0.0; freed < e.threads && t.tokens >= 1 && t.loweredThreads < t.threads*maxLoweredFraction; {
				best, bestExcess := int32(-1), 0.0
				for _, slot := range t.running {
					candidate := &t.entries[slot]
					if !candidate.adjustable || candidate.lowered || candidate.progress >= maxProgress || candidate.timesLowered >= maxTimesLowered {
						continue
					}
					if excess := t.excessThreads(candidate.team); excess > max(bestExcess, minExcess) {
						best, bestExcess = slot, excess
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
	if t.now-t.lastPressureAt < restoreDelay || t.loweredThreads == 0 {
		return
	}
	for k := 0; k < len(t.running) && t.tokens >= 1; k++ {
		if t.entries[t.running[k]].lowered {
			t.changePriority(t.running[k], false)
		}
	}
}

// changePriority lowers or restores the priority of one attempt.
func (t *Tree) changePriority(slot int32, lower bool) {
	e := &t.entries[slot]
	t.tokens--
	if e.lowered = lower; lower {
		e.timesLowered++
		t.loweredThreads += e.threads
	} else {
		t.loweredThreads -= e.threads
	}
	t.changes = append(t.changes, PriorityChange{slot, lower})
}

// refill adds the work of the elapsed time to floors and ceilings, up to their burst.
func (t *Tree) refill(elapsed float64) {
	for _, i := range t.limitedNodes {
		n := &t.nodes[i]
		if rate := n.Floor * t.capacity; rate > 0 {
			n.floorLeft = min(max(n.floorLeft, -maxDebtSeconds*rate)+rate*elapsed, max(n.Burst, rate))
			t.reorder(i)
		}
		if rate := n.Ceiling * t.capacity; rate > 0 {
			n.ceilingLeft = min(max(n.ceilingLeft, -maxDebtSeconds*rate)+rate*elapsed, max(n.Burst, rate))
		}
	}
}

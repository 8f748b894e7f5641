package fairshare

// This file holds the queues of requests and the running attempts.

import (
	"math"
	"slices"
)

// Enqueue queues the request in a slot. It does nothing if the request is already queued. rank is the order within the
// team, lowest first; work is the expected work in core seconds; startBy is the latest time to start the request.
func (t *Tree) Enqueue(now float64, slot int32, team int, rank, work, threads, startBy float64) {
	t.now = now
	e := t.entryOf(slot)
	if e.queued {
		return
	}
	*e = entry{team: team, rank: rank, work: work, threads: threads, queuedAt: now, latestStart: startBy, queued: true}
	t.insert(slot)
}

// insert puts an entry into its team's queue.
func (t *Tree) insert(slot int32) {
	e := &t.entries[slot]
	leaf := t.leaf(e.team)
	t.addInUse(leaf, 1)
	n := &t.nodes[leaf]
	k, _ := slices.BinarySearchFunc(n.queue, e.rank, func(other int32, rank float64) int {
		if t.entries[other].rank > rank {
			return 1
		}
		return -1 // after requests of equal rank
	})
	n.queue = slices.Insert(n.queue, k, slot)
	t.addQueued(leaf, 1, e.work)
}

// addQueued adds count requests and their work to the queued totals of a leaf and of all its ancestors.
func (t *Tree) addQueued(leaf int32, count int, work float64) {
	for i := leaf; ; i = t.nodes[i].parent {
		n := &t.nodes[i]
		if n.queued += count; n.queued == 0 {
			n.queuedWork = 0
		} else {
			n.queuedWork += work
		}
		if i == t.root {
			return
		}
		p := &t.nodes[n.parent]
		switch {
		case n.queued > 0 && n.activeIndex < 0:
			n.activeIndex = int32(len(p.active))
			p.active = append(p.active, i)
			t.reorder(i)
		case n.queued == 0 && n.activeIndex >= 0:
			for k := n.activeIndex; k+1 < int32(len(p.active)); k++ {
				p.active[k] = p.active[k+1]
				t.nodes[p.active[k]].activeIndex = k
			}
			p.active, n.activeIndex = p.active[:len(p.active)-1], -1
		}
	}
}

// Dequeue removes a request from its queue. It does nothing if the request is not queued.
func (t *Tree) Dequeue(slot int32) {
	if int(slot) >= len(t.entries) || !t.entries[slot].queued {
		return
	}
	e := &t.entries[slot]
	e.queued = false
	leaf := t.leaf(e.team)
	n := &t.nodes[leaf]
	k := slices.Index(n.queue, slot)
	n.queue = slices.Delete(n.queue, k, k+1)
	t.addQueued(leaf, -1, -e.work)
	t.addInUse(leaf, -1)
}

// StartWalk starts a walk over the queued requests in the current order. Attempts that start during the walk change the
// rest of it.
func (t *Tree) StartWalk(now float64) {
	t.now = now
	t.walkNumber++
}

// Next returns the slot of the walk's next request, or -1. The result stays the same until that request is started or
// skipped.
func (t *Tree) Next() int32 { return t.next(t.root) }

// next returns the walk's next request in the subtree of a node.
func (t *Tree) next(i int32) int32 {
	n := &t.nodes[i]
	if n.walkNumber != t.walkNumber {
		n.walkNumber, n.walkPosition = t.walkNumber, 0
	}
	if n.isLeaf {
		if n.walkPosition < len(n.queue) {
			return n.queue[n.walkPosition]
		}
		return -1
	}
	// Nodes before walkPosition have no more requests in this walk. This stays true, as a node whose request starts
	// only moves back.
	for ; n.walkPosition < len(n.active); n.walkPosition++ {
		if child := n.active[n.walkPosition]; !t.atCeiling(child) {
			if slot := t.next(child); slot >= 0 {
				return slot
			}
		}
	}
	return -1
}

// Skip advances the walk past a request that no server has enough free threads for.
func (t *Tree) Skip(slot int32) {
	if e := &t.entries[slot]; e.queued {
		t.nodes[t.leaf(e.team)].walkPosition++
	}
}

// atCeiling reports whether a node has used up the work that its ceiling allows.
func (t *Tree) atCeiling(i int32) bool { return t.nodes[i].Ceiling > 0 && t.nodes[i].ceilingLeft <= 0 }

// head returns the first request of the order in the subtree of a node, or -1.
func (t *Tree) head(i int32) int32 {
	n := &t.nodes[i]
	if n.isLeaf {
		return n.queue[0]
	}
	for _, child := range n.active {
		if !t.atCeiling(child) {
			if slot := t.head(child); slot >= 0 {
				return slot
			}
		}
	}
	return -1
}

// WorkQueuedBefore returns the queued work, in core seconds, that would start before a request of the given team and
// rank.
func (t *Tree) WorkQueuedBefore(team int, rank float64) float64 {
	i := t.leaf(team)
	total := 0.0
	for _, slot := range t.nodes[i].queue {
		if t.entries[slot].rank > rank {
			break
		}
		total += t.entries[slot].work
	}
	for ; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		ownTime := n.virtualTime
		if n.inUse == 0 {
			ownTime = max(ownTime, meanVirtualTime(p)-t.burstAllowance(i))
		}
		finishTime, ownWork := ownTime+total/n.Weight, total
		for _, sibling := range p.active {
			if sibling == i {
				continue
			}
			// A sibling's work starts earlier as long as its virtual time is lower, or as far as its floor reaches.
			s := &t.nodes[sibling]
			workBefore := (finishTime - s.virtualTime) * s.Weight
			if s.Floor > 0 {
				workBefore = max(workBefore, s.floorLeft)
			}
			if n.Floor > 0 && ownWork < n.floorLeft {
				workBefore = 0
			}
			total += min(max(workBefore, 0), s.queuedWork)
		}
	}
	return total
}

// AttemptStarted charges an attempt's expected work, in core seconds, to its team. adjustable reports whether the
// attempt's priority can be lowered.
func (t *Tree) AttemptStarted(now float64, slot int32, team int, work, threads float64, adjustable bool) {
	t.now = now
	e := t.entryOf(slot)
	*e = entry{team: team, work: work, chargedWork: work, threads: threads, running: true, adjustable: adjustable, runningIndex: int32(len(t.running))}
	t.running = append(t.running, slot)
	t.threads += threads
	leaf := t.leaf(team)
	t.nodes[leaf].threads += threads
	t.addInUse(leaf, 1)
	t.charge(leaf, work, true)
	if t.headState.slot == slot {
		t.headState = headState{slot: -1}
	} else {
		t.headState.bypassedWork += work
	}
}

// AttemptEnded replaces the charge for the expected work by the actual work of the attempt. Negative work means that it
// is unknown, or that the attempt may still run on a server; the charge then stays.
func (t *Tree) AttemptEnded(now float64, slot int32, work float64) {
	t.now = now
	if int(slot) >= len(t.entries) || !t.entries[slot].running {
		return
	}
	e := &t.entries[slot]
	e.running = false
	last := len(t.running) - 1
	t.running[e.runningIndex] = t.running[last]
	t.entries[t.running[last]].runningIndex = e.runningIndex
	t.running = t.running[:last]
	if t.threads -= e.threads; last == 0 {
		t.threads = 0
	}
	if e.lowered {
		t.loweredThreads -= e.threads
	}
	leaf := t.leaf(e.team)
	if n := &t.nodes[leaf]; n.inUse == 1 {
		n.threads = 0
	} else {
		n.threads -= e.threads
	}
	if work >= 0 {
		t.charge(leaf, work-e.chargedWork, false)
	}
	t.addInUse(leaf, -1)
}

// ReportProgress records the progress of a running attempt: the completed fraction, and whether it spills to disk.
func (t *Tree) ReportProgress(slot int32, fraction float64, spills bool) {
	if int(slot) >= len(t.entries) || !t.entries[slot].running {
		return
	}
	e := &t.entries[slot]
	e.progress = max(e.progress, fraction)
	if spills && t.spec.ProtectSpilling { // a slower attempt holds its memory for longer
		e.adjustable = false
		e.restoreAtTick = e.lowered
	}
}

// WithinShare reports whether a team has recently had no more than its share, at every level of the tree.
func (t *Tree) WithinShare(team int) bool {
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		if n := &t.nodes[i]; n.virtualTime > meanVirtualTime(&t.nodes[n.parent])+1e-9*max(1, math.Abs(n.virtualTime)) && !(n.Floor > 0 && n.floorLeft > 0) {
			return false
		}
	}
	return true
}

// excess returns how far a team exceeds its share and burst, in seconds of full use, or 0.
func (t *Tree) excess(team int) (largest float64) {
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		largest = max(largest, (n.virtualTime-meanVirtualTime(&t.nodes[n.parent])-t.burstAllowance(i))/t.virtualTimePerSecond(n.parent))
	}
	return largest
}

// TeamShare returns a team's share of the pool among the teams that are in use now.
func (t *Tree) TeamShare(team int) float64 { return t.share(t.leaf(team)) }

// QueuedRequests returns the number of a team's queued requests.
func (t *Tree) QueuedRequests(team int) int { return t.nodes[t.leaf(team)].queued }

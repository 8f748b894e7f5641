package fairshare

// This file keeps the queued requests and the running attempts.

import (
	"math"
	"slices"
)

// Enqueue queues the request in a slot, or does nothing if it is queued. rank is its order within its team, lowest first; work in
// core seconds; due the latest time to start it.
func (t *Tree) Enqueue(now float64, at int32, team int, rank, work, threads, due float64) {
	t.now = now
	a := t.account(at)
	if a.queued {
		return
	}
	*a = entry{team: team, rank: rank, work: work, threads: threads, queuedAt: now, latestStart: due, queued: true}
	t.insert(at)
}

// insert puts an entry into its team's queue.
func (t *Tree) insert(at int32) {
	a := &t.entries[at]
	leaf := t.leaf(a.team)
	t.addInUse(leaf, 1)
	n := &t.nodes[leaf]
	k, _ := slices.BinarySearchFunc(n.queue, a.rank, func(x int32, rank float64) int {
		if t.entries[x].rank > rank {
			return 1
		}
		return -1 // behind those of its rank
	})
	n.queue = slices.Insert(n.queue, k, at)
	t.addQueued(leaf, 1, a.work)
}

// addQueued adds to what is queued at a leaf and at all above it.
func (t *Tree) addQueued(leaf int32, by int, work float64) {
	for i := leaf; ; i = t.nodes[i].parent {
		n := &t.nodes[i]
		if n.queued += by; n.queued == 0 {
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

// Dequeue removes a request from its queue, or does nothing if it is not queued.
func (t *Tree) Dequeue(at int32) {
	if int(at) >= len(t.entries) || !t.entries[at].queued {
		return
	}
	a := &t.entries[at]
	a.queued = false
	leaf := t.leaf(a.team)
	n := &t.nodes[leaf]
	k := slices.Index(n.queue, at)
	n.queue = slices.Delete(n.queue, k, k+1)
	t.addQueued(leaf, -1, -a.work)
	t.addInUse(leaf, -1)
}

// StartWalk starts a walk over the queued requests in the present order; attempts that start during the walk change what follows.
func (t *Tree) StartWalk(now float64) {
	t.now = now
	t.walk++
}

// Next returns the slot of the walk's next request, or -1. It stays the same until that request is started or skipped.
func (t *Tree) Next() int32 { return t.next(t.root) }

// next returns the walk's next request at or below a node.
func (t *Tree) next(i int32) int32 {
	n := &t.nodes[i]
	if n.walk != t.walk {
		n.walk, n.walkPosition = t.walk, 0
	}
	if n.leaf {
		if n.walkPosition < len(n.queue) {
			return n.queue[n.walkPosition]
		}
		return -1
	}
	// All before walkPosition have nothing more in this walk. One whose request starts only moves back, so that stays true.
	for ; n.walkPosition < len(n.active); n.walkPosition++ {
		if k := n.active[n.walkPosition]; !t.atCeiling(k) {
			if at := t.next(k); at >= 0 {
				return at
			}
		}
	}
	return -1
}

// Skip makes the walk go past a request that no server has free threads for.
func (t *Tree) Skip(at int32) {
	if a := &t.entries[at]; a.queued {
		t.nodes[t.leaf(a.team)].walkPosition++
	}
}

// atCeiling reports whether a node has used up what its ceiling allows.
func (t *Tree) atCeiling(i int32) bool { return t.nodes[i].Ceiling > 0 && t.nodes[i].ceilLeft <= 0 }

// head returns the first request in the order at or below a node, or -1.
func (t *Tree) head(i int32) int32 {
	n := &t.nodes[i]
	if n.leaf {
		return n.queue[0]
	}
	for _, k := range n.active {
		if !t.atCeiling(k) {
			if at := t.head(k); at >= 0 {
				return at
			}
		}
	}
	return -1
}

// Ahead returns the queued work, in core seconds, that would start before a request of this team and rank.
func (t *Tree) Ahead(team int, rank float64) float64 {
	i := t.leaf(team)
	a := 0.0
	for _, h := range t.nodes[i].queue {
		if t.entries[h].rank > rank {
			break
		}
		a += t.entries[h].work
	}
	for ; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		v := n.virtualTime
		if n.inUse == 0 {
			v = max(v, mean(p)-t.slack(i))
		}
		until, own := v+a/n.Weight, a
		for _, k := range p.active {
			if k == i {
				continue
			}
			// A sibling's work starts before while its virtual time is less, and as far as its floor goes.
			s := &t.nodes[k]
			before := (until - s.virtualTime) * s.Weight
			if s.Floor > 0 {
				before = max(before, s.floorLeft)
			}
			if n.Floor > 0 && own < n.floorLeft {
				before = 0
			}
			a += min(max(before, 0), s.queuedWork)
		}
	}
	return a
}

// AttemptStarted charges an attempt's expected work, in core seconds, to its team. adjustable tells that its priority could be
// lowered.
func (t *Tree) AttemptStarted(now float64, at int32, team int, work, threads float64, adjustable bool) {
	t.now = now
	a := t.account(at)
	*a = entry{team: team, work: work, charged: work, threads: threads, running: true, adjustable: adjustable, runningIndex: int32(len(t.running))}
	t.running = append(t.running, at)
	t.threads += threads
	leaf := t.leaf(team)
	t.nodes[leaf].threads += threads
	t.addInUse(leaf, 1)
	t.charge(leaf, work, true)
	if t.turn.at == at {
		t.turn = turn{at: -1}
	} else {
		t.turn.bypassedWork += work
	}
}

// AttemptEnded charges what an attempt took in place of what was expected. A negative work is unknown or still in progress, and
// the charge stays.
func (t *Tree) AttemptEnded(now float64, at int32, work float64) {
	t.now = now
	if int(at) >= len(t.entries) || !t.entries[at].running {
		return
	}
	a := &t.entries[at]
	a.running = false
	last := len(t.running) - 1
	t.running[a.runningIndex] = t.running[last]
	t.entries[t.running[last]].runningIndex = a.runningIndex
	t.running = t.running[:last]
	if t.threads -= a.threads; last == 0 {
		t.threads = 0
	}
	if a.lowered {
		t.loweredThreads -= a.threads
	}
	leaf := t.leaf(a.team)
	if n := &t.nodes[leaf]; n.inUse == 1 {
		n.threads = 0
	} else {
		n.threads -= a.threads
	}
	if work >= 0 {
		t.charge(leaf, work-a.charged, false)
	}
	t.addInUse(leaf, -1)
}

// Noted reports the progress of a running attempt: the fraction done, or that it spills to disk.
func (t *Tree) Noted(at int32, share float64, spills bool) {
	if int(at) >= len(t.entries) || !t.entries[at].running {
		return
	}
	a := &t.entries[at]
	a.progress = max(a.progress, share)
	if spills && t.spec.GuardSpill { // the slower it runs, the longer it holds memory
		a.adjustable = false
		a.restore = a.lowered
	}
}

// WithinShare reports whether a team has had no more than its share of late, at every level.
func (t *Tree) WithinShare(team int) bool {
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		if n := &t.nodes[i]; n.virtualTime > mean(&t.nodes[n.parent])+1e-9*max(1, math.Abs(n.virtualTime)) && !(n.Floor > 0 && n.floorLeft > 0) {
			return false
		}
	}
	return true
}

// excess returns how far a team is past its share and burst, in seconds of full use, or 0.
func (t *Tree) excess(team int) (most float64) {
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		most = max(most, (n.virtualTime-mean(&t.nodes[n.parent])-t.slack(i))/t.fullUsePerSecond(n.parent))
	}
	return most
}

// ShareOf returns a team's share of the pool among the teams in use now.
func (t *Tree) ShareOf(team int) float64 { return t.share(t.leaf(team)) }

// Queued returns the number of a team's queued requests.
func (t *Tree) Queued(team int) int { return t.nodes[t.leaf(team)].queued }

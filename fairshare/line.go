package fairshare

// This file keeps the commands that are held, and those that are out.

import (
	"math"
	"slices"
)

// Hold takes a command into the order, or does nothing if it is there. rank is its place within its team, least first;
// work in core seconds; due the latest time to send it.
func (t *Tree) Hold(now float64, at int32, team int, rank, work, threads, due float64) {
	t.now = now
	a := t.account(at)
	if a.held {
		return
	}
	*a = account{team: team, rank: rank, work: work, threads: threads, since: now, due: due, held: true}
	t.enter(at)
}

func (t *Tree) enter(at int32) {
	a := &t.acct[at]
	leaf := t.leaf(a.team)
	t.use(leaf, 1)
	n := &t.nodes[leaf]
	k, _ := slices.BinarySearchFunc(n.line, a.rank, func(x int32, rank float64) int {
		if t.acct[x].rank > rank {
			return 1
		}
		return -1 // behind those of its rank
	})
	n.line = slices.Insert(n.line, k, at)
	t.enlist(leaf, 1, a.work)
}

func (t *Tree) enlist(leaf int32, by int, work float64) {
	for i := leaf; ; i = t.nodes[i].parent {
		n := &t.nodes[i]
		if n.held += by; n.held == 0 {
			n.work = 0
		} else {
			n.work += work
		}
		if i == t.root {
			return
		}
		p := &t.nodes[n.parent]
		switch {
		case n.held > 0 && n.place < 0:
			n.place = int32(len(p.active))
			p.active = append(p.active, i)
			t.move(i)
		case n.held == 0 && n.place >= 0:
			for k := n.place; k+1 < int32(len(p.active)); k++ {
				p.active[k] = p.active[k+1]
				t.nodes[p.active[k]].place = k
			}
			p.active, n.place = p.active[:len(p.active)-1], -1
		}
	}
}

// Unhold takes a command out of the order, or does nothing if it isn't there.
func (t *Tree) Unhold(at int32) {
	if int(at) >= len(t.acct) || !t.acct[at].held {
		return
	}
	a := &t.acct[at]
	a.held = false
	leaf := t.leaf(a.team)
	n := &t.nodes[leaf]
	k := slices.Index(n.line, at)
	n.line = slices.Delete(n.line, k, k+1)
	t.enlist(leaf, -1, -a.work)
	t.use(leaf, -1)
}

// Begin starts a walk over the held commands in the order that holds now; sends on the way change what follows.
func (t *Tree) Begin(now float64) {
	t.now = now
	t.pass++
}

// Next is the next command of the walk, -1: there is none. It stays the next until it is sent or skipped.
func (t *Tree) Next() int32 { return t.next(t.root) }

func (t *Tree) next(i int32) int32 {
	n := &t.nodes[i]
	if n.pass != t.pass {
		n.pass, n.pos = t.pass, 0
	}
	if n.leaf {
		if n.pos < len(n.line) {
			return n.line[n.pos]
		}
		return -1
	}
	// All before pos have nothing more to bring in this walk. One that is sent moves back only, so that stays true.
	for ; n.pos < len(n.active); n.pos++ {
		if k := n.active[n.pos]; !t.stopped(k) {
			if at := t.next(k); at >= 0 {
				return at
			}
		}
	}
	return -1
}

// Skip goes past a command that found no place.
func (t *Tree) Skip(at int32) {
	if a := &t.acct[at]; a.held {
		t.nodes[t.leaf(a.team)].pos++
	}
}

// stopped: it has used up what its ceiling allows.
func (t *Tree) stopped(i int32) bool { return t.nodes[i].Ceiling > 0 && t.nodes[i].ceilLeft <= 0 }

// head is the command whose turn it is, -1: there is none.
func (t *Tree) head(i int32) int32 {
	n := &t.nodes[i]
	if n.leaf {
		return n.line[0]
	}
	for _, k := range n.active {
		if !t.stopped(k) {
			if at := t.head(k); at >= 0 {
				return at
			}
		}
	}
	return -1
}

// Ahead is the held work, core seconds, that leaves before a command of this team and rank would.
func (t *Tree) Ahead(team int, rank float64) float64 {
	i := t.leaf(team)
	a := 0.0
	for _, h := range t.nodes[i].line {
		if t.acct[h].rank > rank {
			break
		}
		a += t.acct[h].work
	}
	for ; i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		p := &t.nodes[n.parent]
		v := n.v
		if n.uses == 0 {
			v = max(v, mean(p)-t.slack(i))
		}
		until, own := v+a/n.Weight, a
		for _, k := range p.active {
			if k == i {
				continue
			}
			// A sibling's work leaves before while its virtual time is less, and as far as its floor goes.
			s := &t.nodes[k]
			before := (until - s.v) * s.Weight
			if s.Floor > 0 {
				before = max(before, s.floorLeft)
			}
			if n.Floor > 0 && own < n.floorLeft {
				before = 0
			}
			a += min(max(before, 0), s.work)
		}
	}
	return a
}

// ---- sends

// Sent charges a send to its team: work in core seconds. bends tells that its level could be lowered.
func (t *Tree) Sent(now float64, at int32, team int, work, threads float64, bends bool) {
	t.now = now
	a := t.account(at)
	*a = account{team: team, work: work, charge: work, threads: threads, out: true, bends: bends, place: int32(len(t.outs))}
	t.outs = append(t.outs, at)
	t.threads += threads
	leaf := t.leaf(team)
	t.nodes[leaf].threads += threads
	t.use(leaf, 1)
	t.charge(leaf, work, true)
	if t.turn.at == at {
		t.turn = turn{at: -1}
	} else {
		t.turn.passed += work
	}
}

// Ended settles a send: its team is charged what it took in place of what was expected. Negative: that is not known or
// goes on, and the charge stays.
func (t *Tree) Ended(now float64, at int32, work float64) {
	t.now = now
	if int(at) >= len(t.acct) || !t.acct[at].out {
		return
	}
	a := &t.acct[at]
	a.out = false
	last := len(t.outs) - 1
	t.outs[a.place] = t.outs[last]
	t.acct[t.outs[last]].place = a.place
	t.outs = t.outs[:last]
	if t.threads -= a.threads; last == 0 {
		t.threads = 0
	}
	if a.lowered {
		t.bent -= a.threads
	}
	leaf := t.leaf(a.team)
	if n := &t.nodes[leaf]; n.uses == 1 {
		n.threads = 0
	} else {
		n.threads -= a.threads
	}
	if work >= 0 {
		t.charge(leaf, work-a.charge, false)
	}
	t.use(leaf, -1)
}

// Noted takes word of a send that is out: the share done, or that it spills.
func (t *Tree) Noted(at int32, share float64, spills bool) {
	if int(at) >= len(t.acct) || !t.acct[at].out {
		return
	}
	a := &t.acct[at]
	a.share = max(a.share, share)
	if spills && t.spec.GuardSpill { // it holds memory for longer the slower it goes
		a.bends = false
		a.raise = a.lowered
	}
}

// Inside tells whether a team has had no more than its part of late, at every level.
func (t *Tree) Inside(team int) bool {
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		if n := &t.nodes[i]; n.v > mean(&t.nodes[n.parent])+1e-9*max(1, math.Abs(n.v)) && !(n.Floor > 0 && n.floorLeft > 0) {
			return false
		}
	}
	return true
}

// over is how far a team is past its part and burst, in seconds of full use; 0: it isn't.
func (t *Tree) over(team int) (most float64) {
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		n := &t.nodes[i]
		most = max(most, (n.v-mean(&t.nodes[n.parent])-t.slack(i))/t.second(n.parent))
	}
	return most
}

// Due is the part of the pool that a team is due among those in use now.
func (t *Tree) Due(team int) float64 { return t.part(t.leaf(team)) }

// Held is how many commands of a team are held.
func (t *Tree) Held(team int) int { return t.nodes[t.leaf(team)].held }

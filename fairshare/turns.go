package fairshare

// This file gives a turn to requests that were bypassed for too long.

import "math"

// turn is the request at the head of the order and the work that has bypassed it.
type turn struct {
	at           int32
	team         int32   // leaf
	bypassedWork float64 // work that others have started meanwhile
	active       bool    // no other request may start
	changedAt    float64 // when active last changed
}

// GaveUp notes the price, work per benefit, at which a queued request was given up.
func (t *Tree) GaveUp(now float64, team int, price float64) {
	n := &t.nodes[t.leaf(team)]
	n.giveUpPrice, n.giveUpAt = min(n.decayedGiveUpPrice(now), price), now
}

// Cut returns the price from which a team's requests are rejected, as such were given up of late. It doubles every two seconds, so
// that such requests are soon tried again. Other teams' prices have no effect.
func (t *Tree) Cut(now float64, team int) float64 {
	return t.nodes[t.leaf(team)].decayedGiveUpPrice(now)
}

// decayedGiveUpPrice returns the give-up price by now; +Inf: there is none.
func (n *node) decayedGiveUpPrice(now float64) float64 {
	if n.giveUpPrice == 0 {
		return math.Inf(1)
	}
	return n.giveUpPrice * math.Exp2((now-n.giveUpAt)/2)
}

// MayStart reports whether a request may use free threads now: its team's ceiling allows it, and no other request has been
// bypassed for too long. Such a request gets the threads that become free: one that needs two would else wait behind an endless
// flood of requests for one.
func (t *Tree) MayStart(now float64, at int32, team int) bool {
	t.now = now
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		if t.atCeiling(i) {
			return false
		}
	}
	if !t.spec.Turns || t.nodes[t.root].queued == 0 {
		return true
	}
	h := t.trackHead()
	return h < 0 || h == at || !t.headHasTurn()
}

// trackHead updates the head of the order. The bypassed work is counted by team, as a cheaper request of it may become the head.
func (t *Tree) trackHead() int32 {
	h := t.head(t.root)
	if h >= 0 && h != t.turn.at {
		if leaf := t.leaf(t.entries[h].team); t.turn.at < 0 || leaf != t.turn.team {
			t.turn = turn{team: leaf, changedAt: t.now}
		}
		t.turn.at = h
	} else if h < 0 {
		t.turn = turn{at: -1}
	}
	return h
}

// headHasTurn reports whether only the head may start now: more work than its team's share allows has bypassed it, or half its
// time is over. It has turns of half a second with pauses of the same length, in case threads are not what it lacks.
func (t *Tree) headHasTurn() bool {
	const spell = 0.5 // seconds: several times the duration of short requests
	a := &t.entries[t.turn.at]
	f := t.share(t.turn.team)
	if t.now < a.unplaceableUntil || !t.WithinShare(a.team) ||
		t.turn.bypassedWork < a.work*max(1, (1-f)/f) && t.now < a.queuedAt+(a.latestStart-a.queuedAt)/2 {
		t.turn.active = false
		return false
	}
	if t.now-t.turn.changedAt >= spell {
		t.turn.active, t.turn.changedAt = !t.turn.active, t.now
	}
	return t.turn.active
}

// MarkUnplaceable notes that no server would take a queued request, however many threads are free, so that it keeps no other from
// them.
func (t *Tree) MarkUnplaceable(at int32) {
	const rest = 0.25 // seconds: servers come and go in seconds
	t.entries[at].unplaceableUntil = t.now + rest
}

// Lane reports whether a short request of this team may use the fast path past full servers: while others are queued, only if its
// team is within its share.
func (t *Tree) Lane(team int) bool {
	return t.nodes[t.root].queued == 0 || t.excess(team) == 0
}

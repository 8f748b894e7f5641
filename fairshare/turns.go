package fairshare

// This file reserves free threads for requests that were bypassed for too long.

import "math"

// headState tracks the request at the head of the order and how much work has bypassed it.
type headState struct {
	slot          int32   // of the request; -1: none
	team          int32   // leaf node of the request's team
	bypassedWork  float64 // expected work of the other attempts that have started since
	hasTurn       bool    // no other request may start
	turnChangedAt float64 // when hasTurn last changed
}

// RequestGivenUp records the price, in work per benefit, at which a queued request of a team was given up.
func (t *Tree) RequestGivenUp(now float64, team int, price float64) {
	n := &t.nodes[t.leaf(team)]
	n.giveUpPrice, n.giveUpAt = min(n.decayedGiveUpPrice(now), price), now
}

// RejectionPrice returns the price from which a team's requests are rejected because requests of that price were
// recently given up. It doubles every two seconds, so that such requests are soon admitted again. Prices of other teams
// have no effect.
func (t *Tree) RejectionPrice(now float64, team int) float64 {
	return t.nodes[t.leaf(team)].decayedGiveUpPrice(now)
}

// decayedGiveUpPrice returns the give-up price at the given time, or +Inf if there is none.
func (n *node) decayedGiveUpPrice(now float64) float64 {
	if n.giveUpPrice == 0 {
		return math.Inf(1)
	}
	return n.giveUpPrice * math.Exp2((now-n.giveUpAt)/2)
}

// MayStart reports whether a request may use free threads now. It may if the ceilings of its team and of the groups
// above allow it, and if no other request has been bypassed for too long. A request that was bypassed for too long gets
// the next threads that become free; otherwise a request for two threads would wait forever behind a stream of requests
// for one.
func (t *Tree) MayStart(now float64, slot int32, team int) bool {
	t.now = now
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		if t.atCeiling(i) {
			return false
		}
	}
	if !t.spec.TurnsForBypassed || t.nodes[t.root].queued == 0 {
		return true
	}
	head := t.trackHead()
	return head < 0 || head == slot || !t.headHasTurn()
}

// trackHead updates and returns the head of the order. The bypassed work is counted per team, since a cheaper request
// of the same team may become the head.
func (t *Tree) trackHead() int32 {
	h := t.head(t.root)
	if h >= 0 && h != t.headState.slot {
		if leaf := t.leaf(t.entries[h].team); t.headState.slot < 0 || leaf != t.headState.team {
			t.headState = headState{team: leaf, turnChangedAt: t.now}
		}
		t.headState.slot = h
	} else if h < 0 {
		t.headState = headState{slot: -1}
	}
	return h
}

// headHasTurn reports whether only the head may start now. The head gets turns if its team is within its share, if some
// server would take it, and if more work has bypassed it than the share of its team allows or half of its time in the
// queue is over. Turns of half a second alternate with pauses of the same length, as free threads may not be what the
// head waits for.
func (t *Tree) headHasTurn() bool {
	const turnLength = 0.5 // seconds: several times the duration of short requests
	e := &t.entries[t.headState.slot]
	fraction := t.share(t.headState.team)
	if t.now < e.unplaceableUntil || !t.WithinShare(e.team) ||
		t.headState.bypassedWork < e.work*max(1, (1-fraction)/fraction) && t.now < e.queuedAt+(e.latestStart-e.queuedAt)/2 {
		t.headState.hasTurn = false
		return false
	}
	if t.now-t.headState.turnChangedAt >= turnLength {
		t.headState.hasTurn, t.headState.turnChangedAt = !t.headState.hasTurn, t.now
	}
	return t.headState.hasTurn
}

// MarkUnplaceable records that no server would take a queued request, however many threads are free. The request then
// does not keep other requests from the free threads.
func (t *Tree) MarkUnplaceable(slot int32) {
	const recheckDelay = 0.25 // seconds: servers become available or unavailable within seconds
	t.entries[slot].unplaceableUntil = t.now + recheckDelay
}

// MayUseFastPath reports whether a short request of a team may use the fast path past full servers. While requests are
// queued, only teams that are within their share and burst may.
func (t *Tree) MayUseFastPath(team int) bool {
	return t.nodes[t.root].queued == 0 || t.excess(team) == 0
}

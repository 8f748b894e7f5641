package fairshare

// This file gives what was passed over for too long its turn.

import "math"

// turn is the command at the head of the order and what has passed it by.
type turn struct {
	at     int32
	team   int32   // leaf
	passed float64 // work sent by others meanwhile
	on     bool    // nothing else may take a place
	began  float64 // or stopped being so
}

// GaveUp notes the price, work per benefit, of a held command that was given up in the line.
func (t *Tree) GaveUp(now float64, team int, price float64) {
	n := &t.nodes[t.leaf(team)]
	n.cut, n.cutAt = min(n.cutBy(now), price), now
}

// Cut is the price from which a team's line gave up of late: that doubles every two seconds, so that it is tried again
// soon. What other teams gave up says nothing of this one's.
func (t *Tree) Cut(now float64, team int) float64 { return t.nodes[t.leaf(team)].cutBy(now) }

func (n *node) cutBy(now float64) float64 {
	if n.cut == 0 {
		return math.Inf(1)
	}
	return n.cut * math.Exp2((now-n.cutAt)/2)
}

// May tells whether a command may take a place now: its team's ceiling allows it, and no other command has been passed
// over for too long. That one gets the places that come free: a command of two threads would else wait behind an endless
// flood of single ones, each of which finds a place where two never are.
func (t *Tree) May(now float64, at int32, team int) bool {
	t.now = now
	for i := t.leaf(team); i != t.root; i = t.nodes[i].parent {
		if t.stopped(i) {
			return false
		}
	}
	if !t.spec.Turns || t.nodes[t.root].held == 0 {
		return true
	}
	h := t.watch()
	return h < 0 || h == at || !t.due()
}

// watch keeps the head of the order; what has passed by is a team's, as a cheaper command of it may come to the front.
func (t *Tree) watch() int32 {
	h := t.head(t.root)
	if h >= 0 && h != t.turn.at {
		if leaf := t.leaf(t.acct[h].team); t.turn.at < 0 || leaf != t.turn.team {
			t.turn = turn{team: leaf, began: t.now}
		}
		t.turn.at = h
	} else if h < 0 {
		t.turn = turn{at: -1}
	}
	return h
}

// due tells whether the head has waited enough: it was passed over by more than its team's part allows, or half its time
// is gone. It has turns of half a second, with as much between for the others, in case places are not what it lacks.
func (t *Tree) due() bool {
	const spell = 0.5 // seconds: several times what short commands run
	a := &t.acct[t.turn.at]
	f := t.part(t.turn.team)
	if t.now < a.stuck || !t.Inside(a.team) ||
		t.turn.passed < a.work*max(1, (1-f)/f) && t.now < a.since+(a.due-a.since)/2 {
		t.turn.on = false
		return false
	}
	if t.now-t.turn.began >= spell {
		t.turn.on, t.turn.began = !t.turn.on, t.now
	}
	return t.turn.on
}

// Stuck notes that no engine would take a held command whatever the places: it keeps no other from them.
func (t *Tree) Stuck(at int32) {
	const rest = 0.25 // seconds: engines come and go in seconds
	t.acct[at].stuck = t.now + rest
}

// Lane tells whether a short command of this team may go past full places: while others wait, only if it is not over its
// budget.
func (t *Tree) Lane(team int) bool {
	return t.nodes[t.root].held == 0 || t.over(team) == 0
}

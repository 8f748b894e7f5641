package discovery

import (
	"errors"
	"math"
	"net/netip"

	"dunereach/admission"
)

// This file decides which of the name server's answers to believe.
//
// The number of a list orders the lists of one numbering, and a numbering begins anew at each start of a router. An answer may bring a list
// of before the start, under a number that the numbering of now has yet to reach. So the highest number is not proof of the newest list:
// an answer under a lower number, or with other servers under the same one, can be the true one. What is done then holds whichever is:
//
//   - One answer alone takes permission away: a server that drains or is missing in it gets nothing more.
//   - Permission is given by some answers in a row that agree on a server: it is ready once they all have it so, and forgotten once they all
//     lack it.
//   - A drain is taken back only by a list with a higher number than the one that told it, or by a new start of the server.
//   - Answers that contradict a list in hand that one answer has told take its place when they repeat, or follow one another, whatever their
//     number. A list that answers in a row have told holds against lower ones: a name server may be behind, or have lost its records.

// How many answers in a row something takes. Until the list in hand is settled it is asked for ten times a second.
const (
	// grantAfter is for a server to be used. One answer in ten may bring an older list, and of those that come one after the other each
	// has to have a higher number than the one before to count as news: four by chance are one in some hundred thousand. A new server is
	// used 0.3 s later for it, which is little against its warm-up.
	grantAfter = 4
	// outvoteNew is for a list that only one answer has told to be replaced by one that contradicts it.
	outvoteNew = grantAfter
	// outvoteConfirmed is for a list that answers in a row have told, by others under its number: half a minute of nothing else.
	outvoteConfirmed = 300
)

// What is odd about an answer.
var (
	errNotAsked = errors.New("an answer to no question of ours")
	errOlder    = errors.New("an older list")
	errOther    = errors.New("another list under the same number")
	errReplaced = errors.New("the list in hand was contradicted by all answers since: replaced")
)

// claims are the lists that answers have told, and what follows from them.
type claims struct {
	held      *snapshot // the list in hand
	confirmed bool      // answers in a row, or the configuration, have told the same
	awaited   int       // how many answers in a row have to agree before the list in hand is used whole
	rival     *snapshot // the list of the last answer that contradicts the one in hand, nil: none since the last that agrees
	votes     int       // answers in a row for the rival
	stale     bool      // the last answer was older than the list in hand, or empty: it may stand in for one with news
	recent    history   // the lists of the last answers that counted
	used      *snapshot // what may be used
	drains    map[uint32]drain
}

// drain is the newest word that a server may not be sent to.
type drain struct {
	start  float64 // of the process that it is about
	serial uint32  // of the list that told it
}

// note keeps the drains that a list tells.
func (c *claims) note(list *snapshot) {
	for _, e := range list.entries {
		if e.State == admission.Draining {
			c.drained(e, list.serial)
		}
	}
}

// drained keeps that a server drains, or is gone, by the list of a number.
func (c *claims) drained(e admission.Entry, serial uint32) {
	if was, ok := c.drains[e.Engine]; ok && was.start == e.ReadyAt && was.serial >= serial {
		return
	}
	c.drains[e.Engine] = drain{e.ReadyAt, serial}
}

// granted is a list less what drains by a word that is as new or newer.
func (c *claims) granted(list *snapshot) *snapshot {
	granted := list
	for k, e := range list.entries {
		d, ok := c.drains[e.Engine]
		if !ok || e.State != admission.Ready || math.Abs(d.start-e.ReadyAt) > sameStart || d.serial < list.serial {
			continue
		}
		if granted == list {
			granted = list.clone()
		}
		granted.entries[k].State = admission.Draining
	}
	return granted
}

// history is the lists of the last answers but the newest, as many as it takes for a server to be used.
type history [grantAfter - 1]*snapshot

// push adds a list and forgets the oldest.
func (h *history) push(list *snapshot) {
	copy(h[:], h[1:])
	h[len(h)-1] = list
}

// settle takes a list that needs no second word.
func (c *claims) settle(list *snapshot) {
	*c = claims{held: list, confirmed: true, used: list, drains: map[uint32]drain{}}
	for range c.recent {
		c.recent.push(list)
	}
	c.note(list)
}

// Unsettled tells whether the list in hand waits for other answers to agree, or the last one may hide news.
func (c *claims) Unsettled() bool { return c.awaited > 0 || c.rival != nil || c.stale }

// weigh takes in the list of an answer. Fresh: what may be used has changed.
func (c *claims) weigh(list *snapshot) (fresh bool, err error) {
	switch {
	case list.agrees(c.held):
		return c.agree(), nil
	case list.serial > c.held.serial || list.serial == c.held.serial && c.held.partial:
		return c.advance(list), nil
	}
	return c.contradict(list)
}

// agree notes that an answer tells the list in hand.
func (c *claims) agree() (fresh bool) {
	c.rival, c.votes, c.stale = nil, 0, false
	c.recent.push(c.held)
	if c.awaited = max(c.awaited-1, 0); c.awaited > 0 {
		return false
	}
	c.confirmed = true
	for _, e := range c.used.entries { // what they all lack is gone by their word
		if !c.held.has(e.Engine) {
			c.drained(e, c.held.serial)
		}
	}
	return c.use(c.granted(c.held))
}

// advance takes a list as the one in hand, and waits for other answers.
func (c *claims) advance(list *snapshot) (fresh bool) {
	c.note(list)
	fresh = c.use(c.granted(c.recent.allow(c.used, list)))
	c.held, c.confirmed, c.rival, c.votes, c.awaited, c.stale = list, false, nil, 0, grantAfter-1, false
	c.recent.push(list)
	return fresh
}

// contradict takes in a list that can't follow the one in hand.
func (c *claims) contradict(list *snapshot) (fresh bool, err error) {
	err = errOther
	if list.serial < c.held.serial {
		err = errOlder
	}
	if c.confirmed && (err == errOlder || len(list.entries) == 0) { // late by all that is known, or all gone with no event
		c.stale = true
		return false, err
	}
	repeats := c.rival != nil && list.agrees(c.rival)
	follows := c.rival != nil && list.serial > c.rival.serial
	if c.rival = list; !repeats && !follows {
		c.votes = 0
	}
	needed := outvoteNew
	if c.confirmed {
		needed = outvoteConfirmed
	}
	if c.votes++; c.votes >= needed {
		return c.advance(list), errReplaced // what of it is used goes by the answers before
	}
	c.awaited = grantAfter // those that agree next may be what is out of date
	c.recent.push(list)
	c.note(list)
	return c.use(restricted(c.used, list)), err
}

// use has a list used from now on, and tells whether that changes anything.
func (c *claims) use(list *snapshot) (fresh bool) {
	fresh = !list.sameServers(c.used) || !list.sameWeights(c.used)
	c.used = list
	return fresh
}

// allow is what answers in a row allow, the newest among them: a server is ready where all have the same process of it ready. Other servers
// that have been used drain, and so keep what runs there, until all lack them.
func (h *history) allow(used, newest *snapshot) *snapshot {
	list := newSnapshot(newest.serial, len(used.entries))
	for k, e := range used.entries {
		if newest.has(e.Engine) || h.has(e.Engine) {
			list.add(h.inAll(e, used.addrs[k], newest), used.addrs[k])
		}
	}
	for k, e := range newest.entries {
		if e = h.inAll(e, newest.addrs[k], newest); e.State == admission.Ready {
			list.add(e, newest.addrs[k])
		}
	}
	return list
}

// has tells whether any of the lists has a server.
func (h *history) has(engine uint32) bool {
	for _, list := range h {
		if list.has(engine) {
			return true
		}
	}
	return false
}

// inAll is a process of a server with what the lists make of it: ready in all, or it drains.
func (h *history) inAll(e admission.Entry, addr netip.AddrPort, newest *snapshot) admission.Entry {
	e = alsoIn(e, addr, newest)
	for _, list := range h {
		if same, ok := list.lists(e, addr); !ok || same.State != admission.Ready {
			e.State = admission.Draining
		}
	}
	return e
}

// restricted is what may be used of a list after an answer that contradicts it.
func restricted(used, answer *snapshot) *snapshot {
	list := newSnapshot(used.serial, len(used.entries))
	for k, e := range used.entries {
		was := e.State
		e = alsoIn(e, used.addrs[k], answer)
		e.State = min(e.State, was)
		list.add(e, used.addrs[k])
	}
	return list
}

// alsoIn is a process of a server as a list has it. One that the list lacks, or has started anew, drains.
func alsoIn(e admission.Entry, addr netip.AddrPort, list *snapshot) admission.Entry {
	if same, ok := list.lists(e, addr); ok {
		return same
	}
	e.State = admission.Draining
	return e
}

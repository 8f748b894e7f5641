package discovery

import (
	"errors"
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
//   - Permission is given by two in a row that agree: a server is ready once two answers have it so, and forgotten once two lack it.
//   - Answers that contradict the list in hand take its place when they repeat, or follow one another, whatever their number.

// How often a contradiction has to repeat, with no answer between that agrees with the list in hand. While there is one the list is asked
// for ten times a second.
const (
	// outvoteNew is for a list that only one answer has told. One answer in twenty may bring an older list: three in a row are no chance.
	outvoteNew = 3
	// outvoteConfirmed is for a list that a second answer has confirmed: a second of nothing else.
	outvoteConfirmed = 10
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
	last      *snapshot // the list of the last answer that counted
	used      *snapshot // what may be used
}

// settle takes a list that needs no second word.
func (c *claims) settle(list *snapshot) {
	*c = claims{held: list, confirmed: true, last: list, used: list}
}

// Unsettled tells whether the list in hand waits for another answer to agree.
func (c *claims) Unsettled() bool { return c.awaited > 0 || c.rival != nil }

// weigh takes in the list of an answer. Fresh: what may be used has changed, or the list in hand.
func (c *claims) weigh(list *snapshot) (fresh bool, err error) {
	switch {
	case list.agrees(c.held):
		return c.agree(), nil
	case list.serial > c.held.serial || list.serial == c.held.serial && c.held.partial:
		c.advance(list)
		return true, nil
	}
	return c.contradict(list)
}

// agree notes that an answer tells the list in hand.
func (c *claims) agree() (fresh bool) {
	c.rival, c.votes, c.last = nil, 0, c.held
	if c.awaited = max(c.awaited-1, 0); c.awaited > 0 {
		return false
	}
	c.confirmed = true
	return c.use(c.held)
}

// advance takes a list as the one in hand, and waits for a second answer.
func (c *claims) advance(list *snapshot) {
	used := allowed(c.used, c.last, list)
	c.held, c.last, c.confirmed, c.rival, c.votes, c.awaited = list, list, false, nil, 0, 1
	c.use(used)
}

// contradict takes in a list that can't follow the one in hand.
func (c *claims) contradict(list *snapshot) (fresh bool, err error) {
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
		if repeats {
			c.settle(list)
		} else {
			c.advance(list)
		}
		return true, errReplaced
	}
	err = errOther
	if list.serial < c.held.serial {
		err = errOlder
		if c.confirmed { // late by all that is known, and of no use
			return false, err
		}
	}
	if c.confirmed && len(list.entries) == 0 { // all gone with no event: not on one answer's word
		return false, err
	}
	c.awaited = 2 // the next that agrees may be what is out of date
	c.last = list
	return c.use(restricted(c.used, list)), err
}

// use has a list used from now on, and tells whether that changes anything.
func (c *claims) use(list *snapshot) (fresh bool) {
	fresh = !list.sameServers(c.used)
	c.used = list
	return fresh
}

// allowed is what two answers in a row allow: a server is ready where both have the same process of it ready. Other servers that have been
// used drain, and so keep what runs there, until both lack them.
func allowed(used, first, second *snapshot) *snapshot {
	list := newSnapshot(second.serial, len(used.entries))
	for k, e := range used.entries {
		if first.has(e.Engine) || second.has(e.Engine) {
			list.add(inBoth(e, used.addrs[k], first, second), used.addrs[k])
		}
	}
	for k, e := range second.entries {
		if e = inBoth(e, second.addrs[k], first, second); e.State == admission.Ready {
			list.add(e, second.addrs[k])
		}
	}
	return list
}

// restricted is what may be used of a list after an answer that contradicts it.
func restricted(used, answer *snapshot) *snapshot {
	list := newSnapshot(used.serial, len(used.entries))
	for k, e := range used.entries {
		list.add(inBoth(e, used.addrs[k], used, answer), used.addrs[k])
	}
	return list
}

// inBoth is a process of a server with what two lists make of it: ready in both, or it drains. What else the second has of it counts.
func inBoth(e admission.Entry, addr netip.AddrPort, first, second *snapshot) admission.Entry {
	one, inFirst := first.lists(e, addr)
	other, inSecond := second.lists(e, addr)
	if inSecond {
		e = other
	}
	e.State = admission.Draining
	if inFirst && inSecond {
		e.State = min(one.State, other.State)
	}
	return e
}

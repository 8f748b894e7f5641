package discovery

import (
	"errors"
	"math"
	"net/netip"

	"dunereach/admission"
)

// This file decides which of the name server's answers to trust.
//
// The numbers of lists are ordered within one numbering, and a numbering begins again at each start of a router. An
// answer may bring a list from before the start, under a number that the current numbering has not reached yet. So
// the highest number does not prove the newest list: an answer under a lower number, or with other servers under the
// same number, can be the true one. The rules below are safe in either case:
//
//   - A single answer is enough to take permission away: a server that drains or is missing in it gets no more attempts.
//   - Permission is given by several answers in a row that agree on a server: it is ready once all of them list it as
//     ready, and forgotten once it is missing in all of them.
//   - A drain is taken back only by a list with a higher number than the one that reported it, or by a new start of
//     the server.
//   - Answers that contradict a current list reported by only one answer replace it when they repeat, or follow one
//     another, whatever their number. A list reported by several answers in a row is kept against lower numbers: a
//     name server may be behind, or have lost its records.
//   - Answers to queries that were sent before the one whose answer reported the current list replace nothing: they
//     were late, and only take permission away.

// How many answers in a row are required. Until the current list is confirmed the name server is asked ten times a
// second.
const (
	// grantAfter is required for a server to be used. One answer in ten may bring an older list, and of consecutive
	// ones each must have a higher number than the one before to count as a change: four by chance occur once in some
	// hundred thousand. A new server is used 0.3 s later because of it, which is little compared with its warm-up.
	grantAfter = 4
	// outvoteNew is required to replace a list reported by only one answer with one that contradicts it.
	outvoteNew = grantAfter
	// outvoteConfirmed is required to replace a list reported by several answers in a row with others under its
	// number: half a minute of nothing else.
	outvoteConfirmed = 300
)

// Problems of an answer.
var (
	errUnexpectedID = errors.New("answer matches no recent query")
	errOlder        = errors.New("an older list")
	errLate         = errors.New("another list, in a late answer")
	errSameNumber   = errors.New("different list under the same number")
	errReplaced     = errors.New("current list replaced: all answers since contradicted it")
)

// trust holds the reported lists and what they allow.
type trust struct {
	current        *snapshot // the current list
	currentQuery   int       // the last query whose answer reported the current list
	confirmed      bool      // several answers in a row, or the configuration, have reported the current list
	answersAwaited int       // how many answers in a row have to agree before the current list is used completely
	contrary       *snapshot // list of the last contradicting answer, nil: none since the last that agreed
	votes          int       // answers in a row for the contradicting list
	lastStale      bool      // the last answer was older than the current list, or empty, and may hide a change
	recent         history   // the lists of the last answers that counted
	usable         *snapshot // what may be used
	drains         map[uint32]drain
}

// drain is the newest report that a server gets no more attempts.
type drain struct {
	start  float64 // of the process that it is about
	serial uint32  // of the list that reported it
}

// recordDrains records the drains in a list.
func (c *trust) recordDrains(list *snapshot) {
	for _, e := range list.entries {
		if e.State == admission.Draining {
			c.recordDrain(e, list.serial)
		}
	}
}

// recordDrain records that a server drains, or is gone, according to the list with that number.
func (c *trust) recordDrain(e admission.Entry, serial uint32) {
	if known, ok := c.drains[e.Server]; ok && known.start == e.ReadyAt && known.serial >= serial {
		return
	}
	c.drains[e.Server] = drain{e.ReadyAt, serial}
}

// withDrains returns a list in which servers are draining if a report that is as new or newer says so.
func (c *trust) withDrains(list *snapshot) *snapshot {
	withDrains := list
	for k, e := range list.entries {
		d, ok := c.drains[e.Server]
		if !ok || e.State != admission.Ready || math.Abs(d.start-e.ReadyAt) > sameStart || d.serial < list.serial {
			continue
		}
		if withDrains == list {
			withDrains = list.clone()
		}
		withDrains.entries[k].State = admission.Draining
	}
	return withDrains
}

// history holds the lists of the last answers except the newest, as many as are required for a server to be used.
type history [grantAfter - 1]*snapshot

// push adds a list and drops the oldest.
func (h *history) push(list *snapshot) {
	copy(h[:], h[1:])
	h[len(h)-1] = list
}

// reset sets a list that needs no confirmation.
func (c *trust) reset(list *snapshot) {
	*c = trust{current: list, confirmed: true, usable: list, drains: map[uint32]drain{}}
	for range c.recent {
		c.recent.push(list)
	}
	c.recordDrains(list)
}

// Unconfirmed reports whether the current list waits for other answers to agree, or the last answer may have hidden a
// change.
func (c *trust) Unconfirmed() bool { return c.answersAwaited > 0 || c.contrary != nil || c.lastStale }

// update processes the list of the answer to a query. changed means that the usable list has changed.
func (c *trust) update(list *snapshot, query int) (changed bool, err error) {
	switch {
	case list.equal(c.current):
		return c.agreed(query), nil
	case list.serial > c.current.serial || list.serial == c.current.serial && c.current.incomplete:
		c.currentQuery = max(c.currentQuery, query)
		return c.adopt(list), nil
	case query < c.currentQuery && !c.confirmed:
		c.recordDrains(list)
		return c.setUsable(restricted(c.usable, list)), errLate
	}
	changed, err = c.contradicted(list)
	if err == errReplaced {
		c.currentQuery = query
	}
	return changed, err
}

// agreed records that the answer to a query reported the current list.
func (c *trust) agreed(query int) (changed bool) {
	c.currentQuery = max(c.currentQuery, query)
	c.contrary, c.votes, c.lastStale = nil, 0, false
	c.recent.push(c.current)
	if c.answersAwaited = max(c.answersAwaited-1, 0); c.answersAwaited > 0 {
		return false
	}
	c.confirmed = true
	for _, e := range c.usable.entries { // servers missing in all these answers are gone
		if !c.current.has(e.Server) {
			c.recordDrain(e, c.current.serial)
		}
	}
	return c.setUsable(c.withDrains(c.current))
}

// adopt makes a list the current one, which waits for other answers to confirm it.
func (c *trust) adopt(list *snapshot) (changed bool) {
	c.recordDrains(list)
	changed = c.setUsable(c.withDrains(c.recent.permitted(c.usable, list)))
	c.current, c.confirmed, c.contrary, c.votes, c.answersAwaited, c.lastStale = list, false, nil, 0, grantAfter-1, false
	c.recent.push(list)
	return changed
}

// contradicted processes a list that can't follow the current one.
func (c *trust) contradicted(list *snapshot) (changed bool, err error) {
	err = errSameNumber
	if list.serial < c.current.serial {
		err = errOlder
	}
	if c.confirmed && (err == errOlder || len(list.entries) == 0) { // late, or all servers gone without an event
		c.lastStale = true
		return false, err
	}
	isRepeat := c.contrary != nil && list.equal(c.contrary)
	isLater := c.contrary != nil && list.serial > c.contrary.serial
	if c.contrary = list; !isRepeat && !isLater {
		c.votes = 0
	}
	needed := outvoteNew
	if c.confirmed {
		needed = outvoteConfirmed
	}
	if c.votes++; c.votes >= needed {
		return c.adopt(list), errReplaced // the answers before decide what of it is used
	}
	c.answersAwaited = grantAfter // those that agree next may be the stale ones
	c.recent.push(list)
	c.recordDrains(list)
	return c.setUsable(restricted(c.usable, list)), err
}

// setUsable sets the usable list and reports whether that changes anything.
func (c *trust) setUsable(list *snapshot) (changed bool) {
	changed = !list.sameServers(c.usable) || !list.sameWeights(c.usable)
	c.usable = list
	return changed
}

// permitted returns what the last answers and the newest permit together: a server is ready if all of them list the
// same process of it as ready. Other servers in the usable list drain, and so keep their running attempts, until they
// are missing in all answers.
func (h *history) permitted(used, newest *snapshot) *snapshot {
	list := newSnapshot(newest.serial, len(used.entries))
	for k, e := range used.entries {
		if newest.has(e.Server) || h.has(e.Server) {
			list.add(h.stateInAll(e, used.addrs[k], newest), used.addrs[k])
		}
	}
	for k, e := range newest.entries {
		if e = h.stateInAll(e, newest.addrs[k], newest); e.State == admission.Ready {
			list.add(e, newest.addrs[k])
		}
	}
	return list
}

// has reports whether any of the lists has a server.
func (h *history) has(server uint32) bool {
	for _, list := range h {
		if list.has(server) {
			return true
		}
	}
	return false
}

// stateInAll returns the entry of a server's process: ready if it is ready in all lists, draining otherwise.
func (h *history) stateInAll(e admission.Entry, addr netip.AddrPort, newest *snapshot) admission.Entry {
	e = asListed(e, addr, newest)
	for _, list := range h {
		if same, ok := list.findProcess(e, addr); !ok || same.State != admission.Ready {
			e.State = admission.Draining
		}
	}
	return e
}

// restricted returns what may be used of a list after an answer that contradicts it.
func restricted(used, answer *snapshot) *snapshot {
	list := newSnapshot(used.serial, len(used.entries))
	for k, e := range used.entries {
		previous := e.State
		e = asListed(e, used.addrs[k], answer)
		e.State = min(e.State, previous)
		list.add(e, used.addrs[k])
	}
	return list
}

// asListed returns the entry of a server's process in a list. If the list lacks it, or has a new start of the server,
// it drains.
func asListed(e admission.Entry, addr netip.AddrPort, list *snapshot) admission.Entry {
	if same, ok := list.findProcess(e, addr); ok {
		return same
	}
	e.State = admission.Draining
	return e
}

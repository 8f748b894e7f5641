package discovery

import (
	"math"
	"net/netip"
	"slices"

	"dunereach/admission"
)

// snapshot is the list of servers as one source tells it.
type snapshot struct {
	serial  uint32
	entries []admission.Entry // ready or draining, in the order in which they were told
	addrs   []netip.AddrPort  // of each entry
	at      map[uint32]int    // index of a server
	partial bool              // a server is left out that was never known, as its own records are missing
}

func newSnapshot(serial uint32, size int) *snapshot {
	return &snapshot{serial: serial, entries: make([]admission.Entry, 0, size), addrs: make([]netip.AddrPort, 0, size),
		at: make(map[uint32]int, size)}
}

// clone is a copy that can be changed.
func (s *snapshot) clone() *snapshot {
	c := newSnapshot(s.serial, len(s.entries))
	for k, e := range s.entries {
		c.add(e, s.addrs[k])
	}
	return c
}

// add puts a server behind the others. One that is listed already keeps its place, and drains if either says so.
func (s *snapshot) add(e admission.Entry, addr netip.AddrPort) {
	if k, ok := s.at[e.Engine]; ok {
		s.entries[k].State = min(s.entries[k].State, e.State)
		return
	}
	s.at[e.Engine] = len(s.entries)
	s.entries, s.addrs = append(s.entries, e), append(s.addrs, addr)
}

// remove takes a server off the list, if it is there.
func (s *snapshot) remove(engine uint32) {
	k, ok := s.at[engine]
	if !ok {
		return
	}
	s.entries, s.addrs = slices.Delete(s.entries, k, k+1), slices.Delete(s.addrs, k, k+1)
	delete(s.at, engine)
	for ; k < len(s.entries); k++ {
		s.at[s.entries[k].Engine] = k
	}
}

// has tells whether a server is listed.
func (s *snapshot) has(engine uint32) bool {
	_, ok := s.at[engine]
	return ok
}

// find returns a server as it is listed.
func (s *snapshot) find(engine uint32) (e admission.Entry, addr netip.AddrPort, ok bool) {
	k, ok := s.at[engine]
	if !ok {
		return e, addr, false
	}
	return s.entries[k], s.addrs[k], true
}

// addr is where a server listens, the zero address for one that is not listed.
func (s *snapshot) addr(engine uint32) netip.AddrPort {
	_, addr, _ := s.find(engine)
	return addr
}

// sameStart is how far two tellings of one start may lie apart, in seconds: both are told in milliseconds.
const sameStart = 0.001

// lists returns a process of a server as it is listed: the same start at the same address.
func (s *snapshot) lists(e admission.Entry, addr netip.AddrPort) (same admission.Entry, ok bool) {
	same, place, ok := s.find(e.Engine)
	return same, ok && math.Abs(same.ReadyAt-e.ReadyAt) <= sameStart && place == addr
}

// agrees tells whether two lists are the same: number, servers, states, starts and addresses. Weights may differ, as they can change
// without an event.
func (s *snapshot) agrees(o *snapshot) bool {
	return s.serial == o.serial && s.partial == o.partial && s.sameServers(o)
}

// sameWeights tells whether servers that both lists have weigh the same.
func (s *snapshot) sameWeights(o *snapshot) bool {
	for _, e := range s.entries {
		if other, _, ok := o.find(e.Engine); ok && other.Weight != e.Weight {
			return false
		}
	}
	return true
}

// sameServers tells whether two lists have the same servers, by state, start and address.
func (s *snapshot) sameServers(o *snapshot) bool {
	if len(s.entries) != len(o.entries) {
		return false
	}
	for k, e := range s.entries {
		if same, ok := o.lists(e, s.addrs[k]); !ok || same.State != e.State {
			return false
		}
	}
	return true
}

package discovery

import (
	"math"
	"net/netip"
	"slices"

	"dunereach/admission"
)

// snapshot is the server list as one source reports it.
type snapshot struct {
	serial     uint32
	entries    []admission.Entry // ready or draining, in the reported order
	addrs      []netip.AddrPort  // of each entry
	positions  map[uint32]int    // index of a server
	incomplete bool              // a server that was never known is left out because its own records are missing
}

func newSnapshot(serial uint32, size int) *snapshot {
	return &snapshot{serial: serial, entries: make([]admission.Entry, 0, size), addrs: make([]netip.AddrPort, 0, size),
		positions: make(map[uint32]int, size)}
}

// clone returns a copy that can be changed.
func (s *snapshot) clone() *snapshot {
	c := newSnapshot(s.serial, len(s.entries))
	for k, e := range s.entries {
		c.add(e, s.addrs[k])
	}
	return c
}

// add appends a server. If it is listed already it keeps its position, and drains if either entry does.
func (s *snapshot) add(e admission.Entry, addr netip.AddrPort) {
	if k, ok := s.positions[e.Server]; ok {
		s.entries[k].State = min(s.entries[k].State, e.State)
		return
	}
	s.positions[e.Server] = len(s.entries)
	s.entries, s.addrs = append(s.entries, e), append(s.addrs, addr)
}

// remove removes a server if it is listed.
func (s *snapshot) remove(server uint32) {
	k, ok := s.positions[server]
	if !ok {
		return
	}
	s.entries, s.addrs = slices.Delete(s.entries, k, k+1), slices.Delete(s.addrs, k, k+1)
	delete(s.positions, server)
	for ; k < len(s.entries); k++ {
		s.positions[s.entries[k].Server] = k
	}
}

// has reports whether a server is listed.
func (s *snapshot) has(server uint32) bool {
	_, ok := s.positions[server]
	return ok
}

// find returns a server's entry.
func (s *snapshot) find(server uint32) (e admission.Entry, addr netip.AddrPort, ok bool) {
	k, ok := s.positions[server]
	if !ok {
		return e, addr, false
	}
	return s.entries[k], s.addrs[k], true
}

// addr returns the address of a server, the zero address if it is not listed.
func (s *snapshot) addr(server uint32) netip.AddrPort {
	_, addr, _ := s.find(server)
	return addr
}

// sameStart is the largest difference between two reports of one start, in seconds: both are given in milliseconds.
const sameStart = 0.001

// findProcess returns the entry of a server's process: the same start at the same address.
func (s *snapshot) findProcess(e admission.Entry, addr netip.AddrPort) (same admission.Entry, ok bool) {
	same, listedAddr, ok := s.find(e.Server)
	return same, ok && math.Abs(same.ReadyAt-e.ReadyAt) <= sameStart && listedAddr == addr
}

// equal reports whether two lists have the same number, servers, states, starts and addresses. Weights may differ, as
// they can change without an event.
func (s *snapshot) equal(o *snapshot) bool {
	return s.serial == o.serial && s.incomplete == o.incomplete && s.sameServers(o)
}

// sameWeights reports whether the servers in both lists have the same weights.
func (s *snapshot) sameWeights(o *snapshot) bool {
	for _, e := range s.entries {
		if other, _, ok := o.find(e.Server); ok && other.Weight != e.Weight {
			return false
		}
	}
	return true
}

// sameServers reports whether two lists have the same servers, by state, start and address.
func (s *snapshot) sameServers(o *snapshot) bool {
	if len(s.entries) != len(o.entries) {
		return false
	}
	for k, e := range s.entries {
		if same, ok := o.findProcess(e, s.addrs[k]); !ok || same.State != e.State {
			return false
		}
	}
	return true
}

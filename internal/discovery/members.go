// Package discovery turns what the name server tells into the module's list of engines. It knows no socket.
package discovery

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strings"

	"dunereach/admission"
	"dunereach/internal/dns"
)

// Record is the name that lists all engines.
const Record = "_data._tcp.farm.lan"

// Notice is an event of the list, as the configuration has those of the start.
type Notice struct {
	Rev  uint32 `json:"rev"`
	Pool *struct {
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	} `json:"pool"`
}

// Target is one engine in a notice.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

// Known is all that was told before the start.
type Known struct {
	Rev     uint32   `json:"rev"`
	Notices []Notice `json:"notices"`
}

// Follower holds the list of servers as far as it may be believed (claims.go).
type Follower struct {
	zones, kinds []string
	numbers      map[string]uint32
	names        map[uint32]string
	claims
	asked [64]uint16 // ids of the last questions, ten a second: answers count for as long as news may be on its way
	next  int

	lastAgreed []byte // the last message that told the list in hand, without its id
	lastOdd    error  // what was odd about it
}

// New makes a follower that knows no list yet; zones and kinds are the settings' names in their order.
func New(zones, kinds []string) *Follower {
	f := &Follower{zones: zones, kinds: kinds, numbers: map[string]uint32{}, names: map[uint32]string{}}
	f.settle(newSnapshot(0, 0))
	return f
}

// Start takes in what the configuration holds, in order: the events that are news, or none where one can't be read. The configuration
// needs no second word, unlike an answer.
func (f *Follower) Start(k Known) (fresh bool, err error) {
	was := f.held.serial
	list := f.held.clone()
	for n, event := range k.Notices {
		if event.Rev <= was && was > 0 {
			continue
		}
		list.serial = max(list.serial, event.Rev)
		if event.Pool == nil {
			continue
		}
		if event.Pool.All {
			list = newSnapshot(list.serial, len(event.Pool.Targets))
		}
		for _, t := range event.Pool.Targets {
			if err := f.target(list, t); err != nil {
				return false, fmt.Errorf("known: notice %d: %v", n, err)
			}
		}
	}
	list.serial = max(list.serial, k.Rev)
	fresh = list.serial > was
	switch {
	case was == 0 || fresh && f.confirmed:
		f.settle(list)
	case fresh: // it stands on a list that may not be true
		f.advance(list)
	}
	f.lastAgreed = nil
	return fresh, nil
}

var states = map[string]admission.State{"ready": admission.Ready, "draining": admission.Draining, "gone": admission.Gone}

// target takes one server of a notice into a list.
func (f *Follower) target(list *snapshot, t Target) error {
	state, ok := states[t.State]
	if !ok {
		return fmt.Errorf("engine %s has state %q", t.UID, t.State)
	}
	e := admission.Entry{Engine: f.number(t.UID), Kind: index(f.kinds, t.Kind), Zone: index(f.zones, t.Zone),
		Cell: t.Cell, Weight: t.Weight, ReadyAt: t.BootMs / 1000, State: state}
	list.remove(e.Engine)
	if state == admission.Gone {
		return nil
	}
	addr, err := netip.ParseAddrPort(t.Endpoint)
	if err != nil || e.Kind < 0 || e.Zone < 0 {
		return fmt.Errorf("engine %s: endpoint %q, kind %q, zone %q", t.UID, t.Endpoint, t.Kind, t.Zone)
	}
	list.add(e, addr)
	return nil
}

func index(names []string, name string) int {
	return slices.IndexFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}

// number gives an engine the same number at every router, since routers share a cold engine out by it.
func (f *Follower) number(uid string) uint32 {
	uid = strings.ToLower(uid) // as names in DNS are compared
	if n, ok := f.numbers[uid]; ok {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	n := h.Sum32()
	for f.names[n] != "" || n == 0 { // another has it: rare, and all routers that know both agree
		n++
	}
	f.numbers[uid], f.names[n] = n, uid
	return n
}

// Name is the id of an engine as the list has it.
func (f *Follower) Name(engine uint32) string { return f.names[engine] }

// Addr is where a server listens.
func (f *Follower) Addr(engine uint32) netip.AddrPort { return f.used.addr(engine) }

// List is all servers that are ready or drain. One that is ready may be sent to.
func (f *Follower) List() []admission.Entry { return f.used.entries }

// Ready is how many servers are ready.
func (f *Follower) Ready() (n int) {
	for _, e := range f.used.entries {
		if e.State == admission.Ready {
			n++
		}
	}
	return n
}

// Rev is the number of the list in hand.
func (f *Follower) Rev() uint32 { return f.held.serial }

// Question asks for the list. The id is by chance, since who guesses it could answer in the server's place.
func (f *Follower) Question(b []byte) []byte {
	var id [2]byte
	rand.Read(id[:])
	f.asked[f.next%len(f.asked)] = binary.BigEndian.Uint16(id[:])
	f.next++
	return dns.Query(b, binary.BigEndian.Uint16(id[:]), Record)
}

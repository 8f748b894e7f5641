// Package discovery converts the name server's answers to the admission module's server list. It uses no sockets.
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

// ServiceName is the name whose records list all servers.
const ServiceName = "_data._tcp.farm.lan"

// Event is a change of the server list, as the configuration lists those before the start.
type Event struct {
	Rev  uint32 `json:"rev"`
	Pool *struct {
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	} `json:"pool"`
}

// Target is one server in an event.
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

// ConfiguredList holds the events before the start.
type ConfiguredList struct {
	Rev     uint32  `json:"rev"`
	Notices []Event `json:"notices"`
}

// Follower holds the server list as far as it can be trusted (trust.go).
type Follower struct {
	zones, kinds  []string
	serverNumbers map[string]uint32
	serverNames   map[uint32]string
	trust
	questionIDs   [128]uint16 // IDs of the last queries, ten a second, kept as long as an answer may be in transit
	questionCount int

	lastAgreed  []byte // the last message that matched the current list, without its ID
	lastProblem error  // the problem found in it
}

// New makes a follower without a list. zones and kinds are the names in the settings, in their order.
func New(zones, kinds []string) *Follower {
	f := &Follower{zones: zones, kinds: kinds, serverNumbers: map[string]uint32{}, serverNames: map[uint32]string{}}
	f.reset(newSnapshot(0, 0))
	return f
}

// ApplyConfig applies the events of the configuration in order: those that are new, or none if one is invalid. The
// configuration needs no confirmation, unlike an answer.
func (f *Follower) ApplyConfig(k ConfiguredList) (hasNew bool, err error) {
	previous := f.current.serial
	list := f.current.clone()
	for n, event := range k.Notices {
		if event.Rev <= previous && previous > 0 {
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
			if err := f.applyTarget(list, t); err != nil {
				return false, fmt.Errorf("configuration: notice %d: %v", n, err)
			}
		}
	}
	list.serial = max(list.serial, k.Rev)
	hasNew = list.serial > previous
	switch {
	case previous == 0 || hasNew && f.confirmed:
		f.reset(list)
	case hasNew: // the change builds on a list that is not confirmed
		f.adopt(list)
	}
	f.lastAgreed = nil
	return hasNew, nil
}

var states = map[string]admission.State{"ready": admission.Ready, "draining": admission.Draining, "gone": admission.Gone}

// applyTarget applies one server of an event to a list.
func (f *Follower) applyTarget(list *snapshot, t Target) error {
	state, ok := states[t.State]
	if !ok {
		return fmt.Errorf("server %s has unknown state %q", t.UID, t.State)
	}
	e := admission.Entry{Server: f.number(t.UID), Kind: indexFold(f.kinds, t.Kind), Zone: indexFold(f.zones, t.Zone),
		Cell: t.Cell, Weight: t.Weight, ReadyAt: t.BootMs / 1000, State: state}
	list.remove(e.Server)
	if state == admission.Gone {
		return nil
	}
	addr, err := netip.ParseAddrPort(t.Endpoint)
	if err != nil || e.Kind < 0 || e.Zone < 0 {
		return fmt.Errorf("server %s: invalid endpoint %q, kind %q or zone %q", t.UID, t.Endpoint, t.Kind, t.Zone)
	}
	list.add(e, addr)
	return nil
}

func indexFold(names []string, name string) int {
	return slices.IndexFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}

// number returns the server's number, which is the same at every router, as routers share a cold server by it.
func (f *Follower) number(uid string) uint32 {
	uid = strings.ToLower(uid) // DNS names are compared without regard to case
	if n, ok := f.serverNumbers[uid]; ok {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	n := h.Sum32()
	for f.serverNames[n] != "" || n == 0 { // a hash collision: rare, and all routers that know both servers agree
		n++
	}
	f.serverNumbers[uid], f.serverNames[n] = n, uid
	return n
}

// Name returns the ID of a server as listed.
func (f *Follower) Name(server uint32) string { return f.serverNames[server] }

// Addr returns the address at which a server listens.
func (f *Follower) Addr(server uint32) netip.AddrPort { return f.usable.addr(server) }

// List returns all servers that are ready or draining. Attempts may be sent to those that are ready.
func (f *Follower) List() []admission.Entry { return f.usable.entries }

// Ready returns the number of ready servers.
func (f *Follower) Ready() (n int) {
	for _, e := range f.usable.entries {
		if e.State == admission.Ready {
			n++
		}
	}
	return n
}

// Revision returns the number of the current list.
func (f *Follower) Revision() uint32 { return f.current.serial }

// AppendQuery appends a query for the list. Its ID is random, because whoever guesses it could answer in the name
// server's place.
func (f *Follower) AppendQuery(b []byte) []byte {
	var id [2]byte
	rand.Read(id[:])
	f.questionIDs[f.questionCount%len(f.questionIDs)] = binary.BigEndian.Uint16(id[:])
	f.questionCount++
	return dns.AppendQuery(b, binary.BigEndian.Uint16(id[:]), ServiceName)
}

// queryNumber returns which query had an ID, counted from 1; 0: none of the last ones.
func (f *Follower) queryNumber(id uint16) int {
	for n := f.questionCount; n > max(f.questionCount-len(f.questionIDs), 0); n-- {
		if f.questionIDs[(n-1)%len(f.questionIDs)] == id {
			return n
		}
	}
	return 0
}

package hollow

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"dunereach/admission"
	"dunereach/internal/discovery"
)

// databaseKind is the one kind of databases in the list.
const databaseKind = "std"

// databaseList is what a router holds of the databases: its own copy of what discovery makes of the list.
type databaseList struct {
	entries   []admission.Entry
	addresses map[uint32]netip.AddrPort
	names     map[uint32]string
	numbers   map[string]uint32
}

// read has the list of one process, which is read once: a router's processor time for that is no part of control.
var read struct {
	sync.Mutex
	databases int
	follower  *discovery.Follower
}

// newList is a router's own list of all databases.
func newList(s *Setup) (*databaseList, error) {
	follower, err := readList(s)
	if err != nil {
		return nil, err
	}
	entries := follower.List()
	list := &databaseList{entries: slices.Clone(entries), addresses: make(map[uint32]netip.AddrPort, len(entries)),
		names: make(map[uint32]string, len(entries)), numbers: make(map[string]uint32, len(entries))}
	for _, e := range entries {
		name := follower.Name(e.Server)
		list.addresses[e.Server], list.names[e.Server], list.numbers[name] = follower.Addr(e.Server), name, e.Server
	}
	return list, nil
}

// readList as a router reads it from its configuration.
func readList(s *Setup) (*discovery.Follower, error) {
	read.Lock()
	defer read.Unlock()
	if read.follower != nil && read.databases == s.Databases {
		return read.follower, nil
	}
	zones := make([]string, len(s.Zones))
	for n, zone := range s.Zones {
		zones[n] = zone.Name
	}
	follower := discovery.New(zones, []string{databaseKind})
	if _, err := follower.ApplyConfig(known(s)); err != nil {
		return nil, err
	}
	read.follower, read.databases = follower, s.Databases
	return follower, nil
}

// known is the list as a configuration names it.
func known(s *Setup) discovery.ConfiguredList {
	all := make([]discovery.Target, s.Databases)
	for n := range all {
		all[n] = discovery.Target{UID: fmt.Sprint("db-", n+1), Endpoint: fmt.Sprintf("10.%d.%d.%d:7000", n>>16, n>>8&255, n&255),
			Zone: s.Zones[n%len(s.Zones)].Name, Kind: databaseKind, State: "ready", Weight: 1}
	}
	notice := discovery.Event{Rev: 1}
	notice.Pool = &struct {
		All     bool               `json:"all"`
		Targets []discovery.Target `json:"targets"`
	}{true, all}
	return discovery.ConfiguredList{Rev: 1, Notices: []discovery.Event{notice}}
}

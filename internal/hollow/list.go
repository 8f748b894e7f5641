package hollow

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"dunereach/admission"
	"dunereach/internal/discovery"
)

// databaseKind is the kind of all databases in the list.
const databaseKind = "std"

// databaseList is a router's own copy of the database list as discovery produces it.
type databaseList struct {
	entries   []admission.Entry
	addresses map[uint32]netip.AddrPort
	names     map[uint32]string
	ids       map[string]uint32
}

// listCache is shared by all routers of the process. The list is read only once because the CPU time for reading it is no part of the
// control plane's cost.
var listCache struct {
	sync.Mutex
	databases int
	follower  *discovery.Follower
}

// newList returns a router's own copy of the list of all databases.
func newList(s *Setup) (*databaseList, error) {
	follower, err := cachedFollower(s)
	if err != nil {
		return nil, err
	}
	entries := follower.List()
	list := &databaseList{entries: slices.Clone(entries), addresses: make(map[uint32]netip.AddrPort, len(entries)),
		names: make(map[uint32]string, len(entries)), ids: make(map[string]uint32, len(entries))}
	for _, e := range entries {
		name := follower.Name(e.Server)
		list.addresses[e.Server], list.names[e.Server], list.ids[name] = follower.Addr(e.Server), name, e.Server
	}
	return list, nil
}

// cachedFollower returns a discovery follower that has read the list the way a router reads it from its configuration.
func cachedFollower(s *Setup) (*discovery.Follower, error) {
	listCache.Lock()
	defer listCache.Unlock()
	if listCache.follower != nil && listCache.databases == s.Databases {
		return listCache.follower, nil
	}
	zones := make([]string, len(s.Zones))
	for n, zone := range s.Zones {
		zones[n] = zone.Name
	}
	follower := discovery.New(zones, []string{databaseKind})
	if _, err := follower.ApplyConfig(configuredList(s)); err != nil {
		return nil, err
	}
	listCache.follower, listCache.databases = follower, s.Databases
	return follower, nil
}

// configuredList builds the list of databases as it stands in a configuration.
func configuredList(s *Setup) discovery.ConfiguredList {
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

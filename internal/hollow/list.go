package hollow

import (
	"fmt"
	"sync"

	"dunereach/internal/discovery"
)

// databaseKind is the one kind of databases in the list.
const databaseKind = "std"

var targets struct {
	sync.Mutex
	known map[int]discovery.Known // by number of databases
}

// newList is a router's own list of all databases, read as a real router reads it at its start.
func newList(s *Setup) (*discovery.Follower, error) {
	zones := make([]string, len(s.Zones))
	for n, zone := range s.Zones {
		zones[n] = zone.Name
	}
	list := discovery.New(zones, []string{databaseKind})
	_, err := list.Start(knownList(s))
	return list, err
}

// knownList is the list as a configuration names it; the routers of one process read the same text.
func knownList(s *Setup) discovery.Known {
	targets.Lock()
	defer targets.Unlock()
	if known, ok := targets.known[s.Databases]; ok {
		return known
	}
	all := make([]discovery.Target, s.Databases)
	for n := range all {
		all[n] = discovery.Target{UID: fmt.Sprint("db-", n+1), Endpoint: fmt.Sprintf("10.%d.%d.%d:7000", n>>16, n>>8&255, n&255),
			Zone: s.Zones[n%len(s.Zones)].Name, Kind: databaseKind, State: "ready", Weight: 1}
	}
	notice := discovery.Notice{Rev: 1}
	notice.Pool = &struct {
		All     bool               `json:"all"`
		Targets []discovery.Target `json:"targets"`
	}{true, all}
	known := discovery.Known{Rev: 1, Notices: []discovery.Notice{notice}}
	if targets.known == nil {
		targets.known = map[int]discovery.Known{}
	}
	targets.known[s.Databases] = known
	return known
}

// Package scenario defines fault scenarios for a fleet. The same file is played in virtual time (emulator/fleet) and
// with real processes (internal/faultrig).
package scenario

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// File is one scenario.
type File struct {
	Schema            string  `json:"$schema,omitempty"`
	Name              string  `json:"name" jsonschema:"minLength=1"`
	About             string  `json:"about" jsonschema:"description=What is to be shown, in a sentence."`
	Coordinators      int     `json:"keepers" jsonschema:"minimum=0,maximum=9"`
	Routers           int     `json:"routers" jsonschema:"minimum=1,maximum=300"`
	Zones             int     `json:"zones,omitempty" jsonschema:"minimum=0,maximum=9,description=Keepers and routers are spread over so many; 0 is one."`
	Servers           int     `json:"engines" jsonschema:"minimum=1,maximum=36,description=All of them cold for the whole scenario: each has a work for its warmth."`
	Lease             float64 `json:"lease" jsonschema:"minimum=0.2,maximum=60,description=Seconds."`
	Drift             float64 `json:"drift,omitempty" jsonschema:"minimum=0,maximum=0.3,description=By what share clocks may be off. Absent: 0.05."`
	PersistentFolders bool    `json:"folders,omitempty" jsonschema:"description=Whether routers have a folder that outlives them."`
	Seed              uint64  `json:"seed"`
	Events            []Event `json:"events" jsonschema:"maxItems=200"`
	SettleTime        float64 `json:"settle,omitempty" jsonschema:"description=Seconds after the last event in which all has to be as it should. Absent: three leases and five."`
}

// Event is one fault, or the end of one.
type Event struct {
	After     float64 `json:"after,omitempty" jsonschema:"minimum=0,description=Seconds after the event before it, or after what it waits for."`
	Condition string  `json:"when,omitempty" jsonschema:"enum=owned,enum=moved,enum=dealt,enum=lost,description=What is waited for first: owned is that each work has an owner; moved is that the work of the event before has another; dealt is that parts of it are in use; lost is that no keeper leads."`
	Action    string  `json:"do" jsonschema:"enum=stop,enum=continue,enum=kill,enum=end,enum=start,enum=wipe,enum=cut,enum=hold,enum=heal,enum=release,enum=full,description=stop and continue are signals; kill and end are SIGKILL and SIGTERM; start is again what was killed or ended; wipe empties its folder; cut and hold are of a link; heal ends all of them; release is an operator asking the owner to let go of the first work; full is a disk that takes no more."`
	Target    string  `json:"who,omitempty" jsonschema:"description=leader; owner (of the first work); keeper:2; router:3; zone:1 (its routers); engines:1 (of that zone); keepers; routers; others (routers but the owner)."`
	LinkEnd   string  `json:"to,omitempty" jsonschema:"description=For links, the other end, likewise. The link is cut from who to this."`
	BothWays  bool    `json:"both,omitempty" jsonschema:"description=The way back too."`
	Duration  float64 `json:"for,omitempty" jsonschema:"minimum=0,description=Seconds that a link holds what comes; it goes on then."`
}

//go:embed files/*.json
var files embed.FS

// All returns the embedded scenarios by file name.
func All() (map[string]File, error) {
	list, err := files.ReadDir("files")
	if err != nil {
		return nil, err
	}
	all := map[string]File{}
	for _, x := range list {
		text, err := files.ReadFile("files/" + x.Name())
		if err != nil {
			return nil, err
		}
		f, err := Parse(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %v", x.Name(), err)
		}
		all[strings.TrimSuffix(x.Name(), ".json")] = f
	}
	return all, nil
}

// Parse decodes a scenario, sets the defaults and checks it.
func Parse(text []byte) (f File, err error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err = d.Decode(&f); err != nil {
		return f, err
	}
	if f.Drift == 0 {
		f.Drift = 0.05
	}
	f.Zones = max(f.Zones, 1)
	if f.SettleTime == 0 {
		f.SettleTime = 3*f.Lease + 5
	}
	return f, f.Check()
}

// Check returns an error for the first invalid value.
func (f *File) Check() error {
	if f.Name == "" || f.Routers < 1 || f.Routers > 300 || f.Servers < 1 || f.Servers > 36 || f.Coordinators < 0 || f.Coordinators > 9 || !(f.Lease >= 0.2) {
		return fmt.Errorf("%q: name, routers, engines, keepers or lease is missing or out of range", f.Name)
	}
	for k, e := range f.Events {
		isLink := e.Action == "cut" || e.Action == "hold"
		switch {
		case !slices.Contains([]string{"stop", "continue", "kill", "end", "start", "wipe", "cut", "hold", "heal", "release", "full"}, e.Action):
			return fmt.Errorf("/events/%d/do: unknown action %q", k, e.Action)
		case !slices.Contains([]string{"", "owned", "moved", "dealt", "lost"}, e.Condition):
			return fmt.Errorf("/events/%d/when: unknown condition %q", k, e.Condition)
		case e.Action != "heal" && !f.validTarget(e.Target):
			return fmt.Errorf("/events/%d/who: unknown process or group %q", k, e.Target)
		case isLink && !f.validTarget(e.LinkEnd):
			return fmt.Errorf("/events/%d/to: unknown process or group %q", k, e.LinkEnd)
		case e.Action == "hold" && e.Duration <= 0:
			return fmt.Errorf("/events/%d/for: must be positive for hold", k)
		}
	}
	return nil
}

func (f *File) validTarget(target string) bool {
	switch target {
	case "leader", "followers", "owner", "keepers", "routers", "others":
		return true
	}
	var n int
	kind, number, _ := strings.Cut(target, ":")
	if _, err := fmt.Sscan(number, &n); err != nil {
		return false
	}
	limit := map[string]int{"keeper": f.Coordinators, "router": f.Routers, "zone": f.Zones, "engines": f.Zones}[kind]
	return n >= 1 && n <= limit
}

// Zone returns the zone of the n-th coordinator, router or server, counted from 0.
func (f *File) Zone(n int) string { return fmt.Sprint("z", n%f.Zones+1) }

// FleetState gives the current state of a fleet that selectors depend on.
type FleetState interface {
	Leader() string // name of the leading coordinator, "": none
	Owner() string  // name of the router that owns the first task, "": none
}

// Resolve returns the names of the processes that a selector stands for: k1, k2, ... for coordinators, n1, n2, ... for
// routers and e1, e2, ... for servers.
func (f *File) Resolve(target string, state FleetState) (names []string) {
	addRouters := func(except string) {
		for n := range f.Routers {
			if name := fmt.Sprint("n", n+1); name != except {
				names = append(names, name)
			}
		}
	}
	addCoordinators := func(except string) {
		for n := range f.Coordinators {
			if name := fmt.Sprint("k", n+1); name != except {
				names = append(names, name)
			}
		}
	}
	add := func(name string) {
		if name != "" {
			names = append(names, name)
		}
	}
	switch target {
	case "leader":
		add(state.Leader())
	case "followers":
		addCoordinators(state.Leader())
	case "owner":
		add(state.Owner())
	case "keepers":
		addCoordinators("")
	case "routers":
		addRouters("")
	case "others":
		addRouters(state.Owner())
	default:
		kind, number, _ := strings.Cut(target, ":")
		switch kind {
		case "keeper":
			add("k" + number)
		case "router":
			add("n" + number)
		case "engines":
			for n := range f.Servers {
				if f.Zone(n) == "z"+number {
					add(fmt.Sprint("e", n+1))
				}
			}
		case "zone":
			for n := range f.Routers {
				if f.Zone(n) == "z"+number {
					add(fmt.Sprint("n", n+1))
				}
			}
		}
	}
	return names
}

// Package operator reads the operators' file: settings of this program that the platform does not know, with one optional section for
// each subsystem. A subsystem whose section is missing is off.
package operator

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"dunereach/fairshare"
	"dunereach/internal/netaddr"
	"dunereach/internal/seconds"
)

// EnvVariable is the environment variable with the path of the file; a flag overrides it.
const EnvVariable = "DUNEREACH_OPERATOR"

// File holds all sections. The schema in deploy/operator.schema.json is generated from these types: their names and the texts in the
// tags appear in it.
type File struct {
	Schema  string   `json:"$schema,omitempty" jsonschema:"description=Where the schema lies; editors use it. The router does not."`
	Teams   []Team   `json:"teams,omitempty" jsonschema:"maxItems=20000,description=The teams that compete for engines as a tree: an organisation with franchisees under it and teams under those. Empty or absent: no budgets."`
	Budgets *Budgets `json:"budgets,omitempty" jsonschema:"description=How the budgets of the teams act."`
	Waits   *Waits   `json:"waits,omitempty" jsonschema:"description=What clients are told of waits."`
	Fleet   *Fleet   `json:"fleet,omitempty" jsonschema:"description=Work that one router does on behalf of all, agreed through keepers (dunekeep). Absent: none."`
	State   *State   `json:"state,omitempty" jsonschema:"description=Where this router keeps what it has learned for the process that comes after it. Absent: nowhere."`
	Subset  *Subset  `json:"subset,omitempty" jsonschema:"description=How many databases this router talks to, where the pool has more. Absent: all."`
	Expect  *Expect  `json:"expect,omitempty" jsonschema:"description=Whether a new configuration must hold its expectations."`
}

// Team is one node in the tree of teams.
type Team struct {
	Name    string   `json:"name" jsonschema:"minLength=1,maxLength=100,description=Unique in the file."`
	Parent  string   `json:"under,omitempty" jsonschema:"description=The name of what it belongs to. Absent: the top."`
	Weight  float64  `json:"weight" jsonschema:"exclusiveMinimum=0,maximum=1000000,description=Its part of what its parent has: in proportion to the weights beside it."`
	Floor   float64  `json:"floor,omitempty" jsonschema:"minimum=0,maximum=1,description=Share of the pool's work that it gets before all others while it asks for it."`
	Ceiling float64  `json:"ceiling,omitempty" jsonschema:"minimum=0,maximum=1,description=Share of the pool's work that it never passes for longer than its burst lasts. 0 or absent: none."`
	Burst   float64  `json:"burst,omitempty" jsonschema:"minimum=0,maximum=1000000,description=Core seconds that it may be ahead of its part after idling. Absent: two seconds of its part."`
	Tenants []string `json:"tenants,omitempty" jsonschema:"description=Tenants of the platform's settings whose commands are this team's. Only for teams with none under them."`
}

// Budgets configures how team budgets are applied.
type Budgets struct {
	Default            string   `json:"default" jsonschema:"minLength=1,description=The team of commands whose tenant has none or whose call names an unknown one."`
	RequestMayNameTeam bool     `json:"by_call,omitempty" jsonschema:"description=Whether the field 'team' of a call names its team."`
	Ageing             *float64 `json:"ageing,omitempty" jsonschema:"minimum=0,maximum=1000,description=Within a team: seconds of work per benefit that a second of waiting makes up for. Absent: 0.1."`
	TurnsForBypassed   *bool    `json:"turns,omitempty" jsonschema:"description=Whether a command whose turn was passed over gets the next places that come free. Absent: true."`
	MaxPriorityChanges *float64 `json:"changes,omitempty" jsonschema:"minimum=0,maximum=1000,description=Changes of priority of running sends a second at most; 0 lowers none. Absent: 20."`
	ProtectSpilling    *bool    `json:"guard_spill,omitempty" jsonschema:"description=Whether sends that spill to disk are never lowered and are raised again. Absent: true."`
}

// Waits configures which waiting times clients are sent.
type Waits struct {
	SendWaits bool `json:"fields" jsonschema:"description=Whether answers and refusals carry wait_p50 and wait_p90 and waited in milliseconds."`
}

// Fleet configures this router's membership in the fleet. The length of leases is not set here: the coordinators fix it when the
// registry is created.
type Fleet struct {
	Coordinators []string            `json:"keepers" jsonschema:"minItems=1,maxItems=9,description=Addresses and ports of the keepers. Loopback or private ones only."`
	Zone         string              `json:"zone,omitempty" jsonschema:"maxLength=120,description=This router's zone; owners near a work's place come first. Absent: the settings' zone."`
	Region       string              `json:"region,omitempty" jsonschema:"maxLength=120,description=This router's region."`
	TaskKinds    []string            `json:"works,omitempty" jsonschema:"uniqueItems=true,enum=warmth,enum=trial,enum=quota,enum=plan,description=Kinds of work that this router takes part in and may own: warmth deals out cold engines' allowances; trial tries suspected engines for all; quota deals out tenants' quotas; plan makes the shares of work between zones. All routers have to name the same. Absent: all."`
	Regions      map[string][]string `json:"regions,omitempty" jsonschema:"description=Zones of the settings by region: work goes to another region only after the zones of its own. Absent: all are near."`
	From         string              `json:"from,omitempty" jsonschema:"description=Address that calls to keepers come from. Absent: the system's choice."`
	Trace        bool                `json:"trace,omitempty" jsonschema:"description=Whether each act on behalf of the fleet is logged, for looking at a fault: some lines a second for each cold engine."`
	Folder       string              `json:"folder,omitempty" jsonschema:"description=Where fences are kept that must outlive the process. Absent: a router that restarts leaves cold engines alone for some five seconds."`
}

// State configures the state that a router keeps across restarts. Only the folder is required.
type State struct {
	Folder            string           `json:"folder" jsonschema:"minLength=1,description=Where the files lie; routers of different names may share it."`
	SnapshotInterval  seconds.Duration `json:"snapshot_s,omitempty" jsonschema:"description=Time between two snapshots of all that is known: 30s or a number of seconds. Absent: 30."`
	FastStateInterval seconds.Duration `json:"record_s,omitempty" jsonschema:"description=Time between two records of what changes fast: as much may be lost by a kill. 1s or a number of seconds. Absent: 1."`
	MaxMB             float64          `json:"most_mb,omitempty" jsonschema:"minimum=0,maximum=1024,description=All files together. Absent: 32."`
	MaxCPU            float64          `json:"cpu,omitempty" jsonschema:"minimum=0,maximum=1,description=Part of a core that writing may take. Absent: 0.01."`
	MaxBytesPerSecond float64          `json:"bytes_s,omitempty" jsonschema:"minimum=0,description=Bytes a second that writing may take. Absent: 1048576."`
}

// Check makes the checks of the section that the schema can't express.
func (f *Fleet) Check() error {
	if f == nil {
		return nil
	}
	if f.From != "" {
		if _, err := netip.ParseAddr(f.From); err != nil {
			return fmt.Errorf("/fleet/from: %v", err)
		}
	}
	for k, a := range f.Coordinators {
		if err := netaddr.CheckPrivate(a); err != nil {
			return fmt.Errorf("/fleet/keepers/%d: %v", k, err)
		}
	}
	return nil
}

// Expect configures whether a new configuration that fails its expectations is rejected.
type Expect struct {
	Folder        string           `json:"folder" jsonschema:"minLength=1,description=Where the expectations lie."`
	RejectFailing bool             `json:"refuse" jsonschema:"description=Whether SIGHUP takes no configuration that fails them."`
	Timeout       seconds.Duration `json:"seconds,omitempty" jsonschema:"description=How long checking may take: 1m or a number of seconds. Absent: 60. What is not checked by then is not taken."`
	MemoryMB      float64          `json:"memory_mb,omitempty" jsonschema:"minimum=0,description=What the checking program aims to keep to. Absent: 256."`
}

// Load reads a file. With an empty path there is no file and all subsystems are off. check validates the text against the schema; the
// router runs another program for it, because the schema library takes over 2 MB at rest.
func Load(path string, check func(text []byte) error) (f File, err error) {
	if path == "" {
		return f, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return f, fmt.Errorf("operators' file: %v", err)
	}
	if err = check(text); err == nil {
		err = json.Unmarshal(text, &f)
	}
	if err != nil {
		return f, fmt.Errorf("operators' file %s: %v", path, err)
	}
	return f, nil
}

// Spec returns the teams and budgets of the file as a specification for package fairshare. tenants are the tenant names of the settings.
func (f *File) Spec(tenants []string) (s fairshare.Spec, err error) {
	orDefault := func(p *float64, defaultValue float64) float64 {
		if p == nil {
			return defaultValue
		}
		return *p
	}
	var b Budgets
	if f.Budgets != nil {
		b = *f.Budgets
	}
	s = fairshare.Spec{Default: b.Default, RequestMayNameTeam: b.RequestMayNameTeam, TurnsForBypassed: b.TurnsForBypassed == nil || *b.TurnsForBypassed,
		Ageing:             orDefault(b.Ageing, 0.1),            // behind an endless flood of their own team 0.34 of reports were sent at 0.07, 0.74 at 0.1, 0.95 at 0.14
		MaxPriorityChanges: orDefault(b.MaxPriorityChanges, 20), // per second: some hundred attempts run, and a wave of some seconds may lower the priority of each
		// An attempt that spills to disk at low priority holds its memory for longer; that costs more than the processor time it yields.
		ProtectSpilling: b.ProtectSpilling == nil || *b.ProtectSpilling}
	for i, t := range f.Teams {
		n := fairshare.Node{Name: t.Name, Under: t.Parent, Weight: t.Weight, Floor: t.Floor, Ceiling: t.Ceiling, Burst: t.Burst}
		for k, name := range t.Tenants {
			tenant := slices.Index(tenants, name)
			if tenant < 0 {
				return s, fmt.Errorf("/teams/%d/tenants/%d: %q is no tenant of the settings", i, k, name)
			}
			n.Tenants = append(n.Tenants, tenant)
		}
		s.Nodes = append(s.Nodes, n)
	}
	return s, s.Check()
}

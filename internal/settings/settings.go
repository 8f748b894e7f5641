// Package settings reads the JSON settings that the simulator's wire protocol and the router's configuration share.
package settings

import (
	"encoding/json"
	"fmt"
	"slices"

	"dunereach/admission"
)

const ms = 1e-3

// Settings are the settings of package admission and those that only the code around it uses. Times are in seconds.
type Settings struct {
	Admission       admission.Settings
	LoadFields      []string // names of the load report values, in order
	Profiles        []string // names by profile number
	Tenants         []string
	Zones, Kinds    []string
	ConnIdle        float64   // servers close connections that are idle for this long
	ConnectTimeout  float64   // a connection that is not established by then never will be
	MaxStreams      int       // attempts in progress allowed on one connection
	MaxOpenRequests int       // limit of open requests; further ones are not accepted
	LongestTimeout  float64   // the longest client timeout of all profiles
	ClientTimeouts  []float64 // client timeouts by profile
}

// bootInfo is the JSON form of the settings; times are in milliseconds. Its field names are the keys of the JSON. Unknown keys are
// ignored.
type bootInfo struct {
	Balancers, Me, MyZone int
	Tick                  float64
	Discovery             string
	OverShareWorth        float64
	Dcs, Kinds            []string
	Classes               []struct {
		Name                                          string
		Aim, AimStretch, Deadline, DedupWindow, Worth float64
		Effect, Group                                 string
		ByArrival                                     bool
		RunsIn, KindsOnly                             []int
	}
	FamilyInfo struct {
		CPUOfKind   []float64 `json:"CpuOfKind"`
		Dop         []int
		RanksHeeded bool
	}
	Limits struct {
		Cancel, Peers, Probes, RetryAfter bool
		MaxRetryAfter                     float64
		ConnIdle, ConnectTimeout          float64
		SendCap, MaxStreams, OpenCap      int
	}
	LoadInfo struct {
		Fields []string
		Via    string
	}
	Obligations struct {
		ColdFrom, Fall, FallMultiple, WarmUp, KeyRest float64
		ExtraFree, FurtherRatio, LookBack             *float64
	}
	Realms []struct {
		Name      string
		QuotaPerS float64
	}
}

var effects = map[string]admission.Effect{
	"safe": admission.Idempotent, "keyed": admission.IdempotentByKey, "unsafe": admission.NonIdempotent,
}

var groups = map[string]admission.Group{
	"": admission.GroupAll, "all": admission.GroupAll, "zone": admission.GroupZone, "cell": admission.GroupCell,
}

// negative finds a negative value that must not be negative and returns its place; place is empty if there is none.
func (b *bootInfo) negative() (place string, v float64) {
	find := func(where string, value float64) {
		if place == "" && value < 0 {
			place, v = where, value
		}
	}
	for i, c := range b.Classes {
		for _, f := range [...]struct {
			name  string
			value float64
		}{{"Aim", c.Aim}, {"AimStretch", c.AimStretch}, {"Deadline", c.Deadline}, {"DedupWindow", c.DedupWindow},
			{"Worth", c.Worth}} {
			find(fmt.Sprintf("/Classes/%d/%s", i, f.name), f.value)
		}
	}
	for i, r := range b.Realms {
		find(fmt.Sprintf("/Realms/%d/QuotaPerS", i), r.QuotaPerS)
	}
	for i, cores := range b.FamilyInfo.CPUOfKind {
		find(fmt.Sprintf("/FamilyInfo/CpuOfKind/%d", i), cores)
	}
	find("/Tick", b.Tick)
	find("/Limits/ConnIdle", b.Limits.ConnIdle)
	find("/Limits/ConnectTimeout", b.Limits.ConnectTimeout)
	find("/Limits/MaxRetryAfter", b.Limits.MaxRetryAfter)
	find("/Obligations/WarmUp", b.Obligations.WarmUp)
	find("/Obligations/Fall", b.Obligations.Fall)
	return place, v
}

// Parse reads the JSON settings. seed seeds the random numbers of package admission.
func Parse(text []byte, seed uint64) (all Settings, err error) {
	var b bootInfo
	if err = json.Unmarshal(text, &b); err != nil {
		return all, fmt.Errorf("settings: %v", err)
	}
	if place, v := b.negative(); place != "" {
		return all, fmt.Errorf("settings: %s: %v is negative", place, v)
	}
	if b.Balancers > 1<<16 || b.Me < 0 {
		return all, fmt.Errorf("settings: invalid instance number %d of %d", b.Me, b.Balancers)
	}
	all = Settings{
		LoadFields: b.LoadInfo.Fields, Zones: b.Dcs, Kinds: b.Kinds,
		ConnIdle: b.Limits.ConnIdle * ms, ConnectTimeout: b.Limits.ConnectTimeout * ms,
		MaxStreams: b.Limits.MaxStreams, MaxOpenRequests: b.Limits.OpenCap,
	}
	all.Admission = admission.Settings{
		Seed: seed, Me: b.Me, Routers: max(b.Balancers, 1), Zone: b.MyZone, Tick: b.Tick * ms,
		OverShareBenefit: b.OverShareWorth, KindCores: b.FamilyInfo.CPUOfKind, Ask: b.Discovery == "ask",
		Cancels: b.Limits.Cancel, Peers: b.Limits.Peers,
		Priorities: b.FamilyInfo.RanksHeeded,
		MaxSends:   b.Limits.SendCap,
		ColdFrom:   b.Obligations.ColdFrom, WarmUp: b.Obligations.WarmUp * ms,
		FallMultiple: b.Obligations.FallMultiple, FallWindow: b.Obligations.Fall * ms,
		KeyRest: b.Obligations.KeyRest * ms,
	}
	s := &all.Admission
	if b.Limits.RetryAfter {
		s.MaxPause = b.Limits.MaxRetryAfter * ms
	}
	s.ProbeLoads = b.Limits.Probes && b.LoadInfo.Via != "off" && slices.Contains(b.LoadInfo.Fields, "active")
	if o := b.Obligations; o.LookBack != nil && *o.LookBack > 0 {
		s.BudgetWindow = *o.LookBack * ms
		if o.ExtraFree != nil {
			s.BudgetFree = *o.ExtraFree
		}
		if o.FurtherRatio != nil {
			s.BudgetShare = *o.FurtherRatio
		}
	}
	for _, t := range b.Realms {
		all.Tenants = append(all.Tenants, t.Name)
		s.Tenants = append(s.Tenants, admission.Tenant{QuotaPerS: t.QuotaPerS})
	}
	for i, c := range b.Classes {
		p, err := b.profile(i)
		if err != nil {
			return all, err
		}
		s.Profiles = append(s.Profiles, p)
		all.Profiles = append(all.Profiles, c.Name)
		all.LongestTimeout = max(all.LongestTimeout, c.Deadline*ms)
		all.ClientTimeouts = append(all.ClientTimeouts, c.Deadline*ms)
	}
	if len(s.Profiles) == 0 {
		return all, fmt.Errorf("settings: no classes")
	}
	return all, nil
}

// profile converts one class into a profile of the admission controller.
func (b *bootInfo) profile(i int) (p admission.Profile, err error) {
	c := &b.Classes[i]
	effect, knownEffect := effects[c.Effect]
	group, knownGroup := groups[c.Group]
	if !knownEffect || !knownGroup {
		return p, fmt.Errorf("settings: class %d: unknown effect %q or group %q", i, c.Effect, c.Group)
	}
	p = admission.Profile{
		Target: c.Aim * ms, Stretch: c.AimStretch, Benefit: c.Worth,
		Effect: effect, Group: group, Window: c.DedupWindow * ms,
		Ordered: c.ByArrival, Zones: c.RunsIn, Kinds: c.KindsOnly, Threads: 1,
	}
	if i < len(b.FamilyInfo.Dop) {
		p.Threads = max(b.FamilyInfo.Dop[i], 1)
	}
	return p, nil
}

package benchwire

import (
	"encoding/json"
	"fmt"
	"slices"

	"dunereach/brain"
)

// bootInfo is the wire's settings; times are in milliseconds. Unknown keys are skipped.
type bootInfo struct {
	Balancers, Me, MyZone int
	Tick                  float64
	Discovery             string
	OverShareWorth        float64
	Classes               []struct {
		Aim, AimStretch, DedupWindow, Worth float64
		Effect, Group                       string
		ByArrival                           bool
		RunsIn, KindsOnly                   []int
	}
	FamilyInfo struct {
		CpuOfKind   []float64
		Dop         []int
		RanksHeeded bool
	}
	Limits struct {
		Cancel, Peers, Probes, RetryAfter bool
		MaxRetryAfter                     float64
		SendCap                           int
	}
	LoadInfo struct {
		Fields []string
		Via    string
	}
	Obligations struct {
		ColdFrom, Fall, FallMultiple, WarmUp, KeyRest float64
		ExtraFree, FurtherRatio, LookBack             *float64
	}
	Realms []struct{ QuotaPerS float64 }
}

var effects = map[string]brain.Effect{
	"safe": brain.Replayable, "keyed": brain.Uniqued, "unsafe": brain.NonReplayable,
}

var groups = map[string]brain.Group{
	"": brain.GroupAll, "all": brain.GroupAll, "zone": brain.GroupZone, "cell": brain.GroupCell,
}

// settings turns the wire's settings into the module's, and gives the order of load report values.
func settings(text []byte, seed uint64) (s brain.Settings, fields []string, err error) {
	var b bootInfo
	if err = json.Unmarshal(text, &b); err != nil {
		return s, nil, fmt.Errorf("settings: %v", err)
	}
	if b.Balancers > 1<<16 || b.Me < 0 {
		return s, nil, fmt.Errorf("settings: instance %d of %d", b.Me, b.Balancers)
	}
	s = brain.Settings{
		Seed: seed, Me: b.Me, Routers: max(b.Balancers, 1), Zone: b.MyZone, Tick: b.Tick * ms,
		OverShareBenefit: b.OverShareWorth, KindCores: b.FamilyInfo.CpuOfKind, Ask: b.Discovery == "ask",
		Cancels: b.Limits.Cancel, Peers: b.Limits.Peers,
		Priorities: b.FamilyInfo.RanksHeeded,
		MaxSends:   b.Limits.SendCap,
		ColdFrom:   b.Obligations.ColdFrom, WarmUp: b.Obligations.WarmUp * ms,
		FallMultiple: b.Obligations.FallMultiple, FallWindow: b.Obligations.Fall * ms,
		KeyRest: b.Obligations.KeyRest * ms,
	}
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
		s.Tenants = append(s.Tenants, brain.Tenant{QuotaPerS: t.QuotaPerS})
	}
	for i, c := range b.Classes {
		effect, ok := effects[c.Effect]
		group, ok2 := groups[c.Group]
		if !ok || !ok2 {
			return s, nil, fmt.Errorf("settings: class %d has effect %q, group %q", i, c.Effect, c.Group)
		}
		p := brain.Profile{
			Target: c.Aim * ms, Stretch: c.AimStretch, Benefit: c.Worth,
			Effect: effect, Group: group, Window: c.DedupWindow * ms,
			Ordered: c.ByArrival, Zones: c.RunsIn, Kinds: c.KindsOnly, Threads: 1,
		}
		if i < len(b.FamilyInfo.Dop) {
			p.Threads = max(b.FamilyInfo.Dop[i], 1)
		}
		s.Profiles = append(s.Profiles, p)
	}
	if len(s.Profiles) == 0 {
		return s, nil, fmt.Errorf("settings: no classes")
	}
	return s, b.LoadInfo.Fields, nil
}

package expect

import (
	"encoding/json"
	"fmt"
)

// Mutant is a configuration that was broken in one way.
type Mutant struct {
	Name       string
	DetectedBy []string // expectations that do not hold with this configuration
	Err        error    // the configuration's own validation rejected it
}

// mutations break a configuration: its settings and the operators' file, as JSON values. Each function reports whether
// it changed anything.
var mutations = []struct {
	name  string
	apply func(settings, operator map[string]any) bool
}{
	{"quotas gone", func(s, _ map[string]any) bool {
		return each(s, "Realms", func(r map[string]any) bool { return set(r, "QuotaPerS", 1e9) })
	}},
	{"quotas a hundredth", func(s, _ map[string]any) bool {
		return each(s, "Realms", func(r map[string]any) bool { return scale(r, "QuotaPerS", 0.01) })
	}},
	{"requests over quota worth as much", func(s, _ map[string]any) bool { return set(s, "OverShareWorth", 1.0) }},
	{"priorities off", func(s, _ map[string]any) bool { return set(in(s, "FamilyInfo"), "RanksHeeded", false) }},
	{"threads of all profiles one", func(s, _ map[string]any) bool { return set(in(s, "FamilyInfo"), "Dop", []any{1.0, 1.0, 1.0, 1.0}) }},
	{"threads of all profiles eight", func(s, _ map[string]any) bool { return set(in(s, "FamilyInfo"), "Dop", []any{8.0, 8.0, 8.0, 8.0}) }},
	{"cold rule absent", func(s, _ map[string]any) bool { return set(in(s, "Obligations"), "WarmUp", 0.0) }},
	{"cold servers take a hundred times as much", func(s, _ map[string]any) bool { return scale(in(s, "Obligations"), "FallMultiple", 100) }},
	{"attempts unlimited", func(s, _ map[string]any) bool { return set(in(s, "Limits"), "SendCap", 1000.0) }},
	{"one attempt only", func(s, _ map[string]any) bool { return set(in(s, "Limits"), "SendCap", 1.0) }},
	{"retry budget gone", func(s, _ map[string]any) bool { return set(in(s, "Obligations"), "LookBack", 0.0) }},
	{"retry budget zero", func(s, _ map[string]any) bool {
		return set(in(s, "Obligations"), "ExtraFree", 0.0) && set(in(s, "Obligations"), "FurtherRatio", 0.0)
	}},
	{"grace ten times", func(s, _ map[string]any) bool { return scale(in(s, "Obligations"), "DrainGrace", 10) }},
	{"placement dropped", func(s, _ map[string]any) bool {
		return each(s, "Classes", func(c map[string]any) bool {
			a, b := drop(c, "RunsIn"), drop(c, "KindsOnly")
			return a || b
		})
	}},
	{"order dropped", func(s, _ map[string]any) bool {
		return each(s, "Classes", func(c map[string]any) bool { return drop(c, "ByArrival") })
	}},
	{"rest time of keys gone", func(s, _ map[string]any) bool { return set(in(s, "Obligations"), "KeyRest", 0.0) }},
	{"all profiles may run twice", func(s, _ map[string]any) bool {
		return each(s, "Classes", func(c map[string]any) bool { return set(c, "Effect", "safe") })
	}},
	{"no profile may run twice", func(s, _ map[string]any) bool {
		return each(s, "Classes", func(c map[string]any) bool { return set(c, "Effect", "unsafe") })
	}},
	{"latency targets a twentieth", func(s, _ map[string]any) bool {
		return each(s, "Classes", func(c map[string]any) bool { return scale(c, "Aim", 0.05) && set(c, "AimStretch", 0.0) })
	}},
	{"latency targets twenty times", func(s, _ map[string]any) bool {
		return each(s, "Classes", func(c map[string]any) bool { return scale(c, "Aim", 20) })
	}},
	{"benefits equal", func(s, _ map[string]any) bool {
		return each(s, "Classes", func(c map[string]any) bool { return set(c, "Worth", 1.0) })
	}},
	{"pauses not sent to clients", func(s, _ map[string]any) bool { return set(in(s, "Limits"), "RetryAfter", false) }},
	{"pauses a hundred times", func(s, _ map[string]any) bool { return scale(in(s, "Limits"), "MaxRetryAfter", 100) }},
	{"cores of all kinds one", func(s, _ map[string]any) bool {
		return set(in(s, "FamilyInfo"), "CpuOfKind", []any{1.0, 1.0, 1.0, 1.0})
	}},
	{"routers ten times as many", func(s, _ map[string]any) bool { return scale(s, "Balancers", 10) }},
	{"teams gone", func(_, o map[string]any) bool { return drop(o, "teams") }},
	{"weights of teams equal", func(_, o map[string]any) bool {
		return each(o, "teams", func(t map[string]any) bool { return set(t, "weight", 1.0) })
	}},
	{"a tenant in the wrong team", func(_, o map[string]any) bool {
		list, _ := o["teams"].([]any)
		var from, to map[string]any
		for _, x := range list {
			t := x.(map[string]any)
			if names, _ := t["tenants"].([]any); len(names) > 0 && from == nil {
				from = t
			} else if len(names) > 0 {
				to = t
			}
		}
		if from == nil || to == nil {
			return false
		}
		from["tenants"], to["tenants"] = to["tenants"], from["tenants"]
		return true
	}},
	{"floors and ceilings gone", func(_, o map[string]any) bool {
		return each(o, "teams", func(t map[string]any) bool {
			a, b := drop(t, "floor"), drop(t, "ceiling")
			return a || b
		})
	}},
	{"no ageing", func(_, o map[string]any) bool { return set(in(o, "budgets"), "ageing", 0.0) }},
	{"no turns", func(_, o map[string]any) bool { return set(in(o, "budgets"), "turns", false) }},
	{"waits section gone", func(_, o map[string]any) bool { return drop(o, "waits") }},
}

// set sets a key and reports whether its value changed.
func set(m map[string]any, key string, v any) bool {
	if m == nil {
		return false
	}
	same := fmt.Sprint(m[key]) == fmt.Sprint(v)
	m[key] = v
	return !same
}

// scale multiplies a number by a factor and reports whether it changed.
func scale(m map[string]any, key string, factor float64) bool {
	v, ok := m[key].(float64)
	if ok {
		m[key] = v * factor
	}
	return ok && v != 0
}

// drop removes a key and reports whether it was set.
func drop(m map[string]any, key string) bool {
	_, ok := m[key]
	delete(m, key)
	return ok
}

// in returns the object under a key, nil if there is none.
func in(m map[string]any, key string) map[string]any {
	sub, _ := m[key].(map[string]any)
	return sub
}

// each applies a function to every object of a list and reports whether any of them changed.
func each(m map[string]any, key string, apply func(map[string]any) bool) (changed bool) {
	list, _ := m[key].([]any)
	for _, x := range list {
		if sub, ok := x.(map[string]any); ok && apply(sub) {
			changed = true
		}
	}
	return changed
}

// CheckMutations breaks the configuration in each known way that applies to it and returns which expectations detect that. An
// expectation's own changes of the settings are applied afterwards, so it detects only breaks of settings that it
// leaves unchanged.
func CheckMutations(u Configuration, sources []Source, o Options, progress func(name string)) (all []Mutant, err error) {
	for _, m := range mutations {
		var config map[string]any
		operator := map[string]any{}
		if err := json.Unmarshal(u.Config, &config); err != nil {
			return nil, err
		}
		if err := json.Unmarshal(u.Operator, &operator); err != nil {
			return nil, err
		}
		if !m.apply(in(config, "settings"), operator) {
			continue
		}
		progress(m.name)
		broken := Configuration{}
		if broken.Config, err = json.Marshal(config); err != nil {
			return nil, err
		}
		if broken.Operator, err = json.Marshal(operator); err != nil {
			return nil, err
		}
		mutant := Mutant{Name: m.name}
		if _, err := newSimulation(broken, &File{}, &Expectation{}, 1); err != nil {
			mutant.Err = err
		} else {
			for _, r := range Check(broken, sources, o) {
				if !r.Held() {
					mutant.DetectedBy = append(mutant.DetectedBy, r.Name)
				}
			}
		}
		all = append(all, mutant)
	}
	return all, nil
}

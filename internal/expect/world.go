package expect

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"dunereach/emulator/cluster"
	"dunereach/emulator/engine"
	"dunereach/fairshare"
	"dunereach/internal/config"
	"dunereach/internal/operator"
	"dunereach/internal/settings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Under is the configuration under test, as texts: the router's file, and the operators' ("{}" for none).
type Under struct{ Config, Operator []byte }

// world is what one expectation is played on.
type world struct {
	set      cluster.Settings
	settings settings.Settings
	spec     fairshare.Spec
	teams    []string // by handle
	grace    float64
	named    []string // engines by name
	notes    []string // events on engines that the list of that moment does not have
}

// fault tells where an expectation can't be used.
func fault(place, cause string, args ...any) error {
	return fmt.Errorf("%s: %s", place, fmt.Sprintf(cause, args...))
}

// build makes the world of an expectation: the configuration with the changes that its file and it make, servers and traffic.
func build(u Under, f *File, e *Expectation, seed uint64) (*world, error) {
	w := &world{}
	given := []*Given{&f.Given, &e.Given}
	op, err := w.configure(u, given, seed)
	if err != nil {
		return nil, err
	}
	t := &w.set
	*t = cluster.Settings{Seed: seed, Brain: w.settings.Admission, Zones: w.settings.Zones, Kinds: w.settings.Kinds,
		Length: 30, Routers: w.settings.Admission.Routers, Waits: op.Waits != nil}
	// What needs probes, word from other routers or asking for the list is not in a router on sockets either.
	t.Brain.Peers, t.Brain.ProbeLoads, t.Brain.Ask = false, false, false
	var tree *fairshare.Tree
	if len(w.spec.Nodes) > 0 {
		t.Teams = &w.spec
		if tree, err = fairshare.New(w.spec, 0); err != nil {
			return nil, err
		}
		for h := range tree.TeamCount() {
			w.teams = append(w.teams, tree.Name(h))
		}
	}
	engines, traffic := f.Given.Engines, f.Given.Traffic
	for _, g := range given {
		if g.Seconds > 0 {
			t.Length = g.Seconds
		}
		if g.Routers > 0 {
			t.Routers = g.Routers
		}
	}
	if len(e.Given.Engines) > 0 {
		engines = e.Given.Engines
	}
	if len(e.Given.Traffic) > 0 {
		traffic = e.Given.Traffic
	}
	if err := w.engines(engines, u); err != nil {
		return nil, err
	}
	if err := w.traffic(traffic, tree); err != nil {
		return nil, err
	}
	return w, w.happens(e.Happens, seed)
}

// configure reads the settings and the operators' file, each with the merge patches that are given (RFC 7396).
func (w *world) configure(u Under, given []*Given, seed uint64) (op operator.File, err error) {
	var file struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(u.Config, &file); err != nil {
		return op, fault("configuration", "%v", err)
	}
	operators, set := u.Operator, []byte(file.Settings)
	for _, g := range given {
		if len(g.Settings) > 0 {
			if set, err = jsonpatch.MergePatch(set, g.Settings); err != nil {
				return op, fault("/given/settings", "%v", err)
			}
		}
		if len(g.Operator) > 0 {
			if operators, err = jsonpatch.MergePatch(operators, g.Operator); err != nil {
				return op, fault("/given/operator", "%v", err)
			}
		}
	}
	if w.settings, err = settings.Parse(set, seed); err != nil {
		return op, err
	}
	var rules struct{ Obligations struct{ DrainGrace float64 } }
	json.Unmarshal(set, &rules) // Parse has read it
	w.grace = rules.Obligations.DrainGrace / 1000
	if err = json.Unmarshal(operators, &op); err != nil {
		return op, fault("operators' file", "%v", err)
	}
	if w.spec, err = op.Spec(w.settings.Tenants); err != nil {
		return op, fault("operators' file", "%v", err)
	}
	return op, nil
}

const mostEngines, mostCommands = 1000, 2e6 // what a machine plays in half a minute

func (w *world) engines(list []Engines, u Under) error {
	if len(list) == 0 {
		c, err := config.Parse(u.Config, "x", "127.0.0.1:1")
		if err != nil {
			return err
		}
		for _, n := range c.Known.Notices {
			if n.Pool == nil {
				continue
			}
			for _, t := range n.Pool.Targets {
				list = append(list, Engines{Name: t.UID, Kind: t.Kind, Zone: t.Zone, Cell: t.Cell})
			}
		}
	}
	t := &w.set
	for n, g := range list {
		place := fmt.Sprintf("/given/engines/%d", n)
		kind, zone := 0, 0
		if g.Kind != "" {
			if kind = slices.Index(w.settings.Kinds, g.Kind); kind < 0 {
				return fault(place+"/kind", "%q is no kind of the settings", g.Kind)
			}
		}
		if g.Zone != "" {
			if zone = slices.Index(w.settings.Zones, g.Zone); zone < 0 {
				return fault(place+"/zone", "%q is no zone of the settings", g.Zone)
			}
		}
		cores := 1.0
		if kind < len(t.Brain.KindCores) {
			cores = t.Brain.KindCores[kind]
		}
		for k := range max(g.Count, 1) {
			name := g.Name
			if g.Count > 1 {
				name = fmt.Sprintf("%s-%d", g.Name, k+1)
			}
			if slices.Contains(w.named, name) {
				return fault(place+"/name", "there are two engines %q", name)
			}
			if w.named = append(w.named, name); len(w.named) > mostEngines {
				return fault(place, "more than %d engines", mostEngines)
			}
			t.Engines = append(t.Engines, cluster.Engine{Name: name, Kind: kind, Zone: zone, Cell: g.Cell, Absent: g.Absent,
				Settings: engine.Settings{Cores: cores, Speed: g.Pace, Sessions: g.Sessions, Memory: g.Memory, Spill: 3,
					Knee: 2, Thrash: 0.3, Notes: 2}})
		}
	}
	return nil
}

func (w *world) traffic(list []Traffic, tree *fairshare.Tree) error {
	sum := 0.0
	for n, g := range list {
		place := fmt.Sprintf("/given/traffic/%d", n)
		s := cluster.Stream{Name: g.Name, Work: g.Work, CV: g.Spread, Memory: g.Memory, Deadline: g.Deadline, Scatter: g.Scatter,
			Bias: g.Bias, Blind: g.Blind, Keys: g.Keys, Tries: g.Tries, Ignores: g.Ignores}
		if s.Profile = slices.Index(w.settings.Profiles, g.Profile); s.Profile < 0 {
			return fault(place+"/profile", "%q is no profile of the settings", g.Profile)
		}
		if g.Tenant != "" {
			if s.Tenant = slices.Index(w.settings.Tenants, g.Tenant); s.Tenant < 0 {
				return fault(place+"/tenant", "%q is no tenant of the settings", g.Tenant)
			}
		}
		if tree != nil {
			s.Team = tree.TeamOf(s.Tenant, []byte(g.Team))
			if g.Team != "" && w.teams[s.Team] != g.Team {
				return fault(place+"/team", "a call can't name the team %q", g.Team)
			}
		}
		if s.Deadline == 0 {
			s.Deadline = w.settings.ClientTimeouts[s.Profile]
		}
		s.Rate, s.Peak = cluster.Steady(g.Rate)
		if sum += g.Rate * w.set.Length; sum > mostCommands {
			return fault(place+"/rate", "more than %.0f commands in all", mostCommands)
		}
		w.set.Streams = append(w.set.Streams, s)
	}
	return nil
}

func (w *world) happens(list []Event, seed uint64) error {
	rnd := rand.New(rand.NewPCG(seed, 2))
	last := 0.0
	gone := make([]bool, len(w.named)) // as the list of that moment has it
	for k, e := range w.set.Engines {
		gone[k] = e.Absent
	}
	rev := 1
	for n, g := range list {
		place := fmt.Sprintf("/happens/%d", n)
		if g.At < last {
			return fault(place+"/at", "%v s comes before the event above it, at %v s", g.At, last)
		}
		last = g.At
		act, ok := cluster.ActOf(g.What)
		if !ok {
			return fault(place+"/what", "%q is nothing that can happen", g.What)
		}
		h := cluster.Happening{At: g.At, For: g.For, Act: act, Value: g.Value, Routers: g.Routers}
		for _, r := range g.Routers {
			if r < 0 || r >= w.set.Routers {
				return fault(place+"/routers", "there is no router %d of %d", r, w.set.Routers)
			}
		}
		for _, name := range g.Engines {
			some, known := w.some(name)
			if !known {
				w.notes = append(w.notes, fmt.Sprintf("at %v s it names the engine %q, which the list never has (its number then: %d)", g.At, name, rev))
				continue
			}
			h.Engines = append(h.Engines, some...)
		}
		if g.Any > 0 {
			rnd.Shuffle(len(h.Engines), func(i, j int) { h.Engines[i], h.Engines[j] = h.Engines[j], h.Engines[i] })
			h.Engines = h.Engines[:min(g.Any, len(h.Engines))]
			slices.Sort(h.Engines)
		}
		if act <= cluster.Back {
			rev++
		}
		for _, k := range h.Engines {
			if was := gone[k]; was && act != cluster.Back {
				w.notes = append(w.notes, fmt.Sprintf("at %v s it names the engine %q, which is not in the list then (its number: %d): %s", g.At,
					w.named[k], rev, w.comes(list, n, k)))
			}
			if act == cluster.Gone && g.For == 0 {
				gone[k] = true
			} else if act == cluster.Back {
				gone[k] = false
			}
		}
		if act == cluster.Burst {
			if h.Stream = slices.IndexFunc(w.set.Streams, func(s cluster.Stream) bool { return s.Name == g.Traffic }); h.Stream < 0 {
				return fault(place+"/traffic", "there is no traffic %q", g.Traffic)
			}
		}
		w.set.Happens = append(w.set.Happens, h)
	}
	return nil
}

// comes tells whether an engine is yet to come or was taken away.
func (w *world) comes(list []Event, n, k int) string {
	for _, g := range list[n+1:] {
		if g.What == "back" && slices.Contains(g.Engines, w.named[k]) {
			return fmt.Sprintf("the list brings it at %v s", g.At)
		}
	}
	return "the list took it away"
}

// some engines by a name: one, or all of a zone or kind.
func (w *world) some(name string) (list []int, ok bool) {
	all := func(is func(cluster.Engine) bool) []int {
		for k, e := range w.set.Engines {
			if is(e) {
				list = append(list, k)
			}
		}
		return list
	}
	if zone, is := strings.CutPrefix(name, "zone:"); is {
		z := slices.Index(w.settings.Zones, zone)
		return all(func(e cluster.Engine) bool { return e.Zone == z }), z >= 0
	}
	if kind, is := strings.CutPrefix(name, "kind:"); is {
		z := slices.Index(w.settings.Kinds, kind)
		return all(func(e cluster.Engine) bool { return e.Kind == z }), z >= 0
	}
	if name == "all" {
		return all(func(cluster.Engine) bool { return true }), true
	}
	k := slices.Index(w.named, name)
	return []int{k}, k >= 0
}

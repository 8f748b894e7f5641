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

// Configuration is the configuration under test as texts: the router's file and the operators' file ("{}" for none).
type Configuration struct{ Config, Operator []byte }

// simulation is the cluster that one expectation is checked on.
type simulation struct {
	setup       cluster.Settings
	settings    settings.Settings
	spec        fairshare.Spec
	teamNames   []string // by index in the fair share tree
	drainGrace  float64
	serverNames []string // names of servers
	voidReasons []string // events and conditions on servers that are not in the server list at the time
}

// errorAt returns an error in an expectation, with its place in the file.
func errorAt(path, format string, args ...any) error {
	return fmt.Errorf("%s: %s", path, fmt.Sprintf(format, args...))
}

// newSimulation sets up the simulation of an expectation: the configuration with the changes of its file and of the
// expectation, servers, traffic and events.
func newSimulation(u Configuration, f *File, e *Expectation, seed uint64) (*simulation, error) {
	w := &simulation{}
	given := []*Given{&f.Given, &e.Given}
	op, err := w.configure(u, given, seed)
	if err != nil {
		return nil, err
	}
	t := &w.setup
	*t = cluster.Settings{Seed: seed, Controller: w.settings.Admission, Zones: w.settings.Zones, Kinds: w.settings.Kinds,
		Duration: 30, Routers: w.settings.Admission.Routers, EstimateWaits: op.Waits != nil}
	// Features that need probes, messages from other routers or requests for the list are not in a production router either.
	t.Controller.Peers, t.Controller.ProbeLoads, t.Controller.Ask = false, false, false
	var tree *fairshare.Tree
	if len(w.spec.Nodes) > 0 {
		t.Teams = &w.spec
		if tree, err = fairshare.New(w.spec, 0); err != nil {
			return nil, err
		}
		for h := range tree.TeamCount() {
			w.teamNames = append(w.teamNames, tree.Name(h))
		}
	}
	engines, traffic := f.Given.Engines, f.Given.Traffic
	for _, g := range given {
		if g.Seconds > 0 {
			t.Duration = g.Seconds
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
	if err := w.addServers(engines, u); err != nil {
		return nil, err
	}
	if err := w.addTraffic(traffic, tree); err != nil {
		return nil, err
	}
	return w, w.addEvents(e.Happens, seed)
}

// configure reads the settings and the operators' file, each with the given merge patches (RFC 7396).
func (w *simulation) configure(u Configuration, given []*Given, seed uint64) (op operator.File, err error) {
	var file struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(u.Config, &file); err != nil {
		return op, errorAt("configuration", "%v", err)
	}
	operatorText, settingsText := u.Operator, []byte(file.Settings)
	for _, g := range given {
		if len(g.Settings) > 0 {
			if settingsText, err = jsonpatch.MergePatch(settingsText, g.Settings); err != nil {
				return op, errorAt("/given/settings", "%v", err)
			}
		}
		if len(g.Operator) > 0 {
			if operatorText, err = jsonpatch.MergePatch(operatorText, g.Operator); err != nil {
				return op, errorAt("/given/operator", "%v", err)
			}
		}
	}
	if w.settings, err = settings.Parse(settingsText, seed); err != nil {
		return op, err
	}
	var rules struct{ Obligations struct{ DrainGrace float64 } }
	json.Unmarshal(settingsText, &rules) // cannot fail: settings.Parse has decoded the same text
	w.drainGrace = rules.Obligations.DrainGrace / 1000
	if err = json.Unmarshal(operatorText, &op); err != nil {
		return op, errorAt("operators' file", "%v", err)
	}
	if w.spec, err = op.Spec(w.settings.Tenants); err != nil {
		return op, errorAt("operators' file", "%v", err)
	}
	return op, nil
}

const maxServers, maxRequests = 1000, 2e6 // bounds of a simulation that takes at most half a minute

// addServers adds the given servers, by default those of the configuration's initial list.
func (w *simulation) addServers(list []Engines, u Configuration) error {
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
	t := &w.setup
	for n, g := range list {
		path := fmt.Sprintf("/given/engines/%d", n)
		kind, zone := 0, 0
		if g.Kind != "" {
			if kind = slices.Index(w.settings.Kinds, g.Kind); kind < 0 {
				return errorAt(path+"/kind", "the settings have no kind %q", g.Kind)
			}
		}
		if g.Zone != "" {
			if zone = slices.Index(w.settings.Zones, g.Zone); zone < 0 {
				return errorAt(path+"/zone", "the settings have no zone %q", g.Zone)
			}
		}
		cores := 1.0
		if kind < len(t.Controller.KindCores) {
			cores = t.Controller.KindCores[kind]
		}
		for k := range max(g.Count, 1) {
			name := g.Name
			if g.Count > 1 {
				name = fmt.Sprintf("%s-%d", g.Name, k+1)
			}
			if slices.Contains(w.serverNames, name) {
				return errorAt(path+"/name", "two engines are named %q", name)
			}
			if w.serverNames = append(w.serverNames, name); len(w.serverNames) > maxServers {
				return errorAt(path, "more than %d engines", maxServers)
			}
			t.Servers = append(t.Servers, cluster.Server{Name: name, Kind: kind, Zone: zone, Cell: g.Cell, Absent: g.Absent,
				Settings: engine.Settings{Cores: cores, Speed: g.Pace, MaxQueries: g.Sessions, Memory: g.Memory, SpillOverhead: 3,
					Knee: 2, ContentionLoss: 0.3, ProgressInterval: 2}})
		}
	}
	return nil
}

// addTraffic adds the request streams.
func (w *simulation) addTraffic(list []Traffic, tree *fairshare.Tree) error {
	sum := 0.0
	for n, g := range list {
		path := fmt.Sprintf("/given/traffic/%d", n)
		s := cluster.Stream{Name: g.Name, Work: g.Work, CV: g.Spread, Memory: g.Memory, Deadline: g.Deadline, EstimateCV: g.Scatter,
			EstimateBias: g.Bias, NoEstimates: g.Blind, Keys: g.Keys, MaxRequests: g.Tries, IgnoresPauseShare: g.Ignores}
		if s.Profile = slices.Index(w.settings.Profiles, g.Profile); s.Profile < 0 {
			return errorAt(path+"/profile", "the settings have no profile %q", g.Profile)
		}
		if g.Tenant != "" {
			if s.Tenant = slices.Index(w.settings.Tenants, g.Tenant); s.Tenant < 0 {
				return errorAt(path+"/tenant", "the settings have no tenant %q", g.Tenant)
			}
		}
		if tree != nil {
			s.Team = tree.TeamOf(s.Tenant, []byte(g.Team))
			if g.Team != "" && w.teamNames[s.Team] != g.Team {
				return errorAt(path+"/team", "a request can't name the team %q", g.Team)
			}
		}
		if s.Deadline == 0 {
			s.Deadline = w.settings.ClientTimeouts[s.Profile]
		}
		s.Rate, s.PeakRate = cluster.ConstantRate(g.Rate)
		if sum += g.Rate * w.setup.Duration; sum > maxRequests {
			return errorAt(path+"/rate", "more than %.0f requests in total", maxRequests)
		}
		w.setup.Streams = append(w.setup.Streams, s)
	}
	return nil
}

// addEvents adds the events, and notes those on servers that are not in the server list at the time.
func (w *simulation) addEvents(list []Event, seed uint64) error {
	rnd := rand.New(rand.NewPCG(seed, 2))
	last := 0.0
	absent := make([]bool, len(w.serverNames)) // by server: not in the server list at the time of the event
	for k, e := range w.setup.Servers {
		absent[k] = e.Absent
	}
	revision := 1
	for n, g := range list {
		path := fmt.Sprintf("/happens/%d", n)
		if g.At < last {
			return errorAt(path+"/at", "%v s is before the preceding event, at %v s", g.At, last)
		}
		last = g.At
		act, ok := cluster.ParseFaultKind(g.What)
		if !ok {
			return errorAt(path+"/what", "unknown event %q", g.What)
		}
		h := cluster.Fault{At: g.At, Duration: g.For, Kind: act, Value: g.Value, Routers: g.Routers}
		for _, r := range g.Routers {
			if r < 0 || r >= w.setup.Routers {
				return errorAt(path+"/routers", "there is no router %d of %d", r, w.setup.Routers)
			}
		}
		for _, name := range g.Engines {
			matching, known := w.matching(name)
			if !known {
				w.voidReasons = append(w.voidReasons, fmt.Sprintf("at %v s: the server list never contains engine %q (list number then: %d)", g.At, name, revision))
				continue
			}
			h.Servers = append(h.Servers, matching...)
		}
		if g.Any > 0 {
			rnd.Shuffle(len(h.Servers), func(i, j int) { h.Servers[i], h.Servers[j] = h.Servers[j], h.Servers[i] })
			h.Servers = h.Servers[:min(g.Any, len(h.Servers))]
			slices.Sort(h.Servers)
		}
		if act <= cluster.StartServers {
			revision++
		}
		for _, k := range h.Servers {
			if wasAbsent := absent[k]; wasAbsent && act != cluster.StartServers {
				w.voidReasons = append(w.voidReasons, fmt.Sprintf("at %v s: engine %q is not in the server list then (list number: %d): %s", g.At,
					w.serverNames[k], revision, w.absenceReason(list, n, k)))
			}
			if act == cluster.StopServers && g.For == 0 {
				absent[k] = true
			} else if act == cluster.StartServers {
				absent[k] = false
			}
		}
		if act == cluster.TrafficBurst {
			if h.Stream = slices.IndexFunc(w.setup.Streams, func(s cluster.Stream) bool { return s.Name == g.Traffic }); h.Stream < 0 {
				return errorAt(path+"/traffic", "there is no traffic %q", g.Traffic)
			}
		}
		w.setup.Faults = append(w.setup.Faults, h)
	}
	return nil
}

// absenceReason describes whether a server joins the list later or was removed from it.
func (w *simulation) absenceReason(list []Event, n, k int) string {
	for _, g := range list[n+1:] {
		if g.What == "back" && slices.Contains(g.Engines, w.serverNames[k]) {
			return fmt.Sprintf("it joins the list at %v s", g.At)
		}
	}
	return "it was removed from the list"
}

// matching returns the servers that a name stands for: one server, or all of a zone or kind.
func (w *simulation) matching(name string) (list []int, ok bool) {
	all := func(is func(cluster.Server) bool) []int {
		for k, e := range w.setup.Servers {
			if is(e) {
				list = append(list, k)
			}
		}
		return list
	}
	if zone, is := strings.CutPrefix(name, "zone:"); is {
		z := slices.Index(w.settings.Zones, zone)
		return all(func(e cluster.Server) bool { return e.Zone == z }), z >= 0
	}
	if kind, is := strings.CutPrefix(name, "kind:"); is {
		z := slices.Index(w.settings.Kinds, kind)
		return all(func(e cluster.Server) bool { return e.Kind == z }), z >= 0
	}
	if name == "all" {
		return all(func(cluster.Server) bool { return true }), true
	}
	k := slices.Index(w.serverNames, name)
	return []int{k}, k >= 0
}

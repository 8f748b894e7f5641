package cluster

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"strings"

	"dunereach/admission"
	"dunereach/emulator/engine"
	"dunereach/internal/discovery"
	"dunereach/internal/fake"
)

// FaultKind is the kind of a scheduled change to servers, lists, routers or traffic.
type FaultKind uint8

// The kinds of faults and other changes.
const (
	DrainServers  FaultKind = iota // servers finish their queries but are to receive no more
	StopServers                    // servers stop: running queries are cut off and new attempts fail
	StartServers                   // servers start again, cold
	SetSpeed                       // Value: factor on the servers' speed
	StallServers                   // servers make no progress and send nothing
	FailAttempts                   // Value: share of attempts that servers answer at once with an error
	LoseAnswers                    // Value: share of answers that are lost
	DelayList                      // Value: delay of the name server's answers in seconds
	LoseList                       // the name server's answers are lost
	StaleList                      // the name server's answers contain the previous list
	TruncateList                   // the name server's answers arrive truncated
	TrafficBurst                   // Value: factor on the rate of the stream
	RestartRouter                  // a router is killed and starts again after the duration
	ReloadConfig                   // a router reloads its configuration, which contains the current list
)

var faultKindNames = [...]string{"drain", "gone", "back", "pace", "silent", "errors", "lose", "list_late", "list_lost", "list_old",
	"list_damaged", "burst", "restart", "reload"}

func (a FaultKind) String() string { return faultKindNames[a] }

// ParseFaultKind returns the kind of fault with the given name.
func ParseFaultKind(name string) (FaultKind, bool) {
	k := slices.Index(faultKindNames[:], name)
	return FaultKind(max(k, 0)), k >= 0
}

// Fault is one fault, scheduled at a time.
type Fault struct {
	// At is in seconds; Duration is the time until the fault is reverted, 0: never. After DrainServers and StopServers the
	// servers then start again; StartServers has nothing to revert.
	At, Duration float64
	Kind         FaultKind
	Servers      []int
	Routers      []int // routers whose list is affected or that restart; nil: all
	Stream       int
	Value        float64
}

type listedState struct {
	state admission.State
	at    float64
}

// server is a simulated server with its current faults.
type server struct {
	*engine.Engine
	settings    Server
	discoveryID uint32 // identifier in the routers' lists; 0: not listed yet
	state       admission.State
	startedAt   float64
	errorShare  float64
	lossShare   float64
	recentWork  []sentWork
}

// sentWork is the work of one attempt sent to a server.
type sentWork struct{ at, work float64 }

// recentWorkSince sums the work sent since a time and drops earlier entries.
func (h *server) recentWorkSince(from float64) (sum float64) {
	n := 0
	for n < len(h.recentWork) && h.recentWork[n].at < from {
		n++
	}
	h.recentWork = h.recentWork[n:]
	for _, sent := range h.recentWork {
		sum += sent.work
	}
	return sum
}

func newServer(s *Settings, k int) *server {
	e := s.Servers[k]
	if e.Name == "" {
		e.Name = fmt.Sprintf("e-%d", k)
	}
	h := &server{Engine: engine.New(e.Settings, 0), settings: e, state: admission.Ready, startedAt: e.StartedAt}
	if e.Absent {
		h.state = admission.Gone
	}
	return h
}

func kindName(k int) string { return fmt.Sprintf("kind-%d", k) }

// serverList is the name server's current and previous list of servers, with the faults of its answers to each router.
type serverList struct {
	revision             uint32
	lines, previousLines []string
	delays               []float64 // by router
	lost, stale          []bool
	damaged              []bool
}

// update makes a new revision of the list from the servers' states.
func (l *serverList) update(sim *Simulation) {
	if l.delays == nil {
		n := sim.settings.Routers
		l.delays, l.lost, l.stale, l.damaged = make([]float64, n), make([]bool, n), make([]bool, n), make([]bool, n)
	}
	l.revision++
	l.previousLines, l.lines = l.lines, nil
	for k, e := range sim.servers {
		if e.state == admission.Gone {
			continue
		}
		priority := 0
		if e.state == admission.Draining {
			priority = 1
		}
		l.lines = append(l.lines, fmt.Sprintf("%s.%s %d %.0f %s %d %.0f 127.0.%d.%d:4100", e.settings.Name, sim.settings.Zones[e.settings.Zone],
			priority, 10*max(e.settings.Cores, 1), sim.settings.Kinds[e.settings.Kind], e.settings.Cell, e.startedAt*1000, k/250, 1+k%250))
	}
}

// asConfig returns the current list in the form in which a configuration contains it.
func (l *serverList) asConfig(sim *Simulation) discovery.ConfiguredList {
	n := discovery.Event{Rev: l.revision}
	n.Pool = &struct {
		All     bool               `json:"all"`
		Targets []discovery.Target `json:"targets"`
	}{All: true}
	for k, e := range sim.servers {
		if e.state == admission.Gone {
			continue
		}
		n.Pool.Targets = append(n.Pool.Targets, discovery.Target{UID: e.settings.Name, Endpoint: fmt.Sprintf("127.0.%d.%d:4100", k/250, 1+k%250),
			Zone: sim.settings.Zones[e.settings.Zone], Kind: sim.settings.Kinds[e.settings.Kind], Cell: e.settings.Cell, State: map[admission.State]string{
				admission.Ready: "ready", admission.Draining: "draining"}[e.state], Weight: e.settings.Cores, BootMs: e.startedAt * 1000})
	}
	return discovery.ConfiguredList{Rev: l.revision, Notices: []discovery.Event{n}}
}

// poll queries the name server for the list, at the same intervals as the driver in service.
func (r *router) poll(now float64) {
	const confirmedInterval, unconfirmedInterval = 0.3, 0.1 // seconds between queries
	sim := r.sim
	l := &sim.list
	interval := confirmedInterval
	if r.follower.Unconfirmed() {
		interval = unconfirmedInterval
	}
	sim.push(event{at: now + interval, kind: pollEvent, router: r.index, incarnation: r.incarnation})
	nothingNew := l.revision == r.follower.Revision() && !r.follower.Unconfirmed()
	if l.lost[r.index] || nothingNew && !l.stale[r.index] && !l.damaged[r.index] {
		return
	}
	id := binary.BigEndian.Uint16(r.follower.AppendQuery(nil))
	revision, lines := l.revision, l.lines
	if l.stale[r.index] {
		revision, lines = revision-1, l.previousLines
	}
	answer := fake.ListAnswer(id, revision, discovery.ServiceName, lines...)
	if l.damaged[r.index] {
		answer = answer[:len(answer)*2/3]
	}
	sim.push(event{at: now + roundTrip + l.delays[r.index], kind: listAnswerEvent, router: r.index, incarnation: r.incarnation, answer: answer})
}

// updateServers passes the router's current list to its controller.
func (r *router) updateServers(scope admission.Scope) {
	sim := r.sim
	states := map[uint32]admission.State{}
	for _, e := range r.follower.List() {
		states[e.Server] = e.State
	}
	for k, h := range sim.servers {
		if h.discoveryID == 0 {
			for _, e := range r.follower.List() {
				if strings.EqualFold(r.follower.Name(e.Server), h.settings.Name) {
					h.discoveryID = e.Server
				}
			}
		}
		state := states[h.discoveryID] // the zero value stands for a server that is not listed
		if scope == admission.Cached {
			r.serverStates[k] = listedState{state, math.Inf(-1)}
		} else if r.serverStates[k].state != state {
			r.serverStates[k] = listedState{state, sim.now}
		}
	}
	if sim.settings.Observe != nil {
		m := Observation{Kind: ListUpdated, Now: sim.now, Router: r.index, Server: -1, ListRevision: r.follower.Revision()}
		for _, s := range states {
			if s == admission.Ready {
				m.ReadyListed++
			}
		}
		sim.callWatch(&m)
	}
	r.controller.UpdateServers(sim.now, scope, r.subset())
}

// subset returns the part of the current list that the controller receives.
func (r *router) subset() []admission.Entry {
	all := r.follower.List()
	if r.sim.settings.Subset == nil {
		return all
	}
	var held []admission.Entry
	for _, entry := range all {
		if r.sim.settings.Subset(r.index, r.sim.serverIndex(entry.Server)) {
			held = append(held, entry)
		}
	}
	return held
}

func (sim *Simulation) serverIndex(id uint32) int {
	return slices.IndexFunc(sim.servers, func(h *server) bool { return h.discoveryID == id })
}

// startFault applies a fault.
func (sim *Simulation) startFault(fault Fault) {
	for _, k := range fault.Servers {
		server := sim.servers[k]
		server.Advance(sim.now)
		switch fault.Kind {
		case DrainServers:
			if server.state == admission.Ready {
				server.state = admission.Draining
			}
		case StopServers:
			sim.killServer(k)
		case StartServers:
			server.Engine, server.state, server.startedAt = engine.New(server.settings.Settings, sim.now), admission.Ready, sim.now
		case SetSpeed:
			server.SetSpeed(sim.now, fault.Value)
		case StallServers:
			server.Paused = true
		case FailAttempts:
			server.errorShare = fault.Value
		case LoseAnswers:
			server.lossShare = fault.Value
		}
	}
	switch fault.Kind {
	case DrainServers, StopServers, StartServers:
		sim.list.update(sim)
	case TrafficBurst: // rateFactor applies it to the arrivals
	case ReloadConfig:
		for _, me := range sim.affectedRouters(fault) {
			r := sim.routers[me]
			if !r.up {
				continue
			}
			if fresh, err := r.follower.ApplyConfig(sim.list.asConfig(sim)); err == nil && fresh {
				r.updateServers(admission.Full)
			}
		}
	case RestartRouter:
		for _, me := range sim.affectedRouters(fault) {
			sim.killRouter(sim.routers[me])
		}
	default:
		for _, me := range sim.affectedRouters(fault) {
			sim.list.setFault(me, fault.Kind, fault.Value, true)
		}
	}
	if fault.Duration > 0 {
		sim.push(event{at: sim.now + fault.Duration, kind: faultEndEvent, fault: fault})
	}
}

// endFault reverts a fault after its duration.
func (sim *Simulation) endFault(fault Fault) {
	for _, k := range fault.Servers {
		server := sim.servers[k]
		server.Advance(sim.now)
		switch fault.Kind {
		case SetSpeed:
			server.SetSpeed(sim.now, 1)
		case StallServers:
			server.Paused = false
		case FailAttempts:
			server.errorShare = 0
		case LoseAnswers:
			server.lossShare = 0
		case DrainServers, StopServers: // the server starts again, cold
			server.Engine, server.state, server.startedAt = engine.New(server.settings.Settings, sim.now), admission.Ready, sim.now
		}
	}
	switch fault.Kind {
	case DrainServers, StopServers:
		sim.list.update(sim)
	case TrafficBurst, ReloadConfig:
	case RestartRouter:
		for _, me := range sim.affectedRouters(fault) {
			if r := sim.routers[me]; !r.up {
				r.incarnation++
				if err := r.start(); err != nil {
					panic(err) // the same settings were valid at the first start
				}
			}
		}
	default:
		for _, me := range sim.affectedRouters(fault) {
			sim.list.setFault(me, fault.Kind, 0, false)
		}
	}
}

func (l *serverList) setFault(router int, kind FaultKind, value float64, active bool) {
	switch kind {
	case DelayList:
		l.delays[router] = value
	case LoseList:
		l.lost[router] = active
	case StaleList:
		l.stale[router] = active
	case TruncateList:
		l.damaged[router] = active
	}
}

func (sim *Simulation) affectedRouters(fault Fault) []int {
	if fault.Routers != nil {
		return fault.Routers
	}
	all := make([]int, len(sim.routers))
	for k := range all {
		all[k] = k
	}
	return all
}

// killServer stops a server. Its running queries end with a lost connection.
func (sim *Simulation) killServer(k int) {
	killed := sim.servers[k]
	killed.state = admission.Gone
	killed.Engine = engine.New(killed.settings.Settings, sim.now)
	var interrupted []uint64
	for n, q := range sim.running {
		if q.request.server == k && q.request.queryID == n {
			interrupted = append(interrupted, n)
		}
	}
	slices.Sort(interrupted) // map order is random; the run has to be reproducible
	for _, n := range interrupted {
		q := sim.running[n]
		delete(sim.running, n)
		r := sim.routers[q.request.router]
		sim.push(event{at: sim.now + roundTrip, kind: outcomeEvent, router: r.index, incarnation: r.incarnation, token: uint64(q.request.id), attempt: q.attempt, end: admission.ConnectionLost})
	}
}

// killRouter stops a router at once. Its unfinished requests are lost; their queries continue on the servers.
func (sim *Simulation) killRouter(r *router) {
	if sim.settings.RestoreMemory != nil {
		r.learned, r.stoppedAt = r.controller.Learned(), sim.now
	}
	r.up = false
	ids := make([]uint32, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if active := r.requests[id]; !active.finished {
			active.outstanding = false
			sim.finish(active, RouterStopped)
		}
	}
}

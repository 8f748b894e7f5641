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

// Act is what can happen to the town.
type Act uint8

// The acts.
const (
	Drain       Act = iota // engines are to be given no more; they go on with what they have
	Gone                   // engines die: what is out there is cut, nothing can be sent
	Back                   // engines start anew, cold
	Pace                   // Value: factor on their speed
	Silent                 // engines do nothing and say nothing
	Errors                 // Value: share of sends that engines answer with an error at once
	Lose                   // Value: share of answers that get lost
	ListLate               // Value: seconds that the name server's answers take
	ListLost               // they don't come
	ListOld                // they tell an older list
	ListDamaged            // they arrive cut short
	Burst                  // Value: factor on the rate of the stream
	Restart                // a router is killed, and starts again when For is over
	Reload                 // a router reads its configuration again, with the list of now
)

var faultKindNames = [...]string{"drain", "gone", "back", "pace", "silent", "errors", "lose", "list_late", "list_lost", "list_old",
	"list_damaged", "burst", "restart", "reload"}

func (a Act) String() string { return faultKindNames[a] }

// ActOf is an act by its name.
func ActOf(name string) (Act, bool) {
	k := slices.Index(faultKindNames[:], name)
	return Act(max(k, 0)), k >= 0
}

// Happening is one act at a time.
type Happening struct {
	At, For float64 // For: it is over then; 0: it stays. What is not a state (Drain, Gone, Back) has no end of its own
	Act     Act
	Engines []int
	Routers []int // whose list, or who restarts; nil: all
	Stream  int
	Value   float64
}

type listedState struct {
	state admission.State
	at    float64
}

// server is an engine with what befalls it.
type server struct {
	*engine.Engine
	settings    Engine
	discoveryID uint32 // the routers' number of it
	state       admission.State
	startedAt   float64
	errorShare  float64
	lossShare   float64
	recentWork  []sentWork
}

// sentWork is work that an engine was sent.
type sentWork struct{ at, work float64 }

// recentWorkSince sums what was sent after a time, and forgets the rest.
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
	e := s.Engines[k]
	if e.Name == "" {
		e.Name = fmt.Sprintf("e-%d", k)
	}
	h := &server{Engine: engine.New(e.Settings, 0), settings: e, state: admission.Ready, startedAt: e.Born}
	if e.Absent {
		h.state = admission.Gone
	}
	return h
}

func kindName(k int) string { return fmt.Sprintf("kind-%d", k) }

// serverList is what the name server tells, as it stands and as it stood before.
type serverList struct {
	revision             uint32
	lines, previousLines []string
	delays               []float64 // by router
	lost, stale          []bool
	damaged              []bool
}

// update notes a new event of the list.
func (l *serverList) update(sim *Town) {
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

// asConfig is the list of now as a configuration has it.
func (l *serverList) asConfig(sim *Town) discovery.ConfiguredList {
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

// poll asks for the list, as the driver does.
func (r *router) poll(now float64) {
	const confirmedInterval, unconfirmedInterval = 0.3, 0.1 // seconds between questions
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
	answer := fake.Reply(id, revision, discovery.ServiceName, lines...)
	if l.damaged[r.index] {
		answer = answer[:len(answer)*2/3]
	}
	sim.push(event{at: now + roundTrip + l.delays[r.index], kind: listAnswerEvent, router: r.index, incarnation: r.incarnation, answer: answer})
}

// updateServers hands the list in hand to the module.
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
		state := states[h.discoveryID] // gone where it is not listed
		if scope == admission.Cached {
			r.serverStates[k] = listedState{state, math.Inf(-1)}
		} else if r.serverStates[k].state != state {
			r.serverStates[k] = listedState{state, sim.now}
		}
	}
	if sim.settings.Watch != nil {
		m := Moment{On: Listed, Now: sim.now, Router: r.index, Engine: -1, Rev: r.follower.Revision()}
		for _, s := range states {
			if s == admission.Ready {
				m.Listed++
			}
		}
		sim.callWatch(&m)
	}
	r.controller.UpdateServers(sim.now, scope, r.subset())
}

// subset is the part of the list in hand that the module is told of.
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

func (sim *Town) serverIndex(id uint32) int {
	return slices.IndexFunc(sim.servers, func(h *server) bool { return h.discoveryID == id })
}

// startFault begins an act.
func (sim *Town) startFault(fault Happening) {
	for _, k := range fault.Engines {
		server := sim.servers[k]
		server.Advance(sim.now)
		switch fault.Act {
		case Drain:
			if server.state == admission.Ready {
				server.state = admission.Draining
			}
		case Gone:
			sim.killServer(k)
		case Back:
			server.Engine, server.state, server.startedAt = engine.New(server.settings.Settings, sim.now), admission.Ready, sim.now
		case Pace:
			server.Pace(sim.now, fault.Value)
		case Silent:
			server.Paused = true
		case Errors:
			server.errorShare = fault.Value
		case Lose:
			server.lossShare = fault.Value
		}
	}
	switch fault.Act {
	case Drain, Gone, Back:
		sim.list.update(sim)
	case Burst: // the arrivals know of it
	case Reload:
		for _, me := range sim.affectedRouters(fault) {
			r := sim.routers[me]
			if !r.up {
				continue
			}
			if fresh, err := r.follower.ApplyConfig(sim.list.asConfig(sim)); err == nil && fresh {
				r.updateServers(admission.Full)
			}
		}
	case Restart:
		for _, me := range sim.affectedRouters(fault) {
			sim.killRouter(sim.routers[me])
		}
	default:
		for _, me := range sim.affectedRouters(fault) {
			sim.list.setFault(me, fault.Act, fault.Value, true)
		}
	}
	if fault.For > 0 {
		sim.push(event{at: sim.now + fault.For, kind: faultEndEvent, fault: fault})
	}
}

// endFault ends it.
func (sim *Town) endFault(fault Happening) {
	for _, k := range fault.Engines {
		server := sim.servers[k]
		server.Advance(sim.now)
		switch fault.Act {
		case Pace:
			server.Pace(sim.now, 1)
		case Silent:
			server.Paused = false
		case Errors:
			server.errorShare = 0
		case Lose:
			server.lossShare = 0
		case Drain, Gone: // it starts anew
			server.Engine, server.state, server.startedAt = engine.New(server.settings.Settings, sim.now), admission.Ready, sim.now
		}
	}
	switch fault.Act {
	case Drain, Gone:
		sim.list.update(sim)
	case Burst, Reload:
	case Restart:
		for _, me := range sim.affectedRouters(fault) {
			if r := sim.routers[me]; !r.up {
				r.incarnation++
				if err := r.start(); err != nil {
					panic(err) // the same settings did at the start
				}
			}
		}
	default:
		for _, me := range sim.affectedRouters(fault) {
			sim.list.setFault(me, fault.Act, 0, false)
		}
	}
}

func (l *serverList) setFault(me int, kind Act, value float64, on bool) {
	switch kind {
	case ListLate:
		l.delays[me] = value
	case ListLost:
		l.lost[me] = on
	case ListOld:
		l.stale[me] = on
	case ListDamaged:
		l.damaged[me] = on
	}
}

func (sim *Town) affectedRouters(fault Happening) []int {
	if fault.Routers != nil {
		return fault.Routers
	}
	all := make([]int, len(sim.routers))
	for k := range all {
		all[k] = k
	}
	return all
}

// killServer ends an engine: what is out there is cut.
func (sim *Town) killServer(k int) {
	killed := sim.servers[k]
	killed.state = admission.Gone
	killed.Engine = engine.New(killed.settings.Settings, sim.now)
	var interrupted []uint64
	for n, q := range sim.running {
		if q.request.server == k && q.request.queryID == n {
			interrupted = append(interrupted, n)
		}
	}
	slices.Sort(interrupted) // equal input must act alike
	for _, n := range interrupted {
		q := sim.running[n]
		delete(sim.running, n)
		r := sim.routers[q.request.router]
		sim.push(event{at: sim.now + roundTrip, kind: outcomeEvent, router: r.index, incarnation: r.incarnation, token: uint64(q.request.id), attempt: q.attempt, end: admission.ConnectionLost})
	}
}

// killRouter ends a router at once: what it had is lost, what is out at engines runs on.
func (sim *Town) killRouter(r *router) {
	if sim.settings.Recall != nil {
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
			sim.finish(active, Lost)
		}
	}
}

// Package cluster simulates routers in virtual time, with model servers, randomly drawn clients and a list of servers
// that may arrive late. It runs the production admission controller, not an imitation, and the list takes the same path
// as in service (internal/discovery, starting from the bytes of a DNS answer). The same settings and seed give the same
// run.
package cluster

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"dunereach/admission"
	"dunereach/emulator/engine"
	"dunereach/fairshare"
	"dunereach/internal/discovery"
	"dunereach/waittime"
	"dunereach/warmstart"
)

// Engine configures one simulated server.
type Engine struct {
	Name             string
	Kind, Zone, Cell int     // indexes into Settings.Kinds, Settings.Zones and the cells
	Absent           bool    // not there at the start; a StartServers fault starts it
	Born             float64 // start time; 0: it started long before the run
	engine.Settings
}

// Settings configures a run.
type Settings struct {
	Seed    uint64
	Routers int // 0: 1
	Engines []Engine
	Brain   admission.Settings // settings of all controllers; the run sets Seed, Me, Routers, Teams and Waits
	Zones   []string           // nil: one zone
	Kinds   []string           // nil: a kind for each server, with its cores
	Teams   *fairshare.Spec    // nil: none
	Waits   bool
	Streams []Stream
	Happens []Happening
	Length  float64                   // seconds
	Shadows int                       // of the requests rejected on arrival, each n-th is followed as a Shadow; 0: none
	Watch   func(*Moment) (goOn bool) // called with every decision; the run ends when it returns false; nil: not called
	Stop    func() bool               // polled from time to time; the run ends when it returns true; nil: not called
	Recall  Recall                    // memory that a restarted router restores; nil: none
	Keep    func(client int) bool     // selects clients by number, in order of arrival; the others send nothing; nil: all

	Subset  func(router, database int) bool // whether a router's controller gets a server of the list; nil: all
	Sharers int                             // number of routers that share each server, for the controllers' settings; 0: all
}

// Recall returns the memory that a router restores from the knowledge of its previous run, which ended age seconds ago.
type Recall func(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge

// Shadow follows a rejected request that its client doesn't send again: every 50 ms the controller is asked whether it
// would admit the request now.
type Shadow struct {
	Stream           int
	At               float64
	Told             waittime.Estimate
	Took             float64
	In               bool // false: not admitted within shadowTimeout
	admissionRequest admission.Request
}

const (
	shadowInterval = 0.05
	shadowTimeout  = 40.0
)

// How is the way in which a request ended.
type How uint8

// The ways in which a request ends; Open is one that has not ended.
const (
	Open How = iota
	Answered
	Shed
	Failed
	Lost // its router ended
)

func (h How) String() string { return [...]string{"open", "answered", "shed", "failed", "lost"}[h] }

// Try is one request of a client.
type Try struct {
	Stream  int
	Router  int
	Mark    uint64  // identifies the client's request over its retries
	Guess   float64 // the client's estimate of the work
	Number  int     // of the client's requests, from 1
	Key     uint64
	Ignores bool
	First   float64 // time of the client's first request
	Taken   float64
	Sent    float64 // time of the first attempt, NaN: none
	Ended   float64
	How     How
	Work    float64
	Target  float64 // latency target, seconds from ReceivedAt
	Told    [3]waittime.Estimate
	HasTold [3]bool
	Pause   float64
}

// InTime reports whether the request was completed within its latency target.
func (t *Try) InTime() bool { return t.How == Answered && t.Ended-t.Taken <= t.Target }

// Ran is a query that a server completed.
type Ran struct {
	At     float64
	Stream int
	Work   float64
}

// Result holds what a run recorded.
type Result struct {
	Tries   []Try
	Ran     []Ran // queries completed by servers, whether or not a client still waited
	Shadows []Shadow
	Changes []float64 // times at which the priority of a running attempt was changed
	Wasted  float64   // core seconds lost to spilling
	Teams   *fairshare.Tree
	Clients int // all that arrived, also those that KeepClient left out
}

type activeRequest struct {
	requestIndex     int
	router           int
	id               uint32
	attempt          int // number of the latest attempt, from 0; -1: none
	outstanding      bool
	server           int
	sentAt           float64
	lastEnd          admission.End // result of the latest attempt that ended
	firstServer      int           // server of the first attempt, -1: none yet
	firstSentAt      float64
	queryID          uint64 // identifies the query on its server
	priority         int
	finished         bool
	admissionRequest admission.Request
}

// Town is the state of one run.
type Town struct {
	settings    Settings
	now         float64
	seq         uint64
	queue       events
	routers     []*router
	servers     []*server
	list        serverList
	clientRand  *rand.Rand       // for clients
	serverRand  *rand.Rand       // for servers; separate, so that faults don't change the clients' arrivals
	running     map[uint64]query // by query identifier
	lastQueryID uint64
	nextRouter  int // router that gets the next client
	rejected    int
	stopped     bool // the observer ended the run
	Result
}

type query struct {
	request *activeRequest
	attempt int
	stream  int
}

// router is one simulated router: its controller and the state of its surroundings.
type router struct {
	sim           *Town
	index         int
	incarnation   int
	up            bool
	controller    *admission.Controller
	follower      *discovery.Follower
	requests      map[uint32]*activeRequest
	lastRequestID uint32
	serverStates  []listedState // by server
	retryTimes    []float64
	requestTimes  []float64
	learned       warmstart.Knowledge // from the previous incarnation, which ended at stoppedAt
	stoppedAt     float64
}

const roundTrip = 0.0005 // seconds to a server or a client and back

// Run simulates a run with the given settings.
func Run(settings Settings) (Result, error) {
	sim := &Town{settings: settings, clientRand: rand.New(rand.NewPCG(settings.Seed, 1)), serverRand: rand.New(rand.NewPCG(settings.Seed, 3)), running: map[uint64]query{}}
	if err := sim.setUp(); err != nil {
		return sim.Result, err
	}
	for k := range sim.settings.Streams {
		sim.scheduleArrival(k, 0)
	}
	sim.runEvents()
	for _, e := range sim.servers {
		sim.Wasted += e.Wasted
	}
	return sim.Result, nil
}

func (sim *Town) setUp() error {
	s := &sim.settings
	s.Routers = max(s.Routers, 1)
	if s.Zones == nil {
		s.Zones = []string{"here"}
	}
	if s.Kinds == nil {
		s.Engines, s.Brain.KindCores = append([]Engine(nil), s.Engines...), nil
		for k := range s.Engines {
			s.Engines[k].Kind = k
			s.Kinds = append(s.Kinds, kindName(k))
			s.Brain.KindCores = append(s.Brain.KindCores, s.Engines[k].Cores)
		}
	}
	for k := range s.Engines {
		sim.servers = append(sim.servers, newServer(s, k))
	}
	sim.list.update(sim)
	for index := range s.Routers {
		r := &router{sim: sim, index: index}
		sim.routers = append(sim.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, fault := range s.Happens {
		sim.push(event{at: fault.At, kind: faultStartEvent, fault: fault})
	}
	return nil
}

// start starts a router with the current list.
func (r *router) start() error {
	sim := r.sim
	controllerSettings := sim.settings.Brain
	controllerSettings.Seed, controllerSettings.Me, controllerSettings.Routers = sim.settings.Seed+uint64(r.index)<<32+uint64(r.incarnation)<<48, r.index, sim.settings.Routers
	if sim.settings.Sharers > 0 {
		controllerSettings.Me, controllerSettings.Routers = r.index%sim.settings.Sharers, sim.settings.Sharers
	}
	if sim.settings.Teams != nil {
		tree, err := fairshare.New(*sim.settings.Teams, sim.now)
		if err != nil {
			return err
		}
		controllerSettings.Teams, controllerSettings.Ageing = tree, sim.settings.Teams.Ageing
		if r.index == 0 {
			sim.Teams = tree
		}
	}
	if sim.settings.Waits {
		controllerSettings.Waits = waittime.New(len(controllerSettings.Profiles), controllerSettings.MaxPause)
	}
	r.up, r.requests, r.lastRequestID = true, map[uint32]*activeRequest{}, 0
	r.serverStates = make([]listedState, len(sim.servers))
	r.retryTimes, r.requestTimes = nil, nil
	r.follower = discovery.New(sim.settings.Zones, sim.settings.Kinds)
	if _, err := r.follower.ApplyConfig(sim.list.asConfig(sim)); err != nil {
		return err
	}
	if sim.settings.Recall != nil && r.incarnation > 0 {
		controllerSettings.Memory = sim.settings.Recall(r.learned, sim.now-r.stoppedAt, &controllerSettings)
	}
	r.controller = admission.New(controllerSettings, sim.now, r)
	r.updateServers(admission.Cached)
	r.poll(sim.now)
	return nil
}

func (sim *Town) runEvents() {
	for n := 1; ; n++ {
		const stopCheckInterval = 4096 // steps, which take some milliseconds
		if n%stopCheckInterval == 0 && sim.settings.Stop != nil && sim.settings.Stop() {
			return
		}
		at, k := math.Inf(1), -1
		if len(sim.queue) > 0 {
			at = sim.queue[0].at
		}
		for i, e := range sim.servers {
			if n := e.Next(); n < at {
				at, k = n, i
			}
		}
		if at > sim.settings.Length || sim.stopped {
			return
		}
		sim.now = max(sim.now, at)
		if k >= 0 {
			sim.servers[k].Advance(at)
			for _, ev := range sim.servers[k].Events() {
				sim.handleServerEvent(k, ev)
			}
			continue
		}
		sim.handleEvent(heap.Pop(&sim.queue).(event))
	}
}

func (sim *Town) handleEvent(e event) {
	switch e.kind {
	case arrivalEvent:
		if e.request.Number == 1 {
			sim.scheduleArrival(e.request.Stream, sim.now)
			if sim.Clients++; sim.settings.Keep != nil && !sim.settings.Keep(sim.Clients-1) {
				return
			}
		}
		sim.routeRequest(e.request)
		return
	case shadowEvent:
		s := &sim.Shadows[e.token]
		if s.Took = sim.now - s.At; sim.routers[0].controller.WouldAdmit(sim.now, s.admissionRequest) {
			s.In = true
		} else if s.Took < shadowTimeout {
			sim.push(event{at: sim.now + shadowInterval, kind: shadowEvent, token: e.token})
		}
		return
	case faultStartEvent:
		sim.startFault(e.fault)
		return
	case faultEndEvent:
		sim.endFault(e.fault)
		return
	}
	r := sim.routers[e.router]
	if !r.up || r.incarnation != e.incarnation {
		return
	}
	switch e.kind {
	case wakeEvent:
		r.controller.Woken(sim.now, e.token)
	case pollEvent:
		r.poll(sim.now)
	case listAnswerEvent:
		if fresh, _ := r.follower.HandleAnswer(e.answer); fresh {
			r.updateServers(admission.Full)
		}
	case outcomeEvent, timeoutEvent:
		if active := r.requests[uint32(e.token)]; active != nil && active.outstanding && active.attempt == e.attempt {
			sim.endAttempt(active, e.end, 0)
		}
	}
}

// handleServerEvent processes an event of a server.
func (sim *Town) handleServerEvent(k int, ev engine.Event) {
	q, ok := sim.running[ev.ID]
	if ev.What == engine.Done {
		sim.Ran = append(sim.Ran, Ran{sim.now, q.stream, ev.Value})
		delete(sim.running, ev.ID)
	}
	active := q.request
	if !ok || active == nil || !active.outstanding || active.attempt != q.attempt {
		return // the attempt is no longer outstanding
	}
	server := sim.servers[k]
	progress := admission.Progress{ID: active.id, Server: server.discoveryID, Attempt: active.attempt, Value: ev.Value}
	controller := sim.routers[active.router].controller
	switch ev.What {
	case engine.Done:
		if server.lossShare > 0 && sim.serverRand.Float64() < server.lossShare {
			return // the answer is lost; the attempt ends at its timeout
		}
		sim.endAttempt(active, admission.Completed, ev.Value)
	case engine.Progress:
		progress.Kind = admission.ShareDone
		controller.Progress(sim.now, progress)
	case engine.Spills:
		progress.Kind = admission.Spilling
		controller.Progress(sim.now, progress)
	}
}

func (sim *Town) endAttempt(active *activeRequest, end admission.End, work float64) {
	active.outstanding = false
	sim.observe(SendEnded, active, end)
	active.lastEnd = end
	if end == admission.Completed && !active.finished {
		sim.finish(active, Answered)
	}
	outcome := admission.Outcome{ID: active.id, Server: sim.servers[active.server].discoveryID, Attempt: active.attempt, End: end, Latency: sim.now - active.sentAt, Final: active.finished, Work: work}
	r := sim.routers[active.router]
	r.controller.Outcome(sim.now, outcome)
	r.removeIfDone(active)
}

func (sim *Town) finish(active *activeRequest, how How) {
	active.finished = true
	request := &sim.Tries[active.requestIndex]
	request.Ended, request.How = sim.now, how
	sim.observe(Final, active)
}

func (r *router) removeIfDone(active *activeRequest) {
	if active.finished && !active.outstanding {
		delete(r.requests, active.id)
	}
}

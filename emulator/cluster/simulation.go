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

// Server configures one simulated server.
type Server struct {
	Name             string
	Kind, Zone, Cell int     // indexes into Settings.Kinds, Settings.Zones and the cells
	Absent           bool    // not there at the start; a StartServers fault starts it
	StartedAt        float64 // start time; 0: it started long before the run
	engine.Settings
}

// Settings configures a run.
type Settings struct {
	Seed          uint64
	Routers       int // 0: 1
	Servers       []Server
	Controller    admission.Settings // settings of all controllers; the run sets Seed, Me, Routers, Teams and Waits
	Zones         []string           // nil: one zone
	Kinds         []string           // nil: a kind for each server, with its cores
	Teams         *fairshare.Spec    // nil: none
	EstimateWaits bool
	Streams       []Stream
	Faults        []Fault
	Duration      float64                        // seconds
	ShadowEvery   int                            // of the requests rejected on arrival, each n-th is followed as a Shadow; 0: none
	Observe       func(*Observation) (goOn bool) // called with every decision; the run ends when it returns false; nil: not called
	Stop          func() bool                    // polled from time to time; the run ends when it returns true; nil: not called
	RestoreMemory RestoreMemoryFunc              // memory that a restarted router restores; nil: none
	KeepClient    func(client int) bool          // selects clients by number, in order of arrival; the others send nothing; nil: all

	Subset  func(router, database int) bool // whether a router's controller gets a server of the list; nil: all
	Sharers int                             // number of routers that share each server, for the controllers' settings; 0: all
}

// RestoreMemoryFunc returns the memory that a router restores from the knowledge of its previous run, which ended age seconds ago.
type RestoreMemoryFunc func(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge

// Shadow follows a rejected request that its client doesn't send again: every 50 ms the controller is asked whether it
// would admit the request now.
type Shadow struct {
	Stream           int
	At               float64
	Estimate         waittime.Estimate
	Elapsed          float64
	Admitted         bool // false: not admitted within shadowTimeout
	admissionRequest admission.Request
}

const (
	shadowInterval = 0.05
	shadowTimeout  = 40.0
)

// Outcome is the way in which a request ended.
type Outcome uint8

// The ways in which a request ends; Unfinished is one that has not ended.
const (
	Unfinished Outcome = iota
	Completed
	Rejected
	Failed
	RouterStopped // its router ended
)

func (h Outcome) String() string { return [...]string{"open", "answered", "shed", "failed", "lost"}[h] }

// Request is one request of a client.
type Request struct {
	Stream           int
	Router           int
	RequestKey       uint64  // identifies the client's request over its retries
	Cost             float64 // the client's estimate of the work
	ClientRequest    int     // of the client's requests, from 1
	Key              uint64
	IgnoresPause     bool
	FirstRequestedAt float64 // time of the client's first request
	ReceivedAt       float64
	FirstSentAt      float64 // time of the first attempt, NaN: none
	EndedAt          float64
	Outcome          Outcome
	Work             float64
	Target           float64 // latency target, seconds from ReceivedAt
	Estimates        [3]waittime.Estimate
	HasEstimate      [3]bool
	RetryAfter       float64
}

// InTime reports whether the request was completed within its latency target.
func (t *Request) InTime() bool { return t.Outcome == Completed && t.EndedAt-t.ReceivedAt <= t.Target }

// CompletedQuery is a query that a server completed.
type CompletedQuery struct {
	At     float64
	Stream int
	Work   float64
}

// Result holds what a run recorded.
type Result struct {
	Requests        []Request
	Completed       []CompletedQuery // queries completed by servers, whether or not a client still waited
	Shadows         []Shadow
	PriorityChanges []float64 // times at which the priority of a running attempt was changed
	WastedWork      float64   // core seconds lost to spilling
	Teams           *fairshare.Tree
	Clients         int // all that arrived, also those that KeepClient left out
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

// Simulation is the state of one run.
type Simulation struct {
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
	sim           *Simulation
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
	sim := &Simulation{settings: settings, clientRand: rand.New(rand.NewPCG(settings.Seed, 1)), serverRand: rand.New(rand.NewPCG(settings.Seed, 3)), running: map[uint64]query{}}
	if err := sim.setUp(); err != nil {
		return sim.Result, err
	}
	for k := range sim.settings.Streams {
		sim.scheduleArrival(k, 0)
	}
	sim.runEvents()
	for _, e := range sim.servers {
		sim.WastedWork += e.WastedWork
	}
	return sim.Result, nil
}

func (sim *Simulation) setUp() error {
	s := &sim.settings
	s.Routers = max(s.Routers, 1)
	if s.Zones == nil {
		s.Zones = []string{"here"}
	}
	if s.Kinds == nil {
		s.Servers, s.Controller.KindCores = append([]Server(nil), s.Servers...), nil
		for k := range s.Servers {
			s.Servers[k].Kind = k
			s.Kinds = append(s.Kinds, kindName(k))
			s.Controller.KindCores = append(s.Controller.KindCores, s.Servers[k].Cores)
		}
	}
	for k := range s.Servers {
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
	for _, fault := range s.Faults {
		sim.push(event{at: fault.At, kind: faultStartEvent, fault: fault})
	}
	return nil
}

// start starts a router with the current list.
func (r *router) start() error {
	sim := r.sim
	controllerSettings := sim.settings.Controller
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
	if sim.settings.EstimateWaits {
		controllerSettings.Waits = waittime.New(len(controllerSettings.Profiles), controllerSettings.MaxPause)
	}
	r.up, r.requests, r.lastRequestID = true, map[uint32]*activeRequest{}, 0
	r.serverStates = make([]listedState, len(sim.servers))
	r.retryTimes, r.requestTimes = nil, nil
	r.follower = discovery.New(sim.settings.Zones, sim.settings.Kinds)
	if _, err := r.follower.ApplyConfig(sim.list.asConfig(sim)); err != nil {
		return err
	}
	if sim.settings.RestoreMemory != nil && r.incarnation > 0 {
		controllerSettings.Memory = sim.settings.RestoreMemory(r.learned, sim.now-r.stoppedAt, &controllerSettings)
	}
	r.controller = admission.New(controllerSettings, sim.now, r)
	r.updateServers(admission.Cached)
	r.poll(sim.now)
	return nil
}

func (sim *Simulation) runEvents() {
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
		if at > sim.settings.Duration || sim.stopped {
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

func (sim *Simulation) handleEvent(e event) {
	switch e.kind {
	case arrivalEvent:
		if e.request.ClientRequest == 1 {
			sim.scheduleArrival(e.request.Stream, sim.now)
			if sim.Clients++; sim.settings.KeepClient != nil && !sim.settings.KeepClient(sim.Clients-1) {
				return
			}
		}
		sim.routeRequest(e.request)
		return
	case shadowEvent:
		s := &sim.Shadows[e.token]
		if s.Elapsed = sim.now - s.At; sim.routers[0].controller.WouldAdmit(sim.now, s.admissionRequest) {
			s.Admitted = true
		} else if s.Elapsed < shadowTimeout {
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
func (sim *Simulation) handleServerEvent(k int, ev engine.Event) {
	q, ok := sim.running[ev.ID]
	if ev.Kind == engine.Completed {
		sim.Completed = append(sim.Completed, CompletedQuery{sim.now, q.stream, ev.Value})
		delete(sim.running, ev.ID)
	}
	active := q.request
	if !ok || active == nil || !active.outstanding || active.attempt != q.attempt {
		return // the attempt is no longer outstanding
	}
	server := sim.servers[k]
	progress := admission.Progress{ID: active.id, Server: server.discoveryID, Attempt: active.attempt, Value: ev.Value}
	controller := sim.routers[active.router].controller
	switch ev.Kind {
	case engine.Completed:
		if server.lossShare > 0 && sim.serverRand.Float64() < server.lossShare {
			return // the answer is lost; the attempt ends at its timeout
		}
		sim.endAttempt(active, admission.Completed, ev.Value)
	case engine.Progress:
		progress.Kind = admission.ShareDone
		controller.Progress(sim.now, progress)
	case engine.Spilled:
		progress.Kind = admission.Spilling
		controller.Progress(sim.now, progress)
	}
}

func (sim *Simulation) endAttempt(active *activeRequest, end admission.End, work float64) {
	active.outstanding = false
	sim.observe(AttemptEnded, active, end)
	active.lastEnd = end
	if end == admission.Completed && !active.finished {
		sim.finish(active, Completed)
	}
	outcome := admission.Outcome{ID: active.id, Server: sim.servers[active.server].discoveryID, Attempt: active.attempt, End: end, Latency: sim.now - active.sentAt, Final: active.finished, Work: work}
	r := sim.routers[active.router]
	r.controller.Outcome(sim.now, outcome)
	r.removeIfDone(active)
}

func (sim *Simulation) finish(active *activeRequest, how Outcome) {
	active.finished = true
	request := &sim.Requests[active.requestIndex]
	request.EndedAt, request.Outcome = sim.now, how
	sim.observe(RequestFinished, active)
}

func (r *router) removeIfDone(active *activeRequest) {
	if active.finished && !active.outstanding {
		delete(r.requests, active.id)
	}
}

// Package cluster plays routers' modules on virtual time, with model engines, clients drawn by chance and a list of engines
// that comes late. It hosts the very packages that serve; nothing on the decision side is imitated, and the list takes
// the path that it takes in service (internal/discovery, from the bytes of a DNS answer). The same settings and seed give the
// same run.
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

// Engine is one engine of the town.
type Engine struct {
	Name             string
	Kind, Zone, Cell int     // as the settings' lists of them count
	Absent           bool    // it comes later, by a Back
	Born             float64 // started then; 0: long before
	engine.Settings
}

// Settings of a run.
type Settings struct {
	Seed    uint64
	Routers int // 0: 1
	Engines []Engine
	Brain   admission.Settings // Seed, Me, Routers, Teams and Waits are the run's to set
	Zones   []string           // nil: one
	Kinds   []string           // nil: one for each engine, with its cores
	Teams   *fairshare.Spec    // nil: none
	Waits   bool
	Streams []Stream
	Happens []Happening
	Length  float64                   // seconds
	Shadows int                       // of the commands refused at once each so manieth is looked at until it would be let in, 0: none
	Watch   func(*Moment) (goOn bool) // is shown every decision, nil: nobody
	Stop    func() bool               // is asked now and then whether to end, nil: no
	Recall  Recall                    // what a router that starts again believes of what it knew, nil: nothing
	Keep    func(client int) bool     // clients that come at all, in the order in which they do, nil: all

	Subset  func(router, database int) bool // which databases of the list a router's module is told of, nil: all
	Sharers int                             // routers that share each database, as modules count them, 0: all
}

// Recall gives what is believed of what a process knew that ended so many seconds ago.
type Recall func(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge

// Shadow is a refused command that nobody sends again: the module is asked every 50 ms whether it would let it in.
type Shadow struct {
	Stream           int
	At               float64
	Told             waittime.Estimate
	Took             float64
	In               bool // false: it was given up looking
	admissionRequest admission.Request
}

const (
	shadowInterval = 0.05
	shadowTimeout  = 40.0
)

// How a try ended.
type How uint8

// The ways in which a request ends, and Open for one that has not.
const (
	Open How = iota
	Answered
	Shed
	Failed
	Lost // its router ended
)

func (h How) String() string { return [...]string{"open", "answered", "shed", "failed", "lost"}[h] }

// Try is one command.
type Try struct {
	Stream  int
	Router  int
	Mark    uint64  // the client's
	Guess   float64 // its estimate of the work
	Number  int     // counting a client's tries from 1
	Key     uint64
	Ignores bool
	First   float64 // when the client first asked
	Taken   float64
	Sent    float64 // first send, NaN: never
	Ended   float64
	How     How
	Work    float64
	Target  float64 // seconds from Taken
	Told    [3]waittime.Estimate
	HasTold [3]bool
	Pause   float64
}

// InTime tells whether it was answered within its latency target.
func (t *Try) InTime() bool { return t.How == Answered && t.Ended-t.Taken <= t.Target }

// Ran is a query that an engine has done.
type Ran struct {
	At     float64
	Stream int
	Work   float64
}

// Result of a run.
type Result struct {
	Tries   []Try
	Ran     []Ran // queries that engines have done, whether or not anyone still waited
	Shadows []Shadow
	Changes []float64 // when a level of a running send was changed
	Wasted  float64   // core seconds spilt
	Teams   *fairshare.Tree
	Clients int // that came, or would have
}

type activeRequest struct {
	requestIndex     int
	router           int
	id               uint32
	attempt          int // of its latest send, -1: none
	outstanding      bool
	server           int
	sentAt           float64
	lastEnd          admission.End // of its latest send that ended
	firstServer      int           // engine of its first send, -1: none yet
	firstSentAt      float64
	queryID          uint64 // the engine's number for it
	priority         int
	finished         bool
	admissionRequest admission.Request
}

// Town is one run.
type Town struct {
	settings    Settings
	now         float64
	seq         uint64
	queue       events
	routers     []*router
	servers     []*server
	list        serverList
	clientRand  *rand.Rand       // the clients' chance
	serverRand  *rand.Rand       // the engines': so clients come alike whatever befalls those
	running     map[uint64]query // by the engines' number
	lastQueryID uint64
	nextRouter  int // router that the next client comes to
	rejected    int
	stopped     bool // the watcher has seen enough
	Result
}

type query struct {
	request *activeRequest
	attempt int
	stream  int
}

// router is one module with what is told to it.
type router struct {
	sim           *Town
	index         int
	incarnation   int
	up            bool
	controller    *admission.Controller
	follower      *discovery.Follower
	requests      map[uint32]*activeRequest
	lastRequestID uint32
	serverStates  []listedState // by engine
	retryTimes    []float64
	requestTimes  []float64
	learned       warmstart.Knowledge // by the process that ended last, and when that was
	stoppedAt     float64
}

const roundTrip = 0.0005 // seconds to an engine or a client and back

// Run plays a day.
func Run(set Settings) (Result, error) {
	sim := &Town{settings: set, clientRand: rand.New(rand.NewPCG(set.Seed, 1)), serverRand: rand.New(rand.NewPCG(set.Seed, 3)), running: map[uint64]query{}}
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

// start brings a router to life with the list of now.
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
		const stopCheckInterval = 4096 // steps: some milliseconds
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

// handleServerEvent takes what an engine tells.
func (sim *Town) handleServerEvent(k int, ev engine.Event) {
	q, ok := sim.running[ev.ID]
	if ev.What == engine.Done {
		sim.Ran = append(sim.Ran, Ran{sim.now, q.stream, ev.Value})
		delete(sim.running, ev.ID)
	}
	active := q.request
	if !ok || active == nil || !active.outstanding || active.attempt != q.attempt {
		return // nobody waits for it any more
	}
	server := sim.servers[k]
	progress := admission.Progress{ID: active.id, Server: server.discoveryID, Attempt: active.attempt, Value: ev.Value}
	controller := sim.routers[active.router].controller
	switch ev.What {
	case engine.Done:
		if server.lossShare > 0 && sim.serverRand.Float64() < server.lossShare {
			return // its answer is lost on the way: the send's limit ends it
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

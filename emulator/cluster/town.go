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
	Stream int
	At     float64
	Told   waittime.Estimate
	Took   float64
	In     bool // false: it was given up looking
	ask    admission.Request
}

const (
	lookEvery = 0.05
	lookFor   = 40.0
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

type flight struct {
	try     int
	router  int
	id      uint32
	number  int // of its latest send, -1: none
	out     bool
	engine  int
	sent    float64
	ended   admission.End // of its latest send that ended
	first   int           // engine of its first send, -1: none yet
	firstAt float64
	run     uint64 // the engine's number for it
	level   int
	over    bool
	ask     admission.Request
}

// Town is one run.
type Town struct {
	set     Settings
	now     float64
	seq     uint64
	todo    events
	routers []*router
	engines []*house
	list    list
	rnd     *rand.Rand       // the clients' chance
	luck    *rand.Rand       // the engines': so clients come alike whatever befalls those
	running map[uint64]query // by the engines' number
	lastRun uint64
	turn    int // router that the next client comes to
	refused int
	ended   bool // the watcher has seen enough
	Result
}

type query struct {
	f      *flight
	number int
	stream int
}

// router is one module with what is told to it.
type router struct {
	t        *Town
	me       int
	life     int
	up       bool
	mind     *admission.Controller
	follower *discovery.Follower
	flights  map[uint32]*flight
	lastID   uint32
	told     []told // by engine
	further  []float64
	taken    []float64
	knew     warmstart.Knowledge // by the process that ended last, and when that was
	diedAt   float64
}

const trip = 0.0005 // seconds to an engine or a client and back

// Run plays a day.
func Run(set Settings) (Result, error) {
	t := &Town{set: set, rnd: rand.New(rand.NewPCG(set.Seed, 1)), luck: rand.New(rand.NewPCG(set.Seed, 3)), running: map[uint64]query{}}
	if err := t.build(); err != nil {
		return t.Result, err
	}
	for k := range t.set.Streams {
		t.next(k, 0)
	}
	t.play()
	for _, e := range t.engines {
		t.Wasted += e.Wasted
	}
	return t.Result, nil
}

func (t *Town) build() error {
	s := &t.set
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
		t.engines = append(t.engines, newHouse(s, k))
	}
	t.list.change(t)
	for me := range s.Routers {
		r := &router{t: t, me: me}
		t.routers = append(t.routers, r)
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, h := range s.Happens {
		t.push(event{at: h.At, what: happen, h: h})
	}
	return nil
}

// start brings a router to life with the list of now.
func (r *router) start() error {
	t := r.t
	b := t.set.Brain
	b.Seed, b.Me, b.Routers = t.set.Seed+uint64(r.me)<<32+uint64(r.life)<<48, r.me, t.set.Routers
	if t.set.Sharers > 0 {
		b.Me, b.Routers = r.me%t.set.Sharers, t.set.Sharers
	}
	if t.set.Teams != nil {
		tree, err := fairshare.New(*t.set.Teams, t.now)
		if err != nil {
			return err
		}
		b.Teams, b.Ageing = tree, t.set.Teams.Ageing
		if r.me == 0 {
			t.Teams = tree
		}
	}
	if t.set.Waits {
		b.Waits = waittime.New(len(b.Profiles), b.MaxPause)
	}
	r.up, r.flights, r.lastID = true, map[uint32]*flight{}, 0
	r.told = make([]told, len(t.engines))
	r.further, r.taken = nil, nil
	r.follower = discovery.New(t.set.Zones, t.set.Kinds)
	if _, err := r.follower.ApplyConfig(t.list.known(t)); err != nil {
		return err
	}
	if t.set.Recall != nil && r.life > 0 {
		b.Memory = t.set.Recall(r.knew, t.now-r.diedAt, &b)
	}
	r.mind = admission.New(b, t.now, r)
	r.members(admission.Cached)
	r.poll(t.now)
	return nil
}

func (t *Town) play() {
	for n := 1; ; n++ {
		const now = 4096 // steps: some milliseconds
		if n%now == 0 && t.set.Stop != nil && t.set.Stop() {
			return
		}
		at, k := math.Inf(1), -1
		if len(t.todo) > 0 {
			at = t.todo[0].at
		}
		for i, e := range t.engines {
			if n := e.Next(); n < at {
				at, k = n, i
			}
		}
		if at > t.set.Length || t.ended {
			return
		}
		t.now = max(t.now, at)
		if k >= 0 {
			t.engines[k].Advance(at)
			for _, ev := range t.engines[k].Events() {
				t.said(k, ev)
			}
			continue
		}
		t.one(heap.Pop(&t.todo).(event))
	}
}

func (t *Town) one(e event) {
	switch e.what {
	case arrive:
		if e.try.Number == 1 {
			t.next(e.try.Stream, t.now)
			if t.Clients++; t.set.Keep != nil && !t.set.Keep(t.Clients-1) {
				return
			}
		}
		t.take(e.try)
		return
	case look:
		s := &t.Shadows[e.token]
		if s.Took = t.now - s.At; t.routers[0].mind.WouldAdmit(t.now, s.ask) {
			s.In = true
		} else if s.Took < lookFor {
			t.push(event{at: t.now + lookEvery, what: look, token: e.token})
		}
		return
	case happen:
		t.happen(e.h)
		return
	case calm:
		t.calm(e.h)
		return
	}
	r := t.routers[e.router]
	if !r.up || r.life != e.life {
		return
	}
	switch e.what {
	case wake:
		r.mind.Woken(t.now, e.token)
	case poll:
		r.poll(t.now)
	case news:
		if fresh, _ := r.follower.HandleAnswer(e.text); fresh {
			r.members(admission.Full)
		}
	case outcome, limit:
		if f := r.flights[uint32(e.token)]; f != nil && f.out && f.number == e.number {
			t.end(f, e.end, 0)
		}
	}
}

// said takes what an engine tells.
func (t *Town) said(k int, ev engine.Event) {
	q, ok := t.running[ev.ID]
	if ev.What == engine.Done {
		t.Ran = append(t.Ran, Ran{t.now, q.stream, ev.Value})
		delete(t.running, ev.ID)
	}
	f := q.f
	if !ok || f == nil || !f.out || f.number != q.number {
		return // nobody waits for it any more
	}
	house := t.engines[k]
	note := admission.Progress{ID: f.id, Server: house.id, Attempt: f.number, Value: ev.Value}
	mind := t.routers[f.router].mind
	switch ev.What {
	case engine.Done:
		if house.loses > 0 && t.luck.Float64() < house.loses {
			return // its answer is lost on the way: the send's limit ends it
		}
		t.end(f, admission.Completed, ev.Value)
	case engine.Progress:
		note.Kind = admission.ShareDone
		mind.Progress(t.now, note)
	case engine.Spills:
		note.Kind = admission.Spilling
		mind.Progress(t.now, note)
	}
}

func (t *Town) end(f *flight, end admission.End, work float64) {
	f.out = false
	t.show(SendEnded, f, end)
	f.ended = end
	if end == admission.Completed && !f.over {
		t.final(f, Answered)
	}
	o := admission.Outcome{ID: f.id, Server: t.engines[f.engine].id, Attempt: f.number, End: end, Latency: t.now - f.sent, Final: f.over, Work: work}
	r := t.routers[f.router]
	r.mind.Outcome(t.now, o)
	r.forget(f)
}

func (t *Town) final(f *flight, how How) {
	f.over = true
	try := &t.Tries[f.try]
	try.Ended, try.How = t.now, how
	t.show(Final, f)
}

func (r *router) forget(f *flight) {
	if f.over && !f.out {
		delete(r.flights, f.id)
	}
}

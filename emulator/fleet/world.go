// Package fleet plays keepers and members of a fleet on virtual time: the very packages that serve (keeping with raft in it,
// member, ownership, parts), with clocks that differ, links that lose, cut and hold, and processes that stop, die and come
// back. The same seed gives the same run, one run at a time in a process.
package fleet

import (
	"container/heap"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	mathrand "math/rand/v2"
	"slices"

	"dunereach/emulator/scenario"
	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// World is one run.
type World struct {
	file    scenario.File
	now     float64
	queue   events
	order   int
	rnd     *mathrand.Rand
	keepers []*keeper
	members []*router
	byName  map[string]*process
	cut     map[[2]string]bool
	held    map[[2]string]float64
	loss    float64
	audit   audit
	Log     func(line string)
	calls   map[uint64]*call
	callSeq uint64
	reader  io.Reader
	scripts []scenario.Event
	script  func() // plays the next event of the file
	last    string // owner that the event before found
	Quiet   bool   // the script is over
	engines []agent.Server
}

// clock of one process.
type clock struct{ offset, rate float64 }

func (c clock) at(t float64) float64 { return c.offset + c.rate*t }

type process struct {
	name    string
	zone    string
	clock   clock
	life    uint64
	up      bool
	stopped bool
	leaves  bool     // it was asked to end
	backlog []func() // that comes while it is stopped
}

type keeper struct {
	*process
	id   uint64
	k    *coordinator.Coordinator
	disk coordinator.PersistedState
}

type router struct {
	*process
	m      *agent.Member
	disk   agent.PersistentState
	finder *agent.Finder
}

type call struct {
	from   *router
	life   uint64
	seq    uint64
	act    int // place in the history, where it is one
	target string
	tries  int
	req    agent.Request
	open   bool
}

type event struct {
	at    float64
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type source struct{ r *mathrand.Rand }

func (s source) Read(p []byte) (int, error) {
	for k := range p {
		p[k] = byte(s.r.Uint32())
	}
	return len(p), nil
}

// New world of a scenario.
func New(f scenario.File) (*World, error) {
	w := &World{file: f, rnd: mathrand.New(mathrand.NewPCG(f.Seed, 11)), byName: map[string]*process{},
		cut: map[[2]string]bool{}, held: map[[2]string]float64{}, calls: map[uint64]*call{}, scripts: f.Events}
	// The raft library draws its election times from crypto/rand's reader: with this one a run can be had again.
	w.reader, rand.Reader = rand.Reader, source{mathrand.New(mathrand.NewPCG(f.Seed, 12))}
	w.audit.begin(w)
	for n := range f.Engines {
		w.engines = append(w.engines, agent.Server{ID: uint32(n + 1), Start: 1, Zone: f.Zone(n)})
	}
	var all []registry.Coordinator
	for n := range f.Keepers {
		all = append(all, registry.Coordinator{ID: uint64(n + 1), Name: fmt.Sprint("k", n+1), Addr: fmt.Sprint("k", n+1), Zone: f.Zone(n)})
	}
	for n := range f.Keepers {
		k := &keeper{process: w.process(all[n].Name, f.Zone(n)), id: uint64(n + 1)}
		var err error
		if k.disk, err = coordinator.InitialState(all, f.Lease, f.Drift); err != nil {
			return nil, err
		}
		w.keepers = append(w.keepers, k)
		w.startKeeper(k)
	}
	for n := range f.Routers {
		r := &router{process: w.process(fmt.Sprint("n", n+1), f.Zone(n))}
		w.members = append(w.members, r)
		w.after(w.rnd.Float64()*0.2, func() { w.startRouter(r) })
	}
	w.script = w.next
	w.after(0, w.script)
	w.every(0.05, w.audit.look)
	return w, nil
}

// Close gives chance back.
func (w *World) Close() { rand.Reader = w.reader }

func (w *World) process(name, zone string) *process {
	p := &process{name: name, zone: zone}
	w.byName[name] = p
	return p
}

func (w *World) after(d float64, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + d, w.order, do})
}

func (w *World) every(d float64, do func()) {
	var again func()
	again = func() {
		do()
		w.after(d, again)
	}
	w.after(d, again)
}

func (w *World) log(format string, args ...any) {
	if w.Log != nil {
		w.Log(fmt.Sprintf("%8.3f ", w.now) + fmt.Sprintf(format, args...))
	}
}

// Run until that time, or until something is wrong.
func (w *World) Run(until float64) error {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.audit.err == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		e.do()
	}
	w.now = max(w.now, until)
	return w.audit.err
}

// in has a process do something: at once, when it goes on, or never where it has died since.
func (w *World) in(p *process, life uint64, do func()) {
	switch {
	case !p.up || p.life != life:
	case p.stopped:
		p.backlog = append(p.backlog, do)
	default:
		do()
	}
}

// send over the link between two processes.
func (w *World) send(from, to *process, do func()) {
	link := [2]string{from.name, to.name}
	if !from.up || w.cut[link] || w.rnd.Float64() < w.loss {
		return
	}
	way := 0.0002 + 0.002*w.rnd.Float64()
	if until := w.held[link]; until > w.now {
		way += until - w.now
	}
	life := to.life
	w.after(way, func() { w.in(to, life, do) })
}

// newClock's rate is within the drift, its offset anywhere within a minute.
func (w *World) newClock() clock {
	return clock{60 * w.rnd.Float64(), 1 + w.file.Drift*(2*w.rnd.Float64()-1)}
}

func (w *World) begin(p *process) uint64 {
	p.up, p.stopped, p.leaves, p.backlog = true, false, false, nil
	p.life++
	p.clock = w.newClock()
	return p.life
}

func (w *World) startKeeper(k *keeper) {
	life := w.begin(k.process)
	var err error
	k.k, err = coordinator.New(coordinator.Config{ID: k.id, Name: k.name, HoldTime: min(1, w.file.Lease/4), Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
		Log: func(text string) { w.log("%s: %s", k.name, text) }}, k.disk, k.clock.at(w.now))
	if err != nil {
		w.audit.fail("%s does not start: %v", k.name, err)
		return
	}
	var tick func()
	tick = func() {
		if !k.up || k.life != life {
			return
		}
		w.in(k.process, life, func() {
			k.k.Tick(k.clock.at(w.now))
			w.carry(k)
		})
		w.after(0.02, tick)
	}
	w.after(0.02*w.rnd.Float64(), tick)
}

// carry out what a keeper put out: its disk takes it at once, as a driver that syncs before it sends.
func (w *World) carry(k *keeper) {
	for {
		out, ok := k.k.Output()
		if !ok {
			return
		}
		if s := out.Persist.Snapshot; s != nil {
			k.disk.Snapshot = s
			at := uint64(math.MaxUint64) // another's snapshot replaces the whole log
			if out.Persist.Compact > 0 {
				at = out.Persist.Compact
			}
			k.disk.Entries = slices.DeleteFunc(slices.Clone(k.disk.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= at })
		}
		if h := out.Persist.HardState; h != nil && !raft.IsEmptyHardState(h) {
			k.disk.HardState = h
		}
		if n := out.Persist.Entries; len(n) > 0 {
			first := n[0].GetIndex()
			k.disk.Entries = append(slices.DeleteFunc(slices.Clone(k.disk.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= first }), n...)
		}
		for _, m := range out.Messages {
			to := w.keeper(m.GetTo())
			if to == nil {
				continue
			}
			w.audit.raft++
			w.send(k.process, to.process, func() {
				to.k.Step(to.clock.at(w.now), m)
				w.carry(to)
			})
			if m.GetType() == pb.MsgSnap {
				k.k.ReportSnapshot(m.GetTo(), true)
			}
		}
		for _, a := range out.Responses {
			w.reply(k, a)
		}
		if err := k.k.Done(); err != nil {
			w.audit.fail("%s can't go on: %v", k.name, err)
			return
		}
	}
}

func (w *World) keeper(id uint64) *keeper {
	for _, k := range w.keepers {
		if k.id == id {
			return k
		}
	}
	return nil
}

func (w *World) startRouter(r *router) {
	life := w.begin(r.process)
	var addrs []string
	for _, k := range w.keepers {
		addrs = append(addrs, k.name)
	}
	if len(addrs) == 0 {
		addrs = []string{"nobody"}
	}
	r.finder = agent.NewFinder(addrs, w.rnd.IntN(len(addrs)))
	r.m = agent.New(agent.Config{Name: r.name, Zone: r.zone, Region: "r", Incarnation: life, Seed: w.rnd.Uint64(),
		CandidateKinds: []string{agent.WarmUpKind, agent.ProbeKind, agent.QuotaKind}, RouterCount: w.file.Routers, Window: 1,
		StartedAt: r.clock.at(w.now), CleanStart: life == 1, Persistent: w.file.Folders,
		Trace: func(t agent.Trace) { w.audit.traced(r, t) },
		Log:   func(text string) { w.log("%s: %s", r.name, text) }}, r.disk)
	share := 1 / float64(w.file.Routers)
	var needs []float64 // a router's traffic is its own, and lasts
	for range w.engines {
		needs = append(needs, share*3*w.rnd.Float64())
	}
	var tick func()
	tick = func() {
		if !r.up || r.life != life {
			return
		}
		w.in(r.process, life, func() {
			var d agent.Demand
			for k, e := range w.engines {
				need := needs[k] * (0.9 + 0.2*w.rnd.Float64())
				d.ColdServers = append(d.ColdServers, agent.ColdServer{Server: e, Need: need, Least: need / 3})
			}
			// One engine is doubted by all, so that its owner puts findings down.
			ill := agent.Health{Server: w.engines[0], Unhealthy: true, SinceAnswer: -1}
			d.Suspected = []agent.Health{ill}
			d.Health = func(uint32) (agent.Health, bool) { return ill, true }
			now := r.clock.at(w.now)
			r.m.SetDemand(now, d)
			w.put(r, r.m.Tick(now))
		})
		w.after(0.1, tick)
	}
	w.after(0.1*w.rnd.Float64(), tick)
}

// put a member's requests on their way.
func (w *World) put(r *router, all []agent.Request) {
	life := r.life
	for _, req := range all {
		if req.Persist != nil {
			kept := *req.Persist
			w.after(0.002+0.02*w.rnd.Float64(), func() {
				w.in(r.process, life, func() {
					r.disk = kept
					r.m.Persisted(req.Seq, kept, nil)
				})
			})
			continue
		}
		w.callSeq++
		c := &call{from: r, life: life, seq: req.Seq, req: req, open: true}
		w.audit.act(c)
		w.calls[w.callSeq] = c
		w.try(w.callSeq, c)
		id := w.callSeq
		w.after(2.5, func() {
			if c.open {
				r.finder.Failed(c.target)
			}
			w.end(id, c, nil, agent.ErrNoAnswer)
		})
	}
}

func (w *World) try(id uint64, c *call) {
	c.target = c.from.finder.Target()
	c.tries++
	if len(w.keepers) == 0 {
		return
	}
	to := w.byName[c.target]
	var k *keeper
	for _, x := range w.keepers {
		if x.process == to {
			k = x
		}
	}
	if !k.up { // refused at once
		w.after(0.001, func() {
			c.from.finder.Failed(c.target)
			w.end(id, c, nil, agent.ErrNoAnswer)
		})
		return
	}
	w.audit.requests++
	deliver := func(id uint64) func() {
		return func() {
			now := k.clock.at(w.now)
			switch {
			case c.req.Heartbeat != nil:
				b := *c.req.Heartbeat
				k.k.Heartbeat(now, id, &b)
			case c.req.Messages != nil:
				k.k.PostMessages(now, id, c.req.Messages)
			case c.req.Action != nil:
				k.k.Perform(now, id, c.req.Action)
			}
			w.carry(k)
		}
	}
	w.send(c.from.process, to, deliver(id))
	const repeats = 0.05
	if w.rnd.Float64() < repeats { // what was said comes once more, much later
		life := to.life
		w.callSeq++
		again := deliver(w.callSeq)
		w.after(10*w.rnd.Float64(), func() { w.in(to, life, again) })
	}
}

func (w *World) reply(k *keeper, a coordinator.Response) {
	c := w.calls[a.Request]
	if c == nil {
		return
	}
	w.send(k.process, c.from.process, func() {
		if errors.Is(a.Err, coordinator.ErrNotLeader) {
			leader := ""
			if x := w.keeper(a.Leader); x != nil {
				leader = x.name
			}
			c.from.finder.Redirect(k.name, leader)
			if c.open && c.tries < 4 && c.from.life == c.life {
				w.try(a.Request, c)
				return
			}
		}
		w.end(a.Request, c, a.Value, a.Err)
	})
}

func (w *World) end(id uint64, c *call, value any, err error) {
	if !c.open {
		return
	}
	w.in(c.from.process, c.life, func() {
		if !c.open {
			return
		}
		c.open = false
		w.audit.acted(c, err)
		now := c.from.clock.at(w.now)
		c.from.m.Answer(now, c.seq, value, err)
		w.put(c.from, c.from.m.Tick(now))
	})
	delete(w.calls, id)
}

// ---- what a script does

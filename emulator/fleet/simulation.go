// Package fleet simulates coordinators and routers of a fleet in virtual time. It runs the production packages
// (coordinator with raft, agent, lease and grants) with clocks that differ, links that lose, cut and delay messages,
// and processes that stop, exit and restart. The same seed gives the same run; a process can run only one simulation at
// a time.
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

// Simulation is the state of one run.
type Simulation struct {
	file               scenario.File
	now                float64
	queue              events
	lastOrder          int
	random             *mathrand.Rand
	coordinators       []*coordinatorProcess
	routers            []*routerProcess
	processes          map[string]*process
	linksCut           map[[2]string]bool
	linksHeldUntil     map[[2]string]float64
	messageLoss        float64
	audit              audit
	Log                func(line string)
	requests           map[uint64]*request
	lastRequestID      uint64
	originalRandReader io.Reader
	pendingEvents      []scenario.Event
	playNextEvent      func() // schedules the next event of the script
	previousOwner      string // owner of the first task when the previous event was applied
	ScriptDone         bool   // the script is over
	servers            []agent.Server
}

// clock is the clock of one process.
type clock struct{ offset, rate float64 }

func (c clock) at(t float64) float64 { return c.offset + c.rate*t }

type process struct {
	name        string
	zone        string
	clock       clock
	incarnation uint64
	up          bool
	stopped     bool
	exiting     bool     // it was asked to end
	backlog     []func() // work that arrived while the process was stopped
}

type coordinatorProcess struct {
	*process
	id   uint64
	node *coordinator.Coordinator
	disk coordinator.PersistedState
}

type routerProcess struct {
	*process
	member *agent.Member
	disk   agent.PersistentState
	finder *agent.Finder
}

type request struct {
	from         *routerProcess
	incarnation  uint64
	seq          uint64
	historyIndex int // index in the audit's history, -1: not in it
	target       string
	attempts     int
	body         agent.Request
	open         bool
}

type event struct {
	at    float64
	order int
	run   func()
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

type randSource struct{ r *mathrand.Rand }

func (s randSource) Read(p []byte) (int, error) {
	for k := range p {
		p[k] = byte(s.r.Uint32())
	}
	return len(p), nil
}

// New sets a scenario up.
func New(f scenario.File) (*Simulation, error) {
	w := &Simulation{file: f, random: mathrand.New(mathrand.NewPCG(f.Seed, 11)), processes: map[string]*process{},
		linksCut: map[[2]string]bool{}, linksHeldUntil: map[[2]string]float64{}, requests: map[uint64]*request{}, pendingEvents: f.Events}
	// The raft library draws election timeouts from crypto/rand.Reader; a seeded reader makes the run reproducible.
	w.originalRandReader, rand.Reader = rand.Reader, randSource{mathrand.New(mathrand.NewPCG(f.Seed, 12))}
	w.audit.init(w)
	for n := range f.Servers {
		w.servers = append(w.servers, agent.Server{ID: uint32(n + 1), Start: 1, Zone: f.Zone(n)})
	}
	var members []registry.Coordinator
	for n := range f.Coordinators {
		members = append(members, registry.Coordinator{ID: uint64(n + 1), Name: fmt.Sprint("k", n+1), Addr: fmt.Sprint("k", n+1), Zone: f.Zone(n)})
	}
	for n := range f.Coordinators {
		k := &coordinatorProcess{process: w.newProcess(members[n].Name, f.Zone(n)), id: uint64(n + 1)}
		var err error
		if k.disk, err = coordinator.InitialState(members, f.Lease, f.Drift); err != nil {
			return nil, err
		}
		w.coordinators = append(w.coordinators, k)
		w.startCoordinator(k)
	}
	for n := range f.Routers {
		r := &routerProcess{process: w.newProcess(fmt.Sprint("n", n+1), f.Zone(n))}
		w.routers = append(w.routers, r)
		w.after(w.random.Float64()*0.2, func() { w.startRouter(r) })
	}
	w.playNextEvent = w.scheduleNextEvent
	w.after(0, w.playNextEvent)
	w.every(0.05, w.audit.check)
	return w, nil
}

// Close restores crypto/rand.Reader.
func (w *Simulation) Close() { rand.Reader = w.originalRandReader }

func (w *Simulation) newProcess(name, zone string) *process {
	p := &process{name: name, zone: zone}
	w.processes[name] = p
	return p
}

func (w *Simulation) after(d float64, run func()) {
	w.lastOrder++
	heap.Push(&w.queue, event{w.now + d, w.lastOrder, run})
}

func (w *Simulation) every(d float64, run func()) {
	var repeat func()
	repeat = func() {
		run()
		w.after(d, repeat)
	}
	w.after(d, repeat)
}

func (w *Simulation) log(format string, args ...any) {
	if w.Log != nil {
		w.Log(fmt.Sprintf("%8.3f ", w.now) + fmt.Sprintf(format, args...))
	}
}

// Run runs the simulation until a time, or until the audit finds an error.
func (w *Simulation) Run(until float64) error {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.audit.err == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = max(w.now, e.at)
		e.run()
	}
	w.now = max(w.now, until)
	return w.audit.err
}

// runWhenActive runs a function in a process: at once, or after the process continues if it is stopped, or never if
// that incarnation has ended.
func (w *Simulation) runWhenActive(p *process, incarnation uint64, run func()) {
	switch {
	case !p.up || p.incarnation != incarnation:
	case p.stopped:
		p.backlog = append(p.backlog, run)
	default:
		run()
	}
}

// deliver passes a message over the link between two processes.
func (w *Simulation) deliver(from, to *process, receive func()) {
	link := [2]string{from.name, to.name}
	if !from.up || w.linksCut[link] || w.random.Float64() < w.messageLoss {
		return
	}
	delay := 0.0002 + 0.002*w.random.Float64()
	if until := w.linksHeldUntil[link]; until > w.now {
		delay += until - w.now
	}
	incarnation := to.incarnation
	w.after(delay, func() { w.runWhenActive(to, incarnation, receive) })
}

// newClock returns a clock with a rate within the drift and an offset of up to a minute.
func (w *Simulation) newClock() clock {
	return clock{60 * w.random.Float64(), 1 + w.file.Drift*(2*w.random.Float64()-1)}
}

func (w *Simulation) startProcess(p *process) uint64 {
	p.up, p.stopped, p.exiting, p.backlog = true, false, false, nil
	p.incarnation++
	p.clock = w.newClock()
	return p.incarnation
}

func (w *Simulation) startCoordinator(k *coordinatorProcess) {
	incarnation := w.startProcess(k.process)
	var err error
	k.node, err = coordinator.New(coordinator.Config{ID: k.id, Name: k.name, HoldTime: min(1, w.file.Lease/4), Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
		Log: func(text string) { w.log("%s: %s", k.name, text) }}, k.disk, k.clock.at(w.now))
	if err != nil {
		w.audit.fail("%s does not start: %v", k.name, err)
		return
	}
	var tick func()
	tick = func() {
		if !k.up || k.incarnation != incarnation {
			return
		}
		w.runWhenActive(k.process, incarnation, func() {
			k.node.Tick(k.clock.at(w.now))
			w.processOutput(k)
		})
		w.after(0.02, tick)
	}
	w.after(0.02*w.random.Float64(), tick)
}

// processOutput handles the output of a coordinator. Its data is persisted at once, as by a driver that syncs before it
// sends.
func (w *Simulation) processOutput(k *coordinatorProcess) {
	for {
		out, ok := k.node.Output()
		if !ok {
			return
		}
		if s := out.Persist.Snapshot; s != nil {
			k.disk.Snapshot = s
			at := uint64(math.MaxUint64) // a snapshot of another coordinator replaces the whole log
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
			to := w.coordinatorByID(m.GetTo())
			if to == nil {
				continue
			}
			w.audit.raftMessages++
			w.deliver(k.process, to.process, func() {
				to.node.Step(to.clock.at(w.now), m)
				w.processOutput(to)
			})
			if m.GetType() == pb.MsgSnap {
				k.node.ReportSnapshot(m.GetTo(), true)
			}
		}
		for _, a := range out.Responses {
			w.deliverResponse(k, a)
		}
		if err := k.node.Done(); err != nil {
			w.audit.fail("%s failed: %v", k.name, err)
			return
		}
	}
}

func (w *Simulation) coordinatorByID(id uint64) *coordinatorProcess {
	for _, k := range w.coordinators {
		if k.id == id {
			return k
		}
	}
	return nil
}

func (w *Simulation) startRouter(r *routerProcess) {
	incarnation := w.startProcess(r.process)
	var addrs []string
	for _, k := range w.coordinators {
		addrs = append(addrs, k.name)
	}
	if len(addrs) == 0 {
		addrs = []string{"nobody"}
	}
	r.finder = agent.NewFinder(addrs, w.random.IntN(len(addrs)))
	r.member = agent.New(agent.Config{Name: r.name, Zone: r.zone, Region: "r", Incarnation: incarnation, Seed: w.random.Uint64(),
		CandidateKinds: []string{agent.WarmUpKind, agent.ProbeKind, agent.QuotaKind}, RouterCount: w.file.Routers, Window: 1,
		StartedAt: r.clock.at(w.now), CleanStart: incarnation == 1, Persistent: w.file.PersistentFolders,
		Trace: func(t agent.Trace) { w.audit.recordTrace(r, t) },
		Log:   func(text string) { w.log("%s: %s", r.name, text) }}, r.disk)
	share := 1 / float64(w.file.Routers)
	var trafficNeeds []float64 // the share of each server that the router's traffic needs; fixed for its incarnation
	for range w.servers {
		trafficNeeds = append(trafficNeeds, share*3*w.random.Float64())
	}
	var tick func()
	tick = func() {
		if !r.up || r.incarnation != incarnation {
			return
		}
		w.runWhenActive(r.process, incarnation, func() {
			var d agent.Demand
			for k, e := range w.servers {
				need := trafficNeeds[k] * (0.9 + 0.2*w.random.Float64())
				d.ColdServers = append(d.ColdServers, agent.ColdServer{Server: e, Need: need, Least: need / 3})
			}
			// All routers suspect one server, so that the owner of its task writes annotations.
			suspect := agent.Health{Server: w.servers[0], Unhealthy: true, SinceAnswer: -1}
			d.Suspected = []agent.Health{suspect}
			d.Health = func(uint32) (agent.Health, bool) { return suspect, true }
			now := r.clock.at(w.now)
			r.member.SetDemand(now, d)
			w.sendRequests(r, r.member.Tick(now))
		})
		w.after(0.1, tick)
	}
	w.after(0.1*w.random.Float64(), tick)
}

// sendRequests sends a router's requests.
func (w *Simulation) sendRequests(r *routerProcess, all []agent.Request) {
	incarnation := r.incarnation
	for _, req := range all {
		if req.Persist != nil {
			persisted := *req.Persist
			w.after(0.002+0.02*w.random.Float64(), func() {
				w.runWhenActive(r.process, incarnation, func() {
					r.disk = persisted
					r.member.Persisted(req.Seq, persisted, nil)
				})
			})
			continue
		}
		w.lastRequestID++
		c := &request{from: r, incarnation: incarnation, seq: req.Seq, body: req, open: true}
		w.audit.recordRequest(c)
		w.requests[w.lastRequestID] = c
		w.sendAttempt(w.lastRequestID, c)
		id := w.lastRequestID
		w.after(2.5, func() {
			if c.open {
				r.finder.Failed(c.target)
			}
			w.finishRequest(id, c, nil, agent.ErrNoAnswer)
		})
	}
}

func (w *Simulation) sendAttempt(id uint64, c *request) {
	c.target = c.from.finder.Target()
	c.attempts++
	if len(w.coordinators) == 0 {
		return
	}
	to := w.processes[c.target]
	var k *coordinatorProcess
	for _, x := range w.coordinators {
		if x.process == to {
			k = x
		}
	}
	if !k.up { // connection refused
		w.after(0.001, func() {
			c.from.finder.Failed(c.target)
			w.finishRequest(id, c, nil, agent.ErrNoAnswer)
		})
		return
	}
	w.audit.requests++
	deliverTo := func(id uint64) func() {
		return func() {
			now := k.clock.at(w.now)
			switch {
			case c.body.Heartbeat != nil:
				b := *c.body.Heartbeat
				k.node.Heartbeat(now, id, &b)
			case c.body.Messages != nil:
				k.node.PostMessages(now, id, c.body.Messages)
			case c.body.Action != nil:
				k.node.Perform(now, id, c.body.Action)
			}
			w.processOutput(k)
		}
	}
	w.deliver(c.from.process, to, deliverTo(id))
	const duplicateShare = 0.05
	if w.random.Float64() < duplicateShare { // a duplicate of the request arrives up to ten seconds later
		incarnation := to.incarnation
		w.lastRequestID++
		duplicate := deliverTo(w.lastRequestID)
		w.after(10*w.random.Float64(), func() { w.runWhenActive(to, incarnation, duplicate) })
	}
}

func (w *Simulation) deliverResponse(k *coordinatorProcess, response coordinator.Response) {
	c := w.requests[response.Request]
	if c == nil {
		return
	}
	w.deliver(k.process, c.from.process, func() {
		if errors.Is(response.Err, coordinator.ErrNotLeader) {
			leader := ""
			if x := w.coordinatorByID(response.Leader); x != nil {
				leader = x.name
			}
			c.from.finder.Redirect(k.name, leader)
			if c.open && c.attempts < 4 && c.from.incarnation == c.incarnation {
				w.sendAttempt(response.Request, c)
				return
			}
		}
		w.finishRequest(response.Request, c, response.Value, response.Err)
	})
}

func (w *Simulation) finishRequest(id uint64, c *request, value any, err error) {
	if !c.open {
		return
	}
	w.runWhenActive(c.from.process, c.incarnation, func() {
		if !c.open {
			return
		}
		c.open = false
		w.audit.recordResult(c, err)
		now := c.from.clock.at(w.now)
		c.from.member.Answer(now, c.seq, value, err)
		w.sendRequests(c.from, c.from.member.Tick(now))
	})
	delete(w.requests, id)
}

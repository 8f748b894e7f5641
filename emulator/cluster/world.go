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

var actNames = [...]string{"drain", "gone", "back", "pace", "silent", "errors", "lose", "list_late", "list_lost", "list_old",
	"list_damaged", "burst", "restart", "reload"}

func (a Act) String() string { return actNames[a] }

// ActOf is an act by its name.
func ActOf(name string) (Act, bool) {
	k := slices.Index(actNames[:], name)
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

type told struct {
	state admission.State
	at    float64
}

// house is an engine with what befalls it.
type house struct {
	*engine.Engine
	set   Engine
	id    uint32 // the routers' number of it
	state admission.State
	born  float64
	errs  float64
	loses float64
	given []given
}

// given is work that an engine was sent.
type given struct{ at, work float64 }

// recent sums what was sent after a time, and forgets the rest.
func (h *house) recent(from float64) (sum float64) {
	n := 0
	for n < len(h.given) && h.given[n].at < from {
		n++
	}
	h.given = h.given[n:]
	for _, g := range h.given {
		sum += g.work
	}
	return sum
}

func newHouse(s *Settings, k int) *house {
	e := s.Engines[k]
	if e.Name == "" {
		e.Name = fmt.Sprintf("e-%d", k)
	}
	h := &house{Engine: engine.New(e.Settings, 0), set: e, state: admission.Ready, born: e.Born}
	if e.Absent {
		h.state = admission.Gone
	}
	return h
}

func kindName(k int) string { return fmt.Sprintf("kind-%d", k) }

// list is what the name server tells, as it stands and as it stood before.
type list struct {
	rev        uint32
	lines, was []string
	late       []float64 // by router
	lost, old  []bool
	damaged    []bool
}

// change notes a new event of the list.
func (l *list) change(t *Town) {
	if l.late == nil {
		n := t.set.Routers
		l.late, l.lost, l.old, l.damaged = make([]float64, n), make([]bool, n), make([]bool, n), make([]bool, n)
	}
	l.rev++
	l.was, l.lines = l.lines, nil
	for k, e := range t.engines {
		if e.state == admission.Gone {
			continue
		}
		priority := 0
		if e.state == admission.Draining {
			priority = 1
		}
		l.lines = append(l.lines, fmt.Sprintf("%s.%s %d %.0f %s %d %.0f 127.0.%d.%d:4100", e.set.Name, t.set.Zones[e.set.Zone],
			priority, 10*max(e.set.Cores, 1), t.set.Kinds[e.set.Kind], e.set.Cell, e.born*1000, k/250, 1+k%250))
	}
}

// known is the list of now as a configuration has it.
func (l *list) known(t *Town) discovery.ConfiguredList {
	n := discovery.Event{Rev: l.rev}
	n.Pool = &struct {
		All     bool               `json:"all"`
		Targets []discovery.Target `json:"targets"`
	}{All: true}
	for k, e := range t.engines {
		if e.state == admission.Gone {
			continue
		}
		n.Pool.Targets = append(n.Pool.Targets, discovery.Target{UID: e.set.Name, Endpoint: fmt.Sprintf("127.0.%d.%d:4100", k/250, 1+k%250),
			Zone: t.set.Zones[e.set.Zone], Kind: t.set.Kinds[e.set.Kind], Cell: e.set.Cell, State: map[admission.State]string{
				admission.Ready: "ready", admission.Draining: "draining"}[e.state], Weight: e.set.Cores, BootMs: e.born * 1000})
	}
	return discovery.ConfiguredList{Rev: l.rev, Notices: []discovery.Event{n}}
}

// poll asks for the list, as the driver does.
func (r *router) poll(now float64) {
	const settled, unsettled = 0.3, 0.1 // seconds between questions
	t := r.t
	l := &t.list
	every := settled
	if r.follower.Unconfirmed() {
		every = unsettled
	}
	t.push(event{at: now + every, what: poll, router: r.me, life: r.life})
	nothingNew := l.rev == r.follower.Revision() && !r.follower.Unconfirmed()
	if l.lost[r.me] || nothingNew && !l.old[r.me] && !l.damaged[r.me] {
		return
	}
	id := binary.BigEndian.Uint16(r.follower.AppendQuery(nil))
	rev, lines := l.rev, l.lines
	if l.old[r.me] {
		rev, lines = rev-1, l.was
	}
	text := fake.Reply(id, rev, discovery.ServiceName, lines...)
	if l.damaged[r.me] {
		text = text[:len(text)*2/3]
	}
	t.push(event{at: now + trip + l.late[r.me], what: news, router: r.me, life: r.life, text: text})
}

// members hands the list in hand to the module.
func (r *router) members(scope admission.Scope) {
	t := r.t
	ready := map[uint32]admission.State{}
	for _, e := range r.follower.List() {
		ready[e.Server] = e.State
	}
	for k, h := range t.engines {
		if h.id == 0 {
			for _, e := range r.follower.List() {
				if strings.EqualFold(r.follower.Name(e.Server), h.set.Name) {
					h.id = e.Server
				}
			}
		}
		state := ready[h.id] // gone where it is not listed
		if scope == admission.Cached {
			r.told[k] = told{state, math.Inf(-1)}
		} else if r.told[k].state != state {
			r.told[k] = told{state, t.now}
		}
	}
	if t.set.Watch != nil {
		m := Moment{On: Listed, Now: t.now, Router: r.me, Engine: -1, Rev: r.follower.Revision()}
		for _, s := range ready {
			if s == admission.Ready {
				m.Listed++
			}
		}
		t.watch(&m)
	}
	r.mind.UpdateServers(t.now, scope, r.subset())
}

// subset is the part of the list in hand that the module is told of.
func (r *router) subset() []admission.Entry {
	all := r.follower.List()
	if r.t.set.Subset == nil {
		return all
	}
	var held []admission.Entry
	for _, entry := range all {
		if r.t.set.Subset(r.me, r.t.engineOf(entry.Server)) {
			held = append(held, entry)
		}
	}
	return held
}

func (t *Town) engineOf(id uint32) int {
	return slices.IndexFunc(t.engines, func(h *house) bool { return h.id == id })
}

// happen begins an act.
func (t *Town) happen(h Happening) {
	for _, k := range h.Engines {
		e := t.engines[k]
		e.Advance(t.now)
		switch h.Act {
		case Drain:
			if e.state == admission.Ready {
				e.state = admission.Draining
			}
		case Gone:
			t.die(k)
		case Back:
			e.Engine, e.state, e.born = engine.New(e.set.Settings, t.now), admission.Ready, t.now
		case Pace:
			e.Pace(t.now, h.Value)
		case Silent:
			e.Paused = true
		case Errors:
			e.errs = h.Value
		case Lose:
			e.loses = h.Value
		}
	}
	switch h.Act {
	case Drain, Gone, Back:
		t.list.change(t)
	case Burst: // the arrivals know of it
	case Reload:
		for _, me := range t.whose(h) {
			r := t.routers[me]
			if !r.up {
				continue
			}
			if fresh, err := r.follower.ApplyConfig(t.list.known(t)); err == nil && fresh {
				r.members(admission.Full)
			}
		}
	case Restart:
		for _, me := range t.whose(h) {
			t.kill(t.routers[me])
		}
	default:
		for _, me := range t.whose(h) {
			t.list.set(me, h.Act, h.Value, true)
		}
	}
	if h.For > 0 {
		t.push(event{at: t.now + h.For, what: calm, h: h})
	}
}

// calm ends it.
func (t *Town) calm(h Happening) {
	for _, k := range h.Engines {
		e := t.engines[k]
		e.Advance(t.now)
		switch h.Act {
		case Pace:
			e.Pace(t.now, 1)
		case Silent:
			e.Paused = false
		case Errors:
			e.errs = 0
		case Lose:
			e.loses = 0
		case Drain, Gone: // it starts anew
			e.Engine, e.state, e.born = engine.New(e.set.Settings, t.now), admission.Ready, t.now
		}
	}
	switch h.Act {
	case Drain, Gone:
		t.list.change(t)
	case Burst, Reload:
	case Restart:
		for _, me := range t.whose(h) {
			if r := t.routers[me]; !r.up {
				r.life++
				if err := r.start(); err != nil {
					panic(err) // the same settings did at the start
				}
			}
		}
	default:
		for _, me := range t.whose(h) {
			t.list.set(me, h.Act, 0, false)
		}
	}
}

func (l *list) set(me int, a Act, value float64, on bool) {
	switch a {
	case ListLate:
		l.late[me] = value
	case ListLost:
		l.lost[me] = on
	case ListOld:
		l.old[me] = on
	case ListDamaged:
		l.damaged[me] = on
	}
}

func (t *Town) whose(h Happening) []int {
	if h.Routers != nil {
		return h.Routers
	}
	all := make([]int, len(t.routers))
	for k := range all {
		all[k] = k
	}
	return all
}

// die ends an engine: what is out there is cut.
func (t *Town) die(k int) {
	e := t.engines[k]
	e.state = admission.Gone
	e.Engine = engine.New(e.set.Settings, t.now)
	var cut []uint64
	for n, q := range t.running {
		if q.f.engine == k && q.f.run == n {
			cut = append(cut, n)
		}
	}
	slices.Sort(cut) // equal input must act alike
	for _, n := range cut {
		q := t.running[n]
		delete(t.running, n)
		r := t.routers[q.f.router]
		t.push(event{at: t.now + trip, what: outcome, router: r.me, life: r.life, token: uint64(q.f.id), number: q.number, end: admission.ConnectionLost})
	}
}

// kill ends a router at once: what it had is lost, what is out at engines runs on.
func (t *Town) kill(r *router) {
	if t.set.Recall != nil {
		r.knew, r.diedAt = r.mind.Learned(), t.now
	}
	r.up = false
	ids := make([]uint32, 0, len(r.flights))
	for id := range r.flights {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if f := r.flights[id]; !f.over {
			f.out = false
			t.final(f, Lost)
		}
	}
}

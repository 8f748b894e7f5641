// Package modelcheck walks through every order of events of a small fleet: two owners, one keeper's record, one receiver, with
// messages that are late, lost and repeated, and processes that stand still for as long as they like. The rules are those of
// packages ownership and record themselves.
package modelcheck

import (
	"fmt"
	"sort"
	"strings"

	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
)

// Bounds of a walk. A message that is lost is one that never arrives within them.
type Bounds struct {
	Time     int // ticks
	Lease    int
	Beats    [2]int // of each owner
	Acts     int
	Lets     int // of each owner: it lets go of the work on purpose
	Loses    int // of each owner: it is told that its session is over, wrongly or late
	Restarts int // of the receiver
	Repeats  int // messages that come twice
	Most     int // states
}

// Short is a walk of some seconds; Long one of minutes.
var (
	Short = Bounds{Time: 4, Lease: 2, Beats: [2]int{1, 1}, Acts: 1, Restarts: 1, Repeats: 0, Most: 400_000}
	// Letting is a walk about releases: two beats of an owner are out at a time, and their answers pass each other.
	Letting = Bounds{Time: 2, Lease: 6, Beats: [2]int{3, 1}, Lets: 1, Most: 2_000_000}
	// Losing is a walk about sessions that are lost and opened again while a release is on its way.
	Losing = Bounds{Time: 1, Lease: 6, Beats: [2]int{2, 1}, Lets: 1, Loses: 1, Most: 2_000_000}
	Long   = Bounds{Time: 6, Lease: 2, Beats: [2]int{2, 2}, Acts: 1, Restarts: 1, Repeats: 1, Most: 20_000_000}
)

const work = "w/1"

var names = [2]string{"a", "b"}

// mine is an owner's reading of its clock: nothing but lengths on it counts.
func mine(t int) float64 { return float64(t) + 100 }

type message struct {
	kind    byte // 'b'eat, 'v'iew, 'a'ct, 'r'elease
	who     int
	sent    int
	session uint64
	fence   uint64
	number  int  // of a view
	again   bool // it has come once already
}

func (m message) String() string {
	return fmt.Sprintf("%c%d.%d.%d.%d.%d.%v", m.kind, m.who, m.sent, m.session, m.fence, m.number, m.again)
}

type owner struct {
	o       *lease.Owner
	beats   int
	acts    int
	lets    int
	loses   int
	session uint64
}

// state of everything. Values are copied on each step; what is shared is never changed.
type state struct {
	t        int
	rec      []byte // the record's snapshot
	index    uint64
	heard    [2]int // by the keeper, of each owner's session
	owners   [2]owner
	gate     *lease.FenceChecker
	flight   []message
	restarts int
	repeats  int
	shown    int            // views so far
	accepted uint64         // highest fence that the receiver took
	of       map[uint64]int // who was given each fence
	trail    *step
	decoded  map[string]*registry.Registry
}

type step struct {
	what string
	last *step
}

func (s *state) key() string {
	var b strings.Builder
	fmt.Fprint(&b, s.t, s.shown, s.heard, s.restarts, s.repeats, s.accepted, "|")
	b.Write(s.rec)
	for _, o := range s.owners {
		fmt.Fprint(&b, "|", o.beats, o.acts, o.lets, o.loses, o.session, o.o.State())
	}
	marks, floor := s.gate.Export()
	fmt.Fprint(&b, "|", marks, floor, "|")
	all := make([]string, len(s.flight))
	for k, m := range s.flight {
		all[k] = m.String()
	}
	sort.Strings(all)
	b.WriteString(strings.Join(all, ","))
	return b.String()
}

func (s *state) copy(what string) *state {
	c := *s
	for k := range c.owners {
		c.owners[k].o = s.owners[k].o.Clone()
	}
	c.flight = append([]message(nil), s.flight...)
	c.trail = &step{what, s.trail}
	return &c
}

// Found is a broken rule, with the steps that led there.
type Found struct {
	What  string
	Trail []string
}

func (f *Found) Error() string { return f.What + ":\n  " + strings.Join(f.Trail, "\n  ") }

func (s *state) found(format string, args ...any) error {
	f := &Found{What: fmt.Sprintf(format, args...)}
	for x := s.trail; x != nil; x = x.last {
		f.Trail = append([]string{x.what}, f.Trail...)
	}
	return f
}

// Walk through all states within the bounds. whole is false where there were more than Most.
func Walk(b Bounds) (states int, whole bool, err error) {
	terms := lease.Terms{Lease: float64(b.Lease), Drift: 0}
	first := &state{decoded: map[string]*registry.Registry{}, gate: lease.NewFenceChecker(), of: map[uint64]int{}}
	rec := registry.New()
	for k := range names {
		first.index++
		if _, err := rec.Apply(first.index, registry.Entry{Version: registry.Version, Kind: registry.Open, Name: names[k], Incarnation: 1}); err != nil {
			return 0, false, err
		}
		first.owners[k] = owner{o: lease.NewOwner(terms), session: first.index}
	}
	if first.rec, err = rec.Snapshot(); err != nil {
		return 0, false, err
	}
	seen := map[string]bool{first.key(): true}
	queue := []*state{first}
	for len(queue) > 0 {
		s := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		states++
		next, err := s.steps(b)
		if err != nil {
			return states, false, err
		}
		for _, n := range next {
			if err := n.check(); err != nil {
				return states, false, err
			}
			k := n.key()
			if seen[k] {
				continue
			}
			if len(seen) >= b.Most {
				return states, false, nil
			}
			seen[k] = true
			queue = append(queue, n)
		}
	}
	return states, true, nil
}

// check that at no moment both may act.
func (s *state) check() error {
	f0, a := s.owners[0].o.Permit(mine(s.t), work, 0)
	f1, b := s.owners[1].o.Permit(mine(s.t), work, 0)
	if a && b {
		return s.found("both may act, under fences %d and %d", f0, f1)
	}
	return nil
}

func (s *state) apply(e registry.Entry) (uint64, error) {
	r, err := registry.Restore(s.rec)
	if err != nil {
		return 0, err
	}
	e.Version = registry.Version
	s.index++
	fence, refused := r.Apply(s.index, e)
	if s.rec, err = r.Snapshot(); err != nil {
		return 0, err
	}
	return fence, refused
}

// read the record of a state. Records are only read, and a walk has some hundred.
func (s *state) read() (*registry.Registry, error) {
	if r := s.decoded[string(s.rec)]; r != nil {
		return r, nil
	}
	r, err := registry.Restore(s.rec)
	if err == nil {
		s.decoded[string(s.rec)] = r
	}
	return r, err
}

// steps returns every state that may come next.
func (s *state) steps(b Bounds) (all []*state, err error) {
	if s.t < b.Time {
		n := s.copy(fmt.Sprint("time ", s.t+1))
		n.t++
		all = append(all, n)
	}
	r, err := s.read()
	if err != nil {
		return nil, err
	}
	for k := range s.owners {
		all = append(all, s.ownerSteps(b, k)...)
		more, err := s.coordinatorSteps(b, r, k)
		if err != nil {
			return nil, err
		}
		all = append(all, more...)
	}
	if s.restarts < b.Restarts {
		n := s.copy("the receiver starts again")
		n.restarts++
		marks, floor := s.gate.Export()
		n.gate = lease.NewFenceChecker()
		n.gate.Import(marks, floor)
		all = append(all, n)
	}
	more, err := s.arrivals(b, r)
	return append(all, more...), err
}

// ownerSteps returns what an owner may do: send a heartbeat, act, lose its session, release the task.
func (s *state) ownerSteps(b Bounds, k int) (all []*state) {
	o := &s.owners[k]
	if o.beats < b.Beats[k] {
		n := s.copy(names[k] + " beats")
		n.owners[k].beats++
		n.flight = append(n.flight, message{kind: 'b', who: k, sent: s.t, session: o.session})
		all = append(all, n)
	}
	if fence, ok := o.o.Permit(mine(s.t), work, 0); ok && o.acts < b.Acts {
		n := s.copy(fmt.Sprint(names[k], " acts under ", fence))
		n.owners[k].acts++
		n.flight = append(n.flight, message{kind: 'a', who: k, sent: s.t, fence: fence})
		all = append(all, n)
	}
	if o.loses < b.Loses && o.o.SessionID() != 0 {
		n := s.copy(names[k] + " is told that its session is over")
		n.owners[k].loses++
		n.owners[k].o.EndSession()
		all = append(all, n)
	}
	if o.lets < b.Lets {
		n := s.copy(names[k] + " lets go")
		if c, ok := n.owners[k].o.Release(work); ok {
			n.owners[k].lets++
			n.flight = append(n.flight, message{kind: 'r', who: k, sent: s.t, session: o.session, fence: c.Fence})
			all = append(all, n)
		}
	}
	return all
}

// coordinatorSteps returns what the coordinator may do about an owner: close a session that is silent for longer than the lease, and
// give it the task if that is free.
func (s *state) coordinatorSteps(b Bounds, r *registry.Registry, k int) (all []*state, err error) {
	o := &s.owners[k]
	if r.Session(o.session) != nil && s.t-s.heard[k] > b.Lease {
		n := s.copy(fmt.Sprint("the session of ", names[k], " is over"))
		if _, err := n.apply(registry.Entry{Kind: registry.Close, Session: o.session}); err != nil {
			return nil, err
		}
		all = append(all, n)
	}
	w := r.Task(work)
	if r.Session(o.session) == nil || w != nil && w.Owner != 0 {
		return all, nil
	}
	n := s.copy("the work is given to " + names[k])
	fence, err := n.apply(registry.Entry{Kind: registry.Assign, Task: work, Session: o.session})
	if err != nil {
		return nil, err
	}
	n.of = map[uint64]int{fence: k}
	for f, who := range s.of {
		if f == fence {
			return nil, n.found("fence %d is given twice", f)
		}
		n.of[f] = who
	}
	return append(all, n), nil
}

// arrivals returns the states after each message that is on its way has arrived, once or, within the bound, twice.
func (s *state) arrivals(b Bounds, r *registry.Registry) (all []*state, err error) {
	for k, m := range s.flight {
		n := s.copy(fmt.Sprint("arrives: ", m))
		n.flight = append(n.flight[:k:k], n.flight[k+1:]...)
		if err := n.arrive(r, m); err != nil {
			return nil, err
		}
		all = append(all, n)
		if s.repeats < b.Repeats && !m.again {
			again := n.copy("and is on its way once more")
			again.repeats++
			m.again = true
			again.flight = append(again.flight, m)
			all = append(all, again)
		}
	}
	return all, nil
}

func (s *state) arrive(r *registry.Registry, m message) error {
	switch m.kind {
	case 'b':
		if r.Session(m.session) == nil {
			return nil
		}
		s.heard[m.who] = s.t
		s.shown++
		v := message{kind: 'v', who: m.who, sent: m.sent, session: m.session, number: s.shown}
		if w := r.Task(work); w != nil && w.Owner == m.session {
			v.fence = w.Fence
		}
		s.flight = append(s.flight, v)
	case 'r':
		if _, err := s.apply(registry.Entry{Kind: registry.Release, Task: work, Session: m.session, Fence: m.fence}); err != nil && err != registry.ErrFence {
			return err
		}
	case 'v':
		var claims []lease.Claim
		if m.fence > 0 {
			claims = append(claims, lease.Claim{Task: work, Fence: m.fence})
		}
		s.owners[m.who].o.ApplyConfirmation(mine(m.sent), uint64(m.number), m.session, claims)
	case 'a':
		gate := lease.NewFenceChecker()
		gate.Import(s.gate.Export())
		s.gate = gate
		if _, err := gate.Accept(work, m.fence); err != nil {
			return nil
		}
		if m.fence < s.accepted {
			return s.found("the receiver took an act under fence %d after %d", m.fence, s.accepted)
		}
		if s.of[m.fence] != m.who {
			return s.found("%s acted under another's fence %d", names[m.who], m.fence)
		}
		s.accepted = m.fence
	}
	return nil
}

// Package modelcheck explores every order of events in a small fleet: two owners, one coordinator's registry and one
// receiver, with messages that are delayed, lost and duplicated, and processes that stop for any time. The rules are
// those of the packages lease and registry themselves.
package modelcheck

import (
	"fmt"
	"sort"
	"strings"

	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
)

// Bounds limits an exploration. A lost message is one that does not arrive within them.
type Bounds struct {
	Time          int // in ticks
	Lease         int
	Heartbeats    [2]int // heartbeats of each owner
	Actions       int
	Releases      int // voluntary releases of the task by each owner
	SessionLosses int // how often each owner is told, wrongly or late, that its session is over
	Restarts      int // of the receiver
	Duplicates    int // messages that are delivered twice
	MaxStates     int // most states to explore
}

// ShortBounds explores for some seconds, LongBounds for minutes.
var (
	ShortBounds = Bounds{Time: 4, Lease: 2, Heartbeats: [2]int{1, 1}, Actions: 1, Restarts: 1, Duplicates: 0, MaxStates: 400_000}
	// ReleaseBounds covers releases: two heartbeats of an owner are outstanding at a time, and their answers overtake each
	// other.
	ReleaseBounds = Bounds{Time: 2, Lease: 6, Heartbeats: [2]int{3, 1}, Releases: 1, MaxStates: 2_000_000}
	// SessionLossBounds covers sessions that are lost and opened again while a release is on its way.
	SessionLossBounds = Bounds{Time: 1, Lease: 6, Heartbeats: [2]int{2, 1}, Releases: 1, SessionLosses: 1, MaxStates: 2_000_000}
	LongBounds        = Bounds{Time: 6, Lease: 2, Heartbeats: [2]int{2, 2}, Actions: 1, Restarts: 1, Duplicates: 1, MaxStates: 20_000_000}
)

const task = "w/1"

var ownerNames = [2]string{"a", "b"}

// ownerClock returns an owner's reading of its clock. Its offset shows that the rules depend only on durations.
func ownerClock(t int) float64 { return float64(t) + 100 }

type message struct {
	kind     byte // 'b': heartbeat, 'v': confirmation, 'a': action, 'r': release
	owner    int
	sentAt   int
	session  uint64
	fence    uint64
	sequence int  // of a confirmation
	repeated bool // it was delivered once already
}

func (m message) String() string {
	return fmt.Sprintf("%c%d.%d.%d.%d.%d.%v", m.kind, m.owner, m.sentAt, m.session, m.fence, m.sequence, m.repeated)
}

type owner struct {
	holder        *lease.Owner
	heartbeats    int
	actions       int
	releases      int
	sessionLosses int
	session       uint64
}

// state is the state of the whole fleet. Each step copies it; parts shared between copies are never modified.
type state struct {
	now              int
	registrySnapshot []byte // the registry as a snapshot
	index            uint64
	lastHeartbeat    [2]int // time at which the coordinator last received a heartbeat of each owner's session
	owners           [2]owner
	receiver         *lease.FenceChecker
	inFlight         []message
	restarts         int
	repeats          int
	confirmations    int            // number of confirmations sent so far
	accepted         uint64         // highest fence that the receiver accepted
	fenceOwner       map[uint64]int // owner to which each fence was assigned
	trail            *step
	decoded          map[string]*registry.Registry
}

type step struct {
	action   string
	previous *step
}

func (s *state) key() string {
	var text strings.Builder
	fmt.Fprint(&text, s.now, s.confirmations, s.lastHeartbeat, s.restarts, s.repeats, s.accepted, "|")
	text.Write(s.registrySnapshot)
	for _, o := range s.owners {
		fmt.Fprint(&text, "|", o.heartbeats, o.actions, o.releases, o.sessionLosses, o.session, o.holder.State())
	}
	marks, floor := s.receiver.Export()
	fmt.Fprint(&text, "|", marks, floor, "|")
	all := make([]string, len(s.inFlight))
	for k, m := range s.inFlight {
		all[k] = m.String()
	}
	sort.Strings(all)
	text.WriteString(strings.Join(all, ","))
	return text.String()
}

func (s *state) copy(what string) *state {
	c := *s
	for k := range c.owners {
		c.owners[k].holder = s.owners[k].holder.Clone()
	}
	c.inFlight = append([]message(nil), s.inFlight...)
	c.trail = &step{what, s.trail}
	return &c
}

// Violation is a violation of a rule, with the steps that led to it.
type Violation struct {
	Message string
	Steps   []string
}

func (f *Violation) Error() string { return f.Message + ":\n  " + strings.Join(f.Steps, "\n  ") }

func (s *state) violation(format string, args ...any) error {
	found := &Violation{Message: fmt.Sprintf(format, args...)}
	for x := s.trail; x != nil; x = x.previous {
		found.Steps = append([]string{x.action}, found.Steps...)
	}
	return found
}

// Explore explores all states within the bounds. complete is false if there were more than MaxStates.
func Explore(bounds Bounds) (states int, complete bool, err error) {
	terms := lease.Terms{Lease: float64(bounds.Lease), Drift: 0}
	first := &state{decoded: map[string]*registry.Registry{}, receiver: lease.NewFenceChecker(), fenceOwner: map[uint64]int{}}
	initial := registry.New()
	for k := range ownerNames {
		first.index++
		if _, err := initial.Apply(first.index, registry.Entry{Version: registry.Version, Kind: registry.Open, Name: ownerNames[k], Incarnation: 1}); err != nil {
			return 0, false, err
		}
		first.owners[k] = owner{holder: lease.NewOwner(terms), session: first.index}
	}
	if first.registrySnapshot, err = initial.Snapshot(); err != nil {
		return 0, false, err
	}
	seen := map[string]bool{first.key(): true}
	unexplored := []*state{first}
	for len(unexplored) > 0 {
		s := unexplored[len(unexplored)-1]
		unexplored = unexplored[:len(unexplored)-1]
		states++
		following, err := s.successors(bounds)
		if err != nil {
			return states, false, err
		}
		for _, n := range following {
			if err := n.check(); err != nil {
				return states, false, err
			}
			k := n.key()
			if seen[k] {
				continue
			}
			if len(seen) >= bounds.MaxStates {
				return states, false, nil
			}
			seen[k] = true
			unexplored = append(unexplored, n)
		}
	}
	return states, true, nil
}

// check returns an error if both owners are permitted to act at the same time.
func (s *state) check() error {
	firstFence, firstPermitted := s.owners[0].holder.Permit(ownerClock(s.now), task, 0)
	secondFence, secondPermitted := s.owners[1].holder.Permit(ownerClock(s.now), task, 0)
	if firstPermitted && secondPermitted {
		return s.violation("both owners may act, under fences %d and %d", firstFence, secondFence)
	}
	return nil
}

func (s *state) apply(e registry.Entry) (uint64, error) {
	r, err := registry.Restore(s.registrySnapshot)
	if err != nil {
		return 0, err
	}
	e.Version = registry.Version
	s.index++
	fence, refused := r.Apply(s.index, e)
	if s.registrySnapshot, err = r.Snapshot(); err != nil {
		return 0, err
	}
	return fence, refused
}

// decodeRegistry decodes the registry of a state. The result is cached, as an exploration has only some hundred
// different registries, and must not be modified.
func (s *state) decodeRegistry() (*registry.Registry, error) {
	if r := s.decoded[string(s.registrySnapshot)]; r != nil {
		return r, nil
	}
	r, err := registry.Restore(s.registrySnapshot)
	if err == nil {
		s.decoded[string(s.registrySnapshot)] = r
	}
	return r, err
}

// successors returns every state that can follow.
func (s *state) successors(b Bounds) (next []*state, err error) {
	if s.now < b.Time {
		n := s.copy(fmt.Sprint("time ", s.now+1))
		n.now++
		next = append(next, n)
	}
	r, err := s.decodeRegistry()
	if err != nil {
		return nil, err
	}
	for k := range s.owners {
		next = append(next, s.ownerSteps(b, k)...)
		coordinatorNext, err := s.coordinatorSteps(b, r, k)
		if err != nil {
			return nil, err
		}
		next = append(next, coordinatorNext...)
	}
	if s.restarts < b.Restarts {
		n := s.copy("the receiver restarts")
		n.restarts++
		marks, floor := s.receiver.Export()
		n.receiver = lease.NewFenceChecker()
		n.receiver.Import(marks, floor)
		next = append(next, n)
	}
	more, err := s.deliveries(b, r)
	return append(next, more...), err
}

// ownerSteps returns the steps of an owner: send a heartbeat, act, lose its session, release the task.
func (s *state) ownerSteps(b Bounds, k int) (all []*state) {
	o := &s.owners[k]
	if o.heartbeats < b.Heartbeats[k] {
		n := s.copy(ownerNames[k] + " sends a heartbeat")
		n.owners[k].heartbeats++
		n.inFlight = append(n.inFlight, message{kind: 'b', owner: k, sentAt: s.now, session: o.session})
		all = append(all, n)
	}
	if fence, ok := o.holder.Permit(ownerClock(s.now), task, 0); ok && o.actions < b.Actions {
		n := s.copy(fmt.Sprint(ownerNames[k], " acts under ", fence))
		n.owners[k].actions++
		n.inFlight = append(n.inFlight, message{kind: 'a', owner: k, sentAt: s.now, fence: fence})
		all = append(all, n)
	}
	if o.sessionLosses < b.SessionLosses && o.holder.SessionID() != 0 {
		n := s.copy(ownerNames[k] + " is told that its session has ended")
		n.owners[k].sessionLosses++
		n.owners[k].holder.EndSession()
		all = append(all, n)
	}
	if o.releases < b.Releases {
		n := s.copy(ownerNames[k] + " releases the task")
		if c, ok := n.owners[k].holder.Release(task); ok {
			n.owners[k].releases++
			n.inFlight = append(n.inFlight, message{kind: 'r', owner: k, sentAt: s.now, session: o.session, fence: c.Fence})
			all = append(all, n)
		}
	}
	return all
}

// coordinatorSteps returns the steps of the coordinator that concern an owner: close a session that was silent for
// longer than the lease, and assign it the task if the task is free.
func (s *state) coordinatorSteps(b Bounds, r *registry.Registry, k int) (all []*state, err error) {
	o := &s.owners[k]
	if r.Session(o.session) != nil && s.now-s.lastHeartbeat[k] > b.Lease {
		n := s.copy(fmt.Sprint("the session of ", ownerNames[k], " is closed"))
		if _, err := n.apply(registry.Entry{Kind: registry.Close, Session: o.session}); err != nil {
			return nil, err
		}
		all = append(all, n)
	}
	w := r.Task(task)
	if r.Session(o.session) == nil || w != nil && w.Owner != 0 {
		return all, nil
	}
	n := s.copy("the task is assigned to " + ownerNames[k])
	fence, err := n.apply(registry.Entry{Kind: registry.Assign, Task: task, Session: o.session})
	if err != nil {
		return nil, err
	}
	n.fenceOwner = map[uint64]int{fence: k}
	for f, owner := range s.fenceOwner {
		if f == fence {
			return nil, n.violation("fence %d is assigned twice", f)
		}
		n.fenceOwner[f] = owner
	}
	return append(all, n), nil
}

// deliveries returns the states after the delivery of each message in flight, with and, within the bound, without a
// second delivery to come.
func (s *state) deliveries(b Bounds, r *registry.Registry) (all []*state, err error) {
	for k, m := range s.inFlight {
		n := s.copy(fmt.Sprint("delivered: ", m))
		n.inFlight = append(n.inFlight[:k:k], n.inFlight[k+1:]...)
		if err := n.deliver(r, m); err != nil {
			return nil, err
		}
		all = append(all, n)
		if s.repeats < b.Duplicates && !m.repeated {
			second := n.copy("the message is in flight a second time")
			second.repeats++
			m.repeated = true
			second.inFlight = append(second.inFlight, m)
			all = append(all, second)
		}
	}
	return all, nil
}

func (s *state) deliver(r *registry.Registry, m message) error {
	switch m.kind {
	case 'b':
		if r.Session(m.session) == nil {
			return nil
		}
		s.lastHeartbeat[m.owner] = s.now
		s.confirmations++
		confirmation := message{kind: 'v', owner: m.owner, sentAt: m.sentAt, session: m.session, sequence: s.confirmations}
		if w := r.Task(task); w != nil && w.Owner == m.session {
			confirmation.fence = w.Fence
		}
		s.inFlight = append(s.inFlight, confirmation)
	case 'r':
		if _, err := s.apply(registry.Entry{Kind: registry.Release, Task: task, Session: m.session, Fence: m.fence}); err != nil && err != registry.ErrFence {
			return err
		}
	case 'v':
		var claims []lease.Claim
		if m.fence > 0 {
			claims = append(claims, lease.Claim{Task: task, Fence: m.fence})
		}
		s.owners[m.owner].holder.ApplyConfirmation(ownerClock(m.sentAt), uint64(m.sequence), m.session, claims)
	case 'a':
		receiver := lease.NewFenceChecker()
		receiver.Import(s.receiver.Export())
		s.receiver = receiver
		if _, err := receiver.Accept(task, m.fence); err != nil {
			return nil
		}
		if m.fence < s.accepted {
			return s.violation("the receiver accepted an action under fence %d after %d", m.fence, s.accepted)
		}
		if s.fenceOwner[m.fence] != m.owner {
			return s.violation("%s acted under fence %d, which was assigned to the other owner", ownerNames[m.owner], m.fence)
		}
		s.accepted = m.fence
	}
	return nil
}

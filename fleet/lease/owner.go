// Package lease decides what the holder of a lease on the fleet's tasks may assume, and what a receiver of its acts may accept.
//
// It has no clock: every time is a reading, in seconds, of the calling process's own monotonic clock, which goes on while the
// process is stopped.
package lease

import (
	"fmt"
	"maps"
	"slices"
)

// Terms are the terms of all leases, the same in every process of a fleet.
type Terms struct {
	Lease float64 // seconds after which coordinators, by their clocks, free the tasks of a silent session
	Drift float64 // fraction by which any clock may run fast or slow
}

// HolderDuration returns for how many seconds a lease lasts for its holder, counted on its clock from when it sent the heartbeat that
// was confirmed. The coordinators' count begins later, when the heartbeat arrives, and is longer by what both clocks may differ, so
// that it ends later whichever process is suspended in between.
func (t Terms) HolderDuration() float64 { return t.Lease * (1 - t.Drift) / (1 + t.Drift) }

// Longest returns how long a duration on one process's clock may last on another's.
func (t Terms) Longest(length float64) float64 { return length * (1 + t.Drift) / (1 - t.Drift) }

// Claim is the ownership of a task under a fence.
type Claim struct {
	Work  string `json:"work"`
	Fence uint64 `json:"fence"`
}

// Owner is what one process may assume of the tasks that it owns. It is not safe for concurrent use.
type Owner struct {
	terms          Terms
	session        uint64
	snapshotNumber uint64  // of the newest snapshot of claims; coordinators number snapshots in the order of their state
	until          float64 // end of the lease on this process's clock
	held           map[string]uint64
	released       map[string]uint64 // highest released fence, by task that the registry may still show as held
}

// NewOwner returns an owner of nothing, without a session.
func NewOwner(t Terms) *Owner {
	return &Owner{terms: t, held: map[string]uint64{}, released: map[string]uint64{}}
}

// Terms sets the terms that the coordinators use, from the next confirmation on.
func (o *Owner) Terms(t Terms) { o.terms = t }

// Session returns the number of the session, or 0.
func (o *Owner) Session() uint64 { return o.session }

// Until returns the time at which the lease ends.
func (o *Owner) Until() float64 { return o.until }

// Confirmed applies the coordinators' answer to a heartbeat sent at the given time: the session, and all tasks that it owns by the
// snapshot of that number. Answers may arrive out of order: each extends the lease by when its heartbeat was sent, but claims of a
// snapshot that is not newer than the last are ignored. It returns the tasks that are not held any more.
func (o *Owner) Confirmed(sent float64, number, session uint64, claims []Claim) (gone []Claim) {
	if number <= o.snapshotNumber {
		if session == o.session {
			o.until = max(o.until, sent+o.terms.HolderDuration())
		}
		return nil
	}
	if session != o.session {
		gone = o.Lose() // released tasks stay released: the coordinators may not have received the release yet
		o.session = session
	}
	o.snapshotNumber = number
	o.until = max(o.until, sent+o.terms.HolderDuration())
	now := make(map[string]uint64, len(claims))
	for _, c := range claims {
		if c.Fence > o.released[c.Work] {
			now[c.Work] = c.Fence
		}
	}
	for _, c := range inOrder(o.held) {
		if now[c.Work] != c.Fence {
			gone = append(gone, c)
		}
	}
	for work := range o.released { // the registry has applied the release
		if !claimed(claims, work) {
			delete(o.released, work)
		}
	}
	o.held = now
	return gone
}

// claimed reports whether a task is among the claims.
func claimed(claims []Claim, work string) bool {
	for _, c := range claims {
		if c.Work == work {
			return true
		}
	}
	return false
}

// Lose ends the session and returns what was held: the session is over, or another process's.
func (o *Owner) Lose() (gone []Claim) {
	gone = inOrder(o.held)
	clear(o.held)
	o.session, o.until = 0, 0
	return gone
}

// Release gives a task up under its present fence, before the coordinators are told.
func (o *Owner) Release(work string) (c Claim, ok bool) {
	fence, ok := o.held[work]
	if ok {
		o.released[work] = max(o.released[work], fence)
		delete(o.held, work)
	}
	return Claim{work, fence}, ok
}

// Released reports whether a claim was given up.
func (o *Owner) Released(c Claim) bool { return c.Fence <= o.released[c.Work] }

// Permit reports whether an act on a task may begin now that takes effect within the given seconds, and under which fence. It is to
// be called at the moment of the act: an answer kept for later proves nothing.
func (o *Owner) Permit(now float64, work string, takes float64) (fence uint64, ok bool) {
	fence = o.held[work]
	return fence, fence > 0 && now+takes < o.until
}

// Held returns all tasks that the registry has granted, whether or not the lease still runs.
func (o *Owner) Held() []Claim {
	return inOrder(o.held)
}

// inOrder returns claims in the order of the tasks' names.
func inOrder(m map[string]uint64) (all []Claim) {
	for _, work := range slices.Sorted(maps.Keys(m)) {
		all = append(all, Claim{work, m[work]})
	}
	return all
}

// Clone returns an independent copy.
func (o *Owner) Clone() *Owner {
	c := *o
	c.held, c.released = maps.Clone(o.held), maps.Clone(o.released)
	return &c
}

// State returns all of the state as text: two owners are equal where their texts are.
func (o *Owner) State() string {
	return fmt.Sprint(o.session, o.snapshotNumber, o.until, inOrder(o.held), inOrder(o.released))
}

// Package lease implements leases on the fleet's tasks: when their holder may act, and which of its actions a receiver may accept.
//
// The package reads no clock. Every time is a reading, in seconds, of the calling process's monotonic clock, which must keep running
// while the process is stopped.
package lease

import (
	"fmt"
	"maps"
	"slices"
)

// Terms are the terms of all leases, the same in every process of a fleet.
type Terms struct {
	Lease float64 // seconds, on the coordinators' clocks, after which the tasks of a silent session become free
	Drift float64 // fraction by which any clock may run fast or slow
}

// HolderDuration returns the number of seconds for which the holder may use a lease. The holder counts them on its own clock from the
// time at which it sent the confirmed heartbeat. The coordinators start counting later, when the heartbeat arrives, and count longer,
// by the largest difference between both clocks. Their count therefore ends later, whichever process is suspended in between.
func (t Terms) HolderDuration() float64 { return t.Lease * (1 - t.Drift) / (1 + t.Drift) }

// Longest returns the longest time that a duration on one process's clock can take on another process's clock.
func (t Terms) Longest(duration float64) float64 { return duration * (1 + t.Drift) / (1 - t.Drift) }

// Claim states that a session owns a task under a fence.
type Claim struct {
	Task  string `json:"work"`
	Fence uint64 `json:"fence"`
}

// Owner tracks the tasks that one process owns and until when it may act on them. It is not safe for concurrent use.
type Owner struct {
	terms          Terms
	session        uint64
	snapshotNumber uint64  // of the newest snapshot of claims; coordinators number snapshots in the order of the registry's state
	leaseEnd       float64 // on this process's clock
	held           map[string]uint64
	released       map[string]uint64 // highest released fence by task; only tasks that the registry may still show as held
	closed         bool              // owns nothing any more, whatever is confirmed
}

// NewOwner returns an owner without tasks and without a session.
func NewOwner(t Terms) *Owner {
	return &Owner{terms: t, held: map[string]uint64{}, released: map[string]uint64{}}
}

// SetTerms sets the terms that the coordinators use. They apply from the next confirmation on.
func (o *Owner) SetTerms(t Terms) { o.terms = t }

// SessionID returns the number of the session, or 0 if there is none.
func (o *Owner) SessionID() uint64 { return o.session }

// LeaseEnd returns the time at which the lease ends.
func (o *Owner) LeaseEnd() float64 { return o.leaseEnd }

// ApplyConfirmation applies the coordinators' response to the heartbeat sent at sentAt. The response names the session and all tasks
// that the session owns in the snapshot with the given number. Responses may arrive out of order: each extends the lease from the time
// at which its heartbeat was sent, but the claims of a snapshot that is not newer than the last one are ignored. ApplyConfirmation
// returns the claims that are no longer held. A closed owner ignores confirmations: they were on their way when it closed, and its
// tasks may have other owners by now.
func (o *Owner) ApplyConfirmation(sentAt float64, number, session uint64, claims []Claim) (lost []Claim) {
	if o.closed {
		return nil
	}
	if number <= o.snapshotNumber {
		if session == o.session {
			o.leaseEnd = max(o.leaseEnd, sentAt+o.terms.HolderDuration())
		}
		return nil
	}
	if session != o.session {
		lost = o.EndSession() // keeps o.released: the coordinators may not have received the releases yet
		o.session = session
	}
	o.snapshotNumber = number
	o.leaseEnd = max(o.leaseEnd, sentAt+o.terms.HolderDuration())
	confirmed := make(map[string]uint64, len(claims))
	for _, c := range claims {
		if c.Fence > o.released[c.Task] {
			confirmed[c.Task] = c.Fence
		}
	}
	for _, c := range sortedClaims(o.held) {
		if confirmed[c.Task] != c.Fence {
			lost = append(lost, c)
		}
	}
	for task := range o.released { // tasks without a claim: the registry has applied their release
		if !containsTask(claims, task) {
			delete(o.released, task)
		}
	}
	o.held = confirmed
	return lost
}

// containsTask reports whether one of the claims is for the task.
func containsTask(claims []Claim, task string) bool {
	for _, c := range claims {
		if c.Task == task {
			return true
		}
	}
	return false
}

// EndSession drops the session, which has ended or belongs to another process now, and returns the claims that were held.
func (o *Owner) EndSession() (lost []Claim) {
	lost = sortedClaims(o.held)
	clear(o.held)
	o.session, o.leaseEnd = 0, 0
	return lost
}

// Close drops all claims for good. The caller ends the session afterwards.
func (o *Owner) Close() {
	o.EndSession()
	o.closed = true
}

// Release stops holding a task under its current fence. The caller reports the release to the coordinators afterwards.
func (o *Owner) Release(task string) (c Claim, ok bool) {
	fence, ok := o.held[task]
	if ok {
		o.released[task] = max(o.released[task], fence)
		delete(o.held, task)
	}
	return Claim{task, fence}, ok
}

// Released reports whether a claim was released.
func (o *Owner) Released(c Claim) bool { return c.Fence <= o.released[c.Task] }

// Permit reports whether an action on a task that takes effect within duration seconds may begin now, and under which fence. Call it
// immediately before the action: the result does not hold later.
func (o *Owner) Permit(now float64, task string, duration float64) (fence uint64, ok bool) {
	fence = o.held[task]
	return fence, fence > 0 && now+duration < o.leaseEnd
}

// HeldClaims returns the claims on all tasks that the registry assigned to the session, whether or not the lease has expired.
func (o *Owner) HeldClaims() []Claim {
	return sortedClaims(o.held)
}

// sortedClaims returns the claims sorted by task name.
func sortedClaims(fences map[string]uint64) (claims []Claim) {
	for _, task := range slices.Sorted(maps.Keys(fences)) {
		claims = append(claims, Claim{task, fences[task]})
	}
	return claims
}

// Clone returns an independent copy.
func (o *Owner) Clone() *Owner {
	c := *o
	c.held, c.released = maps.Clone(o.held), maps.Clone(o.released)
	return &c
}

// State returns the complete state as text. Two owners are equal if and only if their texts are equal.
func (o *Owner) State() string {
	return fmt.Sprint(o.session, o.snapshotNumber, o.leaseEnd, sortedClaims(o.held), sortedClaims(o.released))
}

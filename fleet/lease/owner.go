// Package lease decides what an owner of the fleet's work may believe and what a receiver of its acts may accept. It knows
// no clock: every time is a reading of the calling process's own, in seconds, which counts on while the process is stopped.
package lease

import (
	"fmt"
	"maps"
	"slices"
)

// Terms of leases, the same on every process of a fleet.
type Terms struct {
	Lease float64 // seconds that keepers wait, on their clocks, before they free the works of a session that is silent
	Drift float64 // by what share any clock may run fast or slow
}

// Own is how long an owner may count, on its clock, from when it asked for what was confirmed. The keepers' count begins later
// (when the question came) and is longer by what both clocks may differ, so it ends later whoever stands still between.
func (t Terms) Own() float64 { return t.Lease * (1 - t.Drift) / (1 + t.Drift) }

// Longest is how long what a process counts as a length may last by another's clock.
func (t Terms) Longest(length float64) float64 { return length * (1 + t.Drift) / (1 - t.Drift) }

// Claim is one work under the fence that its owner got.
type Claim struct {
	Work  string `json:"work"`
	Fence uint64 `json:"fence"`
}

// Owner is one process's belief in the works it owns.
type Owner struct {
	terms   Terms
	session uint64
	number  uint64  // of the view whose claims count: keepers number views in the order that they write them
	until   float64 // end of the lease on this process's clock
	held    map[string]uint64
	let     map[string]uint64 // highest fence that was let go of, by work that the record may still show as ours
}

func NewOwner(t Terms) *Owner {
	return &Owner{terms: t, held: map[string]uint64{}, let: map[string]uint64{}}
}

// Terms as the keepers have them, from the next confirmation on.
func (o *Owner) Terms(t Terms) { o.terms = t }

// Session that the belief stands on, 0: none.
func (o *Owner) Session() uint64 { return o.session }

// Until is the end of the lease.
func (o *Owner) Until() float64 { return o.until }

// Confirmed takes the keepers' word on a question sent at that time: the session, and all works that are its own by the view of
// that number. Answers pass each other on their way, and a later question may have been answered first: whatever comes
// lengthens the lease by when it was asked for, but claims of a view older than the last one's are no news. gone are the works that
// are not ours any more.
func (o *Owner) Confirmed(sent float64, number, session uint64, claims []Claim) (gone []Claim) {
	if number <= o.number {
		if session == o.session {
			o.until = max(o.until, sent+o.terms.Own())
		}
		return nil
	}
	if session != o.session {
		gone = o.Lose() // what was let go of stays so: the word of it may still be on its way
		o.session = session
	}
	o.number = number
	o.until = max(o.until, sent+o.terms.Own())
	now := make(map[string]uint64, len(claims))
	for _, c := range claims {
		if c.Fence > o.let[c.Work] {
			now[c.Work] = c.Fence
		}
	}
	for _, c := range inOrder(o.held) {
		if now[c.Work] != c.Fence {
			gone = append(gone, c)
		}
	}
	for work := range o.let { // the record has seen that it was let go of
		if !claimed(claims, work) {
			delete(o.let, work)
		}
	}
	o.held = now
	return gone
}

func claimed(claims []Claim, work string) bool {
	for _, c := range claims {
		if c.Work == work {
			return true
		}
	}
	return false
}

// Lose gives all up: the session is another's or over.
func (o *Owner) Lose() (gone []Claim) {
	gone = inOrder(o.held)
	clear(o.held)
	o.session, o.until = 0, 0
	return gone
}

// Let stops a work for good under the fence that it has, before the keepers are told.
func (o *Owner) Let(work string) (c Claim, ok bool) {
	fence, ok := o.held[work]
	if ok {
		o.let[work] = max(o.let[work], fence)
		delete(o.held, work)
	}
	return Claim{work, fence}, ok
}

// Gone tells whether a claim is one that was let go of.
func (o *Owner) Gone(c Claim) bool { return c.Fence <= o.let[c.Work] }

// May tells whether an act on a work may begin now that has its effect after takes seconds at the latest, and under which
// fence. It has to be asked at the moment of the act: an answer kept for later proves nothing.
func (o *Owner) May(now float64, work string, takes float64) (fence uint64, ok bool) {
	fence = o.held[work]
	return fence, fence > 0 && now+takes < o.until
}

// Held is all works that the record gave us, whether or not the lease still runs.
func (o *Owner) Held() []Claim {
	return inOrder(o.held)
}

func inOrder(m map[string]uint64) (all []Claim) {
	for _, work := range slices.Sorted(maps.Keys(m)) {
		all = append(all, Claim{work, m[work]})
	}
	return all
}

// Clone is a belief of its own with the same contents.
func (o *Owner) Clone() *Owner {
	c := *o
	c.held, c.let = maps.Clone(o.held), maps.Clone(o.let)
	return &c
}

// State as text: two beliefs are the same where these are.
func (o *Owner) State() string {
	return fmt.Sprint(o.session, o.number, o.until, inOrder(o.held), inOrder(o.let))
}

package allocation

// This file tracks the shares that members have relinquished and have been granted.

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Granter tracks one quota for its owner. It is not safe for concurrent use.
type Granter struct {
	terms      Terms
	fence      uint64
	grantsFrom float64 // before this time grants of the previous owner may be in use
	openRounds []openRound
	round      uint64
	members    map[string]*member
}

// openRound is a round and the time at which it was opened.
type openRound struct {
	number   uint64
	openedAt float64
}

// member is one incarnation of a member. Relinquished shares are counted once per name.
type member struct {
	name                 string
	incarnation          uint64
	from, until          float64 // times between which the equal share is certainly relinquished
	need, least          float64
	lastTag, answeredTag uint64  // tags of the last relinquishment and of the last one that was answered
	lastServed           float64 // time of the last grant of a share above 0
	heldSince            float64 // time since which the member has had a share without interruption
	awaitedShare         float64 // smallest useful share, which could not be granted yet; 0: the member does not wait
	grants               []issuedGrant
}

// issuedGrant is a grant that was made: its share and the time until which its use counts.
type issuedGrant struct{ share, until float64 }

// NewGranter returns the state for a task that was acquired now. It makes no grants while grants of the previous owner may be in use.
// priorRound is the number of the last round that this process opened for any quota. A process that loses this state but keeps its fence
// must not mistake an answer to an old round for an answer to a new one.
func NewGranter(t Terms, fence, priorRound uint64, now float64) *Granter {
	return &Granter{terms: t, fence: fence, round: priorRound, members: map[string]*member{}, grantsFrom: now + t.longest(t.GrantLifetime+t.longest(t.SettleTime))}
}

// Fence returns the fence under which grants are made.
func (d *Granter) Fence() uint64 { return d.fence }

// maxRounds is the number of remembered rounds: eight seconds at one round every half second.
const maxRounds = 16

// OpenRound starts a round and returns its number. Members that receive the number may relinquish their shares in answer to it.
func (d *Granter) OpenRound(now float64) uint64 {
	d.round++
	if d.openRounds = append(d.openRounds, openRound{d.round, now}); len(d.openRounds) > maxRounds {
		d.openRounds = slices.Delete(d.openRounds, 0, 1)
	}
	for key, m := range d.members { // forget members that neither relinquish a share nor use a grant
		if m.until < now && m.inUse(now) == 0 {
			delete(d.members, key)
		}
	}
	return d.round
}

// Reasons for which a relinquishment is rejected.
var (
	ErrUnknownRound   = errors.New("the relinquishment answers a round that is not remembered or is another owner's")
	ErrMemberCount    = errors.New("the relinquishment has a different number of members")
	ErrTooManyMembers = errors.New("the quota has too many members")
	ErrBadNumbers     = errors.New("the relinquishment has an invalid number")
)

// AcceptRelinquishment records a member's relinquishment. A duplicate, or one that is older than the last, has no effect.
func (d *Granter) AcceptRelinquishment(now float64, name string, incarnation uint64, msg Relinquishment) error {
	k := slices.IndexFunc(d.openRounds, func(o openRound) bool { return o.number == msg.Round })
	switch {
	case k < 0 || msg.Fence != d.fence:
		return ErrUnknownRound
	case msg.Members != d.terms.Members:
		return ErrMemberCount
	case !(msg.Need >= 0 && msg.Need <= 1e6 && msg.MinUseful >= 0 && msg.MinUseful <= 1e6 && msg.Duration >= 0):
		return ErrBadNumbers
	}
	key := fmt.Sprintf("%s/%d", name, incarnation)
	m := d.members[key]
	if m == nil {
		if len(d.members) >= maxIncarnations {
			return ErrTooManyMembers
		}
		m = &member{name: name, incarnation: incarnation, until: math.Inf(-1)}
		d.members[key] = m
	}
	if m.lastTag >= msg.Tag {
		return nil // a duplicate or an older one
	}
	if now > m.until { // it may have used its equal share until now: wait until that use no longer counts
		m.from = now + d.terms.longest(d.terms.SettleTime)
	}
	// The message was sent after the round was opened. The sending time is unknown on this clock; the opening is certainly early enough.
	m.until = max(m.until, d.openRounds[k].openedAt+d.terms.shortest(min(msg.Duration, d.terms.RelinquishDuration)))
	m.need, m.least, m.lastTag = msg.Need, msg.MinUseful, msg.Tag
	return nil
}

// inUse returns the largest share that the member may be using or whose use still counts.
func (m *member) inUse(now float64) (largest float64) {
	for _, grant := range m.grants {
		if grant.until > now {
			largest = max(largest, grant.share) // a member uses one grant at a time
		}
	}
	return largest
}

// ShareInUse returns the sum of the shares that members may be using or whose use still counts.
func (d *Granter) ShareInUse(now float64) (sum float64) {
	for _, m := range d.members {
		sum += m.inUse(now)
	}
	return sum
}

// RelinquishedShare returns the sum of the equal shares that are certainly relinquished from now until end.
func (d *Granter) RelinquishedShare(now, end float64) float64 {
	names := map[string]bool{}
	for _, m := range d.members {
		if m.from <= now && m.until >= end {
			names[m.name] = true // all incarnations of a name have one equal share together
		}
	}
	return float64(len(names)) / float64(d.terms.Members)
}

// lastShare returns the share that was granted last, or 0.
func (m *member) lastShare() float64 {
	if n := len(m.grants); n > 0 {
		return m.grants[n-1].share
	}
	return 0
}

// longestWaiting returns the member that has waited longest for its smallest useful share, or nil.
func (d *Granter) longestWaiting(now float64) (first *member) {
	for _, m := range d.members {
		if m.awaitedShare > 0 && m.until >= now && (first == nil || m.lastServed < first.lastServed || m.lastServed == first.lastServed && m.name < first.name) {
			first = m
		}
	}
	return first
}

// nameHash breaks ties between members, in the same way in every round. A share that alternated between two members would leave none
// for a third, since the recent use of both counts.
func (m *member) nameHash() uint64 { return xxhash.Sum64String(m.name) }

package allocation

// This file keeps what members have relinquished and been granted.

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Granter is an owner's account of one quota. It is not safe for concurrent use.
type Granter struct {
	terms      Terms
	fence      uint64
	grantsFrom float64 // until then grants of the last owner may be in use
	openRounds []openRound
	round      uint64
	members    map[string]*member
}

// openRound is a round and when it was opened.
type openRound struct {
	number   uint64
	openedAt float64
}

// member is one incarnation of one name; relinquishments count by name.
type member struct {
	name                 string
	incarnation          uint64
	from, until          float64 // between which it has surely relinquished
	need, least          float64
	lastTag, answeredTag uint64  // of the last relinquishment, and of the last that was answered
	lastServed           float64 // when it last had a share, and since when it has the present one
	heldSince            float64
	awaitedShare         float64 // least share that could not be granted yet; 0: it does not wait
	grants               []issuedGrant
}

// issuedGrant is a grant that was made: its share and when it ends.
type issuedGrant struct{ share, until float64 }

// NewGranter returns the account of a task that was acquired now: it grants nothing while grants of the last owner may be in use.
// after is the number of the last round that this process has opened of anything: a process that loses its account under a fence
// that it keeps must not take an answer to an old round for one to a new round.
func NewGranter(t Terms, fence, priorRound uint64, now float64) *Granter {
	return &Granter{terms: t, fence: fence, round: priorRound, members: map[string]*member{}, grantsFrom: now + t.longest(t.GrantLifetime+t.longest(t.Settle))}
}

// Fence returns the fence under which it grants.
func (d *Granter) Fence() uint64 { return d.fence }

// maxRounds is how many rounds' openings are remembered: eight seconds of rounds of half a second.
const maxRounds = 16

// OpenRound begins a round and returns its number. Members that receive it may relinquish for it.
func (d *Granter) OpenRound(now float64) uint64 {
	d.round++
	if d.openRounds = append(d.openRounds, openRound{d.round, now}); len(d.openRounds) > maxRounds {
		d.openRounds = slices.Delete(d.openRounds, 0, 1)
	}
	for key, m := range d.members { // members that neither relinquish nor have a grant take no memory
		if m.until < now && m.inUse(now) == 0 {
			delete(d.members, key)
		}
	}
	return d.round
}

// Why a relinquishment is rejected.
var (
	ErrRound          = errors.New("a pledge for a round that is not remembered, or another owner's")
	ErrMemberCount    = errors.New("a pledge that counts the members otherwise")
	ErrTooManyMembers = errors.New("more members than a whole can have")
	ErrBadNumbers     = errors.New("a pledge with figures that are none")
)

// Relinquish takes a member's relinquishment. An older one than the last, or the same again, has no effect.
func (d *Granter) Relinquish(now float64, name string, incarnation uint64, msg Relinquishment) error {
	k := slices.IndexFunc(d.openRounds, func(o openRound) bool { return o.number == msg.Round })
	switch {
	case k < 0 || msg.Fence != d.fence:
		return ErrRound
	case msg.Members != d.terms.Members:
		return ErrMemberCount
	case !(msg.Need >= 0 && msg.Need <= 1e6 && msg.Least >= 0 && msg.Least <= 1e6 && msg.Duration >= 0):
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
		return nil // an older one, or the same again
	}
	if now > m.until { // it may have used its equal share until now: that has to settle
		m.from = now + d.terms.longest(d.terms.Settle)
	}
	// It was sent after the round was opened; no clock here tells when, and the opening is surely early enough.
	m.until = max(m.until, d.openRounds[k].openedAt+d.terms.shortest(min(msg.Duration, d.terms.RelinquishFor)))
	m.need, m.least, m.lastTag = msg.Need, msg.Least, msg.Tag
	return nil
}

// inUse returns the largest share that a member may be using, or whose use still counts.
func (m *member) inUse(now float64) (largest float64) {
	for _, grant := range m.grants {
		if grant.until > now {
			largest = max(largest, grant.share) // a member uses one grant at a time
		}
	}
	return largest
}

// InUse returns the sum of the shares that members may be using, or whose use still counts.
func (d *Granter) InUse(now float64) (sum float64) {
	for _, m := range d.members {
		sum += m.inUse(now)
	}
	return sum
}

// Relinquished returns the sum of the equal shares that are surely relinquished from now until then.
func (d *Granter) Relinquished(now, end float64) float64 {
	names := map[string]bool{}
	for _, m := range d.members {
		if m.from <= now && m.until >= end {
			names[m.name] = true // two incarnations of a name have one share
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

// longestWaiting returns the member that has waited longest for its least share, or nil.
func (d *Granter) longestWaiting(now float64) (first *member) {
	for _, m := range d.members {
		if m.awaitedShare > 0 && m.until >= now && (first == nil || m.lastServed < first.lastServed || m.lastServed == first.lastServed && m.name < first.name) {
			first = m
		}
	}
	return first
}

// nameHash orders members between which nothing else decides, the same in every round: a share that moved between two would leave no
// room for a third, since what both had of late counts.
func (m *member) nameHash() uint64 { return xxhash.Sum64String(m.name) }

package allocation

// This file decides the grants of one round.

import (
	"cmp"
	"math"
	"slices"
)

// AddressedGrant is a grant and the incarnation that it is for.
type AddressedGrant struct {
	Name        string
	Incarnation uint64
	Grant
}

// shareTolerance is what a share may be short of without being of less use: what rounding leaves.
const shareTolerance = 1e-9

// Grants grants what is relinquished to the members that relinquished and have no answer yet. A grant counts as used from now on,
// whether or not it arrives.
func (d *Granter) Grants(now float64) []AddressedGrant {
	if now < d.grantsFrom {
		return nil
	}
	pending := d.unansweredMembers(now)
	if len(pending) == 0 {
		return nil
	}
	end := now + d.terms.GrantLifetime + d.terms.longest(d.terms.Settle)
	r := d.newRound(now, end, pending)
	r.grantLeast()
	if r.waiting != nil {
		r.renewHeld()
	} else {
		r.grantNeeds()
		r.grantSurplus()
	}
	return d.recordGrants(now, end, r)
}

// unansweredMembers returns the members that are to be granted something, in the order in which they are: those that have none first, longest
// unserved before others; then those that have a share, most recent before others, so that the next to yield is the one that has had
// it longest. Names decide between equals.
func (d *Granter) unansweredMembers(now float64) (pending []*member) {
	for _, m := range d.members {
		for len(m.grants) > 0 && m.grants[0].until <= now {
			m.grants = slices.Delete(m.grants, 0, 1)
		}
		// Only members whose relinquishment holds: another process of the same name may have taken the place of others.
		if m.lastTag > m.answeredTag && m.until >= now {
			pending = append(pending, m)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int {
		order := cmp.Compare(min(a.lastShare(), 1e-12), min(b.lastShare(), 1e-12))
		if a.lastShare() > 0 && b.lastShare() > 0 {
			order = cmp.Compare(b.heldSince, a.heldSince)
		}
		return cmp.Or(order, cmp.Compare(a.lastServed, b.lastServed), cmp.Compare(a.nameHash(), b.nameHash()), cmp.Compare(a.incarnation, b.incarnation))
	})
	return pending
}

// round is one round of grants.
type round struct {
	pending      []*member
	shares       []float64 // by member that asks
	remaining    budget
	lastPeriod   int     // index of the budget's last time: no earlier grant is in use from then on
	maxGrantable float64 // all that could be granted, if members that ask got nothing
	// One member at a time may wait for a share that others still have: theirs are renewed only as far as its least is left over.
	waiting  *member
	reserved float64 // for it
}

// newRound returns a round in which nothing is granted yet.
func (d *Granter) newRound(now, end float64, pending []*member) *round {
	r := &round{pending: pending, shares: make([]float64, len(pending)), remaining: d.newBudget(now, end, pending), waiting: d.longestWaiting(now)}
	r.lastPeriod = len(r.remaining.available) - 1
	r.maxGrantable = r.remaining.available[r.lastPeriod]
	for _, m := range d.members {
		if m.inUse(now) > 0 && !slices.Contains(pending, m) {
			r.maxGrantable += m.inUse(r.remaining.periodStarts[r.lastPeriod])
		}
	}
	if r.waiting != nil {
		r.reserved = r.waiting.awaitedShare
	}
	return r
}

// raise raises a member's grant toward a share, as far as the budget and what is kept for the waiting member allow.
func (r *round) raise(k int, target float64) {
	free := r.remaining.available[r.lastPeriod]
	if r.pending[k] != r.waiting {
		free -= r.reserved
	}
	r.remaining.raise(k, &r.shares[k], min(target, r.shares[k]+max(free, 0)))
}

// grantLeast grants each member the least share that is of use to it, or nothing.
func (r *round) grantLeast() {
	for k, m := range r.pending {
		least := min(max(m.least, 0), m.need)
		if m.need <= 0 {
			m.awaitedShare = 0
			continue
		}
		if r.waiting != nil && m != r.waiting && m.lastShare() <= 0 {
			continue // members without a share get none before the one that waits
		}
		if r.raise(k, least); r.shares[k] >= least-shareTolerance {
			if m.awaitedShare = 0; m == r.waiting {
				r.waiting, r.reserved = nil, 0
			}
			continue
		}
		r.shares[k] = r.remaining.revert(k, r.shares[k]) // less than its least is of no use
		if r.waiting == nil && least <= r.maxGrantable {
			r.waiting, r.reserved, m.awaitedShare = m, least, least
		}
	}
}

// renewHeld renews the shares that members have, all cut alike as far as the waiting member needs it: shares that moved between them
// would leave it no room.
func (r *round) renewHeld() {
	const slack = 1e-6 // of a quota, so that what is left is not short of what is waited for by a rounding
	increase := 0.0
	for k, m := range r.pending {
		if r.shares[k] > 0 && m != r.waiting {
			increase += max(min(m.lastShare(), m.need)-r.shares[k], 0)
		}
	}
	scale := 1.0
	if free := max(r.remaining.available[r.lastPeriod]-r.reserved-slack, 0); increase > free {
		scale = free / increase
	}
	for k, m := range r.pending {
		if r.shares[k] > 0 && m != r.waiting {
			r.raise(k, r.shares[k]+scale*max(min(m.lastShare(), m.need)-r.shares[k], 0))
		}
	}
}

// grantNeeds grants what is left by what members still need, in proportion.
func (r *round) grantNeeds() {
	unmetNeed := 0.0
	for k, m := range r.pending {
		unmetNeed += max(m.need-r.shares[k], 0)
	}
	free := r.remaining.available[r.lastPeriod]
	if unmetNeed <= 0 || free <= shareTolerance {
		return
	}
	scale := min(free/unmetNeed, 1)
	for k, m := range r.pending {
		r.raise(k, r.shares[k]+scale*max(m.need-r.shares[k], 0))
	}
}

// grantSurplus grants what nobody needs in equal parts: a reserve for what comes between two rounds.
func (r *round) grantSurplus() {
	free := r.remaining.available[r.lastPeriod]
	if free <= shareTolerance {
		return
	}
	each := free / float64(len(r.pending))
	for k := range r.pending {
		r.raise(k, r.shares[k]+each)
	}
}

// recordGrants records the grants of a round, which end then, and returns them.
func (d *Granter) recordGrants(now, end float64, r *round) (addressed []AddressedGrant) {
	for k, m := range r.pending {
		m.answeredTag = m.lastTag
		if r.shares[k] > 0 {
			if m.lastServed = now; m.lastShare() <= 0 {
				m.heldSince = now
			}
		}
		m.grants = append(m.grants, issuedGrant{r.shares[k], end})
		grant := Grant{Fence: d.fence, Round: d.round, Tag: m.lastTag, Share: r.shares[k], Lifetime: d.terms.GrantLifetime}
		addressed = append(addressed, AddressedGrant{m.name, m.incarnation, grant})
	}
	return addressed
}

// budget is what new grants may be, at each time until they end: between two times the earlier grants in use are the same, and a
// grant may take what is relinquished throughout, less what all members may be using by then.
type budget struct {
	periodStarts []float64   // times; the first is now
	available    []float64   // of what is relinquished, until the next time
	heldBy       [][]float64 // by member that asks: what it may be using already
}

// newBudget returns the budget of grants from now until then.
func (d *Granter) newBudget(now, grantEnd float64, pending []*member) (b budget) {
	b.periodStarts = append(b.periodStarts, now)
	for _, m := range d.members {
		for _, grant := range m.grants {
			if grant.until > now && grant.until < grantEnd {
				b.periodStarts = append(b.periodStarts, grant.until)
			}
		}
	}
	slices.Sort(b.periodStarts)
	b.periodStarts = slices.Compact(b.periodStarts)
	for k, at := range b.periodStarts {
		end := grantEnd
		if k+1 < len(b.periodStarts) {
			end = b.periodStarts[k+1]
		}
		b.available = append(b.available, d.Relinquished(now, end)-d.InUse(at))
	}
	for _, m := range pending {
		held := make([]float64, len(b.periodStarts))
		for k, at := range b.periodStarts {
			held[k] = m.inUse(at)
		}
		b.heldBy = append(b.heldBy, held)
	}
	return b
}

// limit returns how far the grant of a member may be raised that is at give now.
func (b *budget) limit(member int, share float64) float64 {
	headroom := math.Inf(1)
	for k, free := range b.available {
		headroom = min(headroom, max(b.heldBy[member][k], share)+max(free, 0))
	}
	// Where less is relinquished than may be in use, nothing that outlives that is granted.
	if lastPeriod := len(b.available) - 1; b.available[lastPeriod] < 0 {
		headroom = min(headroom, share)
	}
	return headroom
}

// raise raises a member's grant toward a share, as far as the budget allows.
func (b *budget) raise(member int, share *float64, target float64) {
	if target = min(target, b.limit(member, *share)); target <= *share {
		return
	}
	for k, held := range b.heldBy[member] {
		b.available[k] -= max(target, held) - max(*share, held)
	}
	*share = target
}

// revert returns a member's grant to the budget, and 0.
func (b *budget) revert(member int, share float64) float64 {
	for k, held := range b.heldBy[member] {
		b.available[k] += max(share, held) - held
	}
	return 0
}

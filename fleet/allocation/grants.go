package allocation

// This file computes the grants of one round.

import (
	"cmp"
	"math"
	"slices"
)

// AddressedGrant is a grant and the incarnation of the member that receives it.
type AddressedGrant struct {
	Name        string
	Incarnation uint64
	Grant
}

// shareTolerance is the rounding error by which a share may fall short of a target and still count as sufficient.
const shareTolerance = 1e-9

// IssueGrants distributes the relinquished shares to the members whose relinquishments have not been answered yet. A grant counts as
// used from now on, whether or not it arrives.
func (d *Granter) IssueGrants(now float64) []AddressedGrant {
	if now < d.grantsFrom {
		return nil
	}
	pending := d.unansweredMembers(now)
	if len(pending) == 0 {
		return nil
	}
	end := now + d.terms.GrantLifetime + d.terms.longest(d.terms.SettleTime)
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

// unansweredMembers returns the members to which shares are to be granted, in the order in which they are served: first members without
// a share, starting with the one that has been without a share longest; then members with a share, starting with the one that got it
// most recently, so that the member that has held its share longest yields first. Hashes of the names break ties.
func (d *Granter) unansweredMembers(now float64) (pending []*member) {
	for _, m := range d.members {
		for len(m.grants) > 0 && m.grants[0].until <= now {
			m.grants = slices.Delete(m.grants, 0, 1)
		}
		// An expired relinquishment does not count: another process of the same name may have replaced this one.
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

// round is the computation of the grants of one round.
type round struct {
	pending      []*member
	shares       []float64 // by pending member
	remaining    budget
	lastPeriod   int     // index of the budget's last period, in which no earlier grant is in use any more
	maxGrantable float64 // share that could be granted in total if the pending members got nothing
	// One member at a time may wait for a share that others still hold. Their shares are renewed only as far as they leave it its
	// smallest useful share.
	waiting  *member
	reserved float64 // share that is kept free for the waiting member
}

// newRound returns a round without grants.
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

// raise raises the grant of pending member k toward a target, as far as the budget and the share reserved for the waiting member
// allow.
func (r *round) raise(k int, target float64) {
	free := r.remaining.available[r.lastPeriod]
	if r.pending[k] != r.waiting {
		free -= r.reserved
	}
	r.remaining.raise(k, &r.shares[k], min(target, r.shares[k]+max(free, 0)))
}

// grantLeast grants each member its smallest useful share or nothing.
func (r *round) grantLeast() {
	for k, m := range r.pending {
		least := min(max(m.least, 0), m.need)
		if m.need <= 0 {
			m.awaitedShare = 0
			continue
		}
		if r.waiting != nil && m != r.waiting && m.lastShare() <= 0 {
			continue // a member without a share gets none before the waiting member does
		}
		if r.raise(k, least); r.shares[k] >= least-shareTolerance {
			if m.awaitedShare = 0; m == r.waiting {
				r.waiting, r.reserved = nil, 0
			}
			continue
		}
		r.shares[k] = r.remaining.revert(k, r.shares[k]) // a share below the smallest useful one is of no use
		if r.waiting == nil && least <= r.maxGrantable {
			r.waiting, r.reserved, m.awaitedShare = m, least, least
		}
	}
}

// renewHeld renews the shares that members hold, all scaled down by the same factor as far as the waiting member needs it. Shares that
// moved between those members would leave none for the waiting one.
func (r *round) renewHeld() {
	const slack = 1e-6 // share of a quota; keeps rounding from leaving slightly less than the awaited share
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

// grantNeeds distributes the remaining budget in proportion to the members' unmet needs.
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

// grantSurplus distributes the budget that no member needs in equal parts, as a reserve for needs that arise between two rounds.
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

// recordGrants records the grants of a round, whose use counts until end, and returns them.
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

// budget is the share that new grants may take until they end. It is split into periods within which the earlier grants in use do not
// change. New grants may take the shares that are relinquished until the end of the period, less all shares that members may be using
// in it.
type budget struct {
	periodStarts []float64   // start times; the first is now
	available    []float64   // share that can still be granted, by period
	heldBy       [][]float64 // share that a member may be using already, by pending member and period
}

// newBudget returns the budget of grants from now until grantEnd.
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
		b.available = append(b.available, d.RelinquishedShare(now, end)-d.ShareInUse(at))
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

// limit returns the share to which the grant of a member can be raised; share is its current value.
func (b *budget) limit(member int, share float64) float64 {
	headroom := math.Inf(1)
	for k, free := range b.available {
		headroom = min(headroom, max(b.heldBy[member][k], share)+max(free, 0))
	}
	// If less is relinquished than may be in use in the last period, no further share may be granted that lasts into it.
	if lastPeriod := len(b.available) - 1; b.available[lastPeriod] < 0 {
		headroom = min(headroom, share)
	}
	return headroom
}

// raise raises a member's grant toward a target as far as the budget allows, and reduces the budget.
func (b *budget) raise(member int, share *float64, target float64) {
	if target = min(target, b.limit(member, *share)); target <= *share {
		return
	}
	for k, held := range b.heldBy[member] {
		b.available[k] -= max(target, held) - max(*share, held)
	}
	*share = target
}

// revert gives a member's grant back to the budget and returns 0, the new share.
func (b *budget) revert(member int, share float64) float64 {
	for k, held := range b.heldBy[member] {
		b.available[k] += max(share, held) - held
	}
	return 0
}

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

// enough is what a share may be short of without being of less use: what rounding leaves.
const enough = 1e-9

// Grants grants what is relinquished to the members that relinquished and have no answer yet. A grant counts as used from now on,
// whether or not it arrives.
func (d *Granter) Grants(now float64) []AddressedGrant {
	if now < d.grantsFrom {
		return nil
	}
	ask := d.asking(now)
	if len(ask) == 0 {
		return nil
	}
	then := now + d.terms.GrantLifetime + d.terms.longest(d.terms.Settle)
	r := d.newRound(now, then, ask)
	r.grantLeast()
	if r.waiting != nil {
		r.keepHeld()
	} else {
		r.grantNeeds()
		r.grantRest()
	}
	return d.answer(now, then, r)
}

// asking returns the members that are to be granted something, in the order in which they are: those that have none first, longest
// unserved before others; then those that have a share, most recent before others, so that the next to yield is the one that has had
// it longest. Names decide between equals.
func (d *Granter) asking(now float64) (ask []*member) {
	for _, m := range d.members {
		for len(m.grants) > 0 && m.grants[0].until <= now {
			m.grants = slices.Delete(m.grants, 0, 1)
		}
		// Only members whose relinquishment holds: another process of the same name may have taken the place of others.
		if m.tag > m.answered && m.until >= now {
			ask = append(ask, m)
		}
	}
	slices.SortFunc(ask, func(a, b *member) int {
		has := cmp.Compare(min(a.lastShare(), 1e-12), min(b.lastShare(), 1e-12))
		if a.lastShare() > 0 && b.lastShare() > 0 {
			has = cmp.Compare(b.heldSince, a.heldSince)
		}
		return cmp.Or(has, cmp.Compare(a.lastServed, b.lastServed), cmp.Compare(a.hash(), b.hash()), cmp.Compare(a.incarnation, b.incarnation))
	})
	return ask
}

// round is one round of grants.
type round struct {
	ask   []*member
	give  []float64 // by member that asks
	b     budget
	last  int     // index of the budget's last time: no earlier grant is in use from then on
	whole float64 // all that could be granted, if members that ask got nothing
	// One member at a time may wait for a share that others still have: theirs are renewed only as far as its least is left over.
	waiting *member
	kept    float64 // for it
}

// newRound returns a round in which nothing is granted yet.
func (d *Granter) newRound(now, then float64, ask []*member) *round {
	r := &round{ask: ask, give: make([]float64, len(ask)), b: d.newBudget(now, then, ask), waiting: d.longestWaiting(now)}
	r.last = len(r.b.available) - 1
	r.whole = r.b.available[r.last]
	for _, m := range d.members {
		if m.inUse(now) > 0 && !slices.Contains(ask, m) {
			r.whole += m.inUse(r.b.from[r.last])
		}
	}
	if r.waiting != nil {
		r.kept = r.waiting.waitsFor
	}
	return r
}

// raise raises a member's grant toward a share, as far as the budget and what is kept for the waiting member allow.
func (r *round) raise(k int, to float64) {
	free := r.b.available[r.last]
	if r.ask[k] != r.waiting {
		free -= r.kept
	}
	r.b.raise(k, &r.give[k], min(to, r.give[k]+max(free, 0)))
}

// grantLeast grants each member the least share that is of use to it, or nothing.
func (r *round) grantLeast() {
	for k, m := range r.ask {
		least := min(max(m.least, 0), m.need)
		if m.need <= 0 {
			m.waitsFor = 0
			continue
		}
		if r.waiting != nil && m != r.waiting && m.lastShare() <= 0 {
			continue // members without a share get none before the one that waits
		}
		if r.raise(k, least); r.give[k] >= least-enough {
			if m.waitsFor = 0; m == r.waiting {
				r.waiting, r.kept = nil, 0
			}
			continue
		}
		r.give[k] = r.b.revert(k, r.give[k]) // less than its least is of no use
		if r.waiting == nil && least <= r.whole {
			r.waiting, r.kept, m.waitsFor = m, least, least
		}
	}
}

// keepHeld renews the shares that members have, all cut alike as far as the waiting member needs it: shares that moved between them
// would leave it no room.
func (r *round) keepHeld() {
	const slack = 1e-6 // of a quota, so that what is left is not short of what is waited for by a rounding
	more := 0.0
	for k, m := range r.ask {
		if r.give[k] > 0 && m != r.waiting {
			more += max(min(m.lastShare(), m.need)-r.give[k], 0)
		}
	}
	cut := 1.0
	if free := max(r.b.available[r.last]-r.kept-slack, 0); more > free {
		cut = free / more
	}
	for k, m := range r.ask {
		if r.give[k] > 0 && m != r.waiting {
			r.raise(k, r.give[k]+cut*max(min(m.lastShare(), m.need)-r.give[k], 0))
		}
	}
}

// grantNeeds grants what is left by what members still need, in proportion.
func (r *round) grantNeeds() {
	wish := 0.0
	for k, m := range r.ask {
		wish += max(m.need-r.give[k], 0)
	}
	free := r.b.available[r.last]
	if wish <= 0 || free <= enough {
		return
	}
	scale := min(free/wish, 1)
	for k, m := range r.ask {
		r.raise(k, r.give[k]+scale*max(m.need-r.give[k], 0))
	}
}

// grantRest grants what nobody needs in equal parts: a reserve for what comes between two rounds.
func (r *round) grantRest() {
	free := r.b.available[r.last]
	if free <= enough {
		return
	}
	each := free / float64(len(r.ask))
	for k := range r.ask {
		r.raise(k, r.give[k]+each)
	}
}

// answer records the grants of a round, which end then, and returns them.
func (d *Granter) answer(now, then float64, r *round) (out []AddressedGrant) {
	for k, m := range r.ask {
		m.answered = m.tag
		if r.give[k] > 0 {
			if m.lastServed = now; m.lastShare() <= 0 {
				m.heldSince = now
			}
		}
		m.grants = append(m.grants, granted{r.give[k], then})
		grant := Grant{Fence: d.fence, Round: d.round, Tag: m.tag, Share: r.give[k], Lifetime: d.terms.GrantLifetime}
		out = append(out, AddressedGrant{m.name, m.incarnation, grant})
	}
	return out
}

// budget is what new grants may be, at each time until they end: between two times the earlier grants in use are the same, and a
// grant may take what is relinquished throughout, less what all members may be using by then.
type budget struct {
	from      []float64   // times; the first is now
	available []float64   // of what is relinquished, until the next time
	held      [][]float64 // by member that asks: what it may be using already
}

// newBudget returns the budget of grants from now until then.
func (d *Granter) newBudget(now, then float64, ask []*member) (b budget) {
	b.from = append(b.from, now)
	for _, m := range d.members {
		for _, x := range m.grants {
			if x.until > now && x.until < then {
				b.from = append(b.from, x.until)
			}
		}
	}
	slices.Sort(b.from)
	b.from = slices.Compact(b.from)
	for k, at := range b.from {
		end := then
		if k+1 < len(b.from) {
			end = b.from[k+1]
		}
		b.available = append(b.available, d.Relinquished(now, end)-d.InUse(at))
	}
	for _, m := range ask {
		has := make([]float64, len(b.from))
		for k, at := range b.from {
			has[k] = m.inUse(at)
		}
		b.held = append(b.held, has)
	}
	return b
}

// limit returns how far the grant of a member may be raised that is at give now.
func (b *budget) limit(member int, give float64) float64 {
	room := math.Inf(1)
	for k, free := range b.available {
		room = min(room, max(b.held[member][k], give)+max(free, 0))
	}
	// Where less is relinquished than may be in use, nothing that outlives that is granted.
	if last := len(b.available) - 1; b.available[last] < 0 {
		room = min(room, give)
	}
	return room
}

// raise raises a member's grant toward a share, as far as the budget allows.
func (b *budget) raise(member int, give *float64, to float64) {
	if to = min(to, b.limit(member, *give)); to <= *give {
		return
	}
	for k, has := range b.held[member] {
		b.available[k] -= max(to, has) - max(*give, has)
	}
	*give = to
}

// revert returns a member's grant to the budget, and 0.
func (b *budget) revert(member int, give float64) float64 {
	for k, has := range b.held[member] {
		b.available[k] += max(give, has) - has
	}
	return 0
}

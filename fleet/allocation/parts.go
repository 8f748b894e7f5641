// Package allocation moves parts of a whole between the members of a fleet by need: a cold engine's allowance, a tenant's quota. By
// itself every member has the equal part. A member that pledges lays its equal part down for a time; the whole's owner deals
// what was laid down to those that have use for it, for a time. The sum of what may be used never exceeds the whole, whoever
// stops, restarts, or hears late: each side counts every length from a moment on its own clock that is surely early enough,
// the owner a pledge from when it opened the round that the pledge answers, a member a deal from when it sent the pledge that
// the deal answers.
package allocation

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"

	"dunereach/fleet/registry"

	"github.com/cespare/xxhash/v2"
)

// Terms of one kind of whole. Lengths are seconds.
type Terms struct {
	Members int     // equal parts in the whole
	Pledge  float64 // how long a member lays its equal part down, from when it pledged
	Life    float64 // how long a deal may be used, from the pledge that it answers
	Settle  float64 // how long what was used still counts: the window of the whole's limit
	Drift   float64 // by what share a clock may run fast or slow
}

// Standard terms: a deal lives through three rounds of half a second, so that two may be lost; a pledge through a round's way
// there and back, a deal, and the window.
func Standard(members int, settle, drift float64) Terms {
	const life, ways = 1.5, 1.5
	t := Terms{Members: max(members, 1), Life: life, Settle: settle, Drift: drift}
	t.Pledge = (ways + life + t.longest(settle)) * (1 + drift) / (1 - drift)
	return t
}

// Check tells what is wrong with terms.
func (t Terms) Check() error {
	switch {
	case t.Members < 1 || t.Members > MostMembers:
		return fmt.Errorf("%d members: 1 to %d can be", t.Members, MostMembers)
	case !(t.Drift >= 0 && t.Drift < 0.5):
		return fmt.Errorf("a drift of %v", t.Drift)
	case !(t.Life > 0) || !(t.Settle >= 0) || !(t.least(t.Pledge) > t.Life+t.longest(t.Settle)) || math.IsInf(t.Pledge, 0):
		return errors.New("a pledge has to outlive a deal and the window")
	}
	return nil
}

func (t Terms) least(l float64) float64   { return l * (1 - t.Drift) / (1 + t.Drift) }
func (t Terms) longest(l float64) float64 { return l * (1 + t.Drift) / (1 - t.Drift) }

// Longest is how long a part that was laid down stays so by any clock.
func (t Terms) Longest() float64 { return t.longest(t.Pledge) }

// Bounds of one owner's account. A member that restarts is there twice until what its old process pledged is over.
const (
	MostMembers      = registry.MostRouters
	mostIncarnations = registry.MostSessions
)

// Pledge is a member's word to the owner of a whole.
type Pledge struct {
	Fence   uint64  `json:"fence"` // of the owner that it is given to
	Round   uint64  `json:"round"` // of that owner's that it answers
	Tag     uint64  `json:"tag"`   // comes back with the deal
	Need    float64 `json:"need"`  // part of the whole that it has use for
	Least   float64 `json:"least"` // least part that is of use
	Members int     `json:"members"`
	Lays    float64 `json:"lays"` // how long it lays its part down
}

// Deal is the owner's word to a member.
type Deal struct {
	Fence uint64  `json:"fence"`
	Round uint64  `json:"round"` // to pledge for
	Tag   uint64  `json:"tag"`   // of the pledge that it answers, 0: only the round is told
	Part  float64 `json:"part"`
	Life  float64 `json:"life"`
}

// Dealer is an owner's account of one whole.
type Dealer struct {
	terms  Terms
	fence  uint64
	begin  float64 // before it the last owner's deals may live
	rounds []opened
	round  uint64
	by     map[string]*member
}

type opened struct {
	round uint64
	at    float64
}

// member is one incarnation of one name; the pledge counts by name.
type member struct {
	name        string
	incarnation uint64
	from, until float64 // the pledge surely holds
	need, least float64
	tag, told   uint64  // of the last pledge, and of the last that was answered
	served      float64 // when it last had a part, and since when it has had the one that it has
	since       float64
	waits       float64 // least part that it could not be given yet, 0: it does not wait
	deals       []dealt
}

type dealt struct{ part, until float64 }

// NewDealer of a work that was acquired now: the last owner's deals are waited out. Its rounds come after a number, which is that of
// the last round that this process has opened of anything: a process that loses its account under a fence that it keeps must not
// take a pledge for one of its old rounds for one for a new one.
func NewDealer(t Terms, fence, after uint64, now float64) *Dealer {
	return &Dealer{terms: t, fence: fence, round: after, by: map[string]*member{}, begin: now + t.longest(t.Life+t.longest(t.Settle))}
}

// Fence that it deals under.
func (d *Dealer) Fence() uint64 { return d.fence }

const keptRounds = 16 // rounds whose opening is remembered: eight seconds of half seconds

// Open begins a round. Members that hear its number may pledge for it.
func (d *Dealer) Open(now float64) uint64 {
	d.round++
	if d.rounds = append(d.rounds, opened{d.round, now}); len(d.rounds) > keptRounds {
		d.rounds = slices.Delete(d.rounds, 0, 1)
	}
	for key, m := range d.by { // who has neither pledge nor deal takes no room
		if m.until < now && m.live(now) == 0 {
			delete(d.by, key)
		}
	}
	return d.round
}

// What is wrong with a pledge.
var (
	ErrRound   = errors.New("a pledge for a round that is not remembered, or another owner's")
	ErrMembers = errors.New("a pledge that counts the members otherwise")
	ErrMany    = errors.New("more members than a whole can have")
	ErrFigures = errors.New("a pledge with figures that are none")
)

// Pledge takes a member's word.
func (d *Dealer) Pledge(now float64, name string, incarnation uint64, p Pledge) error {
	k := slices.IndexFunc(d.rounds, func(o opened) bool { return o.round == p.Round })
	switch {
	case k < 0 || p.Fence != d.fence:
		return ErrRound
	case p.Members != d.terms.Members:
		return ErrMembers
	case !(p.Need >= 0 && p.Need <= 1e6 && p.Least >= 0 && p.Least <= 1e6 && p.Lays >= 0):
		return ErrFigures
	}
	key := fmt.Sprintf("%s/%d", name, incarnation)
	m := d.by[key]
	if m == nil {
		if len(d.by) >= mostIncarnations {
			return ErrMany
		}
		m = &member{name: name, incarnation: incarnation, until: math.Inf(-1)}
		d.by[key] = m
	}
	if m.tag >= p.Tag {
		return nil // an older one, or the same again
	}
	if now > m.until { // it may have used its equal part until just now: that has to settle
		m.from = now + d.terms.longest(d.terms.Settle)
	}
	// It was sent after the round was opened, and no clock of ours tells when: the opening is surely early enough.
	m.until = max(m.until, d.rounds[k].at+d.terms.least(min(p.Lays, d.terms.Pledge)))
	m.need, m.least, m.tag = p.Need, p.Least, p.Tag
	return nil
}

func (m *member) live(now float64) (most float64) {
	for _, x := range m.deals {
		if x.until > now {
			most = max(most, x.part) // it uses one of them at a time
		}
	}
	return most
}

// Live is the sum of parts that members may be using, or whose use still counts.
func (d *Dealer) Live(now float64) (sum float64) {
	for _, m := range d.by {
		sum += m.live(now)
	}
	return sum
}

// Laid is the sum of equal parts that are surely laid down from now until then.
func (d *Dealer) Laid(now, then float64) float64 {
	names := map[string]bool{}
	for _, m := range d.by {
		if m.from <= now && m.until >= then {
			names[m.name] = true // two incarnations of a name have one part
		}
	}
	return float64(len(names)) / float64(d.terms.Members)
}

// To is a deal and whom it is for.
type To struct {
	Name        string
	Incarnation uint64
	Deal
}

// budget is what new deals may be, moment by moment until their end: between two moments the deals of before that live are the
// same, and a deal may take what is laid down throughout, less what all members may be using by then.
type budget struct {
	from []float64   // moments, the first is now
	free []float64   // of what is laid down until the next moment
	has  [][]float64 // by member that asks: what it may be using anyway
}

func (d *Dealer) budget(now, then float64, ask []*member) (b budget) {
	b.from = append(b.from, now)
	for _, m := range d.by {
		for _, x := range m.deals {
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
		b.free = append(b.free, d.Laid(now, end)-d.Live(at))
	}
	for _, m := range ask {
		has := make([]float64, len(b.from))
		for k, at := range b.from {
			has[k] = m.live(at)
		}
		b.has = append(b.has, has)
	}
	return b
}

// room is how far a deal to a member may go that is at give now.
func (b *budget) room(member int, give float64) float64 {
	room := math.Inf(1)
	for k, free := range b.free {
		room = min(room, max(b.has[member][k], give)+max(free, 0))
	}
	// Where less is laid down than may be in use, nothing that outlives it is dealt again.
	if last := len(b.free) - 1; b.free[last] < 0 {
		room = min(room, give)
	}
	return room
}

// raise a deal to a member as far as there is room.
func (b *budget) raise(member int, give *float64, to float64) {
	if to = min(to, b.room(member, *give)); to <= *give {
		return
	}
	for k, has := range b.has[member] {
		b.free[k] -= max(to, has) - max(*give, has)
	}
	*give = to
}

// back gives up what was raised for a member.
func (b *budget) back(member int, give float64) float64 {
	for k, has := range b.has[member] {
		b.free[k] += max(give, has) - has
	}
	return 0
}

// last part that was dealt.
func (m *member) last() float64 {
	if n := len(m.deals); n > 0 {
		return m.deals[n-1].part
	}
	return 0
}

// waiting is the member that has waited for longest for its least, nil: none does.
func (d *Dealer) waiting(now float64) (first *member) {
	for _, m := range d.by {
		if m.waits > 0 && m.until >= now && (first == nil || m.served < first.served || m.served == first.served && m.name < first.name) {
			first = m
		}
	}
	return first
}

// Deal gives what is laid down to those that pledged and have no answer yet. What is dealt is counted as used from now on,
// whether or not it arrives.
func (d *Dealer) Deal(now float64) (out []To) {
	then := now + d.terms.Life + d.terms.longest(d.terms.Settle)
	if now < d.begin {
		return nil
	}
	var ask []*member
	for _, m := range d.by {
		for len(m.deals) > 0 && m.deals[0].until <= now {
			m.deals = slices.Delete(m.deals, 0, 1)
		}
		// Only who still pledges is dealt to: another process of its name may have taken its place.
		if m.tag > m.told && m.until >= now {
			ask = append(ask, m)
		}
	}
	if len(ask) == 0 {
		return nil
	}
	// Those that have none come first, who went without for longest before others; then those that have one, who has had it for the
	// shortest time first, so that the next to yield is who has had it longest. Names decide between equals.
	slices.SortFunc(ask, func(a, b *member) int {
		has := cmp.Compare(min(a.last(), 1e-12), min(b.last(), 1e-12))
		if a.last() > 0 && b.last() > 0 {
			has = cmp.Compare(b.since, a.since)
		}
		return cmp.Or(has, cmp.Compare(a.served, b.served), cmp.Compare(a.hash(), b.hash()), cmp.Compare(a.incarnation, b.incarnation))
	})
	b := d.budget(now, then, ask)
	last := len(b.free) - 1 // when nothing of before lives any more
	whole := b.free[last]
	for _, m := range d.by {
		if m.live(now) > 0 && !slices.Contains(ask, m) {
			whole += m.live(b.from[last])
		}
	}
	give := make([]float64, len(ask))
	// One member at a time may wait for a part that others still have: theirs are renewed only as far as its least is left over.
	waits, kept := d.waiting(now), 0.0
	if waits != nil {
		kept = waits.waits
	}
	raise := func(k int, to float64) {
		free := b.free[last]
		if ask[k] != waits {
			free -= kept
		}
		b.raise(k, &give[k], min(to, give[k]+max(free, 0)))
	}
	for k, m := range ask {
		least := min(max(m.least, 0), m.need)
		if m.need <= 0 {
			m.waits = 0
			continue
		}
		if waits != nil && m != waits && m.last() <= 0 {
			continue // who has none now gets none before the one that waits
		}
		if raise(k, least); give[k] >= least-1e-9 {
			if m.waits = 0; m == waits {
				waits, kept = nil, 0
			}
			continue
		}
		give[k] = b.back(k, give[k]) // less than its least is no use
		if waits == nil && least <= whole {
			waits, kept, m.waits = m, least, least
		}
	}
	if waits != nil {
		// Those that have parts keep them as they are, all cut alike as far as the one that waits needs it: what goes to and fro
		// between them would leave it no room.
		more := 0.0
		for k, m := range ask {
			if give[k] > 0 && m != waits {
				more += max(min(m.last(), m.need)-give[k], 0)
			}
		}
		const slack = 1e-6 // of a whole, so that what is left is not a rounding short of what is waited for
		cut := 1.0
		if free := max(b.free[last]-kept-slack, 0); more > free {
			cut = free / more
		}
		for k, m := range ask {
			if give[k] > 0 && m != waits {
				raise(k, give[k]+cut*max(min(m.last(), m.need)-give[k], 0))
			}
		}
	}
	wish := 0.0
	for k, m := range ask {
		wish += max(m.need-give[k], 0)
	}
	if pot := b.free[last]; waits == nil && wish > 0 && pot > 1e-9 {
		scale := min(pot/wish, 1)
		for k, m := range ask {
			raise(k, give[k]+scale*max(m.need-give[k], 0))
		}
	}
	if pot := b.free[last]; waits == nil && pot > 1e-9 { // nobody's need: everybody's reserve for what comes between two rounds
		each := pot / float64(len(ask))
		for k := range ask {
			raise(k, give[k]+each)
		}
	}
	for k, m := range ask {
		m.told = m.tag
		if give[k] > 0 {
			if m.served = now; m.last() <= 0 {
				m.since = now
			}
		}
		m.deals = append(m.deals, dealt{give[k], then})
		out = append(out, To{m.name, m.incarnation, Deal{Fence: d.fence, Round: d.round, Tag: m.tag, Part: give[k], Life: d.terms.Life}})
	}
	return out
}

// hash orders members between whom nothing else decides, the same in every round: parts that go to and fro between two leave no
// room for a third, as what both had of late counts.
func (m *member) hash() uint64 { return xxhash.Sum64String(m.name) }

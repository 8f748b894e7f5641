// This file holds every decision of dunereach. A host makes one Brain per router (api.go has the interface)
// and tells it what happens. A command runs down the chain take, admit, order, place; each stage passes it on,
// keeps it (in the held line) or ends it; what comes back runs up. Bouncer's rule decides the ordinary path.
package admission

import (
	"cmp"
	"fmt"
	"math"

	"dunereach/fleet/failover"
)

// Brain is the mind of one router.
type Brain struct {
	set     Settings
	host    Host
	now     float64
	rnd     pcg
	cmds    slab
	prof    []profile
	tenants []tenant
	pool    // engines, and what other routers have there

	takes, further   window  // commands taken, and sends beyond each one's first
	share, mark, cut float64 // of each engine for this router; cost mark of the lane; price the line gave up
	all              engine  // what this router has on the engines that count, and their cores
	outcome          Outcome
	message          []byte
	pace             float64 // usual slowdown over all profiles, by work
	slowest          float64 // slowdown of the profile that has the most: a rare one's own news is old
	asked, span      float64 // work of the commands let in, fading, and the seconds it stands for
	dense            float64 // others' threads a core, averaged over reports
	stay             float64 // mean time of a send, where waits are told
	ghosts           []ghost // refused commands that are looked at again, where waits are told
	refused          int
	sights           []failover.Sight // of zones since the last report, where the fleet has a plan
	sheds, next      int              // sheds since the last line in the log; engine to probe next

	began, swapAt, logAt, tellAt, probeAt, watchAt float64
}

// profile is a row of the table.
type profile struct {
	Profile
	read, fill     histogram // processing times: one is read while the other fills
	received, let  window
	hinted, worked float64 // recent sums of estimates and of the true work they stood for
	work, seen     float64 // usual work of all threads, and how many answers or estimates stand behind it
	slow           float64 // usual slowdown: processing time over work per thread
}

type tenant struct {
	left, at float64 // a bucket of what its quota allows; the excess goes last
	asks     window  // commands, where the fleet deals quotas
}

const askSpan = 5.0 // seconds: some commands of a small tenant, and short against its surges

const allowSpan = 10.0 // the allowance's window: some tens of a rare profile's commands

func New(set Settings, now float64, host Host) *Brain {
	set.Routers = max(set.Routers, 1)
	if set.Teams == nil {
		set.Ageing = 0.05 // seconds of work per benefit and second: 0.02 was within 0.02 of it
	}
	b := &Brain{set: set, host: host, now: now, rnd: newPCG(set.Seed), cmds: newSlab(),
		pool: newPool(set.Routers), share: 1 / float64(set.Routers), mark: math.Inf(1), cut: math.Inf(1),
		swapAt: now, began: now, watchAt: math.Inf(1), dense: low, pace: 1}
	const markShare = 0.5 // the short lane leaves half the tightest target for crowding
	for _, p := range set.Profiles {
		p.Threads = max(p.Threads, 1)
		// Buckets from 1 ms to 5 min, each 15% wider: finer than the estimates that they are compared with.
		// Before anything is known the work is what would leave half the target for crowding.
		b.prof = append(b.prof, profile{Profile: p, read: newHistogram(0.001, 300, 1.15), slow: 1,
			fill: newHistogram(0.001, 300, 1.15), received: newWindow(allowSpan, 20), let: newWindow(allowSpan, 20),
			work: p.Target / 2 * float64(p.Threads)})
		b.mark = min(b.mark, p.Target*markShare)
	}
	for range set.Tenants {
		b.tenants = append(b.tenants, tenant{left: math.Inf(1), at: now, asks: asksOf(set)})
	}
	b.takes, b.further = newWindow(max(set.BudgetWindow, 1), 50), newWindow(max(set.BudgetWindow, 1), 50)
	b.remember()
	if host.Wake(0, 0); set.Ask {
		host.Watch(true)
	}
	return b
}

var chain []stage

func init() { // not a literal: the stages call each other through it (chain.go walks it)
	chain = []stage{{(*Brain).take, (*Brain).answer}, {(*Brain).admit, (*Brain).again},
		{(*Brain).order, (*Brain).settle}, {(*Brain).place, (*Brain).judge}}
}

// Command takes one try of a client. From here on it is owed one answer.
func (b *Brain) Command(now float64, c Command) {
	b.now = now
	b.down(b.cmds.take(c), 0)
}

func (b *Brain) Outcome(now float64, o Outcome) {
	b.now, b.outcome = now, o // kept here, since a pointer into the chain would put it on the heap
	i, ok := b.cmds.at[o.ID]
	for s := len(chain) - 1; ok && s >= 0 && chain[s].up(b, i, &b.outcome); s-- {
	}
	b.flush()
}

// ---- take: one answer for each command, before its client timeout (rule 1)

func (b *Brain) take(i int32) bool {
	r := &b.cmds.rec[i]
	p := &b.prof[r.Profile]
	r.took, r.dueBy, r.worth, r.level = b.now, b.now+r.TimeLeft, p.Benefit, 1
	b.takes.add(b.now, 1)
	if r.Tenant < len(b.tenants) {
		t, rate := &b.tenants[r.Tenant], b.set.Tenants[r.Tenant].QuotaPerS*b.quotaPart(r.Tenant)
		const depth = 5 // commands: a small share's ordinary chance clusters are no excess; else one second's quota
		t.left, t.at = min(t.left+(b.now-t.at)*rate, max(rate, depth)), b.now
		if b.set.Fleet != nil {
			t.asks.add(b.now, 1)
		}
		if t.left < 1 {
			r.worth *= b.set.OverShareBenefit
		} else {
			t.left--
		}
	}
	if b.expect(r, p); r.Cost > 0 && p.hinted == 0 {
		p.meet(r.Cost) // no answer yet: a cold engine's budget needs some measure
	}
	if b.inOrder(r) {
		b.cmds.enlist(i)
	}
	r.booked = b.set.Waits != nil && b.set.Waits.Booked(b.now, r.Mark)
	b.host.Wake(max(r.TimeLeft-2*b.set.Tick, 0), uint64(r.ID)|1<<32) // two ticks: a wake may come one late
	return pass
}

// expect sets what a command should cost and by when: the estimate with the profile's bias taken out, else what is usual.
func (b *Brain) expect(r *record, p *profile) {
	if r.cost = r.Cost; r.Cost <= 0 {
		r.cost = p.work
	} else if p.hinted > 0 {
		r.cost *= p.worked / p.hinted
	}
	r.best = r.cost / float64(p.Threads)
	r.aim = r.took + p.Target + p.Stretch*r.best
	r.short = r.best <= b.mark && r.worth == p.Benefit && (b.set.Teams == nil || b.set.Teams.Lane(r.Team))
	r.price = r.cost / max(r.worth, 1e-9)
	r.rank = r.price + b.set.Ageing*r.took // cheapest per benefit first; a second of waiting makes up for some of it
}

// answer ends what neither an engine nor a further send has ended.
func (b *Brain) answer(i int32, o *Outcome) bool {
	if r := &b.cmds.rec[i]; !r.done && r.out.engine < 0 {
		b.finish(i)
	} else {
		b.let(i)
	}
	return ended
}

// finish gives the final answer at once: shed where a retry is harmless (rule 2), else fail.
func (b *Brain) finish(i int32) {
	r := &b.cmds.rec[i]
	p := &b.prof[r.Profile]
	if at, risk := r.firstRisk(); p.Effect == Replayable || !risk ||
		p.Effect == Uniqued && p.Group == GroupAll && b.now < at+p.Window {
		b.sheds++
		b.host.Shed(r.ID, b.pauseOf(r, p))
	} else {
		b.host.Fail(r.ID)
	}
	b.over(i)
}

func (b *Brain) over(i int32) {
	b.cmds.rec[i].done = true
	b.unhold(i)
	if b.set.Waits != nil {
		b.set.Waits.Over(b.now, i)
	}
	b.cancel(&b.cmds.rec[i])
	b.let(i)
}

func (b *Brain) cancel(r *record) {
	switch {
	case r.out.engine < 0 || r.out.asked || r.streaming:
	case b.set.Cancels:
		r.out.asked = true
		b.host.Cancel(r.ID, r.out.number)
	default: // what still waits for its connection has run nowhere
		b.host.Withdraw(r.ID, r.out.number)
	}
}

// let frees the place of a command that has its answer and no send out; its key's line moves on.
func (b *Brain) let(i int32) {
	switch r := &b.cmds.rec[i]; {
	case !r.done || r.out.engine >= 0:
	case b.inOrder(r):
		b.cmds.moveOn(r.Key)
	default:
		b.cmds.release(i)
	}
}

func (b *Brain) Left(now float64, id uint32) {
	b.now = now
	if i, ok := b.cmds.at[id]; ok && !b.cmds.rec[i].done {
		b.over(i)
		b.flush()
	}
}

// HalfClosed tells that the client has closed its side: it has left, or still reads. A final answer serves both: at once where
// nothing is out, else by the send that is, and no further one. Harm: a client that still reads is shed where it was held.
func (b *Brain) HalfClosed(now float64, id uint32) {
	b.now = now
	if i, ok := b.cmds.at[id]; ok && !b.cmds.rec[i].done {
		r := &b.cmds.rec[i]
		if r.halfClosed = true; r.out.engine < 0 {
			b.finish(i)
			b.flush()
		} else {
			b.host.Withdraw(id, r.out.number)
		}
	}
}

// Started tells that a stream has begun: it is the client's now, and no timeout applies.
func (b *Brain) Started(now float64, id uint32, _ int) {
	b.now = now
	if i, ok := b.cmds.at[id]; ok {
		b.cmds.rec[i].streaming = true
	}
}

// ---- admit: Bouncer's arrival estimate with its acceptance allowance

func (b *Brain) admit(i int32) bool {
	r := &b.cmds.rec[i]
	p := &b.prof[r.Profile]
	const allowance = 0.03 // A, the paper's upper value
	got, let := p.received.most(b.now), p.let.most(b.now)
	ok := got == 0 || let/got < allowance || b.keeps(r) && b.inTime(r, p) || b.rnd.float() < allowance
	p.received.add(b.now, 1)
	if !ok {
		b.finish(i)
		return ended
	}
	b.asked += p.work
	p.let.add(b.now, 1)
	return pass
}

// inTime compares both estimates with both targets, and the wait with the moment of giving up.
func (b *Brain) inTime(r *record, p *profile) bool {
	if p.read.n < 20 { // the design page's
		return true
	}
	wait, k := 0.0, b.choose(r)
	if k >= 0 && !b.pressed(p, &b.engines[k]) {
		// Exception: with an engine to spare a refusal protects nobody, so p90 alone does not bind (thin
		// histograms, clients in a hurry). It ends as soon as the engines are pressed.
		return r.best <= r.TimeLeft || p.read.quantile(0.9) <= r.TimeLeft
	}
	aim := r.aim - b.now
	if !r.short && k < 0 {
		// Exception: what would only be given up in the line is refused now, by its wait or what it just gave up.
		if wait = b.waitOf(r) + b.keptFor(r); wait+r.best > aim || r.price >= b.cutFor(r) {
			return false
		}
	}
	return wait+p.read.quantile(0.5) <= max(aim, r.TimeLeft/2) && wait+p.read.quantile(0.9) <= r.TimeLeft
}

// backIn is how long until a command that is refused now would be let in, if nothing else came.
func (b *Brain) backIn(r *record, p *profile) float64 {
	const halves = 1.75 // seconds in which the price that the line gave up doubles
	wait, aim := b.waitOf(r), r.aim-r.took
	over := max(wait+r.best-aim, wait+p.read.quantile(0.5)-max(aim, r.TimeLeft/2), wait+p.read.quantile(0.9)-r.TimeLeft, 0)
	return max(over, halves*math.Log2(max(r.price/b.cutFor(r), 1)))
}

// cutFor is the price from which a command is refused as the line gave up such, of its team where there are teams: none for
// one that comes when it was told.
func (b *Brain) cutFor(r *record) float64 {
	switch {
	case r.booked:
		return math.Inf(1)
	case b.set.Teams != nil:
		return b.set.Teams.Cut(b.now, r.Team)
	}
	return b.cut
}

// waitOf is the wait for the held work that leaves before a command would, over this router's places.
func (b *Brain) waitOf(c *record) float64 {
	work := 0.0
	if b.set.Teams != nil {
		work = b.set.Teams.Ahead(c.Team, c.rank) * b.pace
		return work / max(b.places(&b.all), 1)
	}
	for _, h := range b.cmds.held {
		r := &b.cmds.rec[h]
		if r.rank > c.rank {
			break
		}
		work += float64(b.prof[r.Profile].Threads) * b.prof[r.Profile].read.mean()
	}
	return work / max(b.places(&b.all), 1)
}

func (b *Brain) learn(p *profile, r *record, o *Outcome, work, slow float64) {
	if o.Work > 0 && r.Cost > 0 { // sums fade over some hundred answers: the bias is the profile's and steady
		p.hinted, p.worked = p.hinted*0.99+r.Cost, p.worked*0.99+work
	}
	p.meet(work)
	b.pace += 0.05 * min(work/max(p.work, 0.001), 3) * min(work, 1) * (slow - b.pace)
	p.slow += 0.05 * min(work/max(p.work, 0.001), 3) * (slow - p.slow) // by work: tiny ones are mostly delay
}

func (p *profile) meet(work float64) {
	p.seen = min(p.seen+1, 100) // an average over some hundred at the most
	p.work += (work - p.work) / p.seen
}

// again holds a command for a further send, where rules and time allow one.
func (b *Brain) again(i int32, o *Outcome) bool {
	r := &b.cmds.rec[i]
	const errors = 2 // as many engines don't err by chance: more sends would only spread what none can use
	if r.done || r.halfClosed || r.out.engine >= 0 || b.now+r.best > r.dueBy || r.errors >= errors ||
		b.set.MaxSends > 0 && r.sends >= b.set.MaxSends || !b.mayRepeat(r, &b.prof[r.Profile]) {
		return pass
	}
	b.hold(i)
	return keep
}

// mayRepeat: what may have run runs again only where that does no harm (rule 2); allowed adds where.
func (b *Brain) mayRepeat(r *record, p *profile) bool {
	return !r.mayRun || p.Effect == Replayable || p.Effect == Uniqued && b.now < r.ranAt+p.Window
}

// ---- order: one at a time per key, in the order taken (rule 5)

func (b *Brain) inOrder(r *record) bool { return b.prof[r.Profile].Ordered && r.Key != 0 }

func (b *Brain) order(i int32) bool {
	if r := &b.cmds.rec[i]; b.inOrder(r) {
		if l := b.cmds.keys[r.Key]; l.head != i || b.now < l.until {
			b.hold(i)
			return keep
		}
	}
	return pass
}

// settle starts the rest of a key after an end that may still be running.
func (b *Brain) settle(i int32, o *Outcome) bool {
	r := &b.cmds.rec[i]
	if b.inOrder(r) && (o.End == TimedOut || o.End == Cut || o.End == Cancelled) {
		b.cmds.restKey(r.Key, b.now+b.set.KeyRest)
	}
	return pass
}

// ---- place: the engine with the fewest of our threads per core, within every rule

func (b *Brain) place(i int32) bool {
	if k := b.choose(&b.cmds.rec[i]); k >= 0 {
		b.unhold(i)
		b.send(i, k)
		return ended
	}
	b.hold(i)
	return keep
}

const lately = 3.0 // seconds that an answer or a report counts: 1.5 was no better

func (b *Brain) choose(r *record) int32 {
	p := &b.prof[r.Profile]
	// Rules 2 and 7; and one send at a time, whether or not copies are barred.
	if r.out.engine >= 0 || !b.mayRepeat(r, p) || r.sends > 0 && b.set.BudgetWindow > 0 &&
		b.further.most(b.now)+1 > b.set.BudgetFree+b.set.BudgetShare*b.takes.least(b.now) {
		return -1
	}
	if !b.may(r) {
		return -1
	}
	b.all = b.sum()
	best, least := int32(-1), math.Inf(1)
	for k := range b.engines {
		e := &b.engines[k]
		if !b.allowed(r, p, e) || b.now < e.fullTo || !b.fits(r, p, e) {
			continue
		}
		s := e.threads + e.others + float64(p.Threads)
		unsure := !e.known || e.guessed
		if unsure {
			// Chance stands for the others' threads, or all would send to the larger engines first. It is drawn
			// once: a router keeps to engines that it knows, and many routers together follow the cores.
			s -= (1 - b.share) * float64(p.Threads)
			if !b.isCold(e) { // its budget holds the others back, and a turn left out is lost
				s += (1 - b.share) * e.chance
			}
		}
		s *= b.slowOf(e) / e.cores
		if price, ok := b.planned(e.Zone, r.cost); ok && !e.ill { // trials find out when a zone is back
			s += price // shares that the fleet agreed on, in place of a price of our own
		} else if cross := 0.2; e.Zone != b.set.Zone { // elsewhere must be this much emptier: a small price and delay
			if unsure {
				cross *= min(max(3-2*b.slowest, 0), 1) // not while answers, mostly from here, are slow by half
			}
			s += cross
		}
		switch {
		case int32(k) == r.avoid:
			s += 1000 // any other engine first
		case !r.short && (e.overdue > 0 || b.now-e.heardAt > lately):
			s += 0.5 // a long command goes where something answered lately; short ones find out who is well
		}
		if s < least {
			best, least = int32(k), s
		}
	}
	return best
}

// allowed holds the rules on where a send may go (2, 3, 4 and 6).
func (b *Brain) allowed(r *record, p *profile, e *engine) bool {
	if e.State != Ready || !among(p.Zones, e.Zone) || !among(p.Kinds, e.Kind) ||
		r.mayRun && p.Effect == Uniqued && (p.Group == GroupZone && e.Zone != r.ranZone ||
			p.Group == GroupCell && e.Cell != r.ranCell) {
		return false
	}
	return !b.isCold(e) || e.cold.most(b.now)+p.work <= b.coldBudget(e)
}

const coldMargin = 0.5

const (
	// Where turns come too seldom, smaller requests go by shares of one part of the budget and all by turns of the other. Shares take
	// their part of a window and turns one and a half of theirs: all together stay in one and a half, as with turns alone.
	coldShared  = 0.5
	coldInTurns = 2.0 / 3
)

// coldWindow is what all routers together may send to a cold engine in one window.
func (b *Brain) coldWindow(e *engine) float64 {
	rest := (b.now - e.ReadyAt) / b.set.WarmUp
	return b.set.FallMultiple * e.cores * coldMargin * (b.set.ColdFrom + (1-b.set.ColdFrom)*rest*rest) * b.set.FallWindow
}

// coldBudget is this router's share of what a cold engine takes in one window (rule 4). The ramp is not told;
// a late one is assumed, by the square of the age. The margin covers a slow engine, routers not yet told and
// a burst at the start. A share under one command of the lane comes in turns: the budget since its start is
// cut into commands, each one router's for half a window: all together stay in one and a half of it. Where
// the warm-up has no turn for each, which all routers know alike, a part of the budget comes in shares.
func (b *Brain) coldBudget(e *engine) float64 {
	all := b.set.FallMultiple * e.cores * coldMargin
	since := func(age float64) float64 { // the budget up to an age
		age = max(age, 0)
		return all * (b.set.ColdFrom*age + (1-b.set.ColdFrom)*age*age*age/(3*b.set.WarmUp*b.set.WarmUp))
	}
	age, n := b.now-e.ReadyAt, float64(b.set.Routers)
	window := b.coldWindow(e)
	if part, ok := b.coldPart(e); ok { // dealt by need on behalf of all: the sum of all parts is never over one
		return window * part
	} else if share := window / n; share >= b.mark {
		return share
	}
	inTurns, share := 1.0, 0.0
	if since(b.set.WarmUp) < n*b.mark {
		inTurns, share = coldInTurns, coldShared*window/n
	}
	first := float64((uint32(b.set.Me) + e.Engine) % uint32(b.set.Routers)) // another router at each engine
	turns := func(age float64) float64 { return math.Floor((inTurns*since(age)/b.mark - first) / n) }
	before := max(age-b.set.FallWindow/2, b.began-e.ReadyAt) // the turn at the start of this process may have been used by the one before it
	turn := (turns(age) - turns(before)) * b.mark
	if e.cold.most(b.now) > 0 { // a server may bear less in a window than a turn: one request then, or as many smaller ones
		turn = min(turn, window)
	}
	return max(share, turn)
}

// needs tells what this router would have of the fleet's wholes: of a cold engine the work that it lets in by the engine's part
// of the pool, and at least its smallest usual command in a window; of a tenant's quota what it was asked for of late.
func (b *Brain) needs(u Use) {
	rate, least := 0.0, b.mark
	for k := range b.prof {
		rate += b.prof[k].received.most(b.now) / min(max(b.now-b.began, 1), allowSpan) * b.prof[k].work
		least = min(least, b.prof[k].work)
	}
	for k := range b.engines {
		e := &b.engines[k]
		if e.State == Ready && e.ill {
			u.Doubted(e.Engine, e.Zone, e.ReadyAt)
		}
		if e.State == Ready && b.isCold(e) {
			window := max(b.coldWindow(e), 1e-9)
			u.Cold(e.Engine, e.Zone, e.ReadyAt, rate*b.set.FallWindow*e.cores/max(b.all.cores, e.cores)/window, least/window)
		}
	}
	for k := range b.tenants {
		if t := &b.tenants[k]; b.set.Tenants[k].QuotaPerS > 0 {
			u.Tenant(k, t.asks.most(b.now)/askSpan/b.set.Tenants[k].QuotaPerS)
		}
	}
}

func (b *Brain) isCold(e *engine) bool { return e.ReadyAt > 0 && b.now < e.ReadyAt+b.set.WarmUp }

// fits holds the thread places, which bind only under pressure, and the trials of ill engines.
func (b *Brain) fits(r *record, p *profile, e *engine) bool {
	if e.ill { // a trial is a short replayable command; where none comes for a second, any
		at := b.trialAt(e)
		return !e.trial && b.now >= at && (r.short && p.Effect == Replayable || b.now >= at+1)
	}
	// The pool's places bind too, or hundreds of routers with one command each would fill every engine.
	return !b.pressed(p, e) || b.within(e, r.short, p.Threads) && b.within(&b.all, r.short, p.Threads)
}

// within: one command always fits, so that a share of less than a thread is of use.
func (b *Brain) within(e *engine, short bool, threads int) bool {
	t, places := float64(threads), b.places(e)
	if short { // past full places, but not without end; long commands can't close its own threads
		own := 0.6 * e.cores * b.share
		if e == &b.all { // over the pool a full set: an engine's end binds before it where routers are few
			own = places
		}
		places = max(1.5*places, e.threads-e.lane+max(t, own))
	}
	return e.threads == 0 || e.threads+t <= places
}

// places of this router on an engine.
func (b *Brain) places(e *engine) float64 {
	const perCore = 1.7 // one a core would leave cores idle while threads read from disk
	if e.others == 0 {
		return e.cores * perCore * b.share
	}
	return max(e.cores*perCore-e.others, e.cores*perCore*b.share)
}

const wellAbove = 2.2 // slowdown over best from which an engine is pressed: tiny commands run at 2 on quiet days

// pressed: answers come well above best there, any profile's far above, or threads known of fill the cores.
func (b *Brain) pressed(p *profile, e *engine) bool {
	full := 1.5   // threads a core
	if !e.known { // others' load: twice an equal share, or many routers fill an engine before answers show it
		full *= min(1, 2*b.share)
	}
	return max(p.slow*b.slowOf(e), b.slowest) > wellAbove ||
		e.threads+e.others >= max(full*e.cores, 1) ||
		!e.known && b.all.threads+float64(p.Threads) > full*b.all.cores
}

// slowOf is the learned slowdown against other engines; it compares answers with their own profile's usual,
// since priorities make profiles differ. Without news it fades, so that a shunned engine gets another chance.
func (b *Brain) slowOf(e *engine) float64 {
	const fade = 4.0 // seconds: a few reports long
	return 1 + (e.slow-1)*math.Exp(-(b.now-e.slowAt)/fade)
}

func (b *Brain) send(i, k int32) {
	r, e := &b.cmds.rec[i], &b.engines[k]
	p := &b.prof[r.Profile]
	b.leaves(i, p)
	r.out = send{engine: k, number: r.sends, at: b.now, expect: r.best * max(1, p.slow)}
	if r.sends > 0 {
		b.further.add(b.now, 1)
	}
	if e.outs == 0 && !b.stillSilent(e) {
		e.sign = b.now
	}
	r.sends++
	e.outs++
	r.takes = float64(p.Threads)
	e.load(r.short, r.takes)
	b.went(e.Zone, r.cost)
	e.trial = e.ill
	if b.isCold(e) {
		e.cold.add(b.now, p.work)
	}
	level := 1
	if r.short {
		level = 3
	} else if r.worth < p.Benefit || b.now > r.aim {
		level = 0
	}
	if b.set.Priorities && level != r.level {
		r.level = level
		b.host.Priority(r.ID, level, 0)
	}
	b.charge(i, b.set.Priorities && level == 1)
	// A trial that can't be cancelled gives up while another engine can still answer in time.
	limit := r.dueBy - b.now
	if e.ill && !b.set.Cancels && p.Effect == Replayable {
		limit = min(limit, 0.6*(r.aim-r.took))
	}
	by := 0.0
	if r.mayRun && p.Effect == Uniqued { // a repeat that arrives after the window runs again
		by = r.ranAt + p.Window
	}
	b.host.Send(r.ID, e.Engine, limit, by)
}

// judge settles the engine's account and takes the outcome as evidence of its health.
func (b *Brain) judge(i int32, o *Outcome) bool {
	r := &b.cmds.rec[i]
	p := &b.prof[r.Profile]
	if o.Over && !r.done {
		b.came(i, o)
		r.done = true
		b.unhold(i)
	}
	s := r.out
	if s.engine < 0 || s.number != o.Send {
		return pass
	}
	e := &b.engines[s.engine]
	b.tried(e, o)
	b.saw(e, o, r)
	r.out.engine, e.outs, e.trial = -1, e.outs-1, false
	if !s.lost {
		e.load(r.short, -r.takes)
	}
	b.settled(i, o)
	if o.End != Answered {
		r.avoid = s.engine
		if !o.End.NeverRan() && !o.Unsent && !r.mayRun {
			r.mayRun, r.ranAt, r.ranZone, r.ranCell = true, s.at, e.Zone, e.Cell
		}
	}
	// A time-out counts where answers come but slowly, or only the lucky would; else (a lost answer, a hang)
	// refusing mends nothing. Ill and cold engines are left out.
	late := o.End == TimedOut && !o.Unsent && p.slow*b.slowOf(e) > wellAbove && b.now-e.heardAt <= lately
	if (o.End == Answered || late) && !e.ill && !b.isCold(e) {
		p.fill.add(o.Lag)
	}
	switch o.End {
	case Answered:
		if r.erred >= 0 && r.erred != s.engine { // so it was the engine, not the command
			b.blame(&b.engines[r.erred], false)
		}
		e.sign, e.heardAt = b.now, b.now
		e.fails *= 1 - failWeight
		work := cmp.Or(o.Work, r.cost)
		slow := min(o.Lag*float64(p.Threads)/max(work, 0.001), 20) // capped: one odd answer is not twenty
		b.learn(p, r, o, work, slow)
		was := b.slowOf(e)
		e.slow, e.slowAt = was+0.3*work/(work+0.5)*(slow/max(p.slow, 0.1)-was), b.now
		if e.ill {
			if e.fails *= 0.5; e.fails < 0.1 {
				e.ill = false
				b.log("engine %d answers again", e.Engine)
			}
		}
	case Errored: // of the engine or of a command that none can use: whether another answers it will tell
		if r.erred, r.errors = s.engine, r.errors+1; e.ill || !b.mayRepeat(r, p) {
			b.blame(e, false)
		}
	case Unreachable, Cut: // one failed connect is enough; a drop may be the network's
		b.blame(e, o.End == Unreachable)
	case TurnedAway: // full: a short rest, or what it turns away comes straight back and the storm feeds itself
		e.slow, e.slowAt, e.fullTo = max(b.slowOf(e), 2), b.now, b.now+0.1
	}
	if o.End == TimedOut && !o.Unsent && s.at >= e.sign && b.now-s.at > 3*s.expect+0.3 {
		e.silence = b.now
	}
	if o.End == TimedOut && e.ill {
		b.doubt(e, "does not answer")
	}
	return pass
}

const failWeight = 0.15 // of one outcome: some seven in a row tell

func (b *Brain) blame(e *engine, enough bool) {
	if e.fails += failWeight * (1 - e.fails); e.fails > 0.25 || e.ill || enough {
		b.doubt(e, "fails what it is sent")
	}
}

func (b *Brain) doubt(e *engine, why string) {
	const first, longest = 0.5, 3.0                  // some round trips; short against the shortest troubles
	if e.pause = min(e.pause*1.5, longest); !e.ill { // single trials find out when it is back
		e.ill, e.pause = true, first
		b.log("engine %d %s: one trial at a time", e.Engine, why)
	}
	e.fails, e.trialAt = max(e.fails, 0.4), b.now+e.pause
}

func (b *Brain) log(format string, args ...any) { b.host.Log(fmt.Sprintf(format, args...)) }

// ---- upkeep

func (b *Brain) Woken(now float64, token uint64) {
	b.now = now
	if token != 0 { // a command's last moment; else the upkeep tick
		if i, ok := b.cmds.at[uint32(token)]; ok && !b.cmds.rec[i].done && !b.cmds.rec[i].streaming {
			b.finish(i)
			b.flush()
		}
		return
	}
	b.host.Wake(0.05, 0) // short against every latency target, long against the cost of a scan
	if now >= b.swapAt {
		b.swap()
	}
	if now >= b.watchAt {
		b.watchAt = math.Inf(1)
		b.host.Watch(true)
	}
	b.cmds.sweep(now)
	b.silence()
	b.report()
	for k := 0; k < len(b.cmds.held); {
		i := b.cmds.held[k]
		// A held command that can no longer be in time is given up, and told so now; late at the usual slowdown as
		// far as that is the others' doing, since it will not go away when this router holds less.
		r := &b.cmds.rec[i]
		if now+r.best*(1+(1-b.share)*max(b.prof[r.Profile].slow-1, 0)) > min(r.aim, r.dueBy) {
			if b.cut = min(b.cut, r.price); b.set.Teams != nil {
				b.set.Teams.GaveUp(now, r.Team, r.price)
			}
			b.finish(i)
			continue
		}
		k++
	}
	b.cut *= 1.02 // doubles in two seconds, so that the line is tried again soon
	b.flush()
}

// swap turns the buffers over. Part of the old is carried on, more where thin: one odd command moves p90.
func (b *Brain) swap() {
	const carry, thin, carryThin = 0.5, 150, 0.9  // a common profile shows a change within two swaps
	b.swapAt += 2                                 // seconds, the design page's
	b.asked, b.span = b.asked*0.96, b.span*0.96+2 // fades over most of a minute
	for k := range b.prof {
		p := &b.prof[k]
		p.read, p.fill = p.fill, p.read
		if p.fill.copyScaled(&p.read, carry); p.read.n < thin {
			p.fill.copyScaled(&p.read, carryThin)
		}
	}
	if b.sheds > 0 && b.now >= b.logAt {
		b.log("shed %d commands, %d held", b.sheds, len(b.cmds.held))
		b.sheds, b.logAt = 0, b.now+5
	}
}

// silence finds engines that answer nothing: no answer or note for 0.6 s, and two sends far past what they
// should take. Those that left before the last sign count after 3 s only.
func (b *Brain) silence() {
	for k := range b.engines {
		b.engines[k].overdue, b.engines[k].short = 0, math.Inf(1)
	}
	for i := range b.cmds.rec {
		r := &b.cmds.rec[i]
		if s := &r.out; s.engine >= 0 && b.now-s.at > 3*s.expect+0.3 {
			e := &b.engines[s.engine]
			if s.at >= e.sign || b.now-e.sign > 3 {
				e.overdue, e.short = e.overdue+1, min(e.short, s.expect)
			} else if !s.lost && b.now-s.at > 6*s.expect+1 {
				s.lost = true // its answer is likely lost, as later ones came: it no longer takes a place
				e.load(r.short, -r.takes)
			}
		}
	}
	for k := range b.engines {
		e := &b.engines[k]
		late := e.overdue
		if late > 0 && b.stillSilent(e) {
			late++
		}
		if late >= 2 && !e.ill && b.now-e.sign > max(0.6, e.short) {
			b.doubt(e, "is silent")
		}
	}
}

// stillSilent tells whether the last attempt that an engine had to itself ran out of time, and no sign has come since it was sent: it
// counts beside the next one, or a router with one attempt there at a time would never suspect it. Only with a fleet, where the probes
// of a suspected engine are shared: alone, a router would suspect engines whose answers are lost now and then.
func (b *Brain) stillSilent(e *engine) bool {
	return b.set.Fleet != nil && e.State == Ready && e.silence > e.sign
}

func (b *Brain) Members(now float64, scope Scope, list []Entry) {
	b.now = now
	if scope == FailedAsk {
		b.watchAt = now + 1 + b.rnd.float() // spread, since all routers ask one service
		return
	}
	b.merge(scope, list, func(e *engine) {
		// A new start: what was learned of the old process says nothing.
		e.slow, e.slowAt, e.fails, e.ill, e.trial, e.fullTo, e.silence = 1, now, 0, false, false, 0, 0
		if e.cores = 1; e.Kind < len(b.set.KindCores) && b.set.KindCores[e.Kind] > 0 {
			e.cores = b.set.KindCores[e.Kind]
		}
		const some = 4 // threads: about what the number of others' on an engine varies by
		e.chance = -some * math.Log(1-b.rnd.float())
		e.cold = newWindow(max(b.set.FallWindow, 0.001), 10)
		b.recall(e)
	})
	b.flush()
}

// Note tells of a send that is out. One far behind a fresh start and too late at its pace starts again
// elsewhere, once: a bad plan, a slow engine, or spilling. Harm: where the estimate was the fault.
func (b *Brain) Note(now float64, n Note) {
	b.now = now
	if k, ok := b.index[n.Engine]; ok {
		b.engines[k].sign = now
	}
	i, ok := b.cmds.at[n.ID]
	if ok && b.set.Teams != nil && b.cmds.rec[i].out.number == n.Send && n.Kind != Waiting {
		b.set.Teams.Noted(i, n.Value, n.Kind == Spilling)
	}
	if !ok || n.Kind != Progressed || n.Value <= 0 || b.cmds.rec[i].sends != 1 {
		return
	}
	const behind = 2.0 // twice a fresh start: the pace is rough, and what is done is lost
	r := &b.cmds.rec[i]
	left := (now - r.out.at) * (1 - n.Value) / n.Value
	if !r.done && b.prof[r.Profile].Effect == Replayable && left > behind*r.out.expect && now+left > r.aim &&
		now+r.out.expect < r.dueBy {
		b.cancel(r)
	}
}

const low = 1.25 // threads a core, under those that press: 1 and 1.5 lose on one day or another

func (b *Brain) Probed(now float64, id uint32, _ End, _ float64, load *Load) {
	b.now = now
	if k, ok := b.index[id]; ok && load != nil && load.Held >= 0 {
		threads, outs := b.sums() // others' commands are taken to be like ours
		e := &b.engines[k]
		// An average: all routers would rush to the engine that one old report shows emptiest.
		rest := max(load.Held-float64(e.outs), 0) * (threads + 1) / (outs + 1)
		e.rest += 0.3 * (rest - e.rest)
		b.dense += 0.1 * (rest/e.cores - b.dense)
		e.restAt = now
	}
}

func (b *Brain) Peer(now float64, from int, data []byte) {
	b.now = now
	if from >= 0 && from < len(b.heard) && from != b.set.Me {
		b.heard[from] = now
		b.unpack(from, data)
	}
}

// report tells the other routers our load, asks engines for theirs, and sums up what is known of the others.
// A router that fell silent is taken to be gone: if only cut off, it can't reach our engines either.
func (b *Brain) report() {
	const tellEvery, probeEvery = 0.2, 1.0 // each costs some tenths of a point a day, and loads live for seconds
	const fresh = 1.5                      // seconds that word of a load counts: some messages lost in a row
	// Both follow this router's own commands, or their cost would grow with the square of the fleet: so many
	// bytes and probes a command cost a quarter point. What can't be told or asked while fresh is left out.
	const bytes, probes = 64.0, 0.5
	rate, n := 0.0, len(b.engines)
	b.slowest = 0
	for k := range b.prof {
		b.slowest = max(b.slowest, b.prof[k].slow)
		rate += b.prof[k].received.most(b.now) / min(max(b.now-b.began, 1), allowSpan)
	}
	if b.set.Peers && b.now >= b.tellAt && float64(6*n*(len(b.heard)-1)) <= bytes*rate*fresh/3 {
		b.tellAt = b.now + tellEvery
		b.message = b.pack(b.message)
		b.host.Tell(-1, b.message)
	}
	b.share = b.equalShare()
	// A router that can't ask all engines in time takes the average of a few for the rest, while that is low: it
	// lags, and all would fill what it shows free.
	if gone, met := b.sumUp(b.now, fresh, lately, b.dense, low); met {
		b.share = 1 / float64(max(len(b.heard)-gone, 2)) // never all: it may only be this router that hears nothing
	}
	if b.all = b.sum(); !(b.all.known && b.set.Peers) && b.all.cores > 0 {
		// Exception: an equal share holds back a router of more traffic than most. What it lets in in the long
		// run, of what the pool can do, is its part; less an equal share, since overload raises it for all.
		b.share = min(max(b.share, b.asked/max(b.span, allowSpan)/b.all.cores-b.share), 1)
	}
	b.turnLevels()
	b.lookAgain()
	if b.set.ProbeLoads && len(b.heard) > 1 && b.now >= b.probeAt && n > 0 &&
		float64(min(n, 3)) <= lately*probes*rate {
		b.probeAt = b.now + max(probeEvery/float64(n), 1/(probes*rate)) // one by one: news comes spread
		b.next = (b.next + 1) % n
		if e := &b.engines[b.next]; e.State == Ready {
			b.host.Probe(e.Engine)
		}
	}
}

// This file holds every decision of dunereach. A host (see api.go for the interface) makes one Brain per router and
// calls Members, Command, Outcome, Note, Probed, Left, Woken as things happen; the Brain answers through Host.
// A command runs down the chain take, admit, hold, order, place; each stage passes it on, keeps it or ends it. What
// comes back from an engine runs up the same chain. The rule that decides the ordinary path is Bouncer's (docs/design.md).
package brain

import (
	"fmt"
	"math"
	"sort"
)

// Brain is the mind of one router.
type Brain struct {
	set      Settings
	host     Host
	now      float64
	rnd      pcg
	cmds     slab
	prof     []profile
	tenants  []tenant
	engines  []engine
	index    map[uint32]int32
	held     []int32 // by rank
	keys     map[uint64]line
	resting  []rest
	takes    window // commands taken, for the budget on further sends
	further  window // sends beyond each command's first
	share    float64
	swapAt   float64
	logAt    float64
	shedSeen int
	watchAt  float64 // when to ask for the list again, 0: not needed
	mark     float64 // cost mark of the short lane, per thread
}

// profile is a row of the table of profiles.
type profile struct {
	Profile
	read, fill     histogram // processing times: one is read while the other fills
	received, let  window
	hinted, worked float64 // recent sums of estimates and of the true work they stood for
	work           float64 // usual work of all threads
	slow           float64 // usual slowdown: processing time over work per thread
}

// tenant is a bucket of what its quota still allows.
type tenant struct{ left, at float64 }

// engine is what this router knows of one engine, all from its own traffic.
type engine struct {
	Entry
	cores    float64
	threads  float64 // ours that are out there
	outs     int
	slow     float64 // slowdown of answers, and when it was last learned
	slowAt   float64
	fails    float64 // recent share of sends that failed there
	sign     float64 // last sign of life
	overdue  int
	ill      bool    // gets one trial send at a time
	trialAt  float64 // not before then
	pause    float64 // between trials, doubling
	trialOut bool
	cold     window // usual work sent since its start
}

// line is the commands of one order key, in the order taken.
type line struct {
	head, tail int32
	until      float64 // nothing is sent before: an earlier end was unknown
}

type rest struct{ key uint64 }

const (
	// swapEvery is the design page's 2 s.
	swapEvery = 2.0
	// carry of a buffer into the next: a rare profile keeps enough samples, and a change shows within two swaps.
	carry = 0.5
	// minSamples is the design page's 20.
	minSamples = 20
	// allowance A: the paper's upper value; enough to keep histograms filled.
	allowance = 0.03
	// allowSpan is the allowance's window: some tens of the rarer profile at a few commands a second.
	allowSpan = 10.0
	// tickEvery paces upkeep: short against every latency target, long against the cost of a scan.
	tickEvery = 0.05
)

// New makes the mind of one router.
func New(set Settings, now float64, host Host) *Brain {
	b := &Brain{set: set, host: host, now: now, rnd: newPCG(set.Seed), cmds: newSlab(),
		index: map[uint32]int32{}, keys: map[uint64]line{}, swapAt: now + swapEvery, mark: math.Inf(1)}
	b.share = 1 / float64(max(set.Routers, 1))
	// The short lane takes what leaves half the tightest target for crowding, whatever the deployment.
	const markShare = 0.5
	for _, p := range set.Profiles {
		// Buckets from 1 ms to 5 min, each 15% wider: finer than the estimates that they are compared with.
		row := profile{Profile: p, read: newHistogram(0.001, 300, 1.15), fill: newHistogram(0.001, 300, 1.15),
			received: newWindow(allowSpan, 20), let: newWindow(allowSpan, 20), slow: 1}
		row.Threads = max(p.Threads, 1)
		b.prof = append(b.prof, row)
		b.mark = min(b.mark, p.Target*markShare)
	}
	for _, t := range set.Tenants {
		b.tenants = append(b.tenants, tenant{left: t.QuotaPerS * b.share, at: now})
	}
	if set.Budget {
		b.takes, b.further = newWindow(set.BudgetWindow, 50), newWindow(set.BudgetWindow, 50)
	}
	if set.Ask {
		host.Watch(true)
	}
	host.Wake(tickEvery, 0)
	return b
}

// Settings are those given to New.
func (b *Brain) Settings() *Settings { return &b.set }

// ---- the chain

type verdict uint8

const (
	pass verdict = iota // on to the next stage
	keep                // the stage has it now
	ended
)

type stage struct {
	down func(*Brain, int32) verdict
	up   func(*Brain, int32, *Outcome) verdict
}

var chain []stage

func init() {
	chain = []stage{
		{(*Brain).take, (*Brain).answer},
		{(*Brain).admit, (*Brain).learn},
		{(*Brain).hold, (*Brain).again},
		{(*Brain).order, (*Brain).settle},
		{(*Brain).place, (*Brain).judge},
	}
}

const stageOrder = 3 // where a held command goes on

func (b *Brain) down(i int32, from int) verdict {
	for _, s := range chain[from:] {
		if v := s.down(b, i); v != pass {
			return v
		}
	}
	return ended
}

func (b *Brain) up(i int32, o *Outcome) {
	for s := len(chain) - 1; s >= 0; s-- {
		if chain[s].up(b, i, o) != pass {
			return
		}
	}
}

// Command takes one try of a client. From here on it is owed one answer.
func (b *Brain) Command(now float64, c Command) {
	b.now = now
	i := b.cmds.take(c.ID)
	b.cmds.rec[i].Command = c
	b.down(i, 0)
}

// Outcome is the end of a send.
func (b *Brain) Outcome(now float64, o Outcome) {
	b.now = now
	i, ok := b.cmds.find(o.ID)
	if !ok {
		return // late word on a command that is finished
	}
	b.up(i, &o)
	b.flush()
}

// ---- take: one answer for each command, before its client timeout

func (b *Brain) take(i int32) verdict {
	r := &b.cmds.rec[i]
	p := &b.prof[r.Profile]
	r.took, r.dueBy = b.now, b.now+r.TimeLeft
	r.cost, r.worth, r.level = b.expected(p, r.Cost), p.Benefit, 1
	if b.set.Budget {
		b.takes.add(b.now, 1)
	}
	if r.Tenant < len(b.tenants) {
		// A tenant over its quota is worth little: its excess goes last. The bucket holds one second.
		t, rate := &b.tenants[r.Tenant], b.set.Tenants[r.Tenant].QuotaPerS*b.share
		t.left = min(t.left+(b.now-t.at)*rate, max(rate, 1))
		t.at = b.now
		if t.left < 1 {
			r.worth *= b.set.OverShareBenefit
		} else {
			t.left--
		}
	}
	r.short = r.cost/float64(p.Threads) <= b.mark && r.worth == p.Benefit
	// Cheapest per benefit first; a second of waiting makes up for 0.05 s of work per unit of benefit (ageing).
	const ageing = 0.05
	r.rank = r.cost/max(r.worth, 1e-9) + ageing*r.took
	if p.Ordered && r.Key != 0 {
		l, ok := b.keys[r.Key]
		if !ok || l.head < 0 {
			l.head = i
		} else {
			b.cmds.rec[l.tail].next = i
		}
		l.tail = i
		b.keys[r.Key] = l
	}
	// Rule 1: the answer leaves two ticks before the client gives up, since a wake may come a tick late.
	b.host.Wake(max(r.TimeLeft-2*b.set.Tick, 0), uint64(r.ID)|1<<32)
	return pass
}

// expected work of a command: its estimate with the profile's bias taken out, else what is usual.
func (b *Brain) expected(p *profile, hint float64) float64 {
	switch {
	case hint <= 0:
		return max(p.work, 0.001)
	case p.worked == 0:
		return hint
	}
	return hint * p.worked / p.hinted
}

func (b *Brain) aim(r *record) float64 {
	p := &b.prof[r.Profile]
	return p.Target + p.Stretch*r.cost/float64(p.Threads)
}

// answer ends what neither an engine nor a further send has ended.
func (b *Brain) answer(i int32, o *Outcome) verdict {
	if r := &b.cmds.rec[i]; !r.done && r.outs == 0 {
		b.finish(i)
	} else {
		b.let(i)
	}
	return ended
}

// finish gives the final answer at once: shed where a retry is harmless, else fail.
func (b *Brain) finish(i int32) {
	r := &b.cmds.rec[i]
	if r.done {
		return
	}
	r.done = true
	b.unhold(i)
	if b.mayShed(r) {
		pause := 0.0
		if b.set.Pauses {
			pause = b.set.MaxPause / 2 // half of what clients honour: the crowd of retries spreads by itself
		}
		b.shedSeen++
		b.host.Shed(r.ID, pause)
	} else {
		b.host.Fail(r.ID)
	}
	b.dropSends(r)
	b.let(i)
}

// dropSends stops paying for work that nobody waits for.
func (b *Brain) dropSends(r *record) {
	for k := range r.out {
		if r.out[k].engine >= 0 && b.set.Cancels && !r.streaming {
			b.host.Cancel(r.ID, r.out[k].number)
		}
	}
}

// let frees the place of a command that has its answer and no send out; a key's line moves on.
func (b *Brain) let(i int32) {
	r := &b.cmds.rec[i]
	if !r.done || r.outs > 0 {
		return
	}
	if !b.prof[r.Profile].Ordered || r.Key == 0 {
		b.cmds.release(i)
		return
	}
	key := r.Key
	l := b.keys[key]
	for l.head >= 0 && b.cmds.rec[l.head].done && b.cmds.rec[l.head].outs == 0 {
		h := l.head
		l.head = b.cmds.rec[h].next
		b.cmds.release(h)
	}
	b.keys[key] = l
	if l.head < 0 && l.until <= b.now {
		delete(b.keys, key)
	} else if l.head < 0 {
		b.resting = append(b.resting, rest{key})
	}
}

// Left tells that the client went away.
func (b *Brain) Left(now float64, id uint32) {
	b.now = now
	if i, ok := b.cmds.find(id); ok && !b.cmds.rec[i].done {
		b.cmds.rec[i].done = true
		b.unhold(i)
		b.dropSends(&b.cmds.rec[i])
		b.let(i)
		b.flush()
	}
}

// Started tells that a stream has begun: it is the client's now, and no timeout applies.
func (b *Brain) Started(now float64, id uint32, _ int) {
	if i, ok := b.cmds.find(id); ok {
		b.now, b.cmds.rec[i].streaming = now, true
	}
}

// ---- admit: Bouncer's arrival estimate with its acceptance allowance

func (b *Brain) admit(i int32) verdict {
	r := &b.cmds.rec[i]
	p := &b.prof[r.Profile]
	got, let := p.received.most(b.now), p.let.most(b.now)
	ok := got == 0 || let/got < allowance || b.inTime(r, p) || b.rnd.float() < allowance
	p.received.add(b.now, 1)
	if !ok {
		b.finish(i)
		return ended
	}
	p.let.add(b.now, 1)
	return pass
}

// inTime compares both estimates with both targets.
func (b *Brain) inTime(r *record, p *profile) bool {
	if p.read.n < minSamples {
		return true
	}
	wait := 0.0
	if !r.short && b.choose(r) < 0 {
		wait = b.waitOf(r.rank)
	}
	return wait+p.read.quantile(0.5) <= max(b.aim(r), r.TimeLeft/2) && wait+p.read.quantile(0.9) <= r.TimeLeft
}

// waitOf is the wait of the held work that leaves before a rank.
func (b *Brain) waitOf(rank float64) float64 {
	work, places := 0.0, 0.0
	for _, h := range b.held {
		r := &b.cmds.rec[h]
		if r.rank > rank {
			break
		}
		work += float64(b.prof[r.Profile].Threads) * b.prof[r.Profile].read.mean()
	}
	for k := range b.engines {
		if e := &b.engines[k]; e.State == Ready && !e.ill {
			places += b.places(e)
		}
	}
	return work / max(places, 1)
}

// learn keeps the profile's times, true work and bias. A send that ended unknown counts at its age: without it
// the histogram would hold only the lucky ones.
func (b *Brain) learn(i int32, o *Outcome) verdict {
	return pass
}

// ---- hold: what finds no place waits, cheapest per benefit first

func (b *Brain) hold(i int32) verdict {
	r := &b.cmds.rec[i]
	if r.short || len(b.held) == 0 || b.choose(r) >= 0 {
		return pass
	}
	b.wait(i)
	return keep
}

func (b *Brain) wait(i int32) {
	r := &b.cmds.rec[i]
	if r.held {
		return
	}
	r.held = true
	k := sort.Search(len(b.held), func(k int) bool { return b.cmds.rec[b.held[k]].rank > r.rank })
	b.held = append(b.held, 0)
	copy(b.held[k+1:], b.held[k:])
	b.held[k] = i
}

func (b *Brain) unhold(i int32) {
	if !b.cmds.rec[i].held {
		return
	}
	b.cmds.rec[i].held = false
	for k, h := range b.held {
		if h == i {
			b.held = append(b.held[:k], b.held[k+1:]...)
			return
		}
	}
}

// flush sends on what has found a place.
func (b *Brain) flush() {
	for k := 0; k < len(b.held); {
		i := b.held[k]
		b.down(i, stageOrder)
		if k < len(b.held) && b.held[k] == i {
			k++
		}
	}
}

// again holds a command for a further send, where rules and time allow one.
func (b *Brain) again(i int32, o *Outcome) verdict {
	r := &b.cmds.rec[i]
	if r.done || r.outs > 0 {
		return pass
	}
	p := &b.prof[r.Profile]
	if b.now+r.cost/float64(p.Threads) > r.dueBy || (b.set.MaxSends > 0 && r.sends >= b.set.MaxSends) {
		return pass
	}
	if r.mayRun && (p.Effect == NonReplayable || (p.Effect == Uniqued && b.now >= r.ranAt+p.Window)) {
		return pass
	}
	b.wait(i)
	return keep
}

// ---- order: one at a time per key, in the order taken

func (b *Brain) order(i int32) verdict {
	r := &b.cmds.rec[i]
	if b.prof[r.Profile].Ordered && r.Key != 0 {
		if l := b.keys[r.Key]; l.head != i || b.now < l.until {
			b.wait(i)
			return keep
		}
	}
	return pass
}

// settle starts the rest of a key after an end that may still be running.
func (b *Brain) settle(i int32, o *Outcome) verdict {
	r := &b.cmds.rec[i]
	if b.prof[r.Profile].Ordered && r.Key != 0 && (o.End == TimedOut || o.End == Cut || o.End == Cancelled) {
		l := b.keys[r.Key]
		l.until = max(l.until, b.now+b.set.KeyRest)
		b.keys[r.Key] = l
	}
	return pass
}

// ---- place: the engine with the fewest of our threads per core, within every rule

func (b *Brain) place(i int32) verdict {
	r := &b.cmds.rec[i]
	k := b.choose(r)
	if k < 0 {
		b.wait(i)
		return keep
	}
	b.unhold(i)
	b.send(i, k)
	return ended
}

func (b *Brain) choose(r *record) int32 {
	p := &b.prof[r.Profile]
	if r.outs > 0 || (r.sends > 0 && !b.mayFurther()) {
		return -1
	}
	best, least := int32(-1), math.Inf(1)
	n := len(b.engines)
	for j := range n {
		k := (j + b.set.Me) % n // routers start at different engines, so that ties do not meet
		e := &b.engines[k]
		if !b.allowed(r, p, e) || !b.fit(r, p, e) {
			continue
		}
		s := (e.threads + float64(p.Threads)) / e.cores * b.slowOf(e)
		if e.Zone != b.set.Zone {
			s *= crossing
		}
		if int32(k) == r.avoid {
			s += 1000 // any other engine first
		}
		if s < least {
			best, least = int32(k), s
		}
	}
	return best
}

// crossing: an engine elsewhere must be this much emptier; its price and delay are small.
const crossing = 1.1

// allowed holds the rules on where a send may go (2, 3, 4 and 6).
func (b *Brain) allowed(r *record, p *profile, e *engine) bool {
	if e.State != Ready || !among(p.Zones, e.Zone) || !among(p.Kinds, e.Kind) {
		return false
	}
	if r.mayRun {
		switch {
		case p.Effect == NonReplayable:
			return false
		case p.Effect == Uniqued && (b.now >= r.ranAt+p.Window || p.Group == GroupZone && e.Zone != r.ranZone ||
			p.Group == GroupCell && e.Cell != r.ranCell):
			return false
		}
	}
	return !b.isCold(e) || e.cold.most(b.now)+p.usual() <= b.coldBudget(e)
}

func among(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return list == nil
}

func (p *profile) usual() float64 { return max(p.work, 0.001) }

func (b *Brain) isCold(e *engine) bool { return e.ReadyAt > 0 && b.now < e.ReadyAt+b.set.WarmUp }

// coldBudget is this router's share of what a cold engine takes in one window (rule 4). The ramp is not told, so
// the start holds throughout; the margin covers a slow engine, work of routers not yet told, and bursts.
func (b *Brain) coldBudget(e *engine) float64 {
	const margin = 0.5
	return b.set.FallMultiple * b.set.ColdFrom * e.cores * b.set.FallWindow * margin / float64(b.set.Routers)
}

// mayFurther holds the budget on further sends (rule 7).
func (b *Brain) mayFurther() bool {
	return !b.set.Budget || b.further.most(b.now)+1 <= b.set.BudgetFree+b.set.BudgetShare*b.takes.least(b.now)
}

// mayShed holds the promise of a shed (rule 2).
func (b *Brain) mayShed(r *record) bool {
	p := &b.prof[r.Profile]
	at, risk := r.ranAt, r.mayRun
	for k := range r.out {
		if r.out[k].engine >= 0 && (!risk || r.out[k].at < at) {
			at, risk = r.out[k].at, true
		}
	}
	return p.Effect == Replayable || !risk || p.Effect == Uniqued && p.Group == GroupAll && b.now < at+p.Window
}

// fit holds the thread places, which bind only under pressure, and the trials of ill engines.
func (b *Brain) fit(r *record, p *profile, e *engine) bool {
	if e.ill {
		return r.short && !e.trialOut && b.now >= e.trialAt && p.Effect == Replayable
	}
	return r.short || e.threads == 0 || !b.pressed(e) || e.threads+float64(p.Threads) <= b.places(e)
}

// places of this router on an engine. One place a core would leave cores idle while threads read from disk.
func (b *Brain) places(e *engine) float64 {
	const perCore = 1.3
	return e.cores * perCore * b.share
}

// pressed: answers come well above best, or our own threads alone fill the cores twice.
func (b *Brain) pressed(e *engine) bool {
	const wellAbove = 1.8
	return b.slowOf(e) > wellAbove || e.threads >= 1.5*e.cores
}

// slowOf is the learned slowdown; without news it fades, so that a shunned engine gets another chance.
func (b *Brain) slowOf(e *engine) float64 {
	const fade = 4.0 // seconds: a few reports long
	return 1 + (e.slow-1)*math.Exp(-(b.now-e.slowAt)/fade)
}

func (b *Brain) send(i, k int32) {
	r, e := &b.cmds.rec[i], &b.engines[k]
	p := &b.prof[r.Profile]
	slot := 0
	if r.out[0].engine >= 0 {
		slot = 1
	}
	expect := r.cost / float64(p.Threads) * max(1, p.slow)
	r.out[slot] = send{engine: k, number: r.sends, at: b.now, expect: expect, heard: b.now}
	if r.sends > 0 && b.set.Budget {
		b.further.add(b.now, 1)
	}
	r.sends++
	r.outs++
	if e.outs == 0 {
		e.sign = b.now
	}
	e.outs++
	e.threads += float64(p.Threads)
	e.trialOut = e.ill
	if b.isCold(e) {
		e.cold.add(b.now, p.usual())
	}
	if b.set.Priorities {
		level := 1
		if r.short {
			level = 3
		} else if r.worth < p.Benefit || b.now > r.took+b.aim(r) {
			level = 0
		}
		if level != r.level {
			r.level = level
			b.host.Priority(r.ID, level, 0)
		}
	}
	b.host.Send(r.ID, e.Engine, b.limit(r, p, e))
}

// limit is a send's time-out. Where a send can't be cancelled, a short command gives up on a silent engine while
// another can still answer in time. It does harm where answers are usually that late: then it is not set.
func (b *Brain) limit(r *record, p *profile, e *engine) float64 {
	left := r.dueBy - b.now
	if b.set.Cancels || p.Effect != Replayable || !r.short || r.sends >= b.set.MaxSends {
		return left
	}
	if l := 0.6 * b.aim(r); p.read.n >= minSamples && p.read.quantile(0.9) < l {
		return min(l, left)
	}
	return left
}

// judge settles the engine's account and takes the outcome as evidence of its health.
func (b *Brain) judge(i int32, o *Outcome) verdict {
	r := &b.cmds.rec[i]
	p := &b.prof[r.Profile]
	var s send
	for k := range r.out {
		if r.out[k].engine >= 0 && r.out[k].number == o.Send {
			s, r.out[k].engine = r.out[k], -1
			r.outs--
			break
		}
	}
	if o.Over {
		r.done = true
		b.unhold(i)
	}
	if s.at == 0 && s.expect == 0 {
		return pass
	}
	e := &b.engines[s.engine]
	e.outs--
	e.threads -= float64(p.Threads)
	trial := e.ill
	e.trialOut = false
	if !o.End.NeverRan() && o.End != Answered {
		if !r.mayRun {
			r.mayRun, r.ranAt, r.ranZone, r.ranCell = true, s.at, e.Zone, e.Cell
		}
		r.ranAt = min(r.ranAt, s.at)
	}
	const weight = 0.15 // of one outcome: some seven in a row tell
	switch o.End {
	case Answered:
		e.sign = b.now
		e.fails *= 1 - weight
		work := o.Work
		if work == 0 {
			work = r.cost
		} else {
			// Sums that fade over some hundred answers: the bias is the profile's own and steady.
			if r.Cost > 0 {
				p.hinted, p.worked = p.hinted*0.99+r.Cost, p.worked*0.99+work
			}
		}
		if p.work == 0 {
			p.work = work
		}
		p.work += 0.01 * (work - p.work)
		slow := o.Lag * float64(p.Threads) / max(work, 0.001)
		p.slow += 0.05 * (min(slow, 20) - p.slow)
		// Longer work tells more of how crowded the engine is; tiny commands are mostly delay.
		g := 0.3 * work / (work + 0.5)
		cur := b.slowOf(e)
		e.slow, e.slowAt = cur+g*(min(slow, 20)-cur), b.now
		if trial {
			e.fails *= 0.5
			e.pause = trialPause
			if e.fails < 0.1 {
				e.ill = false
				b.log("engine %d answers again", e.Engine)
			}
		}
		if !trial && !b.isCold(e) {
			p.fill.add(o.Lag)
		}
	case Errored, Unreachable, Cut:
		e.fails += weight * (1 - e.fails)
		if o.End != Errored {
			e.fails = max(e.fails, 0.5)
		}
		if e.fails > 0.25 || trial {
			b.doubt(e, "fails what it is sent")
		}
	case TurnedAway:
		e.slow, e.slowAt = max(b.slowOf(e), 3), b.now
	case TimedOut:
		p.fill.add(o.Lag)
		if trial {
			b.doubt(e, "does not answer")
		}
	}
	if o.End != Answered {
		r.avoid = s.engine
	}
	return pass
}

// trialPause is the first wait before a trial: some round trips, short against the targets.
const trialPause = 0.5

// doubt stops ordinary sends to an engine; single trials find out when it is back.
func (b *Brain) doubt(e *engine, why string) {
	if !e.ill {
		e.ill, e.pause = true, trialPause
		b.log("engine %d %s: one trial at a time", e.Engine, why)
	} else {
		e.pause = min(e.pause*1.5, 3)
	}
	e.fails = max(e.fails, 0.4)
	e.trialAt = b.now + e.pause
}

func (b *Brain) log(format string, args ...any) { b.host.Log(fmt.Sprintf(format, args...)) }

// ---- upkeep

// Woken is the upkeep tick (token 0) or a command's last moment.
func (b *Brain) Woken(now float64, token uint64) {
	b.now = now
	if token != 0 {
		if i, ok := b.cmds.find(uint32(token)); ok && !b.cmds.rec[i].done && !b.cmds.rec[i].streaming {
			b.finish(i)
			b.flush()
		}
		return
	}
	b.host.Wake(tickEvery, 0)
	if now >= b.swapAt {
		b.swap()
	}
	if b.watchAt > 0 && now >= b.watchAt {
		b.watchAt = 0
		b.host.Watch(true)
	}
	for len(b.resting) > 0 && b.keys[b.resting[0].key].until <= now {
		if l := b.keys[b.resting[0].key]; l.head < 0 {
			delete(b.keys, b.resting[0].key)
		}
		b.resting = b.resting[1:]
	}
	b.silence()
	for k := 0; k < len(b.held); {
		i := b.held[k]
		r := &b.cmds.rec[i]
		// A held command that can no longer be in time has been given up: it is told so now.
		if best := r.cost / float64(b.prof[r.Profile].Threads); now+best > min(r.took+b.aim(r), r.dueBy) {
			b.finish(i)
			continue
		}
		k++
	}
	b.flush()
}

// swap turns the buffers over, carrying a part of the old on: a rare profile has few samples in one period.
func (b *Brain) swap() {
	b.swapAt += swapEvery
	for k := range b.prof {
		p := &b.prof[k]
		p.read, p.fill = p.fill, p.read
		p.fill.copyScaled(&p.read, carry)
	}
	if b.shedSeen > 0 && b.now >= b.logAt {
		b.log("shed %d commands, %d held", b.shedSeen, len(b.held))
		b.shedSeen, b.logAt = 0, b.now+5
	}
}

// silence finds engines that take work and answer nothing: sends far past what they should take, and no sign.
func (b *Brain) silence() {
	for k := range b.engines {
		b.engines[k].overdue = 0
	}
	const late = 3.0 // times the expected
	for i := range b.cmds.rec {
		r := &b.cmds.rec[i]
		if !r.inUse || r.outs == 0 {
			continue
		}
		for _, s := range r.out {
			if s.engine >= 0 && b.now-s.at > late*s.expect+0.3 {
				b.engines[s.engine].overdue++
			}
		}
	}
	for k := range b.engines {
		if e := &b.engines[k]; e.overdue >= 2 && !e.ill && b.now-e.sign > 0.6 {
			b.doubt(e, "is silent")
		}
	}
}

// ---- what is heard

// Members is the list of engines.
func (b *Brain) Members(now float64, scope Scope, list []Entry) {
	b.now = now
	if scope == FailedAsk {
		b.watchAt = now + 1 + b.rnd.float() // spread, since all routers ask one service
		return
	}
	if scope != Delta {
		for k := range b.engines {
			listed := false
			for _, n := range list {
				listed = listed || n.Engine == b.engines[k].Engine
			}
			if !listed {
				b.engines[k].State = Gone
			}
		}
	}
	for _, n := range list {
		k, ok := b.index[n.Engine]
		if !ok {
			k = int32(len(b.engines))
			b.index[n.Engine] = k
			b.engines = append(b.engines, engine{cold: newWindow(max(b.set.FallWindow, 0.001), 10)})
		}
		e := &b.engines[k]
		if !ok || n.ReadyAt != e.ReadyAt {
			// A new start: what was learned of the old process says nothing.
			e.slow, e.slowAt, e.fails, e.ill, e.trialOut = 1, now, 0, false, false
		}
		e.Entry, e.cores = n, 1
		if n.Kind < len(b.set.KindCores) && b.set.KindCores[n.Kind] > 0 {
			e.cores = b.set.KindCores[n.Kind]
		}
	}
	b.flush()
}

// Note tells of a send that is out.
func (b *Brain) Note(now float64, n Note) {
	b.now = now
	if k, ok := b.index[n.Engine]; ok {
		b.engines[k].sign = now
	}
}

// Probed is the answer to a probe.
func (b *Brain) Probed(now float64, engine uint32, end End, lag float64, load *Load) { b.now = now }

// Peer is a message of another router.
func (b *Brain) Peer(now float64, from int, data []byte) { b.now = now }

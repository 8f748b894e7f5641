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
	settings Settings
	host     Host
	now      float64
	random   pcg
	requests requestSet
	profiles []profileState
	tenants  []tenantState
	pool     // engines, and what other routers have there

	requestsTaken, retries            window  // commands taken, and sends beyond each one's first
	share, fastPathLimit, cutoffPrice float64 // of each engine for this router; cost mark of the lane; price the line gave up
	total                             server  // what this router has on the engines that count, and their cores
	outcome                           Outcome
	message                           []byte
	averageSlowdown                   float64            // usual slowdown over all profiles, by work
	worstSlowdown                     float64            // slowdown of the profile that has the most: a rare one's own news is old
	admittedWork, admittedSeconds     float64            // work of the commands let in, fading, and the seconds it stands for
	othersPerCore                     float64            // others' threads a core, averaged over reports
	meanAttemptTime                   float64            // mean time of a send, where waits are told
	trackedRejections                 []trackedRejection // refused commands that are looked at again, where waits are told
	rejections                        int
	zoneSights                        []failover.Sight // of zones since the last report, where the fleet has a plan
	rejectedSinceLog, nextLoadProbe   int              // sheds since the last line in the log; engine to probe next

	startedAt, swapAt, logAt, announceAt, loadProbeAt, watchAt float64
}

// profileState is a row of the table.
type profileState struct {
	Profile
	current, filling            histogram // processing times: one is read while the other fills
	received, admitted          window
	estimatedWork, measuredWork float64 // recent sums of estimates and of the true work they stood for
	work, samples               float64 // usual work of all threads, and how many answers or estimates stand behind it
	slowdown                    float64 // usual slowdown: processing time over work per thread
}

type tenantState struct {
	tokens, refilledAt float64 // a bucket of what its quota allows; the excess goes last
	demand             window  // commands, where the fleet deals quotas
}

const tenantDemandSpan = 5.0 // seconds: some commands of a small tenant, and short against its surges

const allowanceSpan = 10.0 // the allowance's window: some tens of a rare profile's commands

func New(settings Settings, now float64, host Host) *Brain {
	settings.Routers = max(settings.Routers, 1)
	if settings.Teams == nil {
		settings.Ageing = 0.05 // seconds of work per benefit and second: 0.02 was within 0.02 of it
	}
	b := &Brain{settings: settings, host: host, now: now, random: newPCG(settings.Seed), requests: newSet(),
		pool: newPool(settings.Routers), share: 1 / float64(settings.Routers), fastPathLimit: math.Inf(1), cutoffPrice: math.Inf(1),
		swapAt: now, startedAt: now, watchAt: math.Inf(1), othersPerCore: lowThreadsPerCore, averageSlowdown: 1}
	const fastPathShare = 0.5 // the short lane leaves half the tightest target for crowding
	for _, p := range settings.Profiles {
		p.Threads = max(p.Threads, 1)
		// Buckets from 1 ms to 5 min, each 15% wider: finer than the estimates that they are compared with.
		// Before anything is known the work is what would leave half the target for crowding.
		b.profiles = append(b.profiles, profileState{Profile: p, current: newHistogram(0.001, 300, 1.15), slowdown: 1,
			filling: newHistogram(0.001, 300, 1.15), received: newWindow(allowanceSpan, 20), admitted: newWindow(allowanceSpan, 20),
			work: p.Target / 2 * float64(p.Threads)})
		b.fastPathLimit = min(b.fastPathLimit, p.Target*fastPathShare)
	}
	for range settings.Tenants {
		b.tenants = append(b.tenants, tenantState{tokens: math.Inf(1), refilledAt: now, demand: newDemandWindow(settings)})
	}
	b.requestsTaken, b.retries = newWindow(max(settings.BudgetWindow, 1), 50), newWindow(max(settings.BudgetWindow, 1), 50)
	b.restoreBeliefs()
	if host.Wake(0, 0); settings.Ask {
		host.Watch(true)
	}
	return b
}

var chain []stage

func init() { // not a literal: the stages call each other through it (chain.go walks it)
	chain = []stage{{(*Brain).register, (*Brain).finishUnresolved}, {(*Brain).admit, (*Brain).retry},
		{(*Brain).order, (*Brain).restKeyAfterOpenEnd}, {(*Brain).place, (*Brain).recordOutcome}}
}

// Command takes one try of a client. From here on it is owed one answer.
func (b *Brain) Command(now float64, c Command) {
	b.now = now
	b.forward(b.requests.add(c), 0)
}

func (b *Brain) Outcome(now float64, o Outcome) {
	b.now, b.outcome = now, o // kept here, since a pointer into the chain would put it on the heap
	i, ok := b.requests.at[o.ID]
	for s := len(chain) - 1; ok && s >= 0 && chain[s].back(b, i, &b.outcome); s-- {
	}
	b.dispatchQueued()
}

// ---- take: one answer for each command, before its client timeout (rule 1)

func (b *Brain) register(i int32) bool {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	r.takenAt, r.deadline, r.benefit, r.priority = b.now, b.now+r.TimeLeft, p.Benefit, 1
	b.requestsTaken.add(b.now, 1)
	if r.Tenant < len(b.tenants) {
		t, rate := &b.tenants[r.Tenant], b.settings.Tenants[r.Tenant].QuotaPerS*b.quotaShare(r.Tenant)
		const depth = 5 // commands: a small share's ordinary chance clusters are no excess; else one second's quota
		t.tokens, t.refilledAt = min(t.tokens+(b.now-t.refilledAt)*rate, max(rate, depth)), b.now
		if b.settings.Fleet != nil {
			t.demand.add(b.now, 1)
		}
		if t.tokens < 1 {
			r.benefit *= b.settings.OverShareBenefit
		} else {
			t.tokens--
		}
	}
	if b.estimate(r, p); r.Cost > 0 && p.estimatedWork == 0 {
		p.observeWork(r.Cost) // no answer yet: a cold engine's budget needs some measure
	}
	if b.isOrdered(r) {
		b.requests.enqueueKey(i)
	}
	r.reserved = b.settings.Waits != nil && b.settings.Waits.Booked(b.now, r.Mark)
	b.host.Wake(max(r.TimeLeft-2*b.settings.Tick, 0), uint64(r.ID)|1<<32) // two ticks: a wake may come one late
	return pass
}

// estimate sets what a command should cost and by when: the estimate with the profile's bias taken out, else what is usual.
func (b *Brain) estimate(r *requestState, p *profileState) {
	if r.cost = r.Cost; r.Cost <= 0 {
		r.cost = p.work
	} else if p.estimatedWork > 0 {
		r.cost *= p.measuredWork / p.estimatedWork
	}
	r.bestTime = r.cost / float64(p.Threads)
	r.target = r.takenAt + p.Target + p.Stretch*r.bestTime
	r.short = r.bestTime <= b.fastPathLimit && r.benefit == p.Benefit && (b.settings.Teams == nil || b.settings.Teams.Lane(r.Team))
	r.price = r.cost / max(r.benefit, 1e-9)
	r.rank = r.price + b.settings.Ageing*r.takenAt // cheapest per benefit first; a second of waiting makes up for some of it
}

// finishUnresolved ends what neither an engine nor a further send has ended.
func (b *Brain) finishUnresolved(i int32, o *Outcome) bool {
	if r := &b.requests.states[i]; !r.done && r.inFlight.server < 0 {
		b.finishUnserved(i)
	} else {
		b.releaseIfDone(i)
	}
	return ended
}

// finishUnserved gives the final answer at once: shed where a retry is harmless (rule 2), else fail.
func (b *Brain) finishUnserved(i int32) {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	if riskAt, risk := r.earliestPossibleRun(); p.Effect == Replayable || !risk ||
		p.Effect == Uniqued && p.Group == GroupAll && b.now < riskAt+p.Window {
		b.rejectedSinceLog++
		b.host.Shed(r.ID, b.retryPause(r, p))
	} else {
		b.host.Fail(r.ID)
	}
	b.complete(i)
}

func (b *Brain) complete(i int32) {
	b.requests.states[i].done = true
	b.dequeue(i)
	if b.settings.Waits != nil {
		b.settings.Waits.Over(b.now, i)
	}
	b.cancelAttempt(&b.requests.states[i])
	b.releaseIfDone(i)
}

func (b *Brain) cancelAttempt(r *requestState) {
	switch {
	case r.inFlight.server < 0 || r.inFlight.cancelRequested || r.streaming:
	case b.settings.Cancels:
		r.inFlight.cancelRequested = true
		b.host.Cancel(r.ID, r.inFlight.number)
	default: // what still waits for its connection has run nowhere
		b.host.Withdraw(r.ID, r.inFlight.number)
	}
}

// releaseIfDone frees the place of a command that has its answer and no send out; its key's line moves on.
func (b *Brain) releaseIfDone(i int32) {
	switch r := &b.requests.states[i]; {
	case !r.done || r.inFlight.server >= 0:
	case b.isOrdered(r):
		b.requests.advanceKey(r.Key)
	default:
		b.requests.release(i)
	}
}

func (b *Brain) Left(now float64, id uint32) {
	b.now = now
	if i, ok := b.requests.at[id]; ok && !b.requests.states[i].done {
		b.complete(i)
		b.dispatchQueued()
	}
}

// HalfClosed tells that the client has closed its side: it has left, or still reads. A final answer serves both: at once where
// nothing is out, else by the send that is, and no further one. Harm: a client that still reads is shed where it was held.
func (b *Brain) HalfClosed(now float64, id uint32) {
	b.now = now
	if i, ok := b.requests.at[id]; ok && !b.requests.states[i].done {
		r := &b.requests.states[i]
		if r.halfClosed = true; r.inFlight.server < 0 {
			b.finishUnserved(i)
			b.dispatchQueued()
		} else {
			b.host.Withdraw(id, r.inFlight.number)
		}
	}
}

// Started tells that a stream has begun: it is the client's now, and no timeout applies.
func (b *Brain) Started(now float64, id uint32, _ int) {
	b.now = now
	if i, ok := b.requests.at[id]; ok {
		b.requests.states[i].streaming = true
	}
}

// ---- admit: Bouncer's arrival estimate with its acceptance allowance

func (b *Brain) admit(i int32) bool {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	const allowance = 0.03 // A, the paper's upper value
	arrivals, admitted := p.received.most(b.now), p.admitted.most(b.now)
	ok := arrivals == 0 || admitted/arrivals < allowance || b.planAdmits(r) && b.estimatesMeetTargets(r, p) || b.random.float() < allowance
	p.received.add(b.now, 1)
	if !ok {
		b.finishUnserved(i)
		return ended
	}
	b.admittedWork += p.work
	p.admitted.add(b.now, 1)
	return pass
}

// estimatesMeetTargets compares both estimates with both targets, and the wait with the moment of giving up.
func (b *Brain) estimatesMeetTargets(r *requestState, p *profileState) bool {
	if p.current.n < 20 { // the design page's
		return true
	}
	wait, k := 0.0, b.chooseServer(r)
	if k >= 0 && !b.pressed(p, &b.servers[k]) {
		// Exception: with an engine to spare a refusal protects nobody, so p90 alone does not bind (thin
		// histograms, clients in a hurry). It ends as soon as the engines are pressed.
		return r.bestTime <= r.TimeLeft || p.current.quantile(0.9) <= r.TimeLeft
	}
	target := r.target - b.now
	if !r.short && k < 0 {
		// Exception: what would only be given up in the line is refused now, by its wait or what it just gave up.
		if wait = b.queueWait(r) + b.reservedWait(r); wait+r.bestTime > target || r.price >= b.cutoffPriceFor(r) {
			return false
		}
	}
	return wait+p.current.quantile(0.5) <= max(target, r.TimeLeft/2) && wait+p.current.quantile(0.9) <= r.TimeLeft
}

// timeUntilAdmitted is how long until a command that is refused now would be let in, if nothing else came.
func (b *Brain) timeUntilAdmitted(r *requestState, p *profileState) float64 {
	const doublingTime = 1.75 // seconds in which the price that the line gave up doubles
	wait, target := b.queueWait(r), r.target-r.takenAt
	excess := max(wait+r.bestTime-target, wait+p.current.quantile(0.5)-max(target, r.TimeLeft/2), wait+p.current.quantile(0.9)-r.TimeLeft, 0)
	return max(excess, doublingTime*math.Log2(max(r.price/b.cutoffPriceFor(r), 1)))
}

// cutoffPriceFor is the price from which a command is refused as the line gave up such, of its team where there are teams: none for
// one that comes when it was told.
func (b *Brain) cutoffPriceFor(r *requestState) float64 {
	switch {
	case r.reserved:
		return math.Inf(1)
	case b.settings.Teams != nil:
		return b.settings.Teams.Cut(b.now, r.Team)
	}
	return b.cutoffPrice
}

// queueWait is the wait for the held work that leaves before a command would, over this router's places.
func (b *Brain) queueWait(request *requestState) float64 {
	work := 0.0
	if b.settings.Teams != nil {
		work = b.settings.Teams.Ahead(request.Team, request.rank) * b.averageSlowdown
		return work / max(b.slots(&b.total), 1)
	}
	for _, index := range b.requests.queued {
		r := &b.requests.states[index]
		if r.rank > request.rank {
			break
		}
		work += float64(b.profiles[r.Profile].Threads) * b.profiles[r.Profile].current.mean()
	}
	return work / max(b.slots(&b.total), 1)
}

func (b *Brain) learnWork(p *profileState, r *requestState, o *Outcome, work, slowdown float64) {
	if o.Work > 0 && r.Cost > 0 { // sums fade over some hundred answers: the bias is the profile's and steady
		p.estimatedWork, p.measuredWork = p.estimatedWork*0.99+r.Cost, p.measuredWork*0.99+work
	}
	p.observeWork(work)
	b.averageSlowdown += 0.05 * min(work/max(p.work, 0.001), 3) * min(work, 1) * (slowdown - b.averageSlowdown)
	p.slowdown += 0.05 * min(work/max(p.work, 0.001), 3) * (slowdown - p.slowdown) // by work: tiny ones are mostly delay
}

func (p *profileState) observeWork(work float64) {
	p.samples = min(p.samples+1, 100) // an average over some hundred at the most
	p.work += (work - p.work) / p.samples
}

// retry holds a command for a further send, where rules and time allow one.
func (b *Brain) retry(i int32, o *Outcome) bool {
	r := &b.requests.states[i]
	const errors = 2 // as many engines don't err by chance: more sends would only spread what none can use
	if r.done || r.halfClosed || r.inFlight.server >= 0 || b.now+r.bestTime > r.deadline || r.errors >= errors ||
		b.settings.MaxSends > 0 && r.attempts >= b.settings.MaxSends || !b.mayRunAgain(r, &b.profiles[r.Profile]) {
		return pass
	}
	b.enqueue(i)
	return keep
}

// mayRunAgain: what may have run runs again only where that does no harm (rule 2); allowed adds where.
func (b *Brain) mayRunAgain(r *requestState, p *profileState) bool {
	return !r.mayHaveRun || p.Effect == Replayable || p.Effect == Uniqued && b.now < r.firstRunAt+p.Window
}

// ---- order: one at a time per key, in the order taken (rule 5)

func (b *Brain) isOrdered(r *requestState) bool { return b.profiles[r.Profile].Ordered && r.Key != 0 }

func (b *Brain) order(i int32) bool {
	if r := &b.requests.states[i]; b.isOrdered(r) {
		if q := b.requests.byKey[r.Key]; q.head != i || b.now < q.restUntil {
			b.enqueue(i)
			return keep
		}
	}
	return pass
}

// restKeyAfterOpenEnd starts the rest of a key after an end that may still be running.
func (b *Brain) restKeyAfterOpenEnd(i int32, o *Outcome) bool {
	r := &b.requests.states[i]
	if b.isOrdered(r) && (o.End == TimedOut || o.End == Cut || o.End == Cancelled) {
		b.requests.restKey(r.Key, b.now+b.settings.KeyRest)
	}
	return pass
}

// ---- place: the engine with the fewest of our threads per core, within every rule

func (b *Brain) place(i int32) bool {
	if k := b.chooseServer(&b.requests.states[i]); k >= 0 {
		b.dequeue(i)
		b.attempt(i, k)
		return ended
	}
	b.enqueue(i)
	return keep
}

const recentSpan = 3.0 // seconds that an answer or a report counts: 1.5 was no better

func (b *Brain) chooseServer(r *requestState) int32 {
	p := &b.profiles[r.Profile]
	// Rules 2 and 7; and one send at a time, whether or not copies are barred.
	if r.inFlight.server >= 0 || !b.mayRunAgain(r, p) || r.attempts > 0 && b.settings.BudgetWindow > 0 &&
		b.retries.most(b.now)+1 > b.settings.BudgetFree+b.settings.BudgetShare*b.requestsTaken.least(b.now) {
		return -1
	}
	if !b.mayStart(r) {
		return -1
	}
	b.total = b.healthyTotal()
	best, least := int32(-1), math.Inf(1)
	for k := range b.servers {
		e := &b.servers[k]
		if !b.placementAllowed(r, p, e) || b.now < e.fullUntil || !b.hasSlot(r, p, e) {
			continue
		}
		score := e.threads + e.otherThreads + float64(p.Threads)
		unsure := !e.othersKnown || e.othersEstimated
		if unsure {
			// Chance stands for the others' threads, or all would send to the larger engines first. It is drawn
			// once: a router keeps to engines that it knows, and many routers together follow the cores.
			score -= (1 - b.share) * float64(p.Threads)
			if !b.isCold(e) { // its budget holds the others back, and a turn left out is lost
				score += (1 - b.share) * e.randomThreads
			}
		}
		score *= b.slowdownOf(e) / e.cores
		if price, ok := b.zonePrice(e.Zone, r.cost); ok && !e.unhealthy { // trials find out when a zone is back
			score += price // shares that the fleet agreed on, in place of a price of our own
		} else if crossZonePrice := 0.2; e.Zone != b.settings.Zone { // elsewhere must be this much emptier: a small price and delay
			if unsure {
				crossZonePrice *= min(max(3-2*b.worstSlowdown, 0), 1) // not while answers, mostly from here, are slow by half
			}
			score += crossZonePrice
		}
		switch {
		case int32(k) == r.avoidServer:
			score += 1000 // any other engine first
		case !r.short && (e.overdue > 0 || b.now-e.answeredAt > recentSpan):
			score += 0.5 // a long command goes where something answered lately; short ones find out who is well
		}
		if score < least {
			best, least = int32(k), score
		}
	}
	return best
}

// placementAllowed holds the rules on where a send may go (2, 3, 4 and 6).
func (b *Brain) placementAllowed(r *requestState, p *profileState, e *server) bool {
	if e.State != Ready || !permitted(p.Zones, e.Zone) || !permitted(p.Kinds, e.Kind) ||
		r.mayHaveRun && p.Effect == Uniqued && (p.Group == GroupZone && e.Zone != r.firstRunZone ||
			p.Group == GroupCell && e.Cell != r.firstRunCell) {
		return false
	}
	return !b.isCold(e) || e.coldWork.most(b.now)+p.work <= b.coldBudget(e)
}

const coldMargin = 0.5

const (
	// Where turns come too seldom, smaller requests go by shares of one part of the budget and all by turns of the other. Shares take
	// their part of a window and turns one and a half of theirs: all together stay in one and a half, as with turns alone.
	coldByShares = 0.5
	coldByTurns  = 2.0 / 3
)

// coldWindow is what all routers together may send to a cold engine in one window.
func (b *Brain) coldWindow(e *server) float64 {
	ramp := (b.now - e.ReadyAt) / b.settings.WarmUp
	return b.settings.FallMultiple * e.cores * coldMargin * (b.settings.ColdFrom + (1-b.settings.ColdFrom)*ramp*ramp) * b.settings.FallWindow
}

// coldBudget is this router's share of what a cold engine takes in one window (rule 4). The ramp is not told;
// a late one is assumed, by the square of the age. The margin covers a slow engine, routers not yet told and
// a burst at the start. A share under one command of the lane comes in turns: the budget since its start is
// cut into commands, each one router's for half a window: all together stay in one and a half of it. Where
// the warm-up has no turn for each, which all routers know alike, a part of the budget comes in shares.
func (b *Brain) coldBudget(e *server) float64 {
	fullRate := b.settings.FallMultiple * e.cores * coldMargin
	budget := func(age float64) float64 { // the budget up to an age
		age = max(age, 0)
		return fullRate * (b.settings.ColdFrom*age + (1-b.settings.ColdFrom)*age*age*age/(3*b.settings.WarmUp*b.settings.WarmUp))
	}
	age, n := b.now-e.ReadyAt, float64(b.settings.Routers)
	window := b.coldWindow(e)
	if part, ok := b.coldShare(e); ok { // dealt by need on behalf of all: the sum of all parts is never over one
		return window * part
	} else if share := window / n; share >= b.fastPathLimit {
		return share
	}
	turnPart, share := 1.0, 0.0
	if budget(b.settings.WarmUp) < n*b.fastPathLimit {
		turnPart, share = coldByTurns, coldByShares*window/n
	}
	first := float64((uint32(b.settings.Me) + e.Engine) % uint32(b.settings.Routers)) // another router at each engine
	turns := func(age float64) float64 { return math.Floor((turnPart*budget(age)/b.fastPathLimit - first) / n) }
	countedFrom := max(age-b.settings.FallWindow/2, b.startedAt-e.ReadyAt) // the turn at the start of this process may have been used by the one before it
	turn := (turns(age) - turns(countedFrom)) * b.fastPathLimit
	if e.coldWork.most(b.now) > 0 { // a server may bear less in a window than a turn: one request then, or as many smaller ones
		turn = min(turn, window)
	}
	return max(share, turn)
}

// reportNeeds tells what this router would have of the fleet's wholes: of a cold engine the work that it lets in by the engine's part
// of the pool, and at least its smallest usual command in a window; of a tenant's quota what it was asked for of late.
func (b *Brain) reportNeeds(u Use) {
	rate, least := 0.0, b.fastPathLimit
	for k := range b.profiles {
		rate += b.profiles[k].received.most(b.now) / min(max(b.now-b.startedAt, 1), allowanceSpan) * b.profiles[k].work
		least = min(least, b.profiles[k].work)
	}
	for k := range b.servers {
		e := &b.servers[k]
		if e.State == Ready && e.unhealthy {
			u.Doubted(e.Engine, e.Zone, e.ReadyAt)
		}
		if e.State == Ready && b.isCold(e) {
			window := max(b.coldWindow(e), 1e-9)
			u.Cold(e.Engine, e.Zone, e.ReadyAt, rate*b.settings.FallWindow*e.cores/max(b.total.cores, e.cores)/window, least/window)
		}
	}
	for k := range b.tenants {
		if t := &b.tenants[k]; b.settings.Tenants[k].QuotaPerS > 0 {
			u.Tenant(k, t.demand.most(b.now)/tenantDemandSpan/b.settings.Tenants[k].QuotaPerS)
		}
	}
}

func (b *Brain) isCold(e *server) bool { return e.ReadyAt > 0 && b.now < e.ReadyAt+b.settings.WarmUp }

// hasSlot holds the thread places, which bind only under pressure, and the trials of ill engines.
func (b *Brain) hasSlot(r *requestState, p *profileState, e *server) bool {
	if e.unhealthy { // a trial is a short replayable command; where none comes for a second, any
		probeAt := b.nextProbeAt(e)
		return !e.probing && b.now >= probeAt && (r.short && p.Effect == Replayable || b.now >= probeAt+1)
	}
	// The pool's places bind too, or hundreds of routers with one command each would fill every engine.
	return !b.pressed(p, e) || b.withinSlots(e, r.short, p.Threads) && b.withinSlots(&b.total, r.short, p.Threads)
}

// withinSlots: one command always fits, so that a share of less than a thread is of use.
func (b *Brain) withinSlots(e *server, short bool, threads int) bool {
	need, slots := float64(threads), b.slots(e)
	if short { // past full places, but not without end; long commands can't close its reserved threads
		reserved := 0.6 * e.cores * b.share
		if e == &b.total { // over the pool a full set: an engine's end binds before it where routers are few
			reserved = slots
		}
		slots = max(1.5*slots, e.threads-e.fastPathThreads+max(need, reserved))
	}
	return e.threads == 0 || e.threads+need <= slots
}

// slots of this router on an engine.
func (b *Brain) slots(e *server) float64 {
	const slotsPerCore = 1.7 // one a core would leave cores idle while threads read from disk
	if e.otherThreads == 0 {
		return e.cores * slotsPerCore * b.share
	}
	return max(e.cores*slotsPerCore-e.otherThreads, e.cores*slotsPerCore*b.share)
}

const pressedSlowdown = 2.2 // slowdown over best from which an engine is pressed: tiny commands run at 2 on quiet days

// pressed: answers come well above best there, any profile's far above, or threads known of fill the cores.
func (b *Brain) pressed(p *profileState, e *server) bool {
	threadsPerCore := 1.5 // threads a core
	if !e.othersKnown {   // others' load: twice an equal share, or many routers fill an engine before answers show it
		threadsPerCore *= min(1, 2*b.share)
	}
	return max(p.slowdown*b.slowdownOf(e), b.worstSlowdown) > pressedSlowdown ||
		e.threads+e.otherThreads >= max(threadsPerCore*e.cores, 1) ||
		!e.othersKnown && b.total.threads+float64(p.Threads) > threadsPerCore*b.total.cores
}

// slowdownOf is the learned slowdown against other engines; it compares answers with their own profile's usual,
// since priorities make profiles differ. Without news it fades, so that a shunned engine gets another chance.
func (b *Brain) slowdownOf(e *server) float64 {
	const fade = 4.0 // seconds: a few reports long
	return 1 + (e.slowdown-1)*math.Exp(-(b.now-e.slowdownAt)/fade)
}

func (b *Brain) attempt(i, k int32) {
	r, e := &b.requests.states[i], &b.servers[k]
	p := &b.profiles[r.Profile]
	b.endWait(i, p)
	r.inFlight = attempt{server: k, number: r.attempts, at: b.now, expected: r.bestTime * max(1, p.slowdown)}
	if r.attempts > 0 {
		b.retries.add(b.now, 1)
	}
	if e.openAttempts == 0 && !b.silentSinceTimeout(e) {
		e.aliveAt = b.now
	}
	r.attempts++
	e.openAttempts++
	r.threads = float64(p.Threads)
	e.addThreads(r.short, r.threads)
	b.countZoneWork(e.Zone, r.cost)
	e.probing = e.unhealthy
	if b.isCold(e) {
		e.coldWork.add(b.now, p.work)
	}
	priority := 1
	if r.short {
		priority = 3
	} else if r.benefit < p.Benefit || b.now > r.target {
		priority = 0
	}
	if b.settings.Priorities && priority != r.priority {
		r.priority = priority
		b.host.Priority(r.ID, priority, 0)
	}
	b.chargeTeam(i, b.settings.Priorities && priority == 1)
	// A trial that can't be cancelled gives up while another engine can still answer in time.
	limit := r.deadline - b.now
	if e.unhealthy && !b.settings.Cancels && p.Effect == Replayable {
		limit = min(limit, 0.6*(r.target-r.takenAt))
	}
	sendBefore := 0.0
	if r.mayHaveRun && p.Effect == Uniqued { // a repeat that arrives after the window runs again
		sendBefore = r.firstRunAt + p.Window
	}
	b.host.Send(r.ID, e.Engine, limit, sendBefore)
}

// recordOutcome settles the engine's account and takes the outcome as evidence of its health.
func (b *Brain) recordOutcome(i int32, o *Outcome) bool {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	if o.Over && !r.done {
		b.answerReceived(i, o)
		r.done = true
		b.dequeue(i)
	}
	a := r.inFlight
	if a.server < 0 || a.number != o.Send {
		return pass
	}
	e := &b.servers[a.server]
	b.reportProbe(e, o)
	b.countZoneOutcome(e, o, r)
	r.inFlight.server, e.openAttempts, e.probing = -1, e.openAttempts-1, false
	if !a.presumedLost {
		e.addThreads(r.short, -r.threads)
	}
	b.settleTeam(i, o)
	if o.End != Answered {
		r.avoidServer = a.server
		if !o.End.NeverRan() && !o.Unsent && !r.mayHaveRun {
			r.mayHaveRun, r.firstRunAt, r.firstRunZone, r.firstRunCell = true, a.at, e.Zone, e.Cell
		}
	}
	// A time-out counts where answers come but slowly, or only the lucky would; else (a lost answer, a hang)
	// refusing mends nothing. Ill and cold engines are left out.
	countsAsSlow := o.End == TimedOut && !o.Unsent && p.slowdown*b.slowdownOf(e) > pressedSlowdown && b.now-e.answeredAt <= recentSpan
	if (o.End == Answered || countsAsSlow) && !e.unhealthy && !b.isCold(e) {
		p.filling.add(o.Lag)
	}
	switch o.End {
	case Answered:
		if r.erroredOn >= 0 && r.erroredOn != a.server { // so it was the engine, not the command
			b.countFailure(&b.servers[r.erroredOn], false)
		}
		e.aliveAt, e.answeredAt = b.now, b.now
		e.failureRate *= 1 - failWeight
		work := cmp.Or(o.Work, r.cost)
		slowdown := min(o.Lag*float64(p.Threads)/max(work, 0.001), 20) // capped: one odd answer is not twenty
		b.learnWork(p, r, o, work, slowdown)
		previous := b.slowdownOf(e)
		e.slowdown, e.slowdownAt = previous+0.3*work/(work+0.5)*(slowdown/max(p.slowdown, 0.1)-previous), b.now
		if e.unhealthy {
			if e.failureRate *= 0.5; e.failureRate < 0.1 {
				e.unhealthy = false
				b.log("engine %d answers again", e.Engine)
			}
		}
	case Errored: // of the engine or of a command that none can use: whether another answers it will tell
		if r.erroredOn, r.errors = a.server, r.errors+1; e.unhealthy || !b.mayRunAgain(r, p) {
			b.countFailure(e, false)
		}
	case Unreachable, Cut: // one failed connect is enough; a drop may be the network's
		b.countFailure(e, o.End == Unreachable)
	case TurnedAway: // full: a short rest, or what it turns away comes straight back and the storm feeds itself
		e.slowdown, e.slowdownAt, e.fullUntil = max(b.slowdownOf(e), 2), b.now, b.now+0.1
	}
	if o.End == TimedOut && !o.Unsent && a.at >= e.aliveAt && b.now-a.at > 3*a.expected+0.3 {
		e.silentTimeoutAt = b.now
	}
	if o.End == TimedOut && e.unhealthy {
		b.suspect(e, "does not answer")
	}
	return pass
}

const failWeight = 0.15 // of one outcome: some seven in a row tell

func (b *Brain) countFailure(e *server, certain bool) {
	if e.failureRate += failWeight * (1 - e.failureRate); e.failureRate > 0.25 || e.unhealthy || certain {
		b.suspect(e, "fails what it is sent")
	}
}

func (b *Brain) suspect(e *server, why string) {
	const firstInterval, longestInterval = 0.5, 3.0                                // some round trips; short against the shortest troubles
	if e.probeInterval = min(e.probeInterval*1.5, longestInterval); !e.unhealthy { // single trials find out when it is back
		e.unhealthy, e.probeInterval = true, firstInterval
		b.log("engine %d %s: one trial at a time", e.Engine, why)
	}
	e.failureRate, e.nextProbeAt = max(e.failureRate, 0.4), b.now+e.probeInterval
}

func (b *Brain) log(format string, args ...any) { b.host.Log(fmt.Sprintf(format, args...)) }

// ---- upkeep

func (b *Brain) Woken(now float64, token uint64) {
	b.now = now
	if token != 0 { // a command's last moment; else the upkeep tick
		if i, ok := b.requests.at[uint32(token)]; ok && !b.requests.states[i].done && !b.requests.states[i].streaming {
			b.finishUnserved(i)
			b.dispatchQueued()
		}
		return
	}
	b.host.Wake(0.05, 0) // short against every latency target, long against the cost of a scan
	if now >= b.swapAt {
		b.rotateHistograms()
	}
	if now >= b.watchAt {
		b.watchAt = math.Inf(1)
		b.host.Watch(true)
	}
	b.requests.dropIdleKeys(now)
	b.suspectSilent()
	b.exchangeLoads()
	for k := 0; k < len(b.requests.queued); {
		i := b.requests.queued[k]
		// A held command that can no longer be in time is given up, and told so now; late at the usual slowdown as
		// far as that is the others' doing, since it will not go away when this router holds less.
		r := &b.requests.states[i]
		if now+r.bestTime*(1+(1-b.share)*max(b.profiles[r.Profile].slowdown-1, 0)) > min(r.target, r.deadline) {
			if b.cutoffPrice = min(b.cutoffPrice, r.price); b.settings.Teams != nil {
				b.settings.Teams.GaveUp(now, r.Team, r.price)
			}
			b.finishUnserved(i)
			continue
		}
		k++
	}
	b.cutoffPrice *= 1.02 // doubles in two seconds, so that the line is tried again soon
	b.dispatchQueued()
}

// rotateHistograms turns the buffers over. Part of the old is carried on, more where thin: one odd command moves p90.
func (b *Brain) rotateHistograms() {
	const carry, thin, carryThin = 0.5, 150, 0.9                                      // a common profile shows a change within two swaps
	b.swapAt += 2                                                                     // seconds, the design page's
	b.admittedWork, b.admittedSeconds = b.admittedWork*0.96, b.admittedSeconds*0.96+2 // fades over most of a minute
	for k := range b.profiles {
		p := &b.profiles[k]
		p.current, p.filling = p.filling, p.current
		if p.filling.copyScaled(&p.current, carry); p.current.n < thin {
			p.filling.copyScaled(&p.current, carryThin)
		}
	}
	if b.rejectedSinceLog > 0 && b.now >= b.logAt {
		b.log("shed %d commands, %d held", b.rejectedSinceLog, len(b.requests.queued))
		b.rejectedSinceLog, b.logAt = 0, b.now+5
	}
}

// suspectSilent finds engines that answer nothing: no answer or note for 0.6 s, and two sends far past what they
// should take. Those that left before the last sign count after 3 s only.
func (b *Brain) suspectSilent() {
	for k := range b.servers {
		b.servers[k].overdue, b.servers[k].short = 0, math.Inf(1)
	}
	for i := range b.requests.states {
		r := &b.requests.states[i]
		if s := &r.inFlight; s.server >= 0 && b.now-s.at > 3*s.expected+0.3 {
			e := &b.servers[s.server]
			if s.at >= e.aliveAt || b.now-e.aliveAt > 3 {
				e.overdue, e.short = e.overdue+1, min(e.short, s.expected)
			} else if !s.presumedLost && b.now-s.at > 6*s.expected+1 {
				s.presumedLost = true // its answer is likely lost, as later ones came: it no longer takes a place
				e.addThreads(r.short, -r.threads)
			}
		}
	}
	for k := range b.servers {
		e := &b.servers[k]
		silentAttempts := e.overdue
		if silentAttempts > 0 && b.silentSinceTimeout(e) {
			silentAttempts++
		}
		if silentAttempts >= 2 && !e.unhealthy && b.now-e.aliveAt > max(0.6, e.short) {
			b.suspect(e, "is silent")
		}
	}
}

// silentSinceTimeout tells whether the last attempt that an engine had to itself ran out of time, and no sign has come since it was sent: it
// counts beside the next one, or a router with one attempt there at a time would never suspect it. Only with a fleet, where the probes
// of a suspected engine are shared: alone, a router would suspect engines whose answers are lost now and then.
func (b *Brain) silentSinceTimeout(e *server) bool {
	return b.settings.Fleet != nil && e.State == Ready && e.silentTimeoutAt > e.aliveAt
}

func (b *Brain) Members(now float64, scope Scope, list []Entry) {
	b.now = now
	if scope == FailedAsk {
		b.watchAt = now + 1 + b.random.float() // spread, since all routers ask one service
		return
	}
	b.merge(scope, list, func(e *server) {
		// A new start: what was learned of the old process says nothing.
		e.slowdown, e.slowdownAt, e.failureRate, e.unhealthy, e.probing, e.fullUntil, e.silentTimeoutAt = 1, now, 0, false, false, 0, 0
		if e.cores = 1; e.Kind < len(b.settings.KindCores) && b.settings.KindCores[e.Kind] > 0 {
			e.cores = b.settings.KindCores[e.Kind]
		}
		const meanOthers = 4 // threads: about what the number of others' on an engine varies by
		e.randomThreads = -meanOthers * math.Log(1-b.random.float())
		e.coldWork = newWindow(max(b.settings.FallWindow, 0.001), 10)
		b.restoreServer(e)
	})
	b.dispatchQueued()
}

// Note tells of a send that is out. One far behind a fresh start and too late at its pace starts again
// elsewhere, once: a bad plan, a slow engine, or spilling. Harm: where the estimate was the fault.
func (b *Brain) Note(now float64, n Note) {
	b.now = now
	if k, ok := b.index[n.Engine]; ok {
		b.servers[k].aliveAt = now
	}
	i, ok := b.requests.at[n.ID]
	if ok && b.settings.Teams != nil && b.requests.states[i].inFlight.number == n.Send && n.Kind != Waiting {
		b.settings.Teams.Noted(i, n.Value, n.Kind == Spilling)
	}
	if !ok || n.Kind != Progressed || n.Value <= 0 || b.requests.states[i].attempts != 1 {
		return
	}
	const restartFactor = 2.0 // twice a fresh start: the pace is rough, and what is done is lost
	r := &b.requests.states[i]
	remaining := (now - r.inFlight.at) * (1 - n.Value) / n.Value
	if !r.done && b.profiles[r.Profile].Effect == Replayable && remaining > restartFactor*r.inFlight.expected && now+remaining > r.target &&
		now+r.inFlight.expected < r.deadline {
		b.cancelAttempt(r)
	}
}

const lowThreadsPerCore = 1.25 // threads a core, under those that press: 1 and 1.5 lose on one day or another

func (b *Brain) Probed(now float64, id uint32, _ End, _ float64, load *Load) {
	b.now = now
	if k, ok := b.index[id]; ok && load != nil && load.Held >= 0 {
		threads, openAttempts := b.totals() // others' commands are taken to be like ours
		e := &b.servers[k]
		// An average: all routers would rush to the engine that one old report shows emptiest.
		reportedThreads := max(load.Held-float64(e.openAttempts), 0) * (threads + 1) / (openAttempts + 1)
		e.reportedThreads += 0.3 * (reportedThreads - e.reportedThreads)
		b.othersPerCore += 0.1 * (reportedThreads/e.cores - b.othersPerCore)
		e.reportedAt = now
	}
}

func (b *Brain) Peer(now float64, from int, data []byte) {
	b.now = now
	if from >= 0 && from < len(b.peerHeardAt) && from != b.settings.Me {
		b.peerHeardAt[from] = now
		b.decodeLoads(from, data)
	}
}

// exchangeLoads tells the other routers our load, asks engines for theirs, and sums up what is known of the others.
// A router that fell silent is taken to be gone: if only cut off, it can't reach our engines either.
func (b *Brain) exchangeLoads() {
	const announceInterval, probeInterval = 0.2, 1.0 // each costs some tenths of a point a day, and loads live for seconds
	const loadLifetime = 1.5                         // seconds that word of a load counts: some messages lost in a row
	// Both follow this router's own commands, or their cost would grow with the square of the fleet: so many
	// bytesPerRequest and probesPerRequest a command cost a quarter point. What can't be told or asked while fresh is left out.
	const bytesPerRequest, probesPerRequest = 64.0, 0.5
	rate, n := 0.0, len(b.servers)
	b.worstSlowdown = 0
	for k := range b.profiles {
		b.worstSlowdown = max(b.worstSlowdown, b.profiles[k].slowdown)
		rate += b.profiles[k].received.most(b.now) / min(max(b.now-b.startedAt, 1), allowanceSpan)
	}
	if b.settings.Peers && b.now >= b.announceAt && float64(6*n*(len(b.peerHeardAt)-1)) <= bytesPerRequest*rate*loadLifetime/3 {
		b.announceAt = b.now + announceInterval
		b.message = b.encodeLoads(b.message)
		b.host.Tell(-1, b.message)
	}
	b.share = b.equalShare()
	// A router that can't ask all engines in time takes the average of a few for the rest, while that is low: it
	// lags, and all would fill what it shows free.
	if silentPeers, anyPeerHeard := b.sumOthers(b.now, loadLifetime, recentSpan, b.othersPerCore, lowThreadsPerCore); anyPeerHeard {
		b.share = 1 / float64(max(len(b.peerHeardAt)-silentPeers, 2)) // never all: it may only be this router that hears nothing
	}
	if b.total = b.healthyTotal(); !(b.total.othersKnown && b.settings.Peers) && b.total.cores > 0 {
		// Exception: an equal share holds back a router of more traffic than most. What it lets in in the long
		// run, of what the pool can do, is its part; less an equal share, since overload raises it for all.
		b.share = min(max(b.share, b.admittedWork/max(b.admittedSeconds, allowanceSpan)/b.total.cores-b.share), 1)
	}
	b.applyPriorityChanges()
	b.checkTrackedRejections()
	if b.settings.ProbeLoads && len(b.peerHeardAt) > 1 && b.now >= b.loadProbeAt && n > 0 &&
		float64(min(n, 3)) <= recentSpan*probesPerRequest*rate {
		b.loadProbeAt = b.now + max(probeInterval/float64(n), 1/(probesPerRequest*rate)) // one by one: news comes spread
		b.nextLoadProbe = (b.nextLoadProbe + 1) % n
		if e := &b.servers[b.nextLoadProbe]; e.State == Ready {
			b.host.Probe(e.Engine)
		}
	}
}

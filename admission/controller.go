// This file holds every decision on a request. A host makes one Controller per router (api.go has the interface) and
// reports events to it. A request passes the stages register, admit, order and place; each passes it on, keeps it
// queued or ends it. The outcome of an attempt passes them in reverse. The Bouncer policy decides the ordinary path.
package admission

import (
	"cmp"
	"fmt"
	"math"

	"dunereach/fleet/failover"
)

// Controller makes the admission and routing decisions of one router.
type Controller struct {
	config   Settings
	host     Host
	now      float64
	random   pcg
	requests requestSet
	profiles []profileState
	tenants  []tenantState
	pool     // servers, and the load that other routers have on them

	requestsTaken, retries            window  // requests taken, and attempts beyond each request's first
	share, fastPathLimit, cutoffPrice float64 // of each server; longest best time on the fast path; price given up in the queue
	total                             server  // this router's load on all healthy servers, and their cores
	outcome                           Outcome
	message                           []byte
	averageSlowdown                   float64                    // usual slowdown over all profiles, weighted by work
	worstSlowdown                     float64                    // highest slowdown of any profile, since a rare profile's own value may be out of date
	admittedWork, admittedSeconds     float64                    // decaying sums of the admitted work and of the seconds that it stands for
	othersPerCore                     float64                    // other routers' threads per core, averaged over load reports
	meanAttemptTime                   float64                    // mean duration of an attempt, where estimates are reported
	trackedRejections                 []trackedRejection         // rejected requests that are evaluated again, where estimates are reported
	rejections                        int                        // counts rejections on arrival, to track every trackEvery-th
	zoneOutcomes                      []failover.ZoneObservation // outcomes by zone since the last report, where the fleet has a plan
	rejectedSinceLog, nextLoadProbe   int                        // rejections since the last log line; server to probe for its load next

	startedAt, swapAt, logAt, announceAt, loadProbeAt, watchAt float64
}

const tenantDemandSpan = 5.0 // seconds: long enough for some requests of a small tenant, short compared with its surges

const allowanceSpan = 10.0 // seconds of the allowance's window: some tens of requests of a rare profile

// New returns the controller of one router.
func New(config Settings, now float64, host Host) *Controller {
	config.Routers = max(config.Routers, 1)
	if config.Teams == nil {
		config.Ageing = 0.05 // seconds of work per benefit and second of waiting
	}
	b := &Controller{config: config, host: host, now: now, random: newPCG(config.Seed), requests: newSet(),
		pool: newPool(config.Routers), share: 1 / float64(config.Routers), fastPathLimit: math.Inf(1), cutoffPrice: math.Inf(1),
		swapAt: now, startedAt: now, watchAt: math.Inf(1), othersPerCore: lowThreadsPerCore, averageSlowdown: 1}
	const fastPathShare = 0.5 // the fast path leaves half of the tightest target for contention
	for _, p := range config.Profiles {
		p.Threads = max(p.Threads, 1)
		// Buckets from 1 ms to 5 min, each 15% wider: finer than the estimates that they are compared with. Until
		// something is known, the assumed work leaves half of the target for contention.
		b.profiles = append(b.profiles, profileState{Profile: p, current: newHistogram(0.001, 300, 1.15), slowdown: 1,
			filling: newHistogram(0.001, 300, 1.15), received: newWindow(allowanceSpan, 20), admitted: newWindow(allowanceSpan, 20),
			work: p.Target / 2 * float64(p.Threads)})
		b.fastPathLimit = min(b.fastPathLimit, p.Target*fastPathShare)
	}
	for range config.Tenants {
		b.tenants = append(b.tenants, tenantState{tokens: math.Inf(1), refilledAt: now, demand: newDemandWindow(config)})
	}
	b.requestsTaken, b.retries = newWindow(max(config.BudgetWindow, 1), 50), newWindow(max(config.BudgetWindow, 1), 50)
	b.restoreBeliefs()
	if host.Wake(0, 0); config.Ask {
		host.Watch(true)
	}
	return b
}

var chain []stage

func init() { // not a literal: the stages call each other through it (chain.go runs it)
	chain = []stage{{(*Controller).register, (*Controller).finishUnresolved}, {(*Controller).admit, (*Controller).retry},
		{(*Controller).order, (*Controller).restKeyAfterOpenEnd}, {(*Controller).place, (*Controller).recordOutcome}}
}

// Request accepts one request of a client. From here on the client is owed exactly one answer.
func (b *Controller) Request(now float64, c Request) {
	b.now = now
	b.forward(b.requests.add(c), 0)
}

// Outcome reports the end of an attempt.
func (b *Controller) Outcome(now float64, o Outcome) {
	b.now, b.outcome = now, o // copied here, since a pointer to the parameter would escape to the heap
	i, ok := b.requests.at[o.ID]
	for s := len(chain) - 1; ok && s >= 0 && chain[s].back(b, i, &b.outcome); s-- {
	}
	b.dispatchQueued()
}

// ---- register: one answer for each request, before its client timeout (rule 1)

func (b *Controller) register(i int32) bool {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	r.takenAt, r.deadline, r.benefit, r.priority = b.now, b.now+r.TimeLeft, p.Benefit, 1
	b.requestsTaken.add(b.now, 1)
	if r.Tenant < len(b.tenants) {
		t, rate := &b.tenants[r.Tenant], b.config.Tenants[r.Tenant].QuotaPerS*b.quotaShare(r.Tenant)
		const depth = 5 // requests: chance clusters of a small share are no excess; for larger quotas one second's worth
		t.tokens, t.refilledAt = min(t.tokens+(b.now-t.refilledAt)*rate, max(rate, depth)), b.now
		if b.config.Fleet != nil {
			t.demand.add(b.now, 1)
		}
		if t.tokens < 1 {
			r.benefit *= b.config.OverShareBenefit
		} else {
			t.tokens--
		}
	}
	if b.estimate(r, p); r.Cost > 0 && p.estimatedWork == 0 {
		p.observeWork(r.Cost) // no answer yet: the budget of a cold server needs some estimate
	}
	if b.keyed(r) {
		b.requests.enqueueKey(i)
	}
	r.reserved = b.config.Waits != nil && b.config.Waits.RedeemReservation(b.now, r.RequestKey)
	b.host.Wake(max(r.TimeLeft-2*b.config.Tick, 0), uint64(r.ID)|1<<32) // two ticks early: a wake may come one tick late
	return pass
}

// estimate sets the expected work (the client's estimate less the profile's bias, or the usual work) and target.
func (b *Controller) estimate(r *requestState, p *profileState) {
	if r.cost = r.Cost; r.Cost <= 0 {
		r.cost = p.work
	} else if p.estimatedWork > 0 {
		r.cost *= p.measuredWork / p.estimatedWork
	}
	r.bestTime = r.cost / float64(p.Threads)
	r.target = r.takenAt + p.Target + p.Stretch*r.bestTime
	r.short = r.bestTime <= b.fastPathLimit && r.benefit == p.Benefit && (b.config.Teams == nil || b.config.Teams.MayUseFastPath(r.Team))
	r.price = r.cost / max(r.benefit, 1e-9)
	r.rank = r.price + b.config.Ageing*r.takenAt // lowest work per benefit first; waiting time lowers the rank
}

// finishUnresolved ends a request that has no attempt in flight and no retry ahead.
func (b *Controller) finishUnresolved(i int32, o *Outcome) bool {
	if r := &b.requests.states[i]; !r.done && r.inFlight.server < 0 {
		b.finishUnserved(i)
	} else {
		b.releaseIfDone(i)
	}
	return ended
}

// finishUnserved gives the final answer at once: a rejection where a retry is harmless (rule 2), else a failure.
func (b *Controller) finishUnserved(i int32) {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	if riskAt, risk := r.earliestPossibleRun(); p.Effect == Idempotent || !risk ||
		p.Effect == IdempotentByKey && p.Group == GroupAll && b.now < riskAt+p.Window {
		b.rejectedSinceLog++
		b.host.Reject(r.ID, b.retryPause(r, p))
	} else {
		b.host.Fail(r.ID)
	}
	b.complete(i)
}

// complete ends a request: it leaves the queue, and its attempt is cancelled.
func (b *Controller) complete(i int32) {
	b.requests.states[i].done = true
	b.dequeue(i)
	if b.config.Waits != nil {
		b.config.Waits.RequestAbandoned(b.now, i)
	}
	b.cancelAttempt(&b.requests.states[i])
	b.releaseIfDone(i)
}

func (b *Controller) cancelAttempt(r *requestState) {
	switch {
	case r.inFlight.server < 0 || r.inFlight.cancelRequested || r.streaming:
	case b.config.Cancels:
		r.inFlight.cancelRequested = true
		b.host.Cancel(r.ID, r.inFlight.number)
	default: // an attempt that still waits for its connection has run nowhere
		b.host.Withdraw(r.ID, r.inFlight.number)
	}
}

// releaseIfDone frees a request that has its answer and no attempt in flight, and advances the queue of its key.
func (b *Controller) releaseIfDone(i int32) {
	switch r := &b.requests.states[i]; {
	case !r.done || r.inFlight.server >= 0:
	case b.keyed(r):
		b.requests.advanceKey(r.Key)
	default:
		b.requests.release(i)
	}
}

// ClientLeft reports that the client no longer waits for an answer.
func (b *Controller) ClientLeft(now float64, id uint32) {
	b.now = now
	if i, ok := b.requests.at[id]; ok && !b.requests.states[i].done {
		b.complete(i)
		b.dispatchQueued()
	}
}

// HalfClosed reports that the client closed its sending side: it has left, or it still reads. A final answer serves
// both: at once if no attempt is in flight, else by that attempt. Drawback: a queued client that reads is rejected.
func (b *Controller) HalfClosed(now float64, id uint32) {
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

// StreamStarted reports that the answer is being streamed to the client. From now on no timeout applies.
func (b *Controller) StreamStarted(now float64, id uint32, _ int) {
	b.now = now
	if i, ok := b.requests.at[id]; ok {
		b.requests.states[i].streaming = true
	}
}

// ---- admit: Bouncer's estimate on arrival, with its acceptance allowance

func (b *Controller) admit(i int32) bool {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	const allowance = 0.03 // A of the Bouncer paper, at the paper's upper value
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

// estimatesMeetTargets compares p50 and p90 with the latency target and the client timeout, and the wait with both.
func (b *Controller) estimatesMeetTargets(r *requestState, p *profileState) bool {
	if p.current.n < 20 { // samples, as in the design document
		return true
	}
	wait, k := 0.0, b.chooseServer(r)
	if k >= 0 && !b.pressed(p, &b.servers[k]) {
		// Exception: while a server has spare capacity, a rejection protects nobody, so p90 alone does not reject (few
		// samples, short client timeouts). It ends as soon as the servers are pressed.
		return r.bestTime <= r.TimeLeft || p.current.quantile(0.9) <= r.TimeLeft
	}
	target := r.target - b.now
	if !r.short && k < 0 {
		// Exception: a request that would only be given up in the queue is rejected now, judged by its wait or by the
		// price of requests that were just given up.
		if wait = b.queueWait(r) + b.reservedWait(r); wait+r.bestTime > target || r.price >= b.cutoffPriceFor(r) {
			return false
		}
	}
	return wait+p.current.quantile(0.5) <= max(target, r.TimeLeft/2) && wait+p.current.quantile(0.9) <= r.TimeLeft
}

// timeUntilAdmitted is the time until a request that is rejected now would be admitted if no other arrived.
func (b *Controller) timeUntilAdmitted(r *requestState, p *profileState) float64 {
	const doublingTime = 1.75 // seconds in which the cutoff price doubles
	wait, target := b.queueWait(r), r.target-r.takenAt
	excess := max(wait+r.bestTime-target, wait+p.current.quantile(0.5)-max(target, r.TimeLeft/2), wait+p.current.quantile(0.9)-r.TimeLeft, 0)
	return max(excess, doublingTime*math.Log2(max(r.price/b.cutoffPriceFor(r), 1)))
}

// cutoffPriceFor is the price from which a request is rejected because queued requests of that price were given up, in
// its own team where there are teams. A request that arrives at its reserved time has none.
func (b *Controller) cutoffPriceFor(r *requestState) float64 {
	switch {
	case r.reserved:
		return math.Inf(1)
	case b.config.Teams != nil:
		return b.config.Teams.RejectionPrice(b.now, r.Team)
	}
	return b.cutoffPrice
}

// queueWait is the wait for the queued work that leaves before a request, over this router's slots.
func (b *Controller) queueWait(request *requestState) float64 {
	work := 0.0
	if b.config.Teams != nil {
		work = b.config.Teams.WorkQueuedBefore(request.Team, request.rank) * b.averageSlowdown
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

// learnWork updates the usual work and slowdown by a completed request.
func (b *Controller) learnWork(p *profileState, r *requestState, o *Outcome, work, slowdown float64) {
	if o.Work > 0 && r.Cost > 0 { // the sums decay over some hundred answers: the bias belongs to the profile and is steady
		p.estimatedWork, p.measuredWork = p.estimatedWork*0.99+r.Cost, p.measuredWork*0.99+work
	}
	p.observeWork(work)
	b.averageSlowdown += 0.05 * min(work/max(p.work, 0.001), 3) * min(work, 1) * (slowdown - b.averageSlowdown)
	p.slowdown += 0.05 * min(work/max(p.work, 0.001), 3) * (slowdown - p.slowdown) // by work: tiny requests are mostly overhead
}

func (p *profileState) observeWork(work float64) {
	p.samples = min(p.samples+1, 100) // averaged over about a hundred values at most
	p.work += (work - p.work) / p.samples
}

// retry queues a request for another attempt, where the rules and the time left allow one.
func (b *Controller) retry(i int32, o *Outcome) bool {
	r := &b.requests.states[i]
	const errors = 2 // two servers do not fail by chance: more attempts would only spread a request that no server can execute
	if r.done || r.halfClosed || r.inFlight.server >= 0 || b.now+r.bestTime > r.deadline || r.errors >= errors ||
		b.config.MaxSends > 0 && r.attempts >= b.config.MaxSends || !b.mayRunAgain(r, &b.profiles[r.Profile]) {
		return pass
	}
	b.enqueue(i)
	return keep
}

// mayRunAgain applies rule 2: a request that may have run runs again only if that is harmless.
func (b *Controller) mayRunAgain(r *requestState, p *profileState) bool {
	return !r.mayHaveRun || p.Effect == Idempotent || p.Effect == IdempotentByKey && b.now < r.firstRunAt+p.Window
}

// ---- order: one request at a time per key, in the order of arrival (rule 5)

func (b *Controller) keyed(r *requestState) bool { return b.profiles[r.Profile].Ordered && r.Key != 0 }

func (b *Controller) order(i int32) bool {
	if r := &b.requests.states[i]; b.keyed(r) {
		if q := b.requests.byKey[r.Key]; q.head != i || b.now < q.restUntil {
			b.enqueue(i)
			return keep
		}
	}
	return pass
}

// restKeyAfterOpenEnd delays the next request of a key after an attempt that may still be running.
func (b *Controller) restKeyAfterOpenEnd(i int32, o *Outcome) bool {
	r := &b.requests.states[i]
	if b.keyed(r) && (o.End == TimedOut || o.End == ConnectionLost || o.End == Cancelled) {
		b.requests.restKey(r.Key, b.now+b.config.KeyRest)
	}
	return pass
}

// ---- place: the server with the fewest threads per core that no rule excludes

func (b *Controller) place(i int32) bool {
	if k := b.chooseServer(&b.requests.states[i]); k >= 0 {
		b.dequeue(i)
		b.attempt(i, k)
		return ended
	}
	b.enqueue(i)
	return keep
}

const recentSpan = 3.0 // seconds for which an answer or a load report counts as recent

// chooseServer returns the index of the server for the next attempt of a request, or -1.
func (b *Controller) chooseServer(r *requestState) int32 {
	p := &b.profiles[r.Profile]
	// Rules 2 and 7, and one attempt at a time, whether or not concurrent copies are allowed.
	if r.inFlight.server >= 0 || !b.mayRunAgain(r, p) || r.attempts > 0 && b.config.BudgetWindow > 0 &&
		b.retries.most(b.now)+1 > b.config.BudgetFree+b.config.BudgetShare*b.requestsTaken.least(b.now) {
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
			// A random number stands for the unknown threads of other routers; without it all routers would send to the
			// larger servers first. It is drawn once per server: a router keeps to the servers that it knows, and many
			// routers together distribute load by the cores.
			score -= (1 - b.share) * float64(p.Threads)
			if !b.cold(e) { // its budget limits the others, and an unused turn is lost
				score += (1 - b.share) * e.randomThreads
			}
		}
		score *= b.slowdownOf(e) / e.cores
		if price, ok := b.zonePrice(e.Zone, r.cost); ok && !e.unhealthy { // probes find out when a zone is available again
			score += price // the shares that the fleet agreed on, in place of the default price
		} else if crossZonePrice := 0.2; e.Zone != b.config.Zone { // another zone must be this much emptier, for the delay
			if unsure {
				crossZonePrice *= min(max(3-2*b.worstSlowdown, 0), 1) // not while answers, most of them from this zone, are slow by half
			}
			score += crossZonePrice
		}
		switch {
		case int32(k) == r.avoidServer:
			score += 1000 // any other server first
		case !r.short && (e.overdue > 0 || b.now-e.answeredAt > recentSpan):
			score += 0.5 // a long request goes to a server that answered recently; short ones find out which servers respond
		}
		if score < least {
			best, least = int32(k), score
		}
	}
	return best
}

// placementAllowed applies the rules on where an attempt may run (2, 3, 4 and 6).
func (b *Controller) placementAllowed(r *requestState, p *profileState, e *server) bool {
	if e.State != Ready || !permitted(p.Zones, e.Zone) || !permitted(p.Kinds, e.Kind) ||
		r.mayHaveRun && p.Effect == IdempotentByKey && (p.Group == GroupZone && e.Zone != r.firstRunZone ||
			p.Group == GroupCell && e.Cell != r.firstRunCell) {
		return false
	}
	return !b.cold(e) || e.coldWork.most(b.now)+p.work <= b.coldBudget(e)
}

// coldMargin covers a slow server, routers that learn of a start late, and a burst at the start.
const coldMargin = 0.5

const (
	// Where turns come too seldom, smaller requests use equal shares of one part of the budget, and all requests take
	// turns in the other part. In one window the shares use up their part and the turns one and a half times theirs.
	// Both together stay within one and a half budgets, as with turns alone.
	coldByShares = 0.5
	coldByTurns  = 2.0 / 3
)

// coldWindow is the work that all routers together may send to a cold server in one window.
func (b *Controller) coldWindow(e *server) float64 {
	ramp := (b.now - e.ReadyAt) / b.config.WarmUp
	return b.config.FallMultiple * e.cores * coldMargin * (b.config.ColdFrom + (1-b.config.ColdFrom)*ramp*ramp) * b.config.FallWindow
}

// coldBudget is this router's share of the work that a cold server accepts in one window (rule 4). The server does not
// report its ramp; a late one is assumed, by the square of the age. The margin covers a slow server, routers that have
// not yet been notified and a burst at the start. A share that is too small for one request of the fast path is used in
// turns: the budget since the start is cut into pieces of one request, and each piece belongs to one router for half a
// window. All together stay within one and a half budgets. Where the warm-up is too short for a turn for each router,
// which all routers compute alike, a part of the budget is used in equal shares.
func (b *Controller) coldBudget(e *server) float64 {
	fullRate := b.config.FallMultiple * e.cores * coldMargin
	budget := func(age float64) float64 { // the budget up to an age
		age = max(age, 0)
		return fullRate * (b.config.ColdFrom*age + (1-b.config.ColdFrom)*age*age*age/(3*b.config.WarmUp*b.config.WarmUp))
	}
	age, n := b.now-e.ReadyAt, float64(b.config.Routers)
	window := b.coldWindow(e)
	if granted, ok := b.coldShare(e); ok { // granted by need for all routers: the sum of all shares is never over one
		return window * granted
	} else if share := window / n; share >= b.fastPathLimit {
		return share
	}
	turnPart, share := 1.0, 0.0
	if budget(b.config.WarmUp) < n*b.fastPathLimit {
		turnPart, share = coldByTurns, coldByShares*window/n
	}
	first := float64((uint32(b.config.Me) + e.Server) % uint32(b.config.Routers)) // another router at each server
	turns := func(age float64) float64 { return math.Floor((turnPart*budget(age)/b.fastPathLimit - first) / n) }
	countedFrom := max(age-b.config.FallWindow/2, b.startedAt-e.ReadyAt) // the previous process may have used the turn at the start
	turn := (turns(age) - turns(countedFrom)) * b.fastPathLimit
	if e.coldWork.most(b.now) > 0 { // a server may accept less in a window than a turn: then one request, or as many smaller ones
		turn = min(turn, window)
	}
	return max(share, turn)
}

// reportNeeds reports the needed shares of the fleet's totals: of a cold server by the work admitted here and the
// server's part of the pool, at least the smallest usual work of a profile; of a quota by the tenant's recent demand.
func (b *Controller) reportNeeds(u NeedsSink) {
	rate, least := 0.0, b.fastPathLimit
	for k := range b.profiles {
		rate += b.profiles[k].received.most(b.now) / min(max(b.now-b.startedAt, 1), allowanceSpan) * b.profiles[k].work
		least = min(least, b.profiles[k].work)
	}
	for k := range b.servers {
		e := &b.servers[k]
		if e.State == Ready && e.unhealthy {
			u.Suspected(e.Server, e.Zone, e.ReadyAt)
		}
		if e.State == Ready && b.cold(e) {
			window := max(b.coldWindow(e), 1e-9)
			u.Cold(e.Server, e.Zone, e.ReadyAt, rate*b.config.FallWindow*e.cores/max(b.total.cores, e.cores)/window, least/window)
		}
	}
	for k := range b.tenants {
		if t := &b.tenants[k]; b.config.Tenants[k].QuotaPerS > 0 {
			u.Tenant(k, t.demand.most(b.now)/tenantDemandSpan/b.config.Tenants[k].QuotaPerS)
		}
	}
}

func (b *Controller) cold(e *server) bool { return e.ReadyAt > 0 && b.now < e.ReadyAt+b.config.WarmUp }

// hasSlot limits the threads on a server, which binds only under pressure, and the probes of unhealthy servers.
func (b *Controller) hasSlot(r *requestState, p *profileState, e *server) bool {
	if e.unhealthy { // a probe is a short idempotent request; if none comes for a second, any request
		probeAt := b.nextProbeAt(e)
		return !e.probing && b.now >= probeAt && (r.short && p.Effect == Idempotent || b.now >= probeAt+1)
	}
	// The slots of the pool bind too, or hundreds of routers with one request each would fill every server.
	return !b.pressed(p, e) || b.withinSlots(e, r.short, p.Threads) && b.withinSlots(&b.total, r.short, p.Threads)
}

// withinSlots reports whether a request fits. One request always fits, so that a share of less than a thread is usable.
func (b *Controller) withinSlots(e *server, short bool, threads int) bool {
	need, slots := float64(threads), b.slots(e)
	if short { // beyond the full slots, but bounded; long requests can't take the threads reserved for short ones
		reserved := 0.6 * e.cores * b.share
		if e == &b.total { // the whole set over the pool: where routers are few, a single server's limit binds first
			reserved = slots
		}
		slots = max(1.5*slots, e.threads-e.fastPathThreads+max(need, reserved))
	}
	return e.threads == 0 || e.threads+need <= slots
}

// slots is the number of threads that this router may use on a server.
func (b *Controller) slots(e *server) float64 {
	const slotsPerCore = 1.7 // one per core would leave cores idle while threads read from disk
	if e.otherThreads == 0 {
		return e.cores * slotsPerCore * b.share
	}
	return max(e.cores*slotsPerCore-e.otherThreads, e.cores*slotsPerCore*b.share)
}

const pressedSlowdown = 2.2 // slowdown over the best time from which a server is pressed: tiny requests run at 2 under light load

// pressed reports whether a server is under pressure: slow answers there or of any profile, or too many threads.
func (b *Controller) pressed(p *profileState, e *server) bool {
	threadsPerCore := 1.5
	if !e.othersKnown { // for the others' load: twice an equal share, or many routers would fill a server before answers show it
		threadsPerCore *= min(1, 2*b.share)
	}
	return max(p.slowdown*b.slowdownOf(e), b.worstSlowdown) > pressedSlowdown ||
		e.threads+e.otherThreads >= max(threadsPerCore*e.cores, 1) ||
		!e.othersKnown && b.total.threads+float64(p.Threads) > threadsPerCore*b.total.cores
}

// slowdownOf is a server's slowdown compared with others. Answers are compared with the usual ones of their profile, as
// priorities make profiles differ. Without new answers it decays, so that an avoided server is used again.
func (b *Controller) slowdownOf(e *server) float64 {
	const fade = 4.0 // seconds: a few report intervals
	return 1 + (e.slowdown-1)*math.Exp(-(b.now-e.slowdownAt)/fade)
}

// attempt starts an attempt of a request on a server.
func (b *Controller) attempt(i, k int32) {
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
	if b.cold(e) {
		e.coldWork.add(b.now, p.work)
	}
	priority := 1
	if r.short {
		priority = 3
	} else if r.benefit < p.Benefit || b.now > r.target {
		priority = 0
	}
	if b.config.Priorities && priority != r.priority {
		r.priority = priority
		b.host.Priority(r.ID, priority, 0)
	}
	b.chargeTeam(i, b.config.Priorities && priority == 1)
	// A probe that can't be cancelled times out while another server can still answer in time.
	limit := r.deadline - b.now
	if e.unhealthy && !b.config.Cancels && p.Effect == Idempotent {
		limit = min(limit, 0.6*(r.target-r.takenAt))
	}
	sendBefore := 0.0
	if r.mayHaveRun && p.Effect == IdempotentByKey { // a repeat that arrives after the deduplication window would run again
		sendBefore = r.firstRunAt + p.Window
	}
	b.host.Send(r.ID, e.Server, limit, sendBefore)
}

// recordOutcome updates the server's load and takes the outcome as evidence of its health.
func (b *Controller) recordOutcome(i int32, o *Outcome) bool {
	r := &b.requests.states[i]
	p := &b.profiles[r.Profile]
	if o.Final && !r.done {
		b.answerReceived(i, o)
		r.done = true
		b.dequeue(i)
	}
	a := r.inFlight
	if a.server < 0 || a.number != o.Attempt {
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
	if o.End != Completed {
		r.avoidServer = a.server
		if !o.End.NeverRan() && !o.Unsent && !r.mayHaveRun {
			r.mayHaveRun, r.firstRunAt, r.firstRunZone, r.firstRunCell = true, a.at, e.Zone, e.Cell
		}
	}
	// A timeout counts as a processing time where answers come, but slowly, or only the fast ones would count. In other
	// cases (a lost answer, a hang) rejecting does not help. Unhealthy and cold servers are left out.
	countsAsSlow := o.End == TimedOut && !o.Unsent && p.slowdown*b.slowdownOf(e) > pressedSlowdown && b.now-e.answeredAt <= recentSpan
	if (o.End == Completed || countsAsSlow) && !e.unhealthy && !b.cold(e) {
		p.filling.add(o.Latency)
	}
	switch o.End {
	case Completed:
		if r.erroredOn >= 0 && r.erroredOn != a.server { // the server was at fault, not the request
			b.countFailure(&b.servers[r.erroredOn], false)
		}
		e.aliveAt, e.answeredAt = b.now, b.now
		e.failureRate *= 1 - failWeight
		work := cmp.Or(o.Work, r.cost)
		slowdown := min(o.Latency*float64(p.Threads)/max(work, 0.001), 20) // capped: a single outlier must not count as twenty
		b.learnWork(p, r, o, work, slowdown)
		previous := b.slowdownOf(e)
		e.slowdown, e.slowdownAt = previous+0.3*work/(work+0.5)*(slowdown/max(p.slowdown, 0.1)-previous), b.now
		if e.unhealthy {
			if e.failureRate *= 0.5; e.failureRate < 0.1 {
				e.unhealthy = false
				b.log("engine %d answers again", e.Server)
			}
		}
	case Errored: // the server or a request that no server can execute: the outcome on another server will show which
		if r.erroredOn, r.errors = a.server, r.errors+1; e.unhealthy || !b.mayRunAgain(r, p) {
			b.countFailure(e, false)
		}
	case Unreachable, ConnectionLost: // one failed connection attempt is enough; a dropped connection may be the network's fault
		b.countFailure(e, o.End == Unreachable)
	case Rejected: // the server is full: a short pause, or its rejected requests return at once and increase the overload
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

// failWeight is the weight of one outcome in a server's failure rate, which reflects about the last seven outcomes.
const failWeight = 0.15

// countFailure counts a failed attempt and suspects the server if its failure rate is high or the failure is certain.
func (b *Controller) countFailure(e *server, certain bool) {
	if e.failureRate += failWeight * (1 - e.failureRate); e.failureRate > 0.25 || e.unhealthy || certain {
		b.suspect(e, "fails what it is sent")
	}
}

// suspect takes a server out of normal use; it receives one probe at a time.
func (b *Controller) suspect(e *server, why string) {
	const firstInterval, longestInterval = 0.5, 3.0                                // seconds: some round trips; short against the shortest outages
	if e.probeInterval = min(e.probeInterval*1.5, longestInterval); !e.unhealthy { // single probes find out when it is available again
		e.unhealthy, e.probeInterval = true, firstInterval
		b.log("engine %d %s: one trial at a time", e.Server, why)
	}
	e.failureRate, e.nextProbeAt = max(e.failureRate, 0.4), b.now+e.probeInterval
}

func (b *Controller) log(format string, args ...any) { b.host.Log(fmt.Sprintf(format, args...)) }

// ---- maintenance

// AwaitsWake reports whether a wake with a token would have an effect. Its host may drop a timer for which it would not.
func (b *Controller) AwaitsWake(token uint64) bool {
	if token == 0 {
		return true
	}
	i, ok := b.requests.at[uint32(token)]
	return ok && !b.requests.states[i].done && !b.requests.states[i].streaming
}

// Woken handles a timer that was set with Host.Wake.
func (b *Controller) Woken(now float64, token uint64) {
	b.now = now
	if token != 0 { // the time limit of a request; else the maintenance tick
		if b.AwaitsWake(token) {
			b.finishUnserved(b.requests.at[uint32(token)])
			b.dispatchQueued()
		}
		return
	}
	b.host.Wake(0.05, 0) // seconds: short compared with every latency target, long compared with the cost of a scan
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
		// A queued request that can no longer meet its target is given up and answered now. The usual slowdown counts
		// as far as other routers cause it, since that part does not shrink when this router queues less.
		r := &b.requests.states[i]
		if now+r.bestTime*(1+(1-b.share)*max(b.profiles[r.Profile].slowdown-1, 0)) > min(r.target, r.deadline) {
			if b.cutoffPrice = min(b.cutoffPrice, r.price); b.config.Teams != nil {
				b.config.Teams.RequestGivenUp(now, r.Team, r.price)
			}
			b.finishUnserved(i)
			continue
		}
		k++
	}
	b.cutoffPrice *= 1.02 // doubles in about two seconds, so that the queue soon accepts requests again
	b.dispatchQueued()
}

// rotateHistograms carries a part of the old counts over, more where there are few: one outlier would move p90.
func (b *Controller) rotateHistograms() {
	const carry, thin, carryThin = 0.5, 150, 0.9                                      // a frequent profile shows a change within two rotations
	b.swapAt += 2                                                                     // seconds, as in the design document
	b.admittedWork, b.admittedSeconds = b.admittedWork*0.96, b.admittedSeconds*0.96+2 // decays over most of a minute
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

// suspectSilent finds servers that answer nothing: no answer or progress for 0.6 s, and two attempts far over their
// expected time. Attempts sent before the last sign of life count after 3 s only.
func (b *Controller) suspectSilent() {
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
				s.presumedLost = true // its answer is probably lost, as later ones arrived: it no longer takes a slot
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

// silentSinceTimeout reports whether the last attempt that was alone on a server timed out without a sign of life
// since. It counts beside the next one, or a router with one attempt at a time there would never suspect the server.
// Only with a fleet, where probes are shared: a lone router would suspect servers that lose an answer now and then.
func (b *Controller) silentSinceTimeout(e *server) bool {
	return b.config.Fleet != nil && e.State == Ready && e.silentTimeoutAt > e.aliveAt
}

// UpdateServers reports a change of the list of servers.
func (b *Controller) UpdateServers(now float64, scope Scope, list []Entry) {
	b.now = now
	if scope == ListUnavailable {
		b.watchAt = now + 1 + b.random.float() // randomized, since all routers query the same service
		return
	}
	b.merge(scope, list, func(e *server) {
		// After a new start, everything learned about the old process is void.
		e.slowdown, e.slowdownAt, e.failureRate, e.unhealthy, e.probing, e.fullUntil, e.silentTimeoutAt = 1, now, 0, false, false, 0, 0
		if e.cores = 1; e.Kind < len(b.config.KindCores) && b.config.KindCores[e.Kind] > 0 {
			e.cores = b.config.KindCores[e.Kind]
		}
		const meanOthers = 4 // threads: about the variation in the number of other routers' threads on a server
		e.randomThreads = -meanOthers * math.Log(1-b.random.float())
		e.coldWork = newWindow(max(b.config.FallWindow, 0.001), 10)
		b.restoreServer(e)
	})
	b.dispatchQueued()
}

// Progress reports on an attempt in flight. An attempt that is far slower than a new one, and too late at its pace, is
// retried elsewhere, once: a bad plan, a slow server, or spilling. Drawback: lost work where the estimate was wrong.
func (b *Controller) Progress(now float64, n Progress) {
	b.now = now
	if k, ok := b.index[n.Server]; ok {
		b.servers[k].aliveAt = now
	}
	i, ok := b.requests.at[n.ID]
	if ok && b.config.Teams != nil && b.requests.states[i].inFlight.number == n.Attempt && n.Kind != Waiting {
		b.config.Teams.ReportProgress(i, n.Value, n.Kind == Spilling)
	}
	if !ok || n.Kind != ShareDone || n.Value <= 0 || b.requests.states[i].attempts != 1 {
		return
	}
	const restartFactor = 2.0 // at least twice the time of a new attempt: the pace is imprecise, and the work done is lost
	r := &b.requests.states[i]
	remaining := (now - r.inFlight.at) * (1 - n.Value) / n.Value
	if !r.done && b.profiles[r.Profile].Effect == Idempotent && remaining > restartFactor*r.inFlight.expected && now+remaining > r.target &&
		now+r.inFlight.expected < r.deadline {
		b.cancelAttempt(r)
	}
}

// lowThreadsPerCore is below the load at which servers are pressed; 1 and 1.5 each perform worse on some workloads.
const lowThreadsPerCore = 1.25

// Probed reports the answer to Host.Probe.
func (b *Controller) Probed(now float64, id uint32, _ End, _ float64, load *Load) {
	b.now = now
	if k, ok := b.index[id]; ok && load != nil && load.Requests >= 0 {
		threads, openAttempts := b.totals() // the other routers' requests are assumed to have as many threads as ours
		e := &b.servers[k]
		// An average: otherwise all routers would send to the server that one old report shows as the emptiest.
		reportedThreads := max(load.Requests-float64(e.openAttempts), 0) * (threads + 1) / (openAttempts + 1)
		e.reportedThreads += 0.3 * (reportedThreads - e.reportedThreads)
		b.othersPerCore += 0.1 * (reportedThreads/e.cores - b.othersPerCore)
		e.reportedAt = now
	}
}

// exchangeLoads sends our load to the other routers, requests the load of servers, and sums up the load of others. A
// router that fell silent is taken to be gone: if it is only cut off from us, it can't reach our servers either.
func (b *Controller) exchangeLoads() {
	const announceInterval, probeInterval = 0.2, 1.0 // seconds: each costs some tenths of a point a day; loads are valid for seconds
	const loadLifetime = 1.5                         // seconds for which another router's load is valid: some messages lost in a row
	// Both follow this router's own requests, or their cost would grow with the square of the number of routers. These
	// values cost a quarter of a point. Loads that can't be exchanged while they are valid are left out.
	const bytesPerRequest, probesPerRequest = 64.0, 0.5
	rate, n := 0.0, len(b.servers)
	b.worstSlowdown = 0
	for k := range b.profiles {
		b.worstSlowdown = max(b.worstSlowdown, b.profiles[k].slowdown)
		rate += b.profiles[k].received.most(b.now) / min(max(b.now-b.startedAt, 1), allowanceSpan)
	}
	if b.config.Peers && b.now >= b.announceAt && float64(6*n*(len(b.peerHeardAt)-1)) <= bytesPerRequest*rate*loadLifetime/3 {
		b.announceAt = b.now + announceInterval
		b.message = b.encodeLoads(b.message)
		b.host.SendToPeer(-1, b.message)
	}
	b.share = b.equalShare()
	// A router that can't query all servers in time uses the average of a few for the rest, while that average is low:
	// it lags behind, and all routers would fill the servers that it shows as free.
	if silentPeers, anyPeerHeard := b.sumOthers(b.now, loadLifetime, recentSpan, b.othersPerCore, lowThreadsPerCore); anyPeerHeard {
		b.share = 1 / float64(max(len(b.peerHeardAt)-silentPeers, 2)) // never all: it may be this router alone that receives nothing
	}
	if b.total = b.healthyTotal(); !(b.total.othersKnown && b.config.Peers) && b.total.cores > 0 {
		// Exception: an equal share holds back a router with much traffic. Its share is its admitted work in the long
		// run as a part of the pool's capacity, less an equal share, since overload raises the value for all.
		b.share = min(max(b.share, b.admittedWork/max(b.admittedSeconds, allowanceSpan)/b.total.cores-b.share), 1)
	}
	b.applyPriorityChanges()
	b.checkTrackedRejections()
	if b.config.ProbeLoads && len(b.peerHeardAt) > 1 && b.now >= b.loadProbeAt && n > 0 &&
		float64(min(n, 3)) <= recentSpan*probesPerRequest*rate {
		b.loadProbeAt = b.now + max(probeInterval/float64(n), 1/(probesPerRequest*rate)) // one at a time, to spread load changes over time
		b.nextLoadProbe = (b.nextLoadProbe + 1) % n
		if e := &b.servers[b.nextLoadProbe]; e.State == Ready {
			b.host.Probe(e.Server)
		}
	}
}

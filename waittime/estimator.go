// Package waittime predicts how long requests will wait, as told to clients, and reserves capacity for rejected clients at the time
// at which they were told to return. It takes the controller's own estimate (work queued before the request over thread places) as
// a base, corrects it by what happened to earlier requests of the same team and profile, and gives a median and a 90th percentile.
//
// The package does no I/O and has no clock. Times are seconds.
//
// The correction is a running quantile of the logarithm of actual over predicted time (stochastic approximation, Robbins and Monro
// 1951; as an online guarantee of coverage: Gibbs and Candes, "Adaptive Conformal Inference Under Distribution Shift", 2021):
// whatever the base leaves out, half of the waits come to lie under the median and nine in ten under the 90th percentile.
package waittime

import (
	"cmp"
	"math"
	"slices"
)

// Estimate is the median and the 90th percentile of a time, in seconds from when it is made.
type Estimate struct{ P50, P90 float64 }

// Kind is what a time is predicted for.
type Kind uint8

// The kinds of times.
const (
	Start  Kind = iota // until the first attempt begins
	Answer             // until the request completes
	Return             // until a retry of the rejected request would be admitted
	kinds
)

// String returns the kind's name in the log.
func (k Kind) String() string { return [...]string{"start", "answer", "return"}[k] }

// tracker follows two quantiles of the logarithm of actual over predicted time.
type tracker struct{ n, q50, q90, dev float64 }

// Constants of learning.
const (
	resolution    = 0.02         // seconds: smaller differences do not matter to a client
	poolingCount  = 10           // observations at which a team's own correction weighs as much as that of all teams of its profile
	initialSpread = math.Ln2 / 1 // of the 90th percentile over the median before anything is known: double
	minTailCount  = 30           // observations from which the 90th percentile is tracked by itself
	minStep       = 0.04         // weight of one observation in the long run: about the last 25 count
)

// learn takes in one logarithm. above: the true value is greater than z by an unknown amount.
func (t *tracker) learn(z float64, censored bool) {
	if censored && z <= t.q50 {
		return // it could be on either side of both
	}
	t.n++
	step := max(1.5/(t.n+3), minStep) * 2 * max(t.dev, 0.05)
	if !censored {
		t.dev += max(1/t.n, 0.05) * (math.Abs(z-t.q50) - t.dev)
	}
	t.q50 += step * quantileStep(0.5, z <= t.q50 && !censored)
	if !censored || z > t.q90 {
		t.q90 += step * quantileStep(0.9, z <= t.q90 && !censored)
	}
	if t.n < minTailCount { // a few say little of a tenth: as if they were normal, whose deviations are 0.8 of the spread in the mean
		t.q90 = t.q50 + 1.28/0.8*t.dev
	}
	t.q90 = max(t.q90, t.q50)
}

// quantileStep is the direction and weight of a step toward the quantile q.
func quantileStep(q float64, under bool) float64 {
	if under {
		return q - 1
	}
	return q
}

// cell holds the corrections of one team and profile.
type cell struct {
	team, profile int
	lastUsed      uint64
	trackers      [kinds]tracker
}

// prediction is what a client was told and what is still open of it.
type prediction struct {
	team, profile int
	at            float64
	base          [2]float64 // of Start and Answer
	estimates     [2]Estimate
	pending       [2]bool
}

// Accuracy is how predictions compared with actual times since the last audit.
type Accuracy struct {
	Count   int     // of predictions whose outcome is known
	Ratio   float64 // running median of actual time over the predicted median
	Covered float64 // fraction at or under the predicted 90th percentile
}

// accuracyCounts collect the accuracy of one team and kind.
type accuracyCounts struct {
	n, covered int
	ratio      tracker
}

// Estimator holds one router's predictions and reservations. It is not safe for concurrent use.
type Estimator struct {
	cells            []cell // a hash table by team and profile; the least recently used make room
	all              []cell // by profile, over all teams
	useCounter       uint64
	predictions      []prediction // by the request's slot
	reservations     []reservation
	outcomes         map[int]*[kinds]accuracyCounts
	redeemedFraction float64 // fraction of reservations that were redeemed
	maxPause         float64 // longest pause that clients honor
}

// Bounds.
const (
	maxCells         = 4096 // teams and profiles that wait at the same time; 400 bytes each
	probeLength      = 8    // slots of the table that are tried for a key
	maxAccuracyTeams = 1024 // as many as an operator can read
	maxReservations  = 1024 // at a hundred rejections a second, more than any client's longest pause holds
)

// New returns an estimator for a number of profiles. longest is the longest pause in seconds that clients honor; 0: they are told
// none.
func New(profiles int, longestPause float64) *Estimator {
	e := &Estimator{all: make([]cell, profiles), outcomes: map[int]*[kinds]accuracyCounts{}, maxPause: longestPause, redeemedFraction: 0.5}
	for k := range e.all {
		e.all[k] = newCell(-1, k)
	}
	return e
}

// newCell returns a cell with no observations.
func newCell(team, profile int) cell {
	c := cell{team: team, profile: profile}
	for k := range c.trackers {
		c.trackers[k] = tracker{q90: initialSpread, dev: 0.3}
	}
	return c
}

// cell returns the cell of a team and profile. A new one takes the place of the least recently used of those that its key may have.
func (e *Estimator) cell(team, profile int) *cell {
	e.useCounter++
	if e.cells == nil {
		e.cells = make([]cell, maxCells)
		for k := range e.cells {
			e.cells[k].team = -2
		}
	}
	h := (uint64(team)*0x9e3779b97f4a7c15 + uint64(profile)*0xc2b2ae3d27d4eb4f) >> 20 // Fibonacci hashing (Knuth)
	oldest := uint64(0)
	for k := range uint64(probeLength) {
		c := &e.cells[(h+k)%maxCells]
		if c.team == team && c.profile == profile {
			c.lastUsed = e.useCounter
			return c
		}
		if c.lastUsed < e.cells[(h+oldest)%maxCells].lastUsed {
			oldest = k
		}
	}
	c := &e.cells[(h+oldest)%maxCells]
	*c = newCell(team, profile)
	c.lastUsed = e.useCounter
	return c
}

// Predict corrects the controller's own estimate, base, into what a client can be told.
func (e *Estimator) Predict(k Kind, team, profile int, base float64) Estimate {
	c, a := &e.cell(team, profile).trackers[k], &e.all[profile].trackers[k]
	weight := c.n / (c.n + poolingCount)
	corrected := func(teamLog, all float64) float64 {
		return max((base+resolution)*math.Exp(weight*teamLog+(1-weight)*all)-resolution, 0)
	}
	return Estimate{corrected(c.q50, a.q50), corrected(c.q90, a.q90)}
}

// Observe learns from the actual time of a request for which base was estimated. above: it took longer than actual, by an unknown
// amount.
func (e *Estimator) Observe(k Kind, team, profile int, base, actual float64, censored bool) {
	z := math.Log((max(actual, 0) + resolution) / (max(base, 0) + resolution))
	e.cell(team, profile).trackers[k].learn(z, censored)
	e.all[profile].trackers[k].learn(z, censored)
}

// Promise predicts the start and the completion of the request in the slot at, and remembers both until their outcomes are known.
// base is the estimated wait for the first attempt, negative where it begins now; runs is how long the request then takes.
func (e *Estimator) Promise(now float64, slot int32, team, profile int, base float64, processing Estimate) (start, completion Estimate) {
	for int(slot) >= len(e.predictions) {
		e.predictions = append(e.predictions, prediction{})
	}
	if base >= 0 {
		start = e.Predict(Start, team, profile, base)
	}
	total := start.P50 + processing.P50
	completion = e.Predict(Answer, team, profile, total)
	completion.P50, completion.P90 = max(completion.P50, start.P50), max(completion.P90, start.P90) // it can't complete before it starts
	e.predictions[slot] = prediction{team, profile, now, [2]float64{base, total}, [2]Estimate{start, completion}, [2]bool{base >= 0, true}}
	return start, completion
}

// Fulfilled reports that a promised event has happened: the first attempt has begun, or the request has completed.
func (e *Estimator) Fulfilled(now float64, slot int32, k Kind) { e.resolve(now, slot, k, false) }

// Over ends the open promises of a request that was given up: it would have waited longer than until now.
func (e *Estimator) Over(now float64, slot int32) {
	e.resolve(now, slot, Start, true)
	e.resolve(now, slot, Answer, true)
}

// resolve ends one promise and learns from it.
func (e *Estimator) resolve(now float64, at int32, k Kind, censored bool) {
	if int(at) >= len(e.predictions) || !e.predictions[at].pending[k] {
		return
	}
	p := &e.predictions[at]
	p.pending[k] = false
	e.Observe(k, p.team, p.profile, p.base[k], now-p.at, censored)
	e.countOutcome(k, p.team, p.estimates[k], now-p.at, censored)
}

// ObserveReturn learns from when a rejected request, whose client was told an estimate made from base, would have been admitted.
func (e *Estimator) ObserveReturn(team, profile int, base float64, predicted Estimate, actual float64, censored bool) {
	e.Observe(Return, team, profile, base, actual, censored)
	e.countOutcome(Return, team, predicted, actual, censored)
}

// countOutcome counts one outcome for EachAudit.
func (e *Estimator) countOutcome(k Kind, team int, predicted Estimate, actual float64, censored bool) {
	byKind := e.outcomes[team]
	if byKind == nil {
		if len(e.outcomes) >= maxAccuracyTeams {
			return
		}
		byKind = &[kinds]accuracyCounts{}
		e.outcomes[team] = byKind
	}
	counts := &byKind[k]
	if censored && actual <= predicted.P90 {
		return // the outcome is not known
	}
	if counts.n++; actual <= predicted.P90 && !censored {
		counts.covered++
	}
	counts.ratio.learn(math.Log((actual+resolution)/(predicted.P50+resolution)), censored)
}

// EachAudit calls each with the accuracy of one kind of prediction since the last call, by team in ascending order. It allocates.
func (e *Estimator) EachAudit(k Kind, each func(team int, accuracy Accuracy)) {
	teams := make([]int, 0, len(e.outcomes))
	for team := range e.outcomes {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for _, team := range teams {
		if counts := &e.outcomes[team][k]; counts.n > 0 {
			each(team, Accuracy{counts.n, math.Exp(counts.ratio.q50), float64(counts.covered) / float64(counts.n)})
			*counts = accuracyCounts{}
		}
	}
}

// reservation is the time at which a rejected client was told to return, and the capacity kept for it then.
type reservation struct {
	due        float64
	requestKey uint64
	team       int
	load       float64 // seconds of the places
}

// MinPause is the least pause that a refused client is told, in seconds: nothing changes sooner, and a client that is told to retry
// at once retries again and again.
const MinPause = 0.05

// How exactly a refused client has to keep its time.
const (
	earlyTolerance = 0.05 // seconds before its time that a client may return: clocks and networks differ
	lateTolerance  = 0.5  // seconds after its time for which capacity stays reserved
)

// Refuse returns after how many seconds a rejected client should return, and reserves capacity for it then: between the median and
// the 90th percentile of its wait, and after the earlier reservations of its team, each for the time that it takes of the team's
// share. base is the controller's own estimate of when the request would be admitted, load its thread seconds, part its team's share
// of the threads. mark is the same for all retries of one request; 0: unknown, and nothing is reserved. A retry before its time is told
// that time again. The estimate is the client's own wait; the pause is bounded by the longest that clients honor.
func (e *Estimator) Refuse(now float64, requestKey uint64, team, profile int, base, load, share float64) (pause float64, estimate Estimate) {
	estimate = e.Predict(Return, team, profile, base)
	e.expire(now)
	if k := e.findReservation(requestKey); k >= 0 && e.reservations[k].due > now {
		return e.reservations[k].due - now, estimate
	} else if k >= 0 {
		e.reservations = slices.Delete(e.reservations, k, k+1)
	}
	due := now + estimate.P50
	for _, s := range e.reservations {
		if s.team == team {
			due = max(due, s.due+s.load/max(share, 1e-3))
		}
	}
	if due > now+estimate.P90 { // clients that retry again and again must not delay the others of their team
		due = now + estimate.P50
	}
	due = max(due, now+MinPause)
	if pause = due - now; requestKey == 0 || pause > e.maxPause || pause <= 0 || len(e.reservations) >= maxReservations {
		return max(min(pause, e.maxPause), 0), estimate // it returns too early, and nothing is reserved
	}
	k, _ := slices.BinarySearchFunc(e.reservations, due, func(s reservation, due float64) int { return cmp.Compare(s.due, due) })
	e.reservations = slices.Insert(e.reservations, k, reservation{due, requestKey, team, load})
	return pause, estimate
}

// Booked reports whether a request arrives at the time that its client was told, and redeems the reservation.
func (e *Estimator) Booked(now float64, requestKey uint64) bool {
	e.expire(now)
	k := e.findReservation(requestKey)
	if k < 0 || e.reservations[k].due > now+earlyTolerance {
		return false
	}
	e.reservations = slices.Delete(e.reservations, k, k+1)
	e.redeemedFraction += 0.02 * (1 - e.redeemedFraction)
	return true
}

// findReservation returns the index of a request's reservation, or -1.
func (e *Estimator) findReservation(key uint64) int {
	if key == 0 {
		return -1
	}
	return slices.IndexFunc(e.reservations, func(s reservation) bool { return s.requestKey == key })
}

// ReservedLoad returns the capacity reserved for clients that are due now or soon, in thread seconds. A request without a reservation
// counts it as queued before it, so that a client gains nothing by ignoring its time.
func (e *Estimator) ReservedLoad(now float64) (load float64) {
	e.expire(now)
	for k := range e.reservations {
		if e.reservations[k].due > now+lateTolerance {
			break
		}
		load += e.reservations[k].load
	}
	return load * e.redeemedFraction // many do not return: all of it would leave capacity unused
}

// expire drops the reservations whose time is over.
func (e *Estimator) expire(now float64) {
	n := 0
	for ; n < len(e.reservations) && e.reservations[n].due < now-lateTolerance; n++ {
		e.redeemedFraction -= 0.02 * e.redeemedFraction
	}
	e.reservations = slices.Delete(e.reservations, 0, n)
}

// Package waittime predicts the wait times that are reported to clients, and reserves capacity for rejected clients at
// the time at which they were asked to retry. The base of a prediction is the controller's own estimate: the work
// queued before the request, divided by the thread places. The package corrects this base by the actual times of
// earlier requests of the same team and profile, and returns a median and a 90th percentile.
//
// The package does no I/O and has no clock. Times are seconds.
//
// The correction is a running quantile of the logarithm of actual over predicted time (stochastic approximation,
// Robbins and Monro 1951; as an online guarantee of coverage: Gibbs and Candes, "Adaptive Conformal Inference Under
// Distribution Shift", 2021). Even if the base is biased, in the long run half of the waits are below the median and
// nine in ten below the 90th percentile.
package waittime

import (
	"cmp"
	"math"
	"slices"
)

// Estimate is the median and the 90th percentile of a predicted time, in seconds from the moment of the prediction.
type Estimate struct{ P50, P90 float64 }

// TimeKind is the kind of a predicted time.
type TimeKind uint8

// The kinds of times.
const (
	Start          TimeKind = iota // until the first attempt begins
	Completion                     // until the request completes
	RetryAdmission                 // until a retry of the rejected request would be admitted
	kinds
)

// String returns the kind's name as it is logged.
func (k TimeKind) String() string { return [...]string{"start", "answer", "return"}[k] }

// tracker estimates two quantiles of the logarithm of actual over predicted time, and the mean deviation from the median.
type tracker struct{ n, q50, q90, dev float64 }

// Constants of the correction.
const (
	resolution    = 0.02         // seconds: smaller differences do not matter to a client
	poolingCount  = 10           // observations at which a team's own correction weighs as much as that of all teams
	initialSpread = math.Ln2 / 1 // logarithm of the 90th percentile over the median before any observation: a factor of 2
	minTailCount  = 30           // observations from which the 90th percentile is tracked on its own
	minStep       = 0.04         // long-run weight of one observation: about the last 25 observations determine the quantiles
)

// learn updates the quantiles with z, the logarithm of one ratio. If censored is set, the true value is greater than z
// by an unknown amount.
func (t *tracker) learn(z float64, censored bool) {
	if censored && z <= t.q50 {
		return // the true value may be on either side of both quantiles
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
	if t.n < minTailCount {
		// Too few observations to locate the 90th percentile. Assume a normal distribution: its 90th percentile lies
		// 1.28 standard deviations above the median, and its mean absolute deviation is 0.8 standard deviations.
		t.q90 = t.q50 + 1.28/0.8*t.dev
	}
	t.q90 = max(t.q90, t.q50)
}

// quantileStep returns the direction and weight of a step toward the quantile q. under: the observation is not above
// the estimate.
func quantileStep(q float64, under bool) float64 {
	if under {
		return q - 1
	}
	return q
}

// cell holds the corrections of one team and profile. Team -1 stands for all teams, -2 marks an unused cell of the hash table.
type cell struct {
	team, profile int
	lastUsed      uint64 // value of Estimator.useCounter at the last access
	trackers      [kinds]tracker
}

// prediction holds the times predicted for one request, and which of their outcomes are not yet known. Its arrays are
// indexed by Start and Completion.
type prediction struct {
	team, profile int
	at            float64 // time of the prediction
	base          [2]float64
	estimates     [2]Estimate
	pending       [2]bool
}

// Accuracy compares predictions with actual times, since the last call of EachAccuracy.
type Accuracy struct {
	Count    int     // predictions whose outcome is known
	Ratio    float64 // running median of actual time over the predicted median
	Coverage float64 // fraction at or under the predicted 90th percentile
}

// accuracyCounts accumulates the accuracy of one team and kind.
type accuracyCounts struct {
	n, covered int
	ratio      tracker
}

// Estimator holds one router's predictions and reservations. It is not safe for concurrent use.
type Estimator struct {
	cells            []cell                         // hash table keyed by team and profile; replaces the least recently used cells
	all              []cell                         // indexed by profile, over all teams
	useCounter       uint64                         // accesses to cells
	predictions      []prediction                   // indexed by the request's slot
	reservations     []reservation                  // in ascending order of their due times
	outcomes         map[int]*[kinds]accuracyCounts // by team
	redeemedFraction float64                        // running fraction of reservations that were redeemed
	maxPause         float64                        // longest pause that clients honor
}

// Bounds.
const (
	maxCells         = 4096 // pairs of a team and a profile that wait at the same time; 400 bytes each
	probeLength      = 8    // cells of the hash table that are searched for a key
	maxAccuracyTeams = 1024 // more lines than this an operator can't read
	maxReservations  = 1024 // more than accumulate during any client's longest pause at 100 rejections per second
)

// New returns an estimator for a number of profiles. longestPause is the longest pause in seconds that clients honor;
// with 0, no pause is reported to them.
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

// cell returns the cell of a team and profile. A new cell replaces the least recently used one among the probeLength
// cells of its key.
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

// Predict corrects base, the controller's own estimate, and returns the estimate that is reported to the client.
func (e *Estimator) Predict(k TimeKind, team, profile int, base float64) Estimate {
	c, a := &e.cell(team, profile).trackers[k], &e.all[profile].trackers[k]
	weight := c.n / (c.n + poolingCount)
	corrected := func(teamLog, all float64) float64 {
		return max((base+resolution)*math.Exp(weight*teamLog+(1-weight)*all)-resolution, 0)
	}
	return Estimate{corrected(c.q50, a.q50), corrected(c.q90, a.q90)}
}

// Observe learns from the actual time of a request for which base was estimated. If censored is set, the request took
// longer than actual by an unknown amount.
func (e *Estimator) Observe(k TimeKind, team, profile int, base, actual float64, censored bool) {
	z := math.Log((max(actual, 0) + resolution) / (max(base, 0) + resolution))
	e.cell(team, profile).trackers[k].learn(z, censored)
	e.all[profile].trackers[k].learn(z, censored)
}

// TrackRequest predicts the start and the completion of the request in a slot, and stores both predictions until their
// outcomes are known. base is the estimated wait for the first attempt, negative if that begins now; processing is the
// estimated time from the first attempt to completion.
func (e *Estimator) TrackRequest(now float64, slot int32, team, profile int, base float64, processing Estimate) (start, completion Estimate) {
	for int(slot) >= len(e.predictions) {
		e.predictions = append(e.predictions, prediction{})
	}
	if base >= 0 {
		start = e.Predict(Start, team, profile, base)
	}
	total := start.P50 + processing.P50
	completion = e.Predict(Completion, team, profile, total)
	completion.P50, completion.P90 = max(completion.P50, start.P50), max(completion.P90, start.P90) // a request can't complete before it starts
	e.predictions[slot] = prediction{team, profile, now, [2]float64{base, total}, [2]Estimate{start, completion}, [2]bool{base >= 0, true}}
	return start, completion
}

// Occurred records that a predicted event has happened: the first attempt has begun, or the request has completed.
func (e *Estimator) Occurred(now float64, slot int32, k TimeKind) { e.resolve(now, slot, k, false) }

// RequestAbandoned resolves the pending predictions of a request that was given up. Their actual times are censored:
// the request would have waited longer.
func (e *Estimator) RequestAbandoned(now float64, slot int32) {
	e.resolve(now, slot, Start, true)
	e.resolve(now, slot, Completion, true)
}

// resolve ends one pending prediction and learns from its outcome. at is the request's slot.
func (e *Estimator) resolve(now float64, at int32, k TimeKind, censored bool) {
	if int(at) >= len(e.predictions) || !e.predictions[at].pending[k] {
		return
	}
	p := &e.predictions[at]
	p.pending[k] = false
	e.Observe(k, p.team, p.profile, p.base[k], now-p.at, censored)
	e.countOutcome(k, p.team, p.estimates[k], now-p.at, censored)
}

// ObserveRetryAdmission learns from the time after which a rejected request would have been admitted. predicted is the
// estimate that was made for it from base.
func (e *Estimator) ObserveRetryAdmission(team, profile int, base float64, predicted Estimate, actual float64, censored bool) {
	e.Observe(RetryAdmission, team, profile, base, actual, censored)
	e.countOutcome(RetryAdmission, team, predicted, actual, censored)
}

// countOutcome counts one outcome for EachAccuracy.
func (e *Estimator) countOutcome(k TimeKind, team int, predicted Estimate, actual float64, censored bool) {
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
		return // it is unknown on which side of the 90th percentile the actual time is
	}
	if counts.n++; actual <= predicted.P90 && !censored {
		counts.covered++
	}
	counts.ratio.learn(math.Log((actual+resolution)/(predicted.P50+resolution)), censored)
}

// EachAccuracy calls each with the accuracy of one kind of prediction since the last call, by team in ascending order.
// It allocates.
func (e *Estimator) EachAccuracy(k TimeKind, each func(team int, accuracy Accuracy)) {
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

// reservation is the time at which a rejected client was asked to retry, and the capacity reserved for it at that time.
type reservation struct {
	due        float64 // time of the retry
	requestKey uint64
	team       int
	load       float64 // thread seconds
}

// MinPause is the shortest pause reported to a rejected client, in seconds. Nothing changes within a shorter time, and
// a client that is asked to retry at once retries again and again.
const MinPause = 0.05

// Tolerances around the due time of a reservation, in seconds.
const (
	earlyTolerance = 0.05 // how much earlier a client may retry: clocks and network delays differ
	lateTolerance  = 0.5  // how long capacity stays reserved after the due time
)

// Reject returns the pause in seconds after which a rejected client should retry, and reserves capacity for it at that
// time. The due time lies between the median and the 90th percentile of the client's wait, after the earlier
// reservations of the team, each of which occupies the team's share of the threads for its load; where these reach past
// the 90th percentile, it is the median. base is the controller's own estimate of the wait until the request would be
// admitted, load the request's thread seconds, share its team's share of the threads. requestKey is the same for all
// retries of one request; if it is 0, the request is unknown and nothing is reserved. A retry before its due time gets
// the rest of the same pause. The estimate is that of the client's own wait; the pause is at most the longest that
// clients honor.
func (e *Estimator) Reject(now float64, requestKey uint64, team, profile int, base, load, share float64) (pause float64, estimate Estimate) {
	estimate = e.Predict(RetryAdmission, team, profile, base)
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
	if due > now+estimate.P90 { // clients that retry repeatedly must not delay the others of their team
		due = now + estimate.P50
	}
	due = max(due, now+MinPause)
	if pause = due - now; requestKey == 0 || pause > e.maxPause || pause <= 0 || len(e.reservations) >= maxReservations {
		return max(min(pause, e.maxPause), 0), estimate // no reservation: the client may retry too early
	}
	k, _ := slices.BinarySearchFunc(e.reservations, due, func(s reservation, due float64) int { return cmp.Compare(s.due, due) })
	e.reservations = slices.Insert(e.reservations, k, reservation{due, requestKey, team, load})
	return pause, estimate
}

// RedeemReservation reports whether a request has a reservation and does not arrive too early for it, and if so removes
// the reservation.
func (e *Estimator) RedeemReservation(now float64, requestKey uint64) bool {
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

// ReservedLoad returns the capacity reserved for clients that are due now or within lateTolerance, in thread seconds.
// For a request without a reservation it counts as work queued before it, so that a client gains nothing by ignoring
// its due time.
func (e *Estimator) ReservedLoad(now float64) (load float64) {
	e.expire(now)
	for k := range e.reservations {
		if e.reservations[k].due > now+lateTolerance {
			break
		}
		load += e.reservations[k].load
	}
	return load * e.redeemedFraction // many clients do not retry: reserving for all of them would leave capacity unused
}

// expire drops the reservations that were not redeemed in time.
func (e *Estimator) expire(now float64) {
	n := 0
	for ; n < len(e.reservations) && e.reservations[n].due < now-lateTolerance; n++ {
		e.redeemedFraction -= 0.02 * e.redeemedFraction
	}
	e.reservations = slices.Delete(e.reservations, 0, n)
}

package measure

import (
	"fmt"
	"math"
	"slices"

	"dunereach/admission"
	"dunereach/emulator/cluster"
	"dunereach/emulator/engine"
	"dunereach/fairshare"
	"dunereach/waittime"

	"gonum.org/v1/gonum/stat"
)

// Subsystem is a subsystem that can be measured.
type Subsystem struct {
	Name, Description string
	Run               func() ([]Row, error)
	Short             func() ([]Row, error) // form for CI: takes seconds and checks nothing that depends on the machine's speed
}

// Subsystems lists the subsystems.
var Subsystems = []Subsystem{{"budgets", "Team budgets and wait estimates, on virtual time", Budgets, Budgets},
	{"expect", "Routing expectations: time, detected broken configurations, memory", Expect, shortExpect},
	{"owner", "Exclusive task ownership: fences, leases, handover and cost", Owner, shortOwner},
	{"failover", "Failover between zones: plans, mixtures of plans, served and local share", Failover, shortFailover},
	{"state", "State kept over a restart: kills, ages, cost and benefit", State, shortState}}

// Budgets measures team budgets and wait estimates.
func Budgets() ([]Row, error) {
	return runAll(reportsBehindFlood, budgetShares, lentBudget, tenfoldOverload, waitEstimates, memorySpilling)
}

const (
	lookupProfile = 0
	reportProfile = 1
	warmUpSeconds = 20.0 // seconds until histograms and corrections are filled; earlier requests are not counted
)

// poolSettings returns a pool of four servers with eight cores each, with profiles of lookups and reports like those of planners.
func poolSettings(seed uint64) cluster.Settings {
	s := cluster.Settings{Seed: seed, Duration: 140, Controller: admission.Settings{Routers: 1, Tick: 0.005, MaxSends: 6, Priorities: true,
		MaxPause: 0.5, ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1, Profiles: []admission.Profile{
			{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}, {Target: 2, Stretch: 2.5, Benefit: 10, Threads: 2}}}}
	for range 4 {
		s.Servers = append(s.Servers, cluster.Server{Settings: engine.Settings{Cores: 8, MaxQueries: 64, Knee: 2, ContentionLoss: 0.3, ProgressInterval: 2}})
	}
	return s
}

const poolCores = 32.0

// teamSpec returns one team for each weight, named t0, t1 and so on.
func teamSpec(weights ...float64) *fairshare.Spec {
	s := &fairshare.Spec{Default: "t0", Ageing: 0.1, TurnsForBypassed: true, MaxPriorityChanges: 20, ProtectSpilling: true}
	for k, w := range weights {
		s.Nodes = append(s.Nodes, fairshare.Node{Name: fmt.Sprintf("t%d", k), Weight: w, Tenants: []int{k}})
	}
	return s
}

// steadyStream returns a stream of requests at a constant rate whose work is the given share of the pool's capacity.
func steadyStream(team, profile int, share float64) cluster.Stream {
	s := cluster.Stream{Team: team, Profile: profile, Work: 0.17, CV: 1, Deadline: 4, EstimateCV: 0.3}
	if profile == reportProfile {
		s.Work, s.CV, s.Deadline, s.Memory = 4, 1, 15, 400
	}
	s.Rate, s.PeakRate = cluster.ConstantRate(share * poolCores / s.Work)
	return s
}

// queueOutcome returns how the requests of a stream fared in the queue: the longest wait of a request that was sent, relative to its
// latency target; the share of the queued requests that were sent; and the share of all requests that completed in time.
func queueOutcome(r cluster.Result, stream int) (wait, sent, inTime float64) {
	all, completedInTime, queued, queuedAndSent := 0.0, 0.0, 0.0, 0.0
	for k := range r.Requests {
		t := &r.Requests[k]
		if t.Stream != stream || t.ReceivedAt < warmUpSeconds || t.Outcome == cluster.Unfinished {
			continue
		}
		if all++; t.InTime() {
			completedInTime++
		}
		switch neverSent := math.IsNaN(t.FirstSentAt); {
		case neverSent && t.EndedAt > t.ReceivedAt:
			queued++
		case !neverSent && t.FirstSentAt > t.ReceivedAt:
			queued++
			queuedAndSent++
			wait = max(wait, (t.FirstSentAt-t.ReceivedAt)/t.Target)
		}
	}
	if queued == 0 {
		queuedAndSent, queued = 1, 1
	}
	return wait, queuedAndSent / queued, completedInTime / all
}

// reportsBehindFlood measures reports of one team that compete with an endless flood of lookups, of another team and of the same team.
func reportsBehindFlood() (rows []Row, err error) {
	for _, c := range []struct {
		name            string
		team            int
		sent, minInTime float64 // lower bounds; lookups of the same team run at a higher priority, so most of its reports that are sent complete late
	}{{"another team's", 1, 0.95, 0.95}, {"its own team's", 0, 0.5, 0.01}} {
		for _, protected := range []bool{true, false} {
			s := poolSettings(1)
			s.Teams = teamSpec(1, 1)
			if !protected {
				s.Teams.Ageing, s.Teams.TurnsForBypassed = 0, false
			}
			s.Streams = []cluster.Stream{steadyStream(0, reportProfile, 0.15), steadyStream(c.team, lookupProfile, 3)}
			r, err := cluster.Run(s)
			if err != nil {
				return nil, err
			}
			wait, sent, inTime := queueOutcome(r, 0)
			if name := "report behind " + c.name + " flood of lookups: "; protected {
				rows = append(rows, AtMost(name+"longest wait / latency target", wait, 1),
					AtLeast(name+"share of queued requests sent", sent, c.sent), AtLeast(name+"share in time", inTime, c.minInTime))
			} else {
				name = "the same without ageing and turns: "
				rows = append(rows, Figure(name+"longest wait / latency target", wait), Figure(name+"share of queued requests sent", sent),
					Figure(name+"share in time", inTime))
			}
		}
	}
	return rows, nil
}

// workByTeam returns the work done by the servers in a time span, by team.
func workByTeam(r cluster.Result, s cluster.Settings, from, to float64) map[int]float64 {
	work := map[int]float64{}
	for _, q := range r.Completed {
		if q.At >= from && q.At < to {
			work[s.Streams[q.Stream].Team] += q.Work
		}
	}
	return work
}

// budgetShares measures the work of eight teams that all request more than their budgets.
func budgetShares() ([]Row, error) {
	s := poolSettings(2)
	weights := []float64{1, 1, 2, 2, 3, 3, 4, 4}
	s.Teams = teamSpec(weights...)
	s.Duration = 620
	totalWeight := 20.0
	for k := range weights { // each requests a quarter of the pool, half of it in lookups
		s.Streams = append(s.Streams, steadyStream(k, lookupProfile, 0.125), steadyStream(k, reportProfile, 0.125))
	}
	r, err := cluster.Run(s)
	if err != nil {
		return nil, err
	}
	work, all := workByTeam(r, s, warmUpSeconds, s.Duration), 0.0
	for _, w := range work {
		all += w
	}
	rows := []Row{AtLeast("eight teams under full load: cores in use", all/(s.Duration-warmUpSeconds)/poolCores, 0.8)}
	for k, w := range weights {
		rows = append(rows, Between(fmt.Sprintf("eight teams under full load: work / budget, team %d of weight %v", k, w),
			work[k]/all/(w/totalWeight), 0.95, 1.05))
	}
	return rows, nil
}

// lentBudget measures three teams of which one is idle at first and later requests as much as it can get.
func lentBudget() ([]Row, error) {
	const demandStart, settleTime = 120.0, 5.0
	s := poolSettings(3)
	s.Teams = teamSpec(1, 1, 2)
	s.Duration = 320
	for _, team := range []int{0, 2} {
		s.Streams = append(s.Streams, steadyStream(team, lookupProfile, 0.6), steadyStream(team, reportProfile, 0.6))
	}
	for _, profile := range []int{lookupProfile, reportProfile} {
		idleFirst := steadyStream(1, profile, 0.6)
		rate := idleFirst.PeakRate
		idleFirst.Rate = func(t float64) float64 {
			if t < demandStart {
				return 0
			}
			return rate
		}
		s.Streams = append(s.Streams, idleFirst)
	}
	r, err := cluster.Run(s)
	if err != nil {
		return nil, err
	}
	before, after := workByTeam(r, s, warmUpSeconds, demandStart), workByTeam(r, s, demandStart+settleTime, s.Duration)
	longestWait := 0.0
	for k := range r.Requests {
		if t := &r.Requests[k]; s.Streams[t.Stream].Team == 1 && t.ReceivedAt < demandStart+1 && !math.IsNaN(t.FirstSentAt) {
			longestWait = max(longestWait, t.FirstSentAt-t.ReceivedAt)
		}
	}
	return []Row{Between("budget lent by weight: work of the heavier team / work of the lighter team", before[2]/before[0], 1.9, 2.1),
		Between("budget reclaimed: work of the formerly idle team / its budget", after[1]/(after[0]+after[1]+after[2])/0.25, 0.95, 1.05),
		AtMost("budget reclaimed: longest wait of a sent request in the first second (s)", longestWait, 2)}, nil
}

// tenfoldOverload measures three teams that keep to their budgets next to a team that keeps to its budget or requests ten times as much.
func tenfoldOverload() ([]Row, error) {
	benefitInTime := func(loadFactor float64) (share float64, err error) {
		s := poolSettings(4)
		s.Teams = teamSpec(1, 1, 1, 1)
		for k := range 3 {
			s.Streams = append(s.Streams, steadyStream(k, lookupProfile, 0.1), steadyStream(k, reportProfile, 0.1))
		}
		s.Streams = append(s.Streams, steadyStream(3, lookupProfile, 0.1*loadFactor), steadyStream(3, reportProfile, 0.1*loadFactor))
		r, err := cluster.Run(s)
		inTime, total := 0.0, 0.0
		for k := range r.Requests {
			if t := &r.Requests[k]; t.Stream < 6 && t.ReceivedAt >= warmUpSeconds && t.Outcome != cluster.Unfinished {
				benefit := s.Controller.Profiles[s.Streams[t.Stream].Profile].Benefit
				if total += benefit; t.InTime() {
					inTime += benefit
				}
			}
		}
		return inTime / total, err
	}
	normal, err := benefitInTime(1)
	if err != nil {
		return nil, err
	}
	overloaded, err := benefitInTime(10)
	return []Row{Figure("share of benefit in time, three teams within their budgets", normal),
		AtLeast("the same, next to a team at ten times its budget / within its budget", overloaded/normal, 0.95)}, err
}

// waitEstimates compares the reported wait estimates with the actual waits under varying load.
func waitEstimates() ([]Row, error) {
	s := poolSettings(5)
	s.Teams, s.EstimateWaits, s.Duration = teamSpec(1, 1, 2), true, 1220
	s.Controller.MaxPause = 20 // long enough that reported estimates are not capped
	for k, share := range []float64{0.3, 0.3, 0.5} {
		s.Streams = append(s.Streams, steadyStream(k, lookupProfile, share/2), steadyStream(k, reportProfile, share/2))
		for n := len(s.Streams) - 2; n < len(s.Streams); n++ {
			s.Streams[n].MaxRequests, s.Streams[n].IgnoresPauseShare = 3, 0.2
		}
	}
	s.ShadowEvery = 7
	r, err := cluster.Run(s)
	if err != nil {
		return nil, err
	}
	rows := retriesAfterRejection(r, s)
	for k := range 3 {
		var queuedRatios, rejectedRatios []float64
		var queuedCovered, queuedCount, rejectedCovered, rejectedCount float64
		for n := range r.Requests {
			t := &r.Requests[n]
			if s.Streams[t.Stream].Team != k || t.ReceivedAt < warmUpSeconds {
				continue
			}
			if e := t.Estimates[waittime.Start]; t.HasEstimate[waittime.Start] && t.Outcome != cluster.Unfinished {
				wait, censored := t.FirstSentAt-t.ReceivedAt, false
				if math.IsNaN(wait) { // gave up: the wait is censored, as it would have been longer
					wait, censored = t.EndedAt-t.ReceivedAt, true
				}
				if !censored || wait > e.P90 {
					queuedCount++
					if !censored && wait <= e.P90 {
						queuedCovered++
					}
				}
				if !censored || wait > e.P50 {
					queuedRatios = append(queuedRatios, (wait+0.02)/(e.P50+0.02))
				}
			}
		}
		for _, w := range r.Shadows {
			if s.Streams[w.Stream].Team != k || w.At < warmUpSeconds || !w.Admitted && w.At > s.Duration-60 {
				continue
			}
			if rejectedCount++; w.Admitted && w.Elapsed <= w.Estimate.P90 {
				rejectedCovered++
			}
			rejectedRatios = append(rejectedRatios, (w.Elapsed+0.05)/(w.Estimate.P50+0.05))
		}
		slices.Sort(queuedRatios)
		slices.Sort(rejectedRatios)
		rows = append(rows,
			Between(fmt.Sprintf("team %d, queued: wait / reported median", k), stat.Quantile(0.5, stat.Empirical, queuedRatios, nil), 0.75, 1.25),
			Between(fmt.Sprintf("team %d, queued: share within the reported 90th percentile", k), queuedCovered/queuedCount, 0.85, 0.95))
		if len(rejectedRatios) > 0 {
			rows = append(rows,
				Between(fmt.Sprintf("team %d, rejected: wait / reported median", k), stat.Quantile(0.5, stat.Empirical, rejectedRatios, nil), 0.75, 1.25),
				Between(fmt.Sprintf("team %d, rejected: share within the reported 90th percentile", k), rejectedCovered/rejectedCount, 0.85, 0.95),
				Figure(fmt.Sprintf("team %d, rejected: requests measured", k), rejectedCount))
		}
	}
	return rows, nil
}

// retriesAfterRejection compares clients that wait for the reported time before they retry with clients that retry immediately. Of the
// clients whose first request was rejected immediately, it measures the shares that were admitted at the next attempt and that were
// completed in the end.
func retriesAfterRejection(r cluster.Result, s cluster.Settings) []Row {
	type retryOutcomes struct{ rejected, admittedNext, completed float64 }
	var byBehaviour [2]retryOutcomes
	rejectedFirst := map[uint64]bool{} // clients whose first request was rejected immediately
	for k := range r.Requests {
		t := &r.Requests[k]
		outcomes := &byBehaviour[0]
		if t.IgnoresPause {
			outcomes = &byBehaviour[1]
		}
		rejectedAtOnce := t.Outcome == cluster.Rejected && t.EndedAt == t.ReceivedAt
		switch {
		case t.ReceivedAt < warmUpSeconds || t.Outcome == cluster.Unfinished || s.Streams[t.Stream].Profile != reportProfile:
		case t.ClientRequest == 1 && rejectedAtOnce:
			rejectedFirst[t.RequestKey] = true
			outcomes.rejected++
		case rejectedFirst[t.RequestKey]:
			if t.ClientRequest == 2 && !rejectedAtOnce {
				outcomes.admittedNext++
			}
			if t.Outcome == cluster.Completed {
				outcomes.completed++
			}
		}
	}
	waited, immediate := byBehaviour[0], byBehaviour[1]
	return []Row{AtLeast("rejected reports retried at the reported time: admitted at the next attempt", waited.admittedNext/waited.rejected, 0.5),
		Figure("rejected reports retried immediately: admitted at the next attempt", immediate.admittedNext/immediate.rejected),
		AtLeast("the same, at the reported time / immediately", waited.admittedNext/waited.rejected/(immediate.admittedNext/immediate.rejected), 1),
		Figure("retried at the reported time: completed in the end", waited.completed/waited.rejected),
		Figure("retried immediately: completed in the end", immediate.completed/immediate.rejected),
		AtLeast("the same, at the reported time / immediately", waited.completed/waited.rejected/(immediate.completed/immediate.rejected), 1)}
}

// memorySpilling measures a team whose reports arrive every thirty seconds, when long reports of another team occupy all slots. The
// servers have enough memory for the requests in their slots, but not for those admitted in addition when the priority of running
// requests is lowered.
func memorySpilling() (rows []Row, err error) {
	var inTime, spilledWork []float64
	for _, c := range []struct {
		name      string
		changes   float64
		protected bool
	}{{"priorities lowered, spill protection", 20, true}, {"priorities lowered, no spill protection", 20, false}, {"priorities not lowered", 0, true}} {
		s := poolSettings(6)
		for k := range s.Servers {
			s.Servers[k].Memory, s.Servers[k].SpillOverhead = 2800, 3
		}
		s.Teams = teamSpec(1, 1)
		s.Teams.MaxPriorityChanges, s.Teams.ProtectSpilling = c.changes, c.protected
		s.Duration = 620
		long, others := steadyStream(0, reportProfile, 1.5), steadyStream(1, reportProfile, 1)
		s.Controller.Profiles = append(s.Controller.Profiles, admission.Profile{Target: 20, Stretch: 3, Benefit: 10, Threads: 2})
		long.Profile, long.Work, long.Deadline = 2, 40, 90
		long.Rate, long.PeakRate = cluster.ConstantRate(1.5 * poolCores / long.Work)
		peak := others.PeakRate
		others.Rate = func(t float64) float64 {
			if math.Mod(t, 30) < 3 {
				return peak
			}
			return 0
		}
		s.Streams = []cluster.Stream{long, others}
		r, err := cluster.Run(s)
		if err != nil {
			return nil, err
		}
		changeCount := 0.0
		for _, at := range r.PriorityChanges {
			if at >= warmUpSeconds {
				changeCount++
			}
		}
		_, _, share := queueOutcome(r, 1)
		inTime, spilledWork = append(inTime, share), append(spilledWork, r.WastedWork)
		rows = append(rows, Figure(c.name+": share in time of the waiting team", share), Figure(c.name+": core seconds lost to spilling", r.WastedWork),
			AtMost(c.name+": priority changes per second", changeCount/(s.Duration-warmUpSeconds), 20))
	}
	return append(rows, AtLeast("share in time, priorities lowered / not lowered", inTime[0]/inTime[2], 1),
		AtMost("core seconds lost to spilling, protection / no protection", spilledWork[0]/spilledWork[1], 1)), nil
}

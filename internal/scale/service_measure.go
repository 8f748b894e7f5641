package scale

import (
	"fmt"
	"math"
	"slices"

	"dunereach/emulator/cluster"
	"dunereach/internal/measure"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// serviceResult summarizes the requests of a run.
type serviceResult struct {
	Share            float64 // of the requested benefit, completed within its latency target
	WaitP50          float64 // seconds before the first attempt, of attempted requests
	WaitP90, WaitP99 float64
	AnswerP99        float64 // seconds until the response, of completed requests
}

// run executes the run and summarizes the requests that arrived after the warm-up.
func (p poolRun) run() (serviceResult, error) {
	settings := p.settings()
	result, err := cluster.Run(settings)
	if err != nil {
		return serviceResult{}, err
	}
	inTimeBenefit, totalBenefit := 0.0, 0.0
	var waits, answers []float64
	for k := range result.Requests {
		request := &result.Requests[k]
		if request.ReceivedAt < warmUpSeconds {
			continue
		}
		benefit := settings.Controller.Profiles[settings.Streams[request.Stream].Profile].Benefit
		totalBenefit += benefit
		if request.InTime() {
			inTimeBenefit += benefit
		}
		if !math.IsNaN(request.FirstSentAt) {
			waits = append(waits, request.FirstSentAt-request.ReceivedAt)
		}
		if request.Outcome == cluster.Completed {
			answers = append(answers, request.EndedAt-request.ReceivedAt)
		}
	}
	if totalBenefit == 0 || len(waits) == 0 || len(answers) == 0 {
		return serviceResult{}, fmt.Errorf("%+v: no requests arrived, were attempted or were completed", p)
	}
	slices.Sort(waits)
	slices.Sort(answers)
	quantile := func(sorted []float64, q float64) float64 { return stat.Quantile(q, stat.Empirical, sorted, nil) }
	return serviceResult{Share: inTimeBenefit / totalBenefit, WaitP50: quantile(waits, 0.5), WaitP90: quantile(waits, 0.9), WaitP99: quantile(waits, 0.99),
		AnswerP99: quantile(answers, 0.99)}, nil
}

// scenario is a load with a disturbance.
type scenario struct {
	load        float64
	disturbance disturbance
}

func (d scenario) String() string { return fmt.Sprintf("load %.4g, %v", d.load, d.disturbance) }

// servicePlan lists the runs of a measurement.
type servicePlan struct {
	scenarios []scenario
	sizes     []int // without the whole pool
	seeds     []uint64
	seconds   float64
}

func servicePlanFor(short bool) servicePlan {
	if short {
		return servicePlan{scenarios: []scenario{{0.8, undisturbed}, {0.95, undisturbed}, {0.6, zoneLost}}, sizes: []int{chosenSubset}, seeds: []uint64{1},
			seconds: 3}
	}
	return servicePlan{scenarios: []scenario{{0.5, undisturbed}, {0.8, undisturbed}, {0.95, undisturbed}, {1.1, undisturbed}, {0.8, hotKeys}, {0.8, slowDatabases}, {0.6, zoneLost}},
		sizes: []int{8, 16, 32, 64, 128}, seeds: []uint64{1, 2}, seconds: 6}
}

const (
	// chosenSubset is the size whose loss of service is bounded.
	chosenSubset = 64
	// maxServiceLoss is the share of the whole pool's service that a subset of that size may lose.
	maxServiceLoss = 0.01
	// parallelRuns is the number of runs at a time.
	parallelRuns = 4
)

// Service runs a pool on virtual time whose routers hold all databases or a subset each, and compares the service.
func Service(short bool) ([]measure.Row, error) {
	plan := servicePlanFor(short)
	sizes := append([]int{wholePool}, plan.sizes...)
	var runs []poolRun
	for _, d := range plan.scenarios {
		for _, size := range sizes {
			for _, seed := range plan.seeds {
				runs = append(runs, poolRun{Seed: seed, Subset: size, Load: d.load, Disturbance: d.disturbance, Seconds: plan.seconds})
			}
		}
	}
	naive := poolRun{Seed: plan.seeds[0], Subset: chosenSubset, Load: 0.95, Naive: true, Seconds: plan.seconds}
	runs = append(runs, naive)
	results, err := runAll(runs)
	if err != nil {
		return nil, err
	}
	return serviceRows(plan, results[:len(results)-1], results[len(results)-1]), nil
}

// runAll executes runs in parallel and returns their results in order.
func runAll(runs []poolRun) ([]serviceResult, error) {
	results := make([]serviceResult, len(runs))
	var group errgroup.Group
	group.SetLimit(parallelRuns)
	for k, p := range runs {
		group.Go(func() (err error) {
			results[k], err = p.run()
			return err
		})
	}
	return results, group.Wait()
}

// serviceRows returns the results of each scenario and size, averaged over the seeds, and the largest loss of each size in any scenario.
func serviceRows(plan servicePlan, results []serviceResult, naive serviceResult) []measure.Row {
	var rows []measure.Row
	worst := map[int]float64{}
	for _, d := range plan.scenarios {
		var wholePoolResult serviceResult
		for _, size := range append([]int{wholePool}, plan.sizes...) {
			s := meanResult(results[:len(plan.seeds)])
			results = results[len(plan.seeds):]
			name := fmt.Sprintf("%v, subset %d", d, size)
			if size == wholePool {
				name, wholePoolResult = fmt.Sprintf("%v, whole pool of %d", d, poolDatabases), s
			} else {
				worst[size] = max(worst[size], 1-s.Share/wholePoolResult.Share)
			}
			rows = append(rows,
				measure.Figure(name+": share of benefit served", s.Share),
				measure.Figure(name+": wait p50, s", s.WaitP50),
				measure.Figure(name+": wait p90, s", s.WaitP90),
				measure.Figure(name+": wait p99, s", s.WaitP99),
				measure.Figure(name+": answer p99, s", s.AnswerP99))
		}
	}
	rows = append(rows, measure.Figure(fmt.Sprintf("load 0.95, subset %d, controllers count all %d routers as sharers: share of benefit served",
		chosenSubset, poolRouters), naive.Share))
	for _, size := range plan.sizes {
		name := fmt.Sprintf("subset %d: largest loss of the whole pool's service in any scenario", size)
		if size == chosenSubset {
			rows = append(rows, measure.AtMost(name, worst[size], maxServiceLoss))
		} else {
			rows = append(rows, measure.Figure(name, worst[size]))
		}
	}
	return rows
}

// meanResult returns the mean of results.
func meanResult(runs []serviceResult) (mean serviceResult) {
	n := float64(len(runs))
	for _, s := range runs {
		mean.Share += s.Share / n
		mean.WaitP50 += s.WaitP50 / n
		mean.WaitP90 += s.WaitP90 / n
		mean.WaitP99 += s.WaitP99 / n
		mean.AnswerP99 += s.AnswerP99 / n
	}
	return mean
}

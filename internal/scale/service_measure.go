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

// served is how the requests of a run fared.
type served struct {
	Share            float64 // of the benefit asked for that was answered within its latency target
	WaitP50          float64 // seconds before the first attempt, of the requests attempted
	WaitP90, WaitP99 float64
	AnswerP99        float64 // seconds until the answer, of the requests answered
}

// run plays it and measures the requests that came while it was measured.
func (p play) run() (served, error) {
	settings := p.settings()
	result, err := cluster.Run(settings)
	if err != nil {
		return served{}, err
	}
	got, asked := 0.0, 0.0
	var waits, answers []float64
	for k := range result.Tries {
		try := &result.Tries[k]
		if try.Taken < warmSeconds {
			continue
		}
		benefit := settings.Brain.Profiles[settings.Streams[try.Stream].Profile].Benefit
		asked += benefit
		if try.InTime() {
			got += benefit
		}
		if !math.IsNaN(try.Sent) {
			waits = append(waits, try.Sent-try.Taken)
		}
		if try.How == cluster.Answered {
			answers = append(answers, try.Ended-try.Taken)
		}
	}
	if asked == 0 || len(waits) == 0 || len(answers) == 0 {
		return served{}, fmt.Errorf("%+v: nothing was asked or answered", p)
	}
	slices.Sort(waits)
	slices.Sort(answers)
	at := func(sorted []float64, q float64) float64 { return stat.Quantile(q, stat.Empirical, sorted, nil) }
	return served{Share: got / asked, WaitP50: at(waits, 0.5), WaitP90: at(waits, 0.9), WaitP99: at(waits, 0.99),
		AnswerP99: at(answers, 0.99)}, nil
}

// day is a load with what befalls it.
type day struct {
	load    float64
	trouble trouble
}

func (d day) String() string { return fmt.Sprintf("load %.4g, %v", d.load, d.trouble) }

// serviceForm is which runs are made.
type serviceForm struct {
	days    []day
	sizes   []int // without the whole pool
	seeds   []uint64
	seconds float64
}

func serviceFormOf(short bool) serviceForm {
	if short {
		return serviceForm{days: []day{{0.8, calm}, {0.95, calm}, {0.6, zoneLost}}, sizes: []int{chosenSubset}, seeds: []uint64{1},
			seconds: 3}
	}
	return serviceForm{days: []day{{0.5, calm}, {0.8, calm}, {0.95, calm}, {1.1, calm}, {0.8, hotKeys}, {0.8, slowOnes}, {0.6, zoneLost}},
		sizes: []int{8, 16, 32, 64, 128}, seeds: []uint64{1, 2}, seconds: 6}
}

const (
	// chosenSubset is the size whose loss of service is bounded.
	chosenSubset = 64
	// mostLost is the share of the whole pool's service that a subset of that size may lose.
	mostLost = 0.01
	// parallelPlays is how many runs are played side by side.
	parallelPlays = 4
)

// Service plays a pool on virtual time with each router told of all databases or of a subset, and compares what is served.
func Service(short bool) ([]measure.Row, error) {
	form := serviceFormOf(short)
	sizes := append([]int{wholePool}, form.sizes...)
	var plays []play
	for _, d := range form.days {
		for _, size := range sizes {
			for _, seed := range form.seeds {
				plays = append(plays, play{Seed: seed, Subset: size, Load: d.load, Trouble: d.trouble, Seconds: form.seconds})
			}
		}
	}
	naive := play{Seed: form.seeds[0], Subset: chosenSubset, Load: 0.95, Naive: true, Seconds: form.seconds}
	plays = append(plays, naive)
	results, err := runAll(plays)
	if err != nil {
		return nil, err
	}
	return serviceRows(form, results[:len(results)-1], results[len(results)-1]), nil
}

// runAll plays runs side by side and gives their results in order.
func runAll(plays []play) ([]served, error) {
	results := make([]served, len(plays))
	var group errgroup.Group
	group.SetLimit(parallelPlays)
	for k, p := range plays {
		group.Go(func() (err error) {
			results[k], err = p.run()
			return err
		})
	}
	return results, group.Wait()
}

// serviceRows prints each day and size, averaged over the seeds, and the most that each size loses on any day.
func serviceRows(form serviceForm, results []served, naive served) []measure.Row {
	var rows []measure.Row
	worst := map[int]float64{}
	for _, d := range form.days {
		var whole served
		for _, size := range append([]int{wholePool}, form.sizes...) {
			s := meanServed(results[:len(form.seeds)])
			results = results[len(form.seeds):]
			name := fmt.Sprintf("%v, subset %d", d, size)
			if size == wholePool {
				name, whole = fmt.Sprintf("%v, whole pool of %d", d, poolDatabases), s
			} else {
				worst[size] = max(worst[size], 1-s.Share/whole.Share)
			}
			rows = append(rows,
				measure.Figure(name+": share of benefit served", s.Share),
				measure.Figure(name+": wait p50, s", s.WaitP50),
				measure.Figure(name+": wait p90, s", s.WaitP90),
				measure.Figure(name+": wait p99, s", s.WaitP99),
				measure.Figure(name+": answer p99, s", s.AnswerP99))
		}
	}
	rows = append(rows, measure.Figure(fmt.Sprintf("load 0.95, subset %d, modules count all %d routers as sharers: share of benefit served",
		chosenSubset, poolRouters), naive.Share))
	for _, size := range form.sizes {
		name := fmt.Sprintf("subset %d: most that it loses of the whole pool's service on any day", size)
		if size == chosenSubset {
			rows = append(rows, measure.AtMost(name, worst[size], mostLost))
		} else {
			rows = append(rows, measure.Figure(name, worst[size]))
		}
	}
	return rows
}

// meanServed averages runs.
func meanServed(runs []served) (mean served) {
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

package hollow

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Bounds of one worker process.
const (
	mostRouters = 400
	mostActs    = 200_000  // that wait to be told
	mostLine    = 64 << 20 // bytes of a command or report
)

// Worker is the hollow routers of one process. All but its routers is one goroutine's.
type Worker struct {
	setup   *Setup
	network *Network
	routers map[int]*router
	demand  atomic.Pointer[Demand]
	past    Report // totals of routers that have ended

	mu     sync.Mutex
	acts   []Act
	unseen int
}

// NewWorker has no routers.
func NewWorker() *Worker {
	w := &Worker{routers: map[int]*router{}}
	w.demand.Store(&Demand{})
	return w
}

// Serve commands, a line of JSON each, until the input ends; then all routers crash.
func (w *Worker) Serve(in io.Reader, out io.Writer) error {
	defer func() { w.end(w.numbers(), func(r *router) { r.cancel() }) }()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, mostLine)
	answers := json.NewEncoder(out)
	for lines.Scan() {
		var c Command
		var report Report
		err := json.Unmarshal(lines.Bytes(), &c)
		if err == nil {
			report, err = w.Do(c)
		}
		if err != nil {
			report.Error = err.Error()
		}
		if err := answers.Encode(report); err != nil {
			return err
		}
	}
	return lines.Err()
}

var (
	errNotConfigured = errors.New("the first command has to configure the worker, and no other may")
	errNoDemand      = errors.New("a load without a demand")
	errTwice         = errors.New("a router runs already, or is named twice")
	errTooMany       = fmt.Errorf("more than %d routers in one process", mostRouters)
)

// Do one command and report.
func (w *Worker) Do(c Command) (Report, error) {
	if (c.Action == Configure) != (w.setup == nil) || c.Action == Configure && c.Setup == nil {
		return Report{}, errNotConfigured
	}
	var err error
	switch c.Action {
	case Configure:
		w.setup, w.network = c.Setup, NewNetwork(c.Setup.Route)
	case Start:
		err = w.start(c.Routers)
	case Crash:
		w.end(c.Routers, func(r *router) { r.cancel() })
	case Stop:
		w.end(c.Routers, func(r *router) { close(r.stop) })
	case Load:
		if c.Demand == nil {
			return w.report(), errNoDemand
		}
		w.demand.Store(c.Demand)
	case Cut:
		w.network.Cut(c.Region, c.Addresses)
	case Heal:
		w.network.Heal()
	case Mark:
		for _, r := range w.routers {
			r.mark()
		}
	case Look:
	default:
		err = fmt.Errorf("no action is called %q", c.Action)
	}
	return w.report(), err
}

// start routers, on all cores: each reads its list of databases.
func (w *Worker) start(numbers []int) error {
	if len(w.routers)+len(numbers) > mostRouters {
		return errTooMany
	}
	if slices.ContainsFunc(numbers, func(n int) bool { return w.routers[n] != nil }) || len(slices.Compact(slices.Sorted(slices.Values(numbers)))) < len(numbers) {
		return errTwice
	}
	started := make([]*router, len(numbers))
	failed := make([]error, len(numbers))
	var wait sync.WaitGroup
	places := make(chan struct{}, runtime.GOMAXPROCS(0))
	for k, number := range numbers {
		places <- struct{}{}
		wait.Go(func() {
			started[k], failed[k] = newRouter(w.setup, w.network, number, func() Demand { return *w.demand.Load() }, w.act)
			<-places
		})
	}
	wait.Wait()
	for _, r := range started {
		if r != nil {
			w.routers[r.number] = r
		}
	}
	return errors.Join(failed...)
}

func (w *Worker) numbers() (all []int) {
	for number := range w.routers {
		all = append(all, number)
	}
	slices.Sort(all)
	return all
}

// end routers in that way, and wait until they have ended.
func (w *Worker) end(numbers []int, how func(*router)) {
	var ending []*router
	for _, number := range numbers {
		if r := w.routers[number]; r != nil {
			delete(w.routers, number)
			how(r)
			ending = append(ending, r)
		}
	}
	for _, r := range ending {
		<-r.ended
		w.past.Add(r.totals())
	}
}

// act of an owner, kept for the next report.
func (w *Worker) act(a Act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.acts) >= mostActs {
		w.unseen++
		return
	}
	w.acts = append(w.acts, a)
}

func (w *Worker) report() Report {
	var all Report
	all.Add(w.past)
	for _, r := range w.routers {
		all.Add(r.totals())
		s := r.look()
		all.Live++
		if s.session {
			all.Open++
		}
		if s.since > 0 {
			all.Confirmed++
			all.Last = max(all.Last, s.since)
		}
		all.Held, all.Shares, all.Listed = all.Held+s.held, all.Shares+s.shares, all.Listed+len(r.list.entries)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	all.Acts, all.Unseen, w.acts = w.acts, w.unseen, nil
	return all
}

// totals are the counters of a router that outlive it.
func (r *router) totals() Report {
	s := r.look()
	requests, bytes := r.client.Traffic()
	return Report{Requests: requests, Bytes: bytes, ByPath: r.client.TrafficByPath(),
		Grants: s.stats.Granted, Relinquished: s.stats.Relinquishments, Late: s.stats.LateGrants, Refused: s.stats.RejectedStale, Lost: s.stats.Lost}
}

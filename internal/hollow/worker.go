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

// Limits of one worker process.
const (
	maxRouters     = 400
	maxPendingActs = 200_000  // acts held for the next report
	maxLineBytes   = 64 << 20 // length of a command in bytes
)

// Worker runs the hollow routers of one process. Its methods must be called from one goroutine; each router has its own goroutines.
type Worker struct {
	setup       *Setup
	network     *Network
	routers     map[int]*router
	demand      atomic.Pointer[Demand]
	endedTotals Report // counters of the routers that have ended

	mu          sync.Mutex
	pendingActs []Act
	droppedActs int
}

// NewWorker returns a worker without routers.
func NewWorker() *Worker {
	w := &Worker{routers: map[int]*router{}}
	w.demand.Store(&Demand{})
	return w
}

// Serve executes commands, one line of JSON each, until the input ends. Then it ends all routers as Crash does.
func (w *Worker) Serve(in io.Reader, out io.Writer) error {
	defer func() { w.end(w.numbers(), func(r *router) { r.cancel() }) }()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	reports := json.NewEncoder(out)
	for lines.Scan() {
		var c Command
		var report Report
		err := json.Unmarshal(lines.Bytes(), &c)
		if err == nil {
			report, err = w.Execute(c)
		}
		if err != nil {
			report.Error = err.Error()
		}
		if err := reports.Encode(report); err != nil {
			return err
		}
	}
	return lines.Err()
}

var (
	errNotConfigured   = errors.New("the first command, and no later one, must configure the worker")
	errNoDemand        = errors.New("load command has no demand")
	errDuplicateRouter = errors.New("router is already running or listed twice")
	errTooManyRouters  = fmt.Errorf("more than %d routers in one process", maxRouters)
)

// Execute executes one command and returns the report.
func (w *Worker) Execute(c Command) (Report, error) {
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
	case SetDemand:
		if c.Demand == nil {
			return w.report(), errNoDemand
		}
		w.demand.Store(c.Demand)
	case Cut:
		w.network.Cut(c.Region, c.Addresses)
	case Heal:
		w.network.Heal()
	case ResetConfirmed:
		for _, r := range w.routers {
			r.resetConfirmed()
		}
	case CollectReports:
	default:
		err = fmt.Errorf("unknown action %q", c.Action)
	}
	return w.report(), err
}

// start starts routers in parallel on all cores, because each copies its list of databases.
func (w *Worker) start(numbers []int) error {
	if len(w.routers)+len(numbers) > maxRouters {
		return errTooManyRouters
	}
	if slices.ContainsFunc(numbers, func(n int) bool { return w.routers[n] != nil }) || len(slices.Compact(slices.Sorted(slices.Values(numbers)))) < len(numbers) {
		return errDuplicateRouter
	}
	started := make([]*router, len(numbers))
	failed := make([]error, len(numbers))
	var starts sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for k, number := range numbers {
		slots <- struct{}{}
		starts.Go(func() {
			started[k], failed[k] = newRouter(w.setup, w.network, number, func() Demand { return *w.demand.Load() }, w.addAct)
			<-slots
		})
	}
	starts.Wait()
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

// end ends routers by calling stop, and waits until they have ended.
func (w *Worker) end(numbers []int, stop func(*router)) {
	var ending []*router
	for _, number := range numbers {
		if r := w.routers[number]; r != nil {
			delete(w.routers, number)
			stop(r)
			ending = append(ending, r)
		}
	}
	for _, r := range ending {
		<-r.ended
		w.endedTotals.Add(r.totals())
	}
}

// addAct keeps an owner's act for the next report.
func (w *Worker) addAct(a Act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pendingActs) >= maxPendingActs {
		w.droppedActs++
		return
	}
	w.pendingActs = append(w.pendingActs, a)
}

func (w *Worker) report() Report {
	var total Report
	total.Add(w.endedTotals)
	for _, r := range w.routers {
		total.Add(r.totals())
		s := r.currentState()
		total.Live++
		if s.session {
			total.Open++
		}
		if s.confirmedAt > 0 {
			total.Confirmed++
			total.Last = max(total.Last, s.confirmedAt)
		}
		total.Held, total.Shares, total.Listed = total.Held+s.held, total.Shares+s.shares, total.Listed+len(r.list.entries)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	total.Acts, total.Unseen, w.pendingActs = w.pendingActs, w.droppedActs, nil
	return total
}

// totals returns a router's counters, which remain in the report after the router has ended.
func (r *router) totals() Report {
	s := r.currentState()
	requests, bytes := r.client.Traffic()
	return Report{Requests: requests, Bytes: bytes, ByPath: r.client.TrafficByPath(),
		Grants: s.stats.Granted, Relinquished: s.stats.Relinquishments, Late: s.stats.LateGrants, Refused: s.stats.RejectedStale, Lost: s.stats.Lost}
}

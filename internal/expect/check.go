package expect

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"

	"dunereach/emulator/cluster"

	"golang.org/x/sync/errgroup"
)

// Status is the result of checking an expectation.
type Status string

// The statuses. Their values appear in reports.
const (
	Passed         Status = "passed"
	Failed         Status = "failed"
	UnknownServer  Status = "void"            // the expectation names a server that is not in the server list
	NeverExercised Status = "never exercised" // no observed event met the conditions
	Unreadable     Status = "can't be read"
)

// Outcome is the result of checking one expectation.
type Outcome struct {
	File        string   `json:"file"`
	Name        string   `json:"name"`
	Description string   `json:"says"`
	Status      Status   `json:"status"`
	Reason      string   `json:"why,omitempty"`
	Seed        uint64   `json:"seed,omitempty"` // the seed that it failed with
	FailedAt    float64  `json:"at,omitempty"`   // time of the first violation, in seconds
	RouterState string   `json:"knew,omitempty"` // the router's state at that time
	Exercised   int      `json:"exercised"`
	Margin      float64  `json:"margin"` // smallest over holds and seeds: share above the required share, or seconds to spare; 1 if neither applies
	Trace       []string `json:"trace,omitempty"`
	Seconds     float64  `json:"seconds"`
}

// Held reports whether the expectation passed.
func (o *Outcome) Held() bool { return o.Status == Passed }

// Options of a check.
type Options struct {
	Seed      uint64        // the only seed to use; 0: the seeds of each expectation
	Trace     bool          // keep a reduced trace of failures
	TimeLimit time.Duration // time limit of one expectation; 0: half a minute
	Cores     int           // expectations checked in parallel; 0: one per core of the machine
	Progress  func(done int)
}

// expectationCheck is one expectation with the file that it comes from.
type expectationCheck struct {
	source      Source
	file        *File
	expectation *Expectation
}

// Check checks all expectations of the sources. The outcomes are in the order of the sources, for any number of cores.
func Check(u Configuration, sources []Source, o Options) []Outcome {
	var all []expectationCheck
	var out []Outcome
	names := map[string]string{}
	for _, s := range sources {
		if s.Err != nil {
			out = append(out, Outcome{File: s.Name, Name: s.Name, Status: Unreadable, Reason: s.Err.Error()})
			continue
		}
		for k := range s.File.Expectations {
			e := &s.File.Expectations[k]
			if other, duplicate := names[e.Name]; duplicate {
				out = append(out, Outcome{File: s.Name, Name: e.Name, Description: e.Description, Status: Unreadable,
					Reason: fmt.Sprintf("/expectations/%d/name: %s already has an expectation of that name", k, other)})
				continue
			}
			names[e.Name] = s.Name
			all = append(all, expectationCheck{s, s.File, e})
		}
	}
	broken := len(out)
	out = append(out, make([]Outcome, len(all))...)
	var group errgroup.Group
	group.SetLimit(cmp.Or(o.Cores, runtime.GOMAXPROCS(0)))
	done := make(chan struct{}, len(all))
	for k, a := range all {
		group.Go(func() error {
			out[broken+k] = a.check(u, o)
			done <- struct{}{}
			if o.Progress != nil {
				o.Progress(len(done))
			}
			return nil
		})
	}
	group.Wait()
	return out
}

// check simulates the expectation with each seed until one fails.
func (a expectationCheck) check(u Configuration, o Options) (out Outcome) {
	began := time.Now()
	out = Outcome{File: a.source.Name, Name: a.expectation.Name, Description: a.expectation.Description, Status: Passed, Margin: 1}
	defer func() {
		out.Seconds = time.Since(began).Seconds()
		if p := recover(); p != nil { // a panic in the module under test is a failure of the expectation and must not end the checker
			out.Status, out.Reason = Failed, fmt.Sprintf("the router module panicked: %v", p)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(o.TimeLimit, 30*time.Second))
	defer cancel()
	seeds := a.expectation.Seeds
	if o.Seed != 0 {
		seeds = []uint64{o.Seed}
	} else if len(seeds) == 0 {
		seeds = []uint64{1, 2, 3}
	}
	for _, seed := range seeds {
		r, err := a.play(ctx, u, seed, nil)
		if err != nil {
			out.Status, out.Reason = Unreadable, err.Error()
			return out
		}
		if len(r.simulation.voidReasons) > 0 {
			out.Status, out.Reason, out.Seed = UnknownServer, r.simulation.voidReasons[0], seed
			return out
		}
		out.Exercised += r.exercised
		out.Margin = min(out.Margin, r.margin)
		if r.failure == "" && ctx.Err() != nil {
			out.Status, out.Seed = Failed, seed
			out.Reason = fmt.Sprintf("stopped at the time limit of %v", cmp.Or(o.TimeLimit, 30*time.Second))
			return out
		}
		if r.failure != "" {
			out.Status, out.Reason, out.Seed, out.FailedAt, out.RouterState = Failed, r.failure, seed, r.violatedAt, r.routerState
			if o.Trace {
				out.Trace = a.shortestTrace(ctx, u, seed, r)
			}
			return out
		}
		for _, h := range r.conditions {
			if h.tested == 0 && !a.expectation.MayIdle {
				out.Status, out.Seed = NeverExercised, seed
				out.Reason = fmt.Sprintf("%s: no event met its condition", h.path)
				return out
			}
		}
	}
	return out
}

// run is the result of simulating an expectation once.
type run struct {
	simulation  *simulation
	conditions  []*hold
	exercised   int
	margin      float64
	failure     string // the hold that was violated and how; "": none
	path        string
	violatedAt  float64
	routerState string
	client      uint64
	lines       []string
}

// play simulates the expectation with one seed, without the parts that c omits.
func (a expectationCheck) play(ctx context.Context, u Configuration, seed uint64, c *reduction) (*run, error) {
	w, err := newSimulation(u, a.file, a.expectation, seed)
	if err != nil {
		return nil, err
	}
	r := &run{simulation: w, margin: 1}
	if r.conditions, err = a.conditions(w); err != nil || len(w.voidReasons) > 0 {
		return r, err
	}
	if c != nil {
		c.apply(w)
	}
	values := w.values()
	w.setup.Stop = func() bool { return ctx.Err() != nil }
	w.setup.Observe = func(m *cluster.Observation) bool {
		w.setValues(values, m)
		if c != nil && c.trace && (m.Request == nil || m.Request.RequestKey == c.tracedClient) {
			r.record(w, m)
		}
		for _, h := range r.conditions {
			violation, err := h.observe(m, values)
			if err != nil {
				violation = err.Error()
			}
			if violation != "" {
				r.failure, r.path, r.violatedAt, r.routerState = h.path+": "+violation, h.path, m.Now, w.routerState(m)
				if m.Request != nil {
					r.client = m.Request.RequestKey
				}
				return false
			}
		}
		return true
	}
	result, err := cluster.Run(w.setup)
	if err != nil {
		return nil, err
	}
	if c != nil {
		c.clientCount = result.Clients
	}
	for _, h := range r.conditions {
		if violation := h.finalViolation(); violation != "" && r.failure == "" {
			r.failure, r.path, r.violatedAt = h.path+": "+violation, h.path, w.setup.Duration
			r.routerState = h.firstViolation
		}
		r.exercised += h.tested
		r.margin = min(r.margin, h.margin())
	}
	return r, nil
}

// record adds an event to the trace.
func (r *run) record(w *simulation, m *cluster.Observation) {
	r.lines = append(r.lines, w.traceLine(m))
}

// Count counts outcomes by status.
func Count(all []Outcome) map[Status]int {
	n := map[Status]int{}
	for k := range all {
		n[all[k].Status]++
	}
	return n
}

// sorted returns the keys of a map in ascending order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

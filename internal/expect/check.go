package expect

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"dunereach/admission"
	"dunereach/emulator/cluster"

	"golang.org/x/sync/errgroup"
)

// Status of an expectation.
type Status string

// The statuses, as reports show them.
const (
	Passed Status = "passed"
	Failed Status = "failed"
	Void   Status = "void"            // it names what the list does not have
	Idle   Status = "never exercised" // no moment met its conditions
	Broken Status = "can't be read"
)

// Outcome of one expectation.
type Outcome struct {
	File      string   `json:"file"`
	Name      string   `json:"name"`
	Says      string   `json:"says"`
	Status    Status   `json:"status"`
	Why       string   `json:"why,omitempty"`
	Seed      uint64   `json:"seed,omitempty"` // that it failed with
	At        float64  `json:"at,omitempty"`   // the first moment at which it was broken
	Knew      string   `json:"knew,omitempty"` // what the router knew then
	Exercised int      `json:"exercised"`
	Margin    float64  `json:"margin"` // the least, over holds and seeds: share over the least, seconds to spare; 1 where there is none
	Trace     []string `json:"trace,omitempty"`
	Seconds   float64  `json:"seconds"`
}

// Good tells whether it counts as held.
func (o *Outcome) Good() bool { return o.Status == Passed }

// Options of a check.
type Options struct {
	Seed  uint64        // only this one, 0: those that each names
	Trace bool          // keep the trace of what fails, cut short
	Bound time.Duration // of one expectation, 0: half a minute
	Cores int           // 0: all
	Seen  func(done int)
}

type one struct {
	source Source
	file   *File
	e      *Expectation
}

// Check tries all expectations of the sources. The outcomes stand in the order of the sources, whatever the cores.
func Check(u Under, sources []Source, o Options) []Outcome {
	var all []one
	var out []Outcome
	names := map[string]string{}
	for _, s := range sources {
		if s.Err != nil {
			out = append(out, Outcome{File: s.Name, Name: s.Name, Status: Broken, Why: s.Err.Error()})
			continue
		}
		for k := range s.File.Expectations {
			e := &s.File.Expectations[k]
			if other, twice := names[e.Name]; twice {
				out = append(out, Outcome{File: s.Name, Name: e.Name, Says: e.Says, Status: Broken,
					Why: fmt.Sprintf("/expectations/%d/name: %s has one of that name already", k, other)})
				continue
			}
			names[e.Name] = s.Name
			all = append(all, one{s, s.File, e})
		}
	}
	first := len(out)
	out = append(out, make([]Outcome, len(all))...)
	var group errgroup.Group
	group.SetLimit(cmp.Or(o.Cores, runtime.GOMAXPROCS(0)))
	done := make(chan struct{}, len(all))
	for k, a := range all {
		group.Go(func() error {
			out[first+k] = a.check(u, o)
			done <- struct{}{}
			if o.Seen != nil {
				o.Seen(len(done))
			}
			return nil
		})
	}
	group.Wait()
	return out
}

func (a one) check(u Under, o Options) (out Outcome) {
	began := time.Now()
	out = Outcome{File: a.source.Name, Name: a.e.Name, Says: a.e.Says, Status: Passed, Margin: 1}
	defer func() {
		out.Seconds = time.Since(began).Seconds()
		if p := recover(); p != nil { // of the module: that is a finding, not the checker's end
			out.Status, out.Why = Failed, fmt.Sprintf("the module failed: %v", p)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(o.Bound, 30*time.Second))
	defer cancel()
	seeds := a.e.Seeds
	if o.Seed != 0 {
		seeds = []uint64{o.Seed}
	} else if len(seeds) == 0 {
		seeds = []uint64{1, 2, 3}
	}
	for _, seed := range seeds {
		r, err := a.play(ctx, u, seed, nil)
		if err != nil {
			out.Status, out.Why = Broken, err.Error()
			return out
		}
		if len(r.world.notes) > 0 {
			out.Status, out.Why, out.Seed = Void, r.world.notes[0], seed
			return out
		}
		out.Exercised += r.exercised
		out.Margin = min(out.Margin, r.margin)
		if r.broken == "" && ctx.Err() != nil {
			out.Status, out.Seed = Failed, seed
			out.Why = fmt.Sprintf("it was stopped at its bound of %v", cmp.Or(o.Bound, 30*time.Second))
			return out
		}
		if r.broken != "" {
			out.Status, out.Why, out.Seed, out.At, out.Knew = Failed, r.broken, seed, r.at, r.knew
			if o.Trace {
				out.Trace = a.shortest(ctx, u, seed, r)
			}
			return out
		}
		for _, h := range r.holds {
			if h.n == 0 && !a.e.MayIdle {
				out.Status, out.Seed = Idle, seed
				out.Why = fmt.Sprintf("%s: no moment met its condition", h.place)
				return out
			}
		}
	}
	return out
}

// run is what playing an expectation once came to.
type run struct {
	world     *world
	holds     []*hold
	exercised int
	margin    float64
	broken    string // the hold that broke and how, "": none
	place     string
	at        float64
	knew      string
	client    uint64
	lines     []string
}

// cut leaves out parts of an expectation, to find what it takes for it to fail.
type cut struct {
	happens, streams []bool // left out
	engines          []bool // never there
	clients          int    // of which only the latest so many before the end, 0: all
	upTo             float64
	count            int // clients in all, up to then
	keep             uint64
	trace            bool
}

func (a one) play(ctx context.Context, u Under, seed uint64, c *cut) (*run, error) {
	w, err := build(u, a.file, a.e, seed)
	if err != nil {
		return nil, err
	}
	r := &run{world: w, margin: 1}
	if r.holds, err = a.holds(w); err != nil || len(w.notes) > 0 {
		return r, err
	}
	if c != nil {
		c.apply(w)
	}
	values := w.values()
	w.set.Stop = func() bool { return ctx.Err() != nil }
	w.set.Watch = func(m *cluster.Moment) bool {
		w.fill(values, m)
		if c != nil && c.trace && (m.Try == nil || m.Try.Mark == c.keep) {
			r.note(w, m)
		}
		for _, h := range r.holds {
			why, err := h.see(m, values)
			if err != nil {
				why = err.Error()
			}
			if why != "" {
				r.broken, r.place, r.at, r.knew = h.place+": "+why, h.place, m.Now, w.knew(m)
				if m.Try != nil {
					r.client = m.Try.Mark
				}
				return false
			}
		}
		return true
	}
	result, err := cluster.Run(w.set)
	if err != nil {
		return nil, err
	}
	if c != nil {
		c.count = result.Clients
	}
	for _, h := range r.holds {
		if why := h.over(); why != "" && r.broken == "" {
			r.broken, r.place, r.at = h.place+": "+why, h.place, w.set.Length
			r.knew = h.worst
		}
		r.exercised += h.n
		r.margin = min(r.margin, h.margin())
	}
	return r, nil
}

// befalls tells whether one of the events that are left in is an engine's.
func (c *cut) befalls(w *world, k int) bool {
	for n, h := range w.set.Happens {
		if n < len(c.happens) && !c.happens[n] && slices.Contains(h.Engines, k) {
			return true
		}
	}
	return false
}

func (c *cut) apply(w *world) {
	var kept []cluster.Happening
	for k, h := range w.set.Happens {
		if !c.happens[k] {
			kept = append(kept, h)
		}
	}
	w.set.Happens = kept
	for k := range w.set.Streams {
		if c.streams[k] {
			w.set.Streams[k].Peak = 0
		}
	}
	for k := range w.set.Engines {
		w.set.Engines[k].Absent = w.set.Engines[k].Absent || c.engines[k]
	}
	if c.upTo > 0 {
		w.set.Length = min(w.set.Length, c.upTo)
	}
	if c.clients > 0 {
		from := c.count - c.clients
		w.set.Keep = func(n int) bool { return n >= from }
	}
}

// shortest looks for what can be left out so that the same hold still breaks: events, traffic, the earlier clients. It
// gives the trace of what is left.
func (a one) shortest(ctx context.Context, u Under, seed uint64, r *run) []string {
	c := &cut{happens: make([]bool, len(r.world.set.Happens)), engines: make([]bool, len(r.world.set.Engines)), streams: make([]bool, len(r.world.set.Streams)), upTo: r.at + 1e-6}
	best := r
	tries := 0
	try := func() bool {
		const most = 80 // runs: a second or so
		if tries++; tries > most || ctx.Err() != nil {
			return false
		}
		again, err := a.play(ctx, u, seed, c)
		if err != nil || again.place != r.place {
			return false
		}
		best = again
		return true
	}
	if !try() { // a share is judged at the end: it takes all
		c.upTo = 0
		try()
	}
	for n, part := range [...][]bool{c.happens, c.streams, c.engines} {
		for k := range part {
			const engines, many = 2, 20                                    // each is a run: of many engines it would take them all
			if len(part) > many || n == engines && c.befalls(r.world, k) { // what is to happen to it takes it
				continue
			}
			if part[k] = true; !try() {
				part[k] = false
			}
		}
	}
	for n := 1; c.count > 0 && n < c.count; n *= 2 {
		if c.clients = n; try() {
			break
		}
		c.clients = 0
	}
	c.trace, c.keep = true, best.client
	last, err := a.play(ctx, u, seed, c)
	if err != nil {
		return nil
	}
	var head []string
	left := func(what string, of []bool, name func(int) string) {
		var names []string
		for k, out := range of {
			if !out {
				names = append(names, name(k))
			}
		}
		if len(names) > 0 {
			head = append(head, what+": "+strings.Join(names, ", "))
		}
	}
	left("it takes these events", c.happens, func(k int) string {
		return fmt.Sprintf("%s at %v s", a.e.Happens[k].What, a.e.Happens[k].At)
	})
	left("and this traffic", c.streams, func(k int) string { return r.world.set.Streams[k].Name })
	left("and these engines", c.engines, func(k int) string { return r.world.named[k] })
	if c.clients > 0 {
		head = append(head, fmt.Sprintf("and the last %d clients before", c.clients))
	}
	const most = 40 // lines
	if n := len(last.lines); n > most {
		last.lines = append([]string{fmt.Sprintf("... %d lines before", n-most)}, last.lines[n-most:]...)
	}
	return append(head, last.lines...)
}

func (r *run) note(w *world, m *cluster.Moment) { r.lines = append(r.lines, w.line(m)) }

// line prints a moment.
func (w *world) line(m *cluster.Moment) string {
	s := fmt.Sprintf("%9.3f router %d %-8s", m.Now, m.Router, m.On)
	if m.Try != nil {
		s += fmt.Sprintf(" %s try %d", m.Stream.Name, m.Try.Number)
	}
	switch m.On {
	case cluster.Sent:
		s += fmt.Sprintf(" send %d to %s (told %s, level %d)", m.Number, w.named[m.Engine], stateName(m.Told), m.Level)
	case cluster.SendEnded:
		s += fmt.Sprintf(" send %d at %s: %s", m.Number, w.named[m.Engine], ends[m.End])
	case cluster.Final:
		s += " " + m.Try.How.String()
	case cluster.Listed:
		s += fmt.Sprintf(" number %d, %d engines ready", m.Rev, m.Listed)
	}
	return s
}

// knew is what a router knew at a moment.
func (w *world) knew(m *cluster.Moment) string {
	s := fmt.Sprintf("list number %d", m.Rev)
	if m.Engine >= 0 {
		s += fmt.Sprintf("; engine %s told %s for %.3f s and %s, %d queries there", w.named[m.Engine], stateName(m.Told), m.ToldFor,
			stateName(m.True), m.EngineN)
	}
	if m.Try != nil {
		s += fmt.Sprintf("; command of %s, waited %.3f s, send %d, %d out", m.Stream.Name, m.Waited, m.Number, m.Out)
	}
	return s
}

func stateName(s admission.State) string { return [...]string{"gone", "draining", "ready"}[s] }

var ends = [...]string{"answered", "errored", "turned_away", "timed_out", "unreachable", "cut", "cancelled", "moot"}

// hold is one condition with what has been seen of it.
type hold struct {
	Hold
	place      string
	when, that program
	then       program
	n, good    int
	least      float64 // seconds to spare
	open       map[uint64]float64
	worst      string
}

// see takes a moment in; why tells how it broke the hold.
func (h *hold) see(m *cluster.Moment, values map[string]any) (why string, err error) {
	on := func(name string) bool { return m.On.String() == name }
	switch {
	case h.Never != nil && on(h.Never.On):
		return h.rule(values, false, "it is so")
	case h.Always != nil && on(h.Always.On):
		return h.rule(values, true, "it is not so")
	case h.AtLeast != nil && on(h.AtLeast.On):
		is, err := h.when.is(values)
		if !is || err != nil {
			return "", err
		}
		h.n++
		if is, err = h.that.is(values); is {
			h.good++
		} else if h.worst == "" {
			h.worst = fmt.Sprintf("the first that was not so at %.3f s", m.Now)
		}
		return "", err
	case h.Within != nil && m.Try != nil:
		client := m.Try.Mark<<8 | uint64(m.Try.Number&0xff)
		if on(h.Within.Then) {
			if from, ok := h.open[client]; ok {
				is, err := h.then.is(values)
				if err != nil {
					return "", err
				}
				if took := m.Now - from; is {
					delete(h.open, client)
					if h.least = min(h.least, h.Within.Seconds-took); took <= h.Within.Seconds {
						h.good++
					} else if why := h.late(took); why != "" {
						return why, nil
					}
				}
			}
		}
		if on(h.Within.On) {
			is, err := h.when.is(values)
			if is {
				h.n++
				h.open[client] = m.Now
			}
			return "", err
		}
		if m.On == cluster.Final { // nothing comes of it any more
			if from, ok := h.open[client]; ok {
				delete(h.open, client)
				return h.late(m.Now - from), nil
			}
		}
	}
	return "", nil
}

func (h *hold) late(took float64) string {
	if h.Within.Share == 0 || h.Within.Share == 1 {
		return fmt.Sprintf("%.3f s, of %v at most", took, h.Within.Seconds)
	}
	return ""
}

func (h *hold) rule(values map[string]any, want bool, why string) (string, error) {
	is, err := h.when.is(values)
	if !is || err != nil {
		return "", err
	}
	h.n++
	if is, err = h.that.is(values); err != nil || is == want {
		return "", err
	}
	return why, nil
}

// over judges what only shows at the end.
func (h *hold) over() string {
	share := 0.0
	switch {
	case h.AtLeast != nil:
		share = h.AtLeast.Share
	case h.Within != nil:
		share = cmp.Or(h.Within.Share, 1)
		h.n -= len(h.open) // still under way
	}
	if h.n > 0 && float64(h.good) < share*float64(h.n) && (h.AtLeast != nil || h.Within != nil) {
		return fmt.Sprintf("%d of %d, %.4f, under %v", h.good, h.n, float64(h.good)/float64(h.n), share)
	}
	return ""
}

func (h *hold) margin() float64 {
	switch {
	case h.n == 0:
		return 1
	case h.AtLeast != nil:
		return float64(h.good)/float64(h.n) - h.AtLeast.Share
	case h.Within != nil && h.Within.Share > 0 && h.Within.Share < 1:
		return float64(h.good)/float64(h.n) - h.Within.Share
	case h.Within != nil && !math.IsInf(h.least, 1):
		return h.least
	}
	return 1
}

// Count outcomes by status.
func Count(all []Outcome) map[Status]int {
	n := map[Status]int{}
	for k := range all {
		n[all[k].Status]++
	}
	return n
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

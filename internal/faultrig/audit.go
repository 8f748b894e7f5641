package faultrig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"dunereach/internal/boottime"
	"dunereach/internal/fake"
)

// audit looks at all processes from outside: at what they log of their acts, by the machine's one clock, at what engines were
// sent and at what clients got. It knows none of their accounts.
type audit struct {
	rig *Rig
	mu  sync.Mutex

	acts         map[string][]act        // by work
	spans        map[string][]span       // by work
	runs         map[string][][2]float64 // of each process: from, until
	startupUntil map[string]float64      // of each life: until when it began with its parts laid down
	refusals     int
	ownerLostAt  map[string]float64 // works whose owner was taken away, since when
	ownerGaps    []float64
	failedExits  []string

	attemptsByServer  map[int]int    // sends by engine
	probes            []Probe        // attempts at servers that answer nothing, the last ones
	lowestLevel       int            // sends of the lowest level
	runsByStatement   map[string]int // by statement
	Asked, Answered   int
	Shed, Failed, Cut int
	Twice             int
	violations        []string
	slowest           float64
}

type act struct {
	at    float64
	fence uint64
	actor string
	run   int
}

// span of time in which a process laid its part down, or may use one.
type span struct {
	actor        string
	run          int
	at, until    float64
	share        float64
	relinquished bool
}

// Probe is an attempt that reached a server while it answered nothing.
type Probe struct {
	Server int
	Router string
	At     float64 // seconds since the rig began
}

const keptProbes = 1000 // the last ones

// addHungProbe keeps an attempt at a server that answers nothing. Its statement names the router.
func (a *audit) addHungProbe(server int, statement string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if words := strings.Fields(statement); len(words) > 2 {
		a.probes = append(a.probes[max(len(a.probes)-keptProbes, 0):], Probe{server, words[2], time.Since(a.rig.startedAt).Seconds()})
	}
}

// Probes is the attempts at a server while it answered nothing, in order.
func (r *Rig) Probes(server int) (probes []Probe) {
	r.audit.mu.Lock()
	defer r.audit.mu.Unlock()
	for _, p := range r.audit.probes {
		if p.Server == server {
			probes = append(probes, p)
		}
	}
	return probes
}

func newAudit(rig *Rig) *audit {
	return &audit{rig: rig, acts: map[string][]act{}, spans: map[string][]span{}, runs: map[string][][2]float64{}, ownerLostAt: map[string]float64{},
		runsByStatement: map[string]int{}, attemptsByServer: map[int]int{}, startupUntil: map[string]float64{}}
}

func (a *audit) processStarted(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[p.name] = append(a.runs[p.name], [2]float64{boottime.Now(), math.Inf(1)})
}

func (a *audit) processGone(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.runs[p.name]; math.IsInf(l[len(l)-1][1], 1) {
		l[len(l)-1][1] = boottime.Now()
	}
}

func (a *audit) processExited(p *process, run, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status > 0 && !p.exitExpected { // a signal of ours is no status
		a.failedExits = append(a.failedExits, fmt.Sprintf("%s ended with status %d: %s", p.name, status, strings.Join(p.tail[max(len(p.tail)-1, 0):], "")))
	}
}

// logLine of a process's log.
func (a *audit) logLine(p *process, run int, text []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.tail = append(p.tail, string(text)); len(p.tail) > 60 {
		p.tail = p.tail[1:]
	}
	var l struct {
		Msg   string  `json:"msg"`
		What  string  `json:"what"`
		Task  string  `json:"work"`
		Fence uint64  `json:"fence"`
		Share float64 `json:"part"`
		At    float64 `json:"at"`
		Until float64 `json:"until"`
	}
	if !strings.Contains(string(text), `"msg":"trace `) || json.Unmarshal(text, &l) != nil {
		return
	}
	switch l.What {
	case "act":
		a.acts[l.Task] = append(a.acts[l.Task], act{l.At, l.Fence, p.name, run})
		if at, ok := a.ownerLostAt[l.Task]; ok && l.At > at {
			all := a.acts[l.Task]
			if len(all) > 1 && all[len(all)-2].fence < l.Fence {
				a.ownerGaps = append(a.ownerGaps, l.At-at)
				delete(a.ownerLostAt, l.Task)
			}
		}
	case "begins": // with its parts laid down until then
		a.startupUntil[fmt.Sprint(p.name, "/", run)] = l.Until
	case "laid", "part":
		a.spans[l.Task] = append(a.spans[l.Task], span{p.name, run, l.At, l.Until, l.Share, l.What == "laid"})
	case "refused":
		a.refusals++
	}
}

func (a *audit) tail(p *process) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(p.tail)
}

// latestAct act on a work, if it was of late.
func (a *audit) latestAct(task string) (act, bool) {
	all := a.acts[task]
	if len(all) == 0 {
		return act{}, false
	}
	last := all[len(all)-1]
	const late = 1.2 // two acts of half a second may be missed
	p := a.rig.procs[last.actor]
	return last, boottime.Now()-last.at < late && p.running && p.run == last.run && !p.stopped
}

// works of the scenario's engines that anybody has acted on, warmUpTasks only.
func (a *audit) warmUpTasks() (all []string) {
	for w := range a.acts {
		if strings.HasPrefix(w, "warmth/") {
			all = append(all, w)
		}
	}
	slices.Sort(all)
	return all
}

// firstTask of the works, by name.
func (a *audit) firstTask() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if all := a.warmUpTasks(); len(all) > 0 {
		return all[0]
	}
	return ""
}

func (a *audit) ownerOf(n int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.warmUpTasks()
	if n >= len(all) {
		return ""
	}
	if last, ok := a.latestAct(all[n]); ok {
		return last.actor
	}
	return ""
}

// checkOwned tells which engine's warmth has no owner that acts, or no part in use.
func (a *audit) checkOwned(granted bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.warmUpTasks()
	if len(all) < a.rig.file.Engines {
		return fmt.Errorf("%d of %d engines have ever had an owner", len(all), a.rig.file.Engines)
	}
	for name, runs := range a.runs {
		if _, ok := a.startupUntil[fmt.Sprint(name, "/", len(runs))]; !ok && name[0] == 'n' && math.IsInf(runs[len(runs)-1][1], 1) {
			return fmt.Errorf("%s has not begun", name)
		}
	}
	for _, w := range all {
		if _, ok := a.latestAct(w); !ok {
			return fmt.Errorf("%s has no owner that acts", w)
		}
		if granted {
			spans := a.spans[w]
			if !slices.ContainsFunc(spans, func(s span) bool { return !s.relinquished && s.share > 0 && s.until > boottime.Now() }) {
				return fmt.Errorf("nothing of %s is dealt", w)
			}
		}
	}
	return nil
}

func (a *audit) checkGranted() error { return a.checkOwned(true) }

// markOwnerLost notes the works of a process that is about to end.
func (a *audit) markOwnerLost(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.acts {
		if last, ok := a.latestAct(w); ok && last.actor == p.name {
			a.ownerLostAt[w] = boottime.Now()
		}
	}
}

// Figures of a run.
type Figures struct {
	Acts     int     // of owners
	Old      int     // acts after one under a higher fence, or under a fence of another process
	Refused  int     // letters under an old fence that a receiver refused
	Worst    float64 // most of an allowance that may have been in use at a moment
	Gaps     []float64
	Asked    int
	Answered int
	Shed     int
	Failed   int
	Cut      int // connections that ended, as their router did
	Twice    int // commands that ran twice
	Slowest  float64
	Wrong    []string
}

// Figures and what is wrong.
func (a *audit) figures() Figures {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := Figures{Refused: a.refusals, Gaps: slices.Clone(a.ownerGaps), Asked: a.Asked, Answered: a.Answered, Shed: a.Shed, Failed: a.Failed, Cut: a.Cut,
		Twice: a.Twice, Slowest: a.slowest}
	f.Wrong = append(f.Wrong, a.violations...)
	f.Wrong = append(f.Wrong, a.failedExits...)
	for work, all := range a.acts {
		f.Acts += len(all)
		stale := staleActs(work, all)
		f.Old += len(stale)
		f.Wrong = append(f.Wrong, stale...)
	}
	for work, spans := range a.spans {
		if !strings.HasPrefix(work, "warmth/") {
			continue
		}
		if sum, at := a.maxInUse(spans); sum > f.Worst {
			if f.Worst = sum; sum > 1+1e-9 {
				f.Wrong = append(f.Wrong, fmt.Sprintf("%s: %.4f of the allowance may have been in use at %.3f", work, sum, at))
			}
		}
	}
	return f
}

// staleActs tells of each act on a task under a fence that was lower than an earlier act's, or another process's.
func staleActs(task string, acts []act) (violations []string) {
	sorted := slices.Clone(acts)
	slices.SortStableFunc(sorted, func(x, y act) int { return cmp.Compare(x.at, y.at) })
	highest, actor := uint64(0), map[uint64]string{}
	for _, x := range sorted {
		run := fmt.Sprint(x.actor, "/", x.run)
		if x.fence < highest || actor[x.fence] != "" && actor[x.fence] != run {
			violations = append(violations, fmt.Sprintf("%s: %s acted under fence %d after %d", task, run, x.fence, highest))
		}
		highest, actor[x.fence] = max(highest, x.fence), run
	}
	return violations
}

const window = 1.0 // seconds of the cold engines' limit

// maxInUse sum of parts over all routers within any window. A router's part is what was dealt to it, nothing while it lays its
// own down, else the equal part.
func (a *audit) maxInUse(spans []span) (maxInUse, maxAt float64) {
	byRun := map[string][]span{}
	var times []float64
	for _, s := range spans {
		key := fmt.Sprint(s.actor, "/", s.run)
		byRun[key] = append(byRun[key], s) // in the order that they came
		times = append(times, s.at, s.until-1e-6, s.until+1e-6)
	}
	for _, ownSpans := range byRun {
		slices.SortStableFunc(ownSpans, func(x, y span) int { return cmp.Compare(x.at, y.at) })
	}
	for _, t := range sample(times) {
		sum := 0.0
		for n := range a.rig.file.Routers {
			name := fmt.Sprint("n", n+1)
			for k, run := range a.runs[name] {
				if run[0] > t || run[1]+window < t {
					continue
				}
				key := fmt.Sprint(name, "/", k+1)
				sum += a.shareInUse(key, run, byRun[key], t)
			}
		}
		if sum > maxInUse {
			maxInUse, maxAt = sum, t
		}
	}
	return maxInUse, maxAt
}

// sample leaves so many of the moments that all of a short run's are looked at.
func sample(times []float64) []float64 {
	const most = 1000
	if len(times) <= most {
		return times
	}
	step := len(times) / most
	thin := times[:0]
	for k := 0; k < len(times); k += step + 1 {
		thin = append(thin, times[k])
	}
	return thin
}

// shareInUse is the most of the allowance that a process, which lived from life[0] to life[1], may have used in the window before t.
func (a *audit) shareInUse(key string, run [2]float64, ownSpans []span, t float64) float64 {
	share := 0.0
	for _, s := range spansNear(ownSpans, t) {
		if end := min(s.until, run[1]); !s.relinquished && s.at <= t && end+window > t {
			share = max(share, s.share)
		}
	}
	// The equal part, at some moment of the window: only a life that goes on is counted, since a restart has its part twice
	// without a fleet as well.
	if run[1] > t && a.hadEqualShare(key, ownSpans, run[0], t) {
		share = max(share, 1/float64(a.rig.file.Routers))
	}
	return share
}

// spansNear is the spans that can reach a moment: none is longer than that, and they lie in the order that they began.
func spansNear(all []span, t float64) []span {
	const longest = 30.0
	from := sort.Search(len(all), func(k int) bool { return all[k].at >= t-longest })
	to := sort.Search(len(all), func(k int) bool { return all[k].at > t })
	return all[from:max(to, from)]
}

// hadEqualShare tells whether a process had its hadEqualShare part at some moment of the window before t: it lays it down from its start on for
// a while, where an earlier process of its name may have done so, and with each pledge.
func (a *audit) hadEqualShare(key string, ownSpans []span, from, t float64) bool {
	ownSpans = spansNear(ownSpans, t)
	until, ok := a.startupUntil[key]
	if !ok {
		return false // it has only just been started: it takes no command before it has said that it begins
	}
	covered := max(from, t-window, until)
	for _, s := range ownSpans {
		if s.relinquished && s.at <= covered+1e-6 {
			covered = max(covered, s.until)
		}
	}
	return covered < t
}

// attemptReceived tells that an engine got a statement.
func (a *audit) attemptReceived(engine int, statement string, lowestLevel bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attemptsByServer[engine]++
	if lowestLevel {
		a.lowestLevel++
	}
	if a.runsByStatement[statement]++; a.runsByStatement[statement] > 1 && strings.Contains(statement, "order") {
		a.Twice++
		a.violations = append(a.violations, fmt.Sprintf("%q, which may run once, ran %d times", statement, a.runsByStatement[statement]))
	}
}

// runClient of one router: one command after another, each of which must have one answer within its time while the router lives.
func (r *Rig) runClient(n, k int) {
	p := r.procs[fmt.Sprint("n", n+1)]
	a := r.audit
	for seq := 0; ; {
		d := &fake.Desk{}
		c, ok := r.dial(d, p)
		if !ok {
			return
		}
		for {
			select {
			case <-r.stop:
				d.End()
				return
			case <-time.After(20 * time.Millisecond):
			}
			seq++
			profile := "lookup"
			if seq%3 == 0 {
				profile = "order"
			}
			began := time.Now()
			number := c.Call(fmt.Sprintf("/* %s %s %d %d work=%.4f threads=1 */", profile, p.name, k, seq, cmp.Or(r.options.Work, 0.005)), "service", profile, "project", "acme", "allow", "5000",
				"ref", fmt.Sprintf("%04x%04x%08x", n, k, seq))
			got := c.Next()
			if !a.addAnswer(p, number, got, time.Since(began).Seconds()) {
				break
			}
		}
		d.End()
	}
}

func (r *Rig) dial(d *fake.Desk, p *process) (c *fake.Client, ok bool) {
	for {
		select {
		case <-r.stop:
			return nil, false
		case <-time.After(20 * time.Millisecond):
		}
		if !r.audit.running(p) {
			continue
		}
		func() {
			defer func() { recover() }() // it did not come up in time: asked again
			c = fake.NewClient(d, p.addr)
		}()
		if c != nil {
			return c, true
		}
	}
}

func (a *audit) running(p *process) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.runs[p.name]
	return len(l) > 0 && math.IsInf(l[len(l)-1][1], 1)
}

// addAnswer notes one; false: the connection is over.
func (a *audit) addAnswer(p *process, number int32, got string, took float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Asked++
	switch {
	case strings.HasPrefix(got, fmt.Sprintf("2/%d call{ 0={", number)):
		a.Answered++
	case strings.HasPrefix(got, fmt.Sprintf("2/%d call{ 1={", number)):
		a.Shed++
	case strings.HasPrefix(got, fmt.Sprintf("2/%d call{", number)):
		a.Failed++
	case strings.HasPrefix(got, "2/"):
		a.violations = append(a.violations, fmt.Sprintf("%s: answer %q to call %d", p.name, got, number))
		return false
	default:
		a.Cut++
		return false
	}
	a.slowest = max(a.slowest, took)
	return true
}

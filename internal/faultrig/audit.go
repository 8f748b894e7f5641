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
)

// audit observes all processes from outside: the acts that they log, on the machine's one clock, the requests that
// servers receive and the answers that clients get. It does not use the processes' own accounting.
type audit struct {
	rig *Rig
	mu  sync.Mutex

	acts         map[string][]act        // by task
	spans        map[string][]span       // by task
	runs         map[string][][2]float64 // runs of each process: from, until
	startupUntil map[string]float64      // by run: the end of the time after the start in which it relinquishes its shares
	refusals     int
	ownerLostAt  map[string]float64 // tasks whose owner was ended, with the time
	ownerGaps    []float64
	failedExits  []string

	attemptsByServer               map[int]int    // attempts by server
	probes                         []Probe        // the latest attempts at servers that do not answer
	lowestLevel                    int            // attempts at the lowest priority level
	runsByStatement                map[string]int // number of runs by statement
	Requests, Completed            int
	Rejected, Failed, Disconnected int
	RanTwice                       int
	violations                     []string
	slowest                        float64
}

// act is an act on a task under a fence.
type act struct {
	at    float64
	fence uint64
	actor string
	run   int
}

// span is a time in which a process relinquished its share of an allowance, or may use a granted share.
type span struct {
	actor        string
	run          int
	at, until    float64
	share        float64
	relinquished bool
}

// Probe is an attempt that reached a server while it did not answer.
type Probe struct {
	Server int
	Router string
	At     float64 // seconds since the start of the rig
}

const keptProbes = 1000 // number of latest probes that are kept

// addHungProbe records an attempt at a server that does not answer. The statement contains the name of the router.
func (a *audit) addHungProbe(server int, statement string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if words := strings.Fields(statement); len(words) > 2 {
		a.probes = append(a.probes[max(len(a.probes)-keptProbes, 0):], Probe{server, words[2], time.Since(a.rig.startedAt).Seconds()})
	}
}

// Probes returns the attempts at a server while it did not answer, in order.
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

// processStarted records the start of a process.
func (a *audit) processStarted(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs[p.name] = append(a.runs[p.name], [2]float64{boottime.Now(), math.Inf(1)})
}

// processGone records the end of the current run of a process.
func (a *audit) processGone(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.runs[p.name]; math.IsInf(l[len(l)-1][1], 1) {
		l[len(l)-1][1] = boottime.Now()
	}
}

// processExited records an unexpected exit with an error status.
func (a *audit) processExited(p *process, run, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status > 0 && !p.exitExpected { // processes that the rig ended by a signal have no positive status
		a.failedExits = append(a.failedExits, fmt.Sprintf("%s ended with status %d: %s", p.name, status, strings.Join(p.tail[max(len(p.tail)-1, 0):], "")))
	}
}

// logLine evaluates one line of a process's log.
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
	case "begins": // it relinquishes its shares until then
		a.startupUntil[fmt.Sprint(p.name, "/", run)] = l.Until
	case "laid", "part":
		a.spans[l.Task] = append(a.spans[l.Task], span{p.name, run, l.At, l.Until, l.Share, l.What == "laid"})
	case "refused":
		a.refusals++
	}
}

// tail returns the last lines of a process's log.
func (a *audit) tail(p *process) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(p.tail)
}

// latestAct returns the latest act on a task, and whether it is recent and by a process that still runs.
func (a *audit) latestAct(task string) (act, bool) {
	all := a.acts[task]
	if len(all) == 0 {
		return act{}, false
	}
	last := all[len(all)-1]
	const maxActAge = 1.2 // owners act every half second; two acts may be missed
	p := a.rig.procs[last.actor]
	return last, boottime.Now()-last.at < maxActAge && p.running && p.run == last.run && !p.stopped
}

// warmUpTasks returns the warm-up tasks that any owner has acted on, sorted by name.
func (a *audit) warmUpTasks() (all []string) {
	for w := range a.acts {
		if strings.HasPrefix(w, "warmth/") {
			all = append(all, w)
		}
	}
	slices.Sort(all)
	return all
}

// firstTask returns the first warm-up task by name.
func (a *audit) firstTask() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if all := a.warmUpTasks(); len(all) > 0 {
		return all[0]
	}
	return ""
}

// ownerOf returns the owner of the warm-up task with index n, "" if nobody acted on it recently.
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

// checkOwned returns an error if a router has not begun, a server's warm-up task has no owner that acts or, if granted,
// no share of it is in use.
func (a *audit) checkOwned(granted bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.warmUpTasks()
	if len(all) < a.rig.file.Servers {
		return fmt.Errorf("only %d of %d servers have had an owner so far", len(all), a.rig.file.Servers)
	}
	for name, runs := range a.runs {
		if _, ok := a.startupUntil[fmt.Sprint(name, "/", len(runs))]; !ok && name[0] == 'n' && math.IsInf(runs[len(runs)-1][1], 1) {
			return fmt.Errorf("%s has not begun to serve", name)
		}
	}
	for _, w := range all {
		if _, ok := a.latestAct(w); !ok {
			return fmt.Errorf("%s has no acting owner", w)
		}
		if granted {
			spans := a.spans[w]
			if !slices.ContainsFunc(spans, func(s span) bool { return !s.relinquished && s.share > 0 && s.until > boottime.Now() }) {
				return fmt.Errorf("no share of %s is granted", w)
			}
		}
	}
	return nil
}

// checkGranted is checkOwned with granted shares.
func (a *audit) checkGranted() error { return a.checkOwned(true) }

// markOwnerLost records the tasks of a process that is about to end.
func (a *audit) markOwnerLost(p *process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.acts {
		if last, ok := a.latestAct(w); ok && last.actor == p.name {
			a.ownerLostAt[w] = boottime.Now()
		}
	}
}

// Figures are the results of a run.
type Figures struct {
	Acts             int     // acts of owners
	StaleActs        int     // acts after an act under a higher fence, or under a fence of another process
	MessagesRejected int     // messages under a stale fence that a receiver rejected
	MaxInUse         float64 // largest share of an allowance that may have been in use at any time
	OwnerGaps        []float64
	Requests         int
	Completed        int
	Rejected         int
	Failed           int
	Disconnected     int // connections that ended when their router did
	RanTwice         int // requests that ran twice
	SlowestAnswer    float64
	Violations       []string
}

// figures returns the results so far, with all violations.
func (a *audit) figures() Figures {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := Figures{MessagesRejected: a.refusals, OwnerGaps: slices.Clone(a.ownerGaps), Requests: a.Requests, Completed: a.Completed, Rejected: a.Rejected, Failed: a.Failed, Disconnected: a.Disconnected,
		RanTwice: a.RanTwice, SlowestAnswer: a.slowest}
	f.Violations = append(f.Violations, a.violations...)
	f.Violations = append(f.Violations, a.failedExits...)
	for task, taskActs := range a.acts {
		f.Acts += len(taskActs)
		stale := staleActs(task, taskActs)
		f.StaleActs += len(stale)
		f.Violations = append(f.Violations, stale...)
	}
	for task, spans := range a.spans {
		if !strings.HasPrefix(task, "warmth/") {
			continue
		}
		if sum, at := a.maxInUse(spans); sum > f.MaxInUse {
			if f.MaxInUse = sum; sum > 1+1e-9 {
				f.Violations = append(f.Violations, fmt.Sprintf("%s: a share of %.4f of the allowance may have been in use at %.3f", task, sum, at))
			}
		}
	}
	return f
}

// staleActs describes each act on a task under a fence that was lower than an earlier act's or belonged to another
// process.
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

const window = 1.0 // length in seconds of the window over which attempts at cold servers are limited

// maxInUse returns the largest sum of shares over all routers within any window, and its time. A router's share is the
// granted one, none while it relinquishes its own, and the equal share otherwise.
func (a *audit) maxInUse(spans []span) (maxInUse, maxAt float64) {
	byRun := map[string][]span{}
	var times []float64
	for _, s := range spans {
		key := fmt.Sprint(s.actor, "/", s.run)
		byRun[key] = append(byRun[key], s) // in the order of their arrival
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

// sample returns evenly spaced elements of times, all of them for a short run, so that the cost of long runs is
// bounded.
func sample(times []float64) []float64 {
	const maxTimes = 1000
	if len(times) <= maxTimes {
		return times
	}
	step := len(times) / maxTimes
	thin := times[:0]
	for k := 0; k < len(times); k += step + 1 {
		thin = append(thin, times[k])
	}
	return thin
}

// shareInUse returns the largest share of the allowance that a process, which ran from run[0] to run[1], may have used
// in the window before t.
func (a *audit) shareInUse(key string, run [2]float64, ownSpans []span, t float64) float64 {
	share := 0.0
	for _, s := range spansNear(ownSpans, t) {
		if end := min(s.until, run[1]); !s.relinquished && s.at <= t && end+window > t {
			share = max(share, s.share)
		}
	}
	// The equal share at any time in the window. Only a run that continues after t is counted, since a restarted process
	// uses its share twice without a fleet as well.
	if run[1] > t && a.hadEqualShare(key, ownSpans, run[0], t) {
		share = max(share, 1/float64(a.rig.file.Routers))
	}
	return share
}

// spansNear returns the spans that can include t. Spans are at most 30 seconds long and sorted by their start.
func spansNear(all []span, t float64) []span {
	const longest = 30.0
	from := sort.Search(len(all), func(k int) bool { return all[k].at >= t-longest })
	to := sort.Search(len(all), func(k int) bool { return all[k].at > t })
	return all[from:max(to, from)]
}

// hadEqualShare reports whether a process had its equal share at any time in the window before t. A process
// relinquishes it for a while after its start, since an earlier process of its name may have relinquished it, and with
// each relinquish message.
func (a *audit) hadEqualShare(key string, ownSpans []span, from, t float64) bool {
	ownSpans = spansNear(ownSpans, t)
	until, ok := a.startupUntil[key]
	if !ok {
		return false // it has just started and accepts no requests before it logs that it begins
	}
	coveredUntil := max(from, t-window, until)
	for _, s := range ownSpans {
		if s.relinquished && s.at <= coveredUntil+1e-6 {
			coveredUntil = max(coveredUntil, s.until)
		}
	}
	return coveredUntil < t
}

// attemptReceived records that a server received a statement.
func (a *audit) attemptReceived(engine int, statement string, lowestLevel bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attemptsByServer[engine]++
	if lowestLevel {
		a.lowestLevel++
	}
	if a.runsByStatement[statement]++; a.runsByStatement[statement] > 1 && strings.Contains(statement, "order") {
		a.RanTwice++
		a.violations = append(a.violations, fmt.Sprintf("%q is not idempotent and ran %d times", statement, a.runsByStatement[statement]))
	}
}

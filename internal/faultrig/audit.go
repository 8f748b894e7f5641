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
	r  *Rig
	mu sync.Mutex

	acts    map[string][]act        // by work
	spans   map[string][]span       // by work
	lives   map[string][][2]float64 // of each process: from, until
	start   map[string]float64      // of each life: until when it began with its parts laid down
	refused int
	lost    map[string]float64 // works whose owner was taken away, since when
	gaps    []float64
	ended   []string

	to                map[int]int    // sends by engine
	probes            []Probe        // attempts at servers that answer nothing, the last ones
	low               int            // sends of the lowest level
	ran               map[string]int // by statement
	Asked, Answered   int
	Shed, Failed, Cut int
	Twice             int
	wrong             []string
	slowest           float64
}

type act struct {
	at    float64
	fence uint64
	who   string
	life  int
}

// span of time in which a process laid its part down, or may use one.
type span struct {
	who       string
	life      int
	at, until float64
	part      float64
	laid      bool
}

// Probe is an attempt that reached a server while it answered nothing.
type Probe struct {
	Server int
	Router string
	At     float64 // seconds since the rig began
}

const keptProbes = 1000 // the last ones

// hungProbe keeps an attempt at a server that answers nothing. Its statement names the router.
func (a *audit) hungProbe(server int, statement string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if words := strings.Fields(statement); len(words) > 2 {
		a.probes = append(a.probes[max(len(a.probes)-keptProbes, 0):], Probe{server, words[2], time.Since(a.r.began).Seconds()})
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

func newAudit(r *Rig) *audit {
	return &audit{r: r, acts: map[string][]act{}, spans: map[string][]span{}, lives: map[string][][2]float64{}, lost: map[string]float64{},
		ran: map[string]int{}, to: map[int]int{}, start: map[string]float64{}}
}

func (a *audit) started(p *proc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lives[p.name] = append(a.lives[p.name], [2]float64{boottime.Now(), math.Inf(1)})
}

func (a *audit) gone(p *proc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.lives[p.name]; math.IsInf(l[len(l)-1][1], 1) {
		l[len(l)-1][1] = boottime.Now()
	}
}

func (a *audit) endedProc(p *proc, life, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if status > 0 && !p.fails { // a signal of ours is no status
		a.ended = append(a.ended, fmt.Sprintf("%s ended with status %d: %s", p.name, status, strings.Join(p.tail[max(len(p.tail)-1, 0):], "")))
	}
}

// line of a process's log.
func (a *audit) line(p *proc, life int, text []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.tail = append(p.tail, string(text)); len(p.tail) > 60 {
		p.tail = p.tail[1:]
	}
	var l struct {
		Msg   string  `json:"msg"`
		What  string  `json:"what"`
		Work  string  `json:"work"`
		Fence uint64  `json:"fence"`
		Part  float64 `json:"part"`
		At    float64 `json:"at"`
		Until float64 `json:"until"`
	}
	if !strings.Contains(string(text), `"msg":"trace `) || json.Unmarshal(text, &l) != nil {
		return
	}
	switch l.What {
	case "act":
		a.acts[l.Work] = append(a.acts[l.Work], act{l.At, l.Fence, p.name, life})
		if at, ok := a.lost[l.Work]; ok && l.At > at {
			all := a.acts[l.Work]
			if len(all) > 1 && all[len(all)-2].fence < l.Fence {
				a.gaps = append(a.gaps, l.At-at)
				delete(a.lost, l.Work)
			}
		}
	case "begins": // with its parts laid down until then
		a.start[fmt.Sprint(p.name, "/", life)] = l.Until
	case "laid", "part":
		a.spans[l.Work] = append(a.spans[l.Work], span{p.name, life, l.At, l.Until, l.Part, l.What == "laid"})
	case "refused":
		a.refused++
	}
}

func (a *audit) tail(p *proc) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(p.tail)
}

// latest act on a work, if it was of late.
func (a *audit) latest(work string) (act, bool) {
	all := a.acts[work]
	if len(all) == 0 {
		return act{}, false
	}
	last := all[len(all)-1]
	const late = 1.2 // two acts of half a second may be missed
	p := a.r.procs[last.who]
	return last, boottime.Now()-last.at < late && p.up && p.life == last.life && !p.stopped
}

// works of the scenario's engines that anybody has acted on, warmth only.
func (a *audit) warmth() (all []string) {
	for w := range a.acts {
		if strings.HasPrefix(w, "warmth/") {
			all = append(all, w)
		}
	}
	slices.Sort(all)
	return all
}

// first of the works, by name.
func (a *audit) first() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if all := a.warmth(); len(all) > 0 {
		return all[0]
	}
	return ""
}

func (a *audit) owner(n int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.warmth()
	if n >= len(all) {
		return ""
	}
	if last, ok := a.latest(all[n]); ok {
		return last.who
	}
	return ""
}

// owned tells which engine's warmth has no owner that acts, or no part in use.
func (a *audit) owned(dealt bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := a.warmth()
	if len(all) < a.r.file.Engines {
		return fmt.Errorf("%d of %d engines have ever had an owner", len(all), a.r.file.Engines)
	}
	for name, lives := range a.lives {
		if _, ok := a.start[fmt.Sprint(name, "/", len(lives))]; !ok && name[0] == 'n' && math.IsInf(lives[len(lives)-1][1], 1) {
			return fmt.Errorf("%s has not begun", name)
		}
	}
	for _, w := range all {
		if _, ok := a.latest(w); !ok {
			return fmt.Errorf("%s has no owner that acts", w)
		}
		if dealt {
			spans := a.spans[w]
			if !slices.ContainsFunc(spans, func(s span) bool { return !s.laid && s.part > 0 && s.until > boottime.Now() }) {
				return fmt.Errorf("nothing of %s is dealt", w)
			}
		}
	}
	return nil
}

func (a *audit) whole() error { return a.owned(true) }

// takenAway notes the works of a process that is about to end.
func (a *audit) takenAway(p *proc) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.acts {
		if last, ok := a.latest(w); ok && last.who == p.name {
			a.lost[w] = boottime.Now()
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
	f := Figures{Refused: a.refused, Gaps: slices.Clone(a.gaps), Asked: a.Asked, Answered: a.Answered, Shed: a.Shed, Failed: a.Failed, Cut: a.Cut,
		Twice: a.Twice, Slowest: a.slowest}
	f.Wrong = append(f.Wrong, a.wrong...)
	f.Wrong = append(f.Wrong, a.ended...)
	for work, all := range a.acts {
		f.Acts += len(all)
		old := underOldFences(work, all)
		f.Old += len(old)
		f.Wrong = append(f.Wrong, old...)
	}
	for work, spans := range a.spans {
		if !strings.HasPrefix(work, "warmth/") {
			continue
		}
		if sum, at := a.worst(spans); sum > f.Worst {
			if f.Worst = sum; sum > 1+1e-9 {
				f.Wrong = append(f.Wrong, fmt.Sprintf("%s: %.4f of the allowance may have been in use at %.3f", work, sum, at))
			}
		}
	}
	return f
}

// underOldFences tells of each act on a task under a fence that was lower than an earlier act's, or another process's.
func underOldFences(work string, acts []act) (wrong []string) {
	sorted := slices.Clone(acts)
	slices.SortStableFunc(sorted, func(x, y act) int { return cmp.Compare(x.at, y.at) })
	highest, who := uint64(0), map[uint64]string{}
	for _, x := range sorted {
		life := fmt.Sprint(x.who, "/", x.life)
		if x.fence < highest || who[x.fence] != "" && who[x.fence] != life {
			wrong = append(wrong, fmt.Sprintf("%s: %s acted under fence %d after %d", work, life, x.fence, highest))
		}
		highest, who[x.fence] = max(highest, x.fence), life
	}
	return wrong
}

const window = 1.0 // seconds of the cold engines' limit

// worst sum of parts over all routers within any window. A router's part is what was dealt to it, nothing while it lays its
// own down, else the equal part.
func (a *audit) worst(spans []span) (worst, when float64) {
	by := map[string][]span{}
	var times []float64
	for _, s := range spans {
		key := fmt.Sprint(s.who, "/", s.life)
		by[key] = append(by[key], s) // in the order that they came
		times = append(times, s.at, s.until-1e-6, s.until+1e-6)
	}
	for _, mine := range by {
		slices.SortStableFunc(mine, func(x, y span) int { return cmp.Compare(x.at, y.at) })
	}
	for _, t := range thinned(times) {
		sum := 0.0
		for n := range a.r.file.Routers {
			name := fmt.Sprint("n", n+1)
			for k, life := range a.lives[name] {
				if life[0] > t || life[1]+window < t {
					continue
				}
				key := fmt.Sprint(name, "/", k+1)
				sum += a.partOf(key, life, by[key], t)
			}
		}
		if sum > worst {
			worst, when = sum, t
		}
	}
	return worst, when
}

// thinned leaves so many of the moments that all of a short run's are looked at.
func thinned(times []float64) []float64 {
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

// partOf is the most of the allowance that a process, which lived from life[0] to life[1], may have used in the window before t.
func (a *audit) partOf(key string, life [2]float64, mine []span, t float64) float64 {
	part := 0.0
	for _, s := range near(mine, t) {
		if end := min(s.until, life[1]); !s.laid && s.at <= t && end+window > t {
			part = max(part, s.part)
		}
	}
	// The equal part, at some moment of the window: only a life that goes on is counted, since a restart has its part twice
	// without a fleet as well.
	if life[1] > t && a.equal(key, mine, life[0], t) {
		part = max(part, 1/float64(a.r.file.Routers))
	}
	return part
}

// near is the spans that can reach a moment: none is longer than that, and they lie in the order that they began.
func near(all []span, t float64) []span {
	const longest = 30.0
	from := sort.Search(len(all), func(k int) bool { return all[k].at >= t-longest })
	to := sort.Search(len(all), func(k int) bool { return all[k].at > t })
	return all[from:max(to, from)]
}

// equal tells whether a process had its equal part at some moment of the window before t: it lays it down from its start on for
// a while, where an earlier process of its name may have done so, and with each pledge.
func (a *audit) equal(key string, mine []span, from, t float64) bool {
	mine = near(mine, t)
	until, ok := a.start[key]
	if !ok {
		return false // it has only just been started: it takes no command before it has said that it begins
	}
	covered := max(from, t-window, until)
	for _, s := range mine {
		if s.laid && s.at <= covered+1e-6 {
			covered = max(covered, s.until)
		}
	}
	return covered < t
}

// sent tells that an engine got a statement.
func (a *audit) sent(engine int, body string, low bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.to[engine]++
	if low {
		a.low++
	}
	if a.ran[body]++; a.ran[body] > 1 && strings.Contains(body, "order") {
		a.Twice++
		a.wrong = append(a.wrong, fmt.Sprintf("%q, which may run once, ran %d times", body, a.ran[body]))
	}
}

// client of one router: one command after another, each of which must have one answer within its time while the router lives.
func (r *Rig) client(n, k int) {
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
			number := c.Call(fmt.Sprintf("/* %s %s %d %d work=%.4f threads=1 */", profile, p.name, k, seq, cmp.Or(r.o.Work, 0.005)), "service", profile, "project", "acme", "allow", "5000",
				"ref", fmt.Sprintf("%04x%04x%08x", n, k, seq))
			got := c.Next()
			if !a.answer(p, number, got, time.Since(began).Seconds()) {
				break
			}
		}
		d.End()
	}
}

func (r *Rig) dial(d *fake.Desk, p *proc) (c *fake.Client, ok bool) {
	for {
		select {
		case <-r.stop:
			return nil, false
		case <-time.After(20 * time.Millisecond):
		}
		if !r.audit.alive(p) {
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

func (a *audit) alive(p *proc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.lives[p.name]
	return len(l) > 0 && math.IsInf(l[len(l)-1][1], 1)
}

// answer notes one; false: the connection is over.
func (a *audit) answer(p *proc, number int32, got string, took float64) bool {
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
		a.wrong = append(a.wrong, fmt.Sprintf("%s: answer %q to call %d", p.name, got, number))
		return false
	default:
		a.Cut++
		return false
	}
	a.slowest = max(a.slowest, took)
	return true
}

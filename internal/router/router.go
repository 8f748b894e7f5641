// Package router is the one owner of the decision module: it hosts it, keeps its timers and the commands in
// hand, and hands everything that comes in to it, in order, on one goroutine.
package router

import (
	"fmt"
	"strconv"
	"strings"

	"dunereach/admission"
	"dunereach/fairshare"
	"dunereach/internal/backends"
	"dunereach/internal/frontend"
	"dunereach/internal/lineproto"
	"dunereach/internal/settings"
	"dunereach/internal/statement"
	"dunereach/internal/transport"
	"dunereach/waittime"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// request is one that a client is owed an answer for, or that still has a send out.
type request struct {
	client    frontend.Caller
	seq       int32
	deadline  float64
	waitInfo  frontend.Told
	arrivedAt float64
	attempt   backends.Job // its latest send; id, statement and priority are the command's

	lastEnd admission.End // of the attempt before, once there was one
}

// done: the client has its answer, or has left.
func (c *request) done() bool { return c.attempt.Unwanted }

// Router hosts the module. All its methods are the owner's goroutine's.
type Router struct {
	set        settings.Settings
	controller *admission.Brain
	pool       *backends.Pool
	log        *zap.Logger
	serverName func(engine uint32) string
	now        float64
	timers     timers

	requests        map[uint32]*request
	freeRequests    []*request
	lastID          uint32
	unanswered      int // commands whose client waits
	statementBytes  int // bytes of their statements
	statementBudget int
	partialBytes    int                       // bytes of messages that are not whole
	activeRefs      map[backends.Ref]struct{} // ids that a client waits under
	ending          bool                      // asked to end: no front should count on this router
	listReceived    bool
	profiles        map[string]int
	tenants         map[string]int
	teams           *fairshare.Tree // nil: there are none
	reportWaits     bool            // clients are told of waits
	listSerial      uint32          // of the list of engines
	ownerDelay      ownerDelay
	stall           stall
	attemptsBegun   uint64 // begun so far
}

const defaultPriority = 1 // what a send has that was given none

// New makes a router that has yet to be told of its engines and of the time.
func New(set settings.Settings, statementBudget int, log *zap.Logger, serverName func(uint32) string) *Router {
	r := &Router{set: set, log: log, serverName: serverName, statementBudget: statementBudget,
		requests: map[uint32]*request{}, activeRefs: map[backends.Ref]struct{}{}, profiles: map[string]int{}, tenants: map[string]int{}}
	// What needs probes, word from other routers or asking for the list is not there: the list comes unasked.
	r.set.Brain.Peers, r.set.Brain.ProbeLoads, r.set.Brain.Ask = false, false, false
	for k, name := range set.Profiles {
		if !lineproto.Usable(name) {
			log.Error("class name can't be told to servers, its requests fail", zap.String("name", name))
			continue
		}
		r.profiles[name] = k
	}
	for k, name := range set.Tenants {
		r.tenants[name] = k
	}
	return r
}

// Teams has the router keep budgets from its start on.
func (r *Router) Teams(t *fairshare.Tree, ageing float64) {
	r.teams, r.set.Brain.Teams, r.set.Brain.Ageing = t, t, ageing
}

// Waits has the router tell its clients of waits, or only use and audit them itself.
func (r *Router) Waits(e *waittime.Estimator, tell bool) { r.set.Brain.Waits, r.reportWaits = e, tell }

// Fleet has the router take part in what others agree on.
func (r *Router) Fleet(f admission.Fleet, p admission.Plan) {
	r.set.Brain.Fleet, r.set.Brain.Plan = f, p
}

// Audit says what became of the waits that were promised since the last time, and how many calls named teams that are
// none.
func (r *Router) Audit() {
	if r.teams != nil {
		if n := r.teams.TakeUnknown(); n > 0 {
			r.log.Warn("calls named unknown teams", zap.Int("calls", n))
		}
	}
	estimator := r.set.Brain.Waits
	if estimator == nil {
		return
	}
	for _, kind := range [...]waittime.Kind{waittime.Start, waittime.Answer, waittime.Return} {
		estimator.EachAudit(kind, func(team int, accuracy waittime.Accuracy) {
			name := ""
			if r.teams != nil {
				name = r.teams.Name(team)
			}
			r.log.Info("waits promised", zap.String("of", kind.String()), zap.String("team", name), zap.Int("kept", accuracy.Count),
				zap.Float64("actual over median", accuracy.Ratio), zap.Float64("under p90", accuracy.Covered))
		})
	}
}

// Start brings the module to life.
func (r *Router) Start(now float64, pool *backends.Pool) {
	r.pool = pool
	pool.Observe(r)
	r.at(now)
	r.controller = admission.New(r.set.Brain, now, r)
}

// at sets the time for what comes next.
func (r *Router) at(now float64) {
	r.noteDelay(now, now-r.now)
	r.now = max(r.now, now)
	r.pool.At(r.now)
}

// Deliver hands over what a connection brought.
func (r *Router) Deliver(now float64, e transport.Entry) {
	r.at(now)
	r.noteEntryDelay(e)
	e.Deliver()
	r.pool.Settle()
}

// Members tells of the list.
func (r *Router) Members(now float64, scope admission.Scope, list []admission.Entry, updateConnections func()) {
	r.at(now)
	r.listReceived = r.listReceived || len(list) > 0
	updateConnections() // the connections first: what must not be sent any more is taken back
	r.controller.Members(r.now, scope, list)
	r.pool.Settle()
}

// Tick runs the timers that are due and gives the time of the next.
func (r *Router) Tick(now float64) (next float64) {
	r.at(now)
	for len(r.timers) > 0 && r.timers[0].at <= r.now {
		t := r.timers.pop()
		if t.kind == timerWake {
			r.controller.Woken(r.now, t.token)
		} else if c := r.requests[uint32(t.token)]; c != nil && c.attempt.Out() && c.attempt.Number == int(t.token>>32) {
			r.pool.GiveUp(&c.attempt, admission.TimedOut)
		}
		r.pool.Settle()
	}
	if len(r.timers) == 0 {
		return r.releaseHeld(r.now + 1)
	}
	return r.releaseHeld(r.timers[0].at)
}

// Owed is how many commands have no final answer yet.
func (r *Router) Owed() int { return r.unanswered }

// End tells that the router has been asked to end.
func (r *Router) End() { r.ending = true }

// The desk of the front.

// Ready tells whether the router takes new requests: it has a list of servers and has not been asked to end.
func (r *Router) Ready() bool { return r.listReceived && !r.ending }

// Take takes a command in, unless it can't be one.
func (r *Router) Take(client frontend.Caller, seq int32, a *frontend.Ask) {
	profile, ok := r.profiles[string(a.Profile)]
	tenant, knownTenant := r.tenants[string(a.Tenant)]
	if !ok || !knownTenant && len(r.tenants) > 0 {
		r.log.Info("unknown profile or tenant", zap.ByteString("profile", a.Profile), zap.ByteString("tenant", a.Tenant))
		client.Failed(seq)
		return
	}
	// The settings' bound, and one on memory: what passes them never reaches the module.
	if r.set.Open > 0 && r.unanswered >= r.set.Open || r.statementBytes+len(a.Statement) > r.statementBudget {
		r.log.Warn("too much in hand", zap.Int("commands", r.unanswered), zap.Int("bytes", r.statementBytes))
		client.Shed(seq, r.set.Brain.MaxPause, nil) // as long as clients honour: what filled it takes a while
		return
	}
	if _, inUse := r.activeRefs[a.Ref]; inUse { // another's answer must not be taken for this one's
		r.log.Info("id is in hand", zap.ByteString("ref", a.Ref[:]))
		client.Failed(seq)
		return
	}
	var c *request
	if n := len(r.freeRequests); n > 0 {
		c, r.freeRequests = r.freeRequests[n-1], r.freeRequests[:n-1]
	} else {
		c = &request{}
	}
	for r.lastID++; r.requests[r.lastID] != nil || r.lastID == 0; r.lastID++ {
	}
	if r.set.Longest > 0 { // no client waits longer, and nothing may be kept for longer
		a.Allow = min(a.Allow, r.set.Longest)
	}
	const minAllow = 0.001                    // seconds; the module refuses what can't be in time
	a.Allow = max(a.Allow-a.Waited, minAllow) // what is left of it
	*c = request{client: client, seq: seq, arrivedAt: r.now, deadline: r.now + a.Allow, attempt: backends.Job{ID: r.lastID, Number: -1, Ref: a.Ref,
		Profile: r.set.Profiles[profile], Statement: append(c.attempt.Statement[:0], a.Statement...), Token: append(c.attempt.Token[:0], a.Token...), Level: defaultPriority,
		Pages: c.attempt.Pages}}
	r.requests[c.attempt.ID], r.activeRefs[a.Ref] = c, struct{}{}
	r.unanswered++
	r.statementBytes += len(c.attempt.Statement)
	client.Hold(seq, c.attempt.ID)
	area, _ := statement.Group(a.Statement)
	team := 0
	if r.teams != nil {
		team = r.teams.TeamOf(tenant, a.Team)
	}
	r.controller.Command(r.now, admission.Command{ID: c.attempt.ID, Team: team, Mark: r.fingerprint(a), Profile: profile, Tenant: tenant, TimeLeft: a.Allow, Cost: a.Effort,
		Memory: a.Memory, Area: area, Key: orderKey(a.Key)})
}

// orderKey is the order orderKey as the module has it. Two that come to the same number wait for each other, which does no harm.
func orderKey(b []byte) uint64 {
	if len(b) == 0 {
		return 0
	}
	return max(xxhash.Sum64(b), 1) // 0 is none
}

// fingerprint is the same for a client's tries of one command: those have new ids, but say the same.
func (r *Router) fingerprint(a *frontend.Ask) uint64 {
	if r.set.Brain.Waits == nil {
		return 0
	}
	h := xxhash.Sum64(a.Statement)
	for _, part := range [...][]byte{a.Tenant, a.Team, a.Profile} {
		h = h*31 + xxhash.Sum64(part)
	}
	return h | 1 // 0 is none
}

// Left ends a request whose client no longer waits for it.
func (r *Router) Left(id uint32) {
	if c := r.requests[id]; c != nil && !c.done() {
		r.done(c)
		r.controller.Left(r.now, id)
		r.recycle(c)
	}
}

// HalfClosed notes that a client has closed its sending side: it may be gone or may still read.
func (r *Router) HalfClosed(id uint32) {
	if c := r.requests[id]; c != nil && !c.done() {
		r.controller.HalfClosed(r.now, id)
	}
}

// Room counts the bytes of messages that are not whole: half as many as of statements in hand.
func (r *Router) Room(bytes int) bool {
	r.partialBytes += bytes
	return bytes <= 0 || r.partialBytes <= r.statementBudget/2
}

// Bad logs that what a client sent can not be read; its connection is being closed.
func (r *Router) Bad(how string) {
	r.log.Warn("client can't be read", zap.String("why", how))
}

// done notes that nothing is owed any more.
func (r *Router) done(c *request) {
	c.attempt.Unwanted, c.client = true, nil
	delete(r.activeRefs, c.attempt.Ref)
	r.unanswered--
	r.statementBytes -= len(c.attempt.Statement)
}

// recycle frees the place of a command that is over and has no send out.
func (r *Router) recycle(c *request) {
	if id := c.attempt.ID; c.done() && !c.attempt.Out() && r.requests[id] == c {
		delete(r.requests, id)
		const maxFree, maxStatement = 1024, 4 << 10 // places and bytes kept for reuse: a busy second's, 4 MB at most
		if cap(c.attempt.Statement) > maxStatement {
			c.attempt.Statement = nil
		}
		if len(r.freeRequests) < maxFree {
			r.freeRequests = append(r.freeRequests, c)
		}
	}
}

// What engines tell.

// Ended takes the end of an attempt: a client that still waits gets the answer, and the module the outcome.
func (r *Router) Ended(j *backends.Job, end admission.End) {
	c := r.requests[j.ID]
	r.attemptEnded(c, end)
	c.lastEnd = end
	if end == admission.Answered && !c.done() {
		c.client.Answered(c.seq, j.Pages, r.waitInfo(c))
		r.done(c)
	}
	o := admission.Outcome{ID: j.ID, Engine: j.Engine, Send: j.Number, End: end, Unsent: j.Unsent, Lag: r.now - j.At, Over: c.done()}
	if end == admission.Answered {
		o.Work, o.Memory = j.Work, j.Memory
	}
	r.controller.Outcome(r.now, o)
	r.recycle(c)
}

// Noted passes on what a server tells of a running attempt.
func (r *Router) Noted(j *backends.Job, kind admission.NoteKind, value float64) {
	r.controller.Note(r.now, admission.Note{ID: j.ID, Engine: j.Engine, Send: j.Number, Kind: kind, Value: value})
}

// Lost logs that a connection to a server has ended.
func (r *Router) Lost(engine uint32, how transport.Ending) {
	r.log.Info("connection lost", zap.String("engine", r.serverName(engine)), zap.Stringer("how", how))
}

// What the module asks for (brain.Host). Nothing here calls it back.

// Send begins an attempt of a request at a server. It ends by itself after limit seconds, 0: no limit, and at the latest when the
// client's time is over; by is the latest time at which it may leave, 0: any.
func (r *Router) Send(id, engine uint32, limit, by float64) {
	c := r.requests[id]
	until := c.deadline // longer than the client waits is trimmed to that
	if limit != 0 {
		until = min(until, r.now+limit)
	}
	j := &c.attempt
	if j.Number++; j.Number == 0 {
		c.waitInfo.Waited = r.now - c.arrivedAt
	}
	j.Engine, j.At, j.Until, j.LeaveBy = engine, r.now, until, by
	r.attemptsBegun++
	r.attemptBegun(c)
	r.pool.Send(j)
	if j.Out() {
		r.timers.push(timer{at: until, kind: timerAttemptLimit, token: uint64(id) | uint64(j.Number)<<32})
	}
}

// Shed rejects a request; its client is told to pause for so many seconds.
func (r *Router) Shed(id uint32, pause float64) {
	if c := r.requests[id]; !c.done() {
		if c.attempt.Number < 0 {
			c.waitInfo.Waited = r.now - c.arrivedAt
		}
		r.logNotServed(c, "request rejected")
		c.client.Shed(c.seq, pause, r.waitInfo(c))
		r.done(c)
		r.recycle(c)
	}
}

// Fail tells a request's client that it has failed.
func (r *Router) Fail(id uint32) {
	if c := r.requests[id]; !c.done() {
		r.logNotServed(c, "request failed")
		c.client.Failed(c.seq)
		r.done(c)
		r.recycle(c)
	}
}

// Cancel stops waiting for an attempt of a request, if it is the latest one.
func (r *Router) Cancel(id uint32, send int) {
	if c := r.requests[id]; c != nil && c.attempt.Number == send {
		r.pool.GiveUp(&c.attempt, admission.Cancelled)
	}
}

// Withdraw ends an attempt of which nothing has left yet, if it is the latest one; any other goes on.
func (r *Router) Withdraw(id uint32, send int) {
	if c := r.requests[id]; c != nil && c.attempt.Number == send {
		r.pool.Withdraw(&c.attempt)
	}
}

// Priority changes the priority at which a request runs.
func (r *Router) Priority(id uint32, level int, _ float64) {
	if c := r.requests[id]; c != nil && c.attempt.Level != level {
		c.attempt.Level = level
		r.pool.Renice(&c.attempt) // of no effect where nothing is out
	}
}

// Wake has the module called with the token in so many seconds.
func (r *Router) Wake(after float64, token uint64) {
	r.timers.push(timer{at: r.now + max(after, 0), kind: timerWake, token: token})
}

// These come only where the settings, as New leaves them, have probes, other routers to talk to or a list that
// must be asked for.

// Probe is not called: no probes are set up.
func (r *Router) Probe(uint32) {}

// Tell is not called: there are no other routers to talk to.
func (r *Router) Tell(int, []byte) {}

// Watch is not called: the list is asked for at fixed times.
func (r *Router) Watch(bool) {}

// Told notes how long a request is expected to take; its client learns of it with what ends the request.
func (r *Router) Told(id uint32, k waittime.Kind, e waittime.Estimate) {
	if c := r.requests[id]; c != nil && k != waittime.Start { // clients are told of answers and returns
		c.waitInfo.P50, c.waitInfo.P90 = e.P50, e.P90
	}
}

// waitInfo is what the client gets to know of a command's wait, nil: nothing.
func (r *Router) waitInfo(c *request) *frontend.Told {
	if !r.reportWaits {
		return nil
	}
	return &c.waitInfo
}

// Log writes the module's line, with an engine's number as its name.
func (r *Router) Log(text string) {
	var n uint32
	if _, err := fmt.Sscanf(text, "engine %d", &n); err == nil && r.serverName(n) != "" {
		text = strings.Replace(text, strconv.Itoa(int(n)), r.serverName(n), 1)
	}
	r.log.Info(text)
}

// timers is a heap by time.
type timers []timer

type timer struct {
	at    float64
	token uint64
	kind  uint8
}

const (
	timerWake         = iota // the module asked for it
	timerAttemptLimit        // of a send: id and number
)

func (t *timers) push(n timer) {
	*t = append(*t, n)
	for i := len(*t) - 1; i > 0; {
		parent := (i - 1) / 2
		if (*t)[parent].at <= (*t)[i].at {
			break
		}
		(*t)[parent], (*t)[i] = (*t)[i], (*t)[parent]
		i = parent
	}
}

func (t *timers) pop() timer {
	h := *t
	top, n := h[0], len(h)-1
	h[0] = h[n]
	*t = h[:n]
	for i := 0; ; {
		least := i
		for k := 2*i + 1; k <= 2*i+2 && k < n; k++ {
			if h[k].at < h[least].at {
				least = k
			}
		}
		if least == i {
			return top
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

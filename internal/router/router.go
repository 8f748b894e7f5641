// Package router hosts the admission controller. It keeps the controller's timers and the requests in progress, and passes all input
// to the controller in order, on one goroutine, the owner's.
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

// request is one whose client still waits for an answer, or that has an attempt out.
type request struct {
	client    frontend.Caller
	seq       int32
	deadline  float64
	waitInfo  frontend.WaitInfo
	arrivedAt float64
	attempt   backends.Attempt // the latest attempt; id, statement and priority are the request's

	lastEnd    admission.End // end of the previous attempt, if there was one
	mayHaveRun bool          // an attempt that has ended may have run
	clientLeft bool          // the client has left without an answer
}

// done reports whether the client has its answer or has left.
func (req *request) done() bool { return req.attempt.ResultUnwanted }

// Router hosts the admission controller. Only the owner's goroutine calls its methods.
type Router struct {
	set        settings.Settings
	controller *admission.Controller
	pool       *backends.Pool
	log        *zap.Logger
	serverName func(id uint32) string
	now        float64
	timers     timers
	maxTimers  int // number of timers beyond which those of ended requests are removed

	requests        map[uint32]*request
	freeRequests    []*request
	lastID          uint32
	unanswered      int // requests whose client waits
	statementBytes  int // total size of their statements
	statementBudget int
	messageMemory   *frontend.MessageMemory // for incomplete messages
	results         resultLimits
	activeRefs      map[backends.Ref]struct{} // ids of the requests in progress, also of those whose clients have left
	executedRefs    executedRefs
	ending          bool // asked to stop: health checks fail, so that clients use other routers
	listReceived    bool
	profiles        map[string]int
	tenants         map[string]int
	teams           *fairshare.Tree // nil: none are configured
	reportWaits     bool            // report expected waits to clients
	listSerial      uint32          // serial number of the list of servers
	ownerDelay      ownerDelay
	readLag         readLag
	stall           stall
	attemptsBegun   uint64 // attempts begun since the start
}

const defaultPriority = 1 // of an attempt that the controller gave none

// New creates a router that has no list of servers and no time yet.
func New(set settings.Settings, statementBudget int, log *zap.Logger, serverName func(uint32) string) *Router {
	r := &Router{set: set, log: log, serverName: serverName, statementBudget: statementBudget, maxTimers: minTimers,
		messageMemory: frontend.NewMessageMemory(statementBudget / 2),
		requests:      map[uint32]*request{}, activeRefs: map[backends.Ref]struct{}{}, profiles: map[string]int{}, tenants: map[string]int{}}
	// Probes, messages to other routers and requests for the list are off: the service fetches the list by itself.
	r.set.Admission.Peers, r.set.Admission.ProbeLoads, r.set.Admission.Ask = false, false, false
	for k, name := range set.Profiles {
		if !lineproto.ValidFieldValue(name) {
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

// SetTeams makes the router enforce team budgets. It is called before Start.
func (r *Router) SetTeams(t *fairshare.Tree, ageing float64) {
	r.teams, r.set.Admission.Teams, r.set.Admission.Ageing = t, t, ageing
}

// SetWaits makes the router estimate waits. If on is set it reports them to clients, else it only uses and audits them itself.
func (r *Router) SetWaits(e *waittime.Estimator, on bool) {
	r.set.Admission.Waits, r.reportWaits = e, on
}

// SetFleet connects the router to the fleet and its plan.
func (r *Router) SetFleet(f admission.Fleet, p admission.Plan) {
	r.set.Admission.Fleet, r.set.Admission.Plan = f, p
}

// Audit logs how accurate the reported waits were since the last audit, and how many requests named unknown teams.
func (r *Router) Audit() {
	if r.teams != nil {
		if n := r.teams.TakeUnknownTeamCount(); n > 0 {
			r.log.Warn("requests named unknown teams", zap.Int("calls", n))
		}
	}
	estimator := r.set.Admission.Waits
	if estimator == nil {
		return
	}
	for _, kind := range [...]waittime.TimeKind{waittime.Start, waittime.Completion, waittime.RetryAdmission} {
		estimator.EachAccuracy(kind, func(team int, accuracy waittime.Accuracy) {
			name := ""
			if r.teams != nil {
				name = r.teams.Name(team)
			}
			r.log.Info("accuracy of reported waits", zap.String("of", kind.String()), zap.String("team", name), zap.Int("kept", accuracy.Count),
				zap.Float64("actual over median", accuracy.Ratio), zap.Float64("under p90", accuracy.Coverage))
		})
	}
}

// Start creates the admission controller.
func (r *Router) Start(now float64, pool *backends.Pool) {
	r.pool = pool
	pool.SetObserver(r)
	r.at(now)
	r.controller = admission.New(r.set.Admission, now, r)
}

// at sets the current time for the calls that follow.
func (r *Router) at(now float64) {
	r.noteDelay(now, now-r.now)
	r.now = max(r.now, now)
	r.pool.SetTime(r.now)
}

// Deliver processes the input of a connection.
func (r *Router) Deliver(now float64, e transport.Entry) {
	r.at(now)
	r.noteEntryDelay(e)
	e.Deliver()
	r.pool.ReportEnds()
}

// Members passes a list of servers to the connections and the controller.
func (r *Router) Members(now float64, scope admission.Scope, list []admission.Entry, updateConnections func()) {
	r.at(now)
	r.listReceived = r.listReceived || len(list) > 0
	updateConnections() // first, so that attempts that must not be sent any more are withdrawn
	r.controller.UpdateServers(r.now, scope, list)
	r.pool.ReportEnds()
}

// Tick runs the timers that are due and returns the time of the next one.
func (r *Router) Tick(now float64) (next float64) {
	r.at(now)
	for len(r.timers) > 0 && r.timers[0].at <= r.now {
		t := r.timers.pop()
		if t.kind == timerWake {
			r.controller.Woken(r.now, t.token)
		} else if r.timerHasEffect(t) {
			r.pool.Abandon(&r.requests[uint32(t.token)].attempt, admission.TimedOut)
		}
		r.pool.ReportEnds()
	}
	next = r.now + 1
	if len(r.timers) > 0 {
		next = r.timers[0].at
	}
	return r.fetchWaitingResults(r.releaseHeld(next))
}

// Unanswered is the number of requests that have no final answer yet.
func (r *Router) Unanswered() int { return r.unanswered }

// End records that the router has been asked to stop.
func (r *Router) End() { r.ending = true }

// Methods of frontend.RequestHandler.

// Ready reports whether the router takes new requests: it has a list of servers and has not been asked to stop.
func (r *Router) Ready() bool { return r.listReceived && !r.ending }

// HandleRequest passes a request to the controller, unless it is invalid or exceeds a limit.
func (r *Router) HandleRequest(client frontend.Caller, seq int32, a *frontend.Request) {
	profile, ok := r.profiles[string(a.Profile)]
	tenant, knownTenant := r.tenants[string(a.Tenant)]
	if !ok || !knownTenant && len(r.tenants) > 0 {
		r.log.Info("unknown profile or tenant", zap.ByteString("profile", a.Profile), zap.ByteString("tenant", a.Tenant))
		client.Failed(seq)
		return
	}
	// Requests beyond the settings' limit or the memory for statements never reach the controller.
	if r.set.MaxOpenRequests > 0 && r.unanswered >= r.set.MaxOpenRequests || !r.statementFits(client, len(a.Statement)) {
		r.log.Warn("too many requests in progress", zap.Int("commands", r.unanswered), zap.Int("bytes", r.statementBytes))
		client.Rejected(seq, r.set.Admission.MaxPause, nil) // the longest pause that clients honour: the load takes a while to clear
		return
	}
	if r.refInUse(a.Ref) { // the answer to the other request could be taken for this one's, or it would run twice
		r.log.Info("request id is already in use", zap.ByteString("ref", a.Ref[:]))
		client.Failed(seq)
		return
	}
	var req *request
	if n := len(r.freeRequests); n > 0 {
		req, r.freeRequests = r.freeRequests[n-1], r.freeRequests[:n-1]
	} else {
		req = &request{}
	}
	for r.lastID++; r.requests[r.lastID] != nil || r.lastID == 0; r.lastID++ {
	}
	if r.set.LongestTimeout > 0 { // no client waits longer, and no request may be kept for longer
		a.Timeout = min(a.Timeout, r.set.LongestTimeout)
	}
	const minAllow = 0.001 // seconds; the controller rejects requests that can't be in time
	r.readLag.note(r.now, a.ReadLag)
	a.Timeout = max(r.readLag.timeLeft(r.now, a.Timeout, a.Waited), minAllow)
	*req = request{client: client, seq: seq, arrivedAt: r.now, deadline: r.now + a.Timeout,
		attempt: backends.Attempt{ID: r.lastID, AttemptNumber: -1, Ref: a.Ref, Profile: r.set.Profiles[profile],
			Statement: append(req.attempt.Statement[:0], a.Statement...), Token: append(req.attempt.Token[:0], a.Token...),
			Priority: defaultPriority, Pages: req.attempt.Pages}}
	r.requests[req.attempt.ID], r.activeRefs[a.Ref] = req, struct{}{}
	r.unanswered++
	r.holdStatement(client, len(req.attempt.Statement))
	client.Register(seq, req.attempt.ID)
	area, _ := statement.TableGroup(a.Statement)
	team := 0
	if r.teams != nil {
		team = r.teams.TeamOf(tenant, a.Team)
	}
	r.controller.Request(r.now, admission.Request{ID: req.attempt.ID, Team: team, RequestKey: r.fingerprint(a), Profile: profile, Tenant: tenant,
		TimeLeft: a.Timeout, Cost: a.CostEstimate, Memory: a.Memory, SubjectArea: area, Key: orderKey(a.Key)})
}

// statementFits reports whether there is memory for a statement. A connection may hold no more than it leaves to others: so connections
// that send as much as they can always leave some, and short statements on other connections fit.
func (r *Router) statementFits(client frontend.Caller, size int) bool {
	return client.StatementBytes()+size <= r.statementBudget-r.statementBytes-size
}

// holdStatement counts the size of a statement in progress, or frees it if size is negative.
func (r *Router) holdStatement(client frontend.Caller, size int) {
	r.statementBytes += size
	client.AddStatementBytes(size)
}

// orderKey hashes a request's order key for the controller. Requests whose keys collide wait for each other, which does no harm.
func orderKey(b []byte) uint64 {
	if len(b) == 0 {
		return 0
	}
	return max(xxhash.Sum64(b), 1) // 0 means no key
}

// fingerprint identifies a request across its client's retries, which have new ids but the same content.
func (r *Router) fingerprint(a *frontend.Request) uint64 {
	if r.set.Admission.Waits == nil {
		return 0
	}
	h := xxhash.Sum64(a.Statement)
	for _, part := range [...][]byte{a.Tenant, a.Team, a.Profile} {
		h = h*31 + xxhash.Sum64(part)
	}
	return h | 1 // 0 means no fingerprint
}

// ClientLeft ends a request whose client no longer waits for it.
func (r *Router) ClientLeft(id uint32) {
	if req := r.requests[id]; req != nil && !req.done() {
		r.done(req)
		req.clientLeft = true
		r.rememberIfLeft(req)
		r.controller.ClientLeft(r.now, id)
		r.recycle(req)
	}
}

// HalfClosed records that a client has closed its sending side: it may be gone or may still read.
func (r *Router) HalfClosed(id uint32) {
	if req := r.requests[id]; req != nil && !req.done() {
		r.controller.HalfClosed(r.now, id)
	}
}

// MessageDiscarded logs that an incomplete message was discarded, as incomplete messages exceeded their share of memory.
func (r *Router) MessageDiscarded(bytes int) {
	r.log.Warn("incomplete message discarded, too many are unfinished", zap.Int("bytes", bytes))
}

// RejectDiscarded rejects a request whose message was discarded.
func (r *Router) RejectDiscarded(client frontend.Caller, seq int32) {
	client.Rejected(seq, r.set.Admission.MaxPause, nil) // as when statements exceed their memory
}

// BadMessage logs that a client sent an unreadable message; its connection is being closed.
func (r *Router) BadMessage(reason string) {
	r.log.Warn("unreadable message from client", zap.String("why", reason))
}

// done records that a request's client needs no answer any more.
func (r *Router) done(req *request) {
	r.holdStatement(req.client, -len(req.attempt.Statement))
	req.client.AddResultBytes(-req.attempt.ReservedBytes())
	req.attempt.ResultUnwanted, req.client = true, nil
	r.unanswered--
}

// recycle frees a request that is done and has no attempt out.
func (r *Router) recycle(req *request) {
	if id := req.attempt.ID; req.done() && !req.attempt.Outstanding() && r.requests[id] == req {
		delete(r.requests, id)
		delete(r.activeRefs, req.attempt.Ref)
		const maxFree, maxStatement = 1024, 1 << 10 // requests and statement bytes kept for reuse: those of a busy second, 1 MB at most
		if cap(req.attempt.Statement) > maxStatement {
			req.attempt.Statement = nil
		}
		if len(r.freeRequests) < maxFree {
			r.freeRequests = append(r.freeRequests, req)
		}
	}
}

// Methods of backends.Owner and backends.Observer, on the progress of attempts.

// AttemptEnded handles the end of an attempt: it sends the result to the client if that still waits, and reports the outcome to the controller.
func (r *Router) AttemptEnded(j *backends.Attempt, end admission.End) {
	req := r.requests[j.ID]
	r.attemptEnded(req, end)
	req.lastEnd = end
	req.mayHaveRun = req.mayHaveRun || mayHaveRun(j, end)
	r.rememberIfLeft(req)
	if end == admission.Completed && !req.done() {
		req.client.Completed(req.seq, j.Pages, r.waitInfo(req))
		r.done(req)
	}
	o := admission.Outcome{ID: j.ID, Server: j.Server, Attempt: j.AttemptNumber, End: end, Unsent: j.NeverSent, Latency: r.now - j.SentAt, Final: req.done()}
	if end == admission.Completed {
		o.Work, o.Memory = j.Work, j.Memory
	}
	r.controller.Outcome(r.now, o)
	r.recycle(req)
}

// AttemptProgressed passes on a server's progress report on a running attempt.
func (r *Router) AttemptProgressed(j *backends.Attempt, kind admission.ProgressKind, value float64) {
	r.controller.Progress(r.now, admission.Progress{ID: j.ID, Server: j.Server, Attempt: j.AttemptNumber, Kind: kind, Value: value})
}

// ConnLost logs that a connection to a server has ended.
func (r *Router) ConnLost(server uint32, how transport.Ending) {
	r.log.Info("connection lost", zap.String("engine", r.serverName(server)), zap.Stringer("how", how))
}

// Methods of admission.Host. None of them calls the controller back.

// Send begins an attempt of a request at a server. The attempt ends by itself after limit seconds (0: no limit), and at the latest at the
// client's deadline; by is the latest time at which it may be written (0: any).
func (r *Router) Send(id, server uint32, limit, by float64) {
	req := r.requests[id]
	until := req.deadline // a limit beyond the client's deadline is cut to it
	if limit != 0 {
		until = min(until, r.now+limit)
	}
	j := &req.attempt
	if j.AttemptNumber++; j.AttemptNumber == 0 {
		req.waitInfo.Waited = r.now - req.arrivedAt
	}
	j.Server, j.SentAt, j.Deadline, j.LeaveBy = server, r.now, until, by
	r.attemptsBegun++
	r.attemptBegun(req)
	r.pool.Send(j)
	if j.Outstanding() {
		r.setTimer(timer{at: until, kind: timerAttemptLimit, token: uint64(id) | uint64(j.AttemptNumber)<<32})
	}
}

// Reject rejects a request and asks its client to pause for the given seconds.
func (r *Router) Reject(id uint32, pause float64) {
	if req := r.requests[id]; !req.done() {
		if req.attempt.AttemptNumber < 0 {
			req.waitInfo.Waited = r.now - req.arrivedAt
		}
		r.logNotServed(req, "request rejected")
		req.client.Rejected(req.seq, pause, r.waitInfo(req))
		r.done(req)
		r.recycle(req)
	}
}

// Fail reports to a request's client that it has failed.
func (r *Router) Fail(id uint32) {
	if req := r.requests[id]; !req.done() {
		r.logNotServed(req, "request failed")
		req.client.Failed(req.seq)
		r.done(req)
		r.recycle(req)
	}
}

// Cancel stops waiting for an attempt of a request, if it is the latest one.
func (r *Router) Cancel(id uint32, number int) {
	if req := r.requests[id]; req != nil && req.attempt.AttemptNumber == number {
		r.pool.Abandon(&req.attempt, admission.Cancelled)
	}
}

// Withdraw ends an attempt of which nothing has been sent yet, if it is the latest one; any other goes on.
func (r *Router) Withdraw(id uint32, number int) {
	if req := r.requests[id]; req != nil && req.attempt.AttemptNumber == number {
		r.pool.Withdraw(&req.attempt)
	}
}

// Priority changes the priority at which a request runs.
func (r *Router) Priority(id uint32, level int, _ float64) {
	if req := r.requests[id]; req != nil && req.attempt.Priority != level {
		req.attempt.Priority = level
		r.pool.SetPriority(&req.attempt) // has no effect if no attempt is out
	}
}

// Wake sets a timer that calls the controller with the token after the given seconds.
func (r *Router) Wake(after float64, token uint64) {
	r.setTimer(timer{at: r.now + max(after, 0), kind: timerWake, token: token})
}

// The next three are needed only with settings that New turns off: probes, messages to other routers and requests for the list.

// Probe is not called: probes are off.
func (r *Router) Probe(uint32) {}

// SendToPeer is not called: there are no other routers to send messages to.
func (r *Router) SendToPeer(int, []byte) {}

// Watch is not called: the list is queried at fixed times.
func (r *Router) Watch(bool) {}

// ReportEstimate records how long a request is expected to take. It is reported to the client with the answer or the rejection.
func (r *Router) ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) {
	if req := r.requests[id]; req != nil && k != waittime.Start { // clients get the estimates of answers and returns
		req.waitInfo.P50, req.waitInfo.P90 = e.P50, e.P90
	}
}

// waitInfo returns the wait times to report to a request's client; nil: none.
func (r *Router) waitInfo(c *request) *frontend.WaitInfo {
	if !r.reportWaits {
		return nil
	}
	return &c.waitInfo
}

// Log writes a log line of the controller, with a server's number replaced by its name.
func (r *Router) Log(text string) {
	var n uint32
	if _, err := fmt.Sscanf(text, "engine %d", &n); err == nil && r.serverName(n) != "" {
		text = strings.Replace(text, strconv.Itoa(int(n)), r.serverName(n), 1)
	}
	r.log.Info(text)
}

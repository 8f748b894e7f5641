package coordinator

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"dunereach/fleet/lease"
	"dunereach/fleet/registry"

	"go.etcd.io/raft/v3"
)

// sessionTable is a leader's state of the sessions beyond what the registry holds. A leader that steps down discards it, and
// the next leader starts every session's lease again, which can only lengthen it.
type sessionTable struct {
	sessions         map[uint64]*sessionState   // by session ID
	sessionsByName   map[string][]uint64        // sessions of each name, in ascending order: an older one may still exist
	requesters       map[string]map[uint64]bool // IDs of the sessions that request each task
	openingNames     map[string]bool            // names whose new session is proposed but not yet committed
	openTokens       map[string]openToken       // by name, for processes that have no session yet
	unconfirmed      []pendingRequest           // received, leadership not yet confirmed
	confirming       []pendingRequest           // covered by the read index request in flight
	confirmationID   uint64                     // of that read index request
	confirmationAt   float64
	candidateCount   map[string]int  // number of sessions that can own tasks of each kind
	assignedAt       float64         // when free tasks were last assigned
	assigning        map[string]bool // tasks with an uncommitted proposal to assign or drop them
	requested        map[string]taskDemand
	flapDamper       *lease.FlapDamper
	changingMembers  bool // a change of coordinator membership is proposed but not yet committed
	changeStartedAt  float64
	abandonChange    func()
	deferred         []func() // run at the next upkeep, once raft has finished the entries being applied
	snapshotCount    uint64   // numbers snapshots and open tokens
	upkeepAt         float64
	reportedVersions map[uint64]uint16 // entry format versions that coordinators reported
	scratch          []byte
}

// openToken is a challenge that a process has to return before it gets a session.
type openToken struct {
	number, incarnation uint64
	issuedAt            float64
}

// taskDemand is the demand for one task that sessions have expressed in their heartbeats.
type taskDemand struct {
	zone                          string
	firstRequested, lastRequested float64 // times of the first and last request without a pause
}

// sessionState is the leader's state of one session.
type sessionState struct {
	name                  string
	incarnation           uint64
	lastHeard             float64
	unconfirmedHeartbeats int     // heartbeats received while leadership is not yet confirmed
	unacknowledgedSince   float64 // when the first unacknowledged snapshot was sent, 0: none
	lastSnapshot          uint64  // number of the last snapshot sent
	lastDigest            string  // digest of what it contained
	candidateKinds        []string
	requested             []RequestedTask
	inbox                 []Message
	heldHeartbeat         *pendingRequest // its heartbeat, unanswered until something changes
	holdUntil             float64
	ending                bool
}

// pendingRequest is a request that has not been answered yet.
type pendingRequest struct {
	request    uint64
	receivedAt float64
	heartbeat  *Heartbeat
	isRead     bool
}

func newSessionTable() sessionTable {
	return sessionTable{sessions: map[uint64]*sessionState{}, sessionsByName: map[string][]uint64{}, requesters: map[string]map[uint64]bool{}, openingNames: map[string]bool{}, openTokens: map[string]openToken{}, assigning: map[string]bool{}, candidateCount: map[string]int{}, requested: map[string]taskDemand{},
		flapDamper: lease.NewFlapDamper(), reportedVersions: map[uint64]uint16{}}
}

func (k *Coordinator) answer(request uint64, value any, err error) {
	k.answers = append(k.answers, Response{Request: request, Value: value, Err: err, Leader: k.node.BasicStatus().Lead})
}

// resetSessionTable discards the state of an earlier term. Requests that wait for confirmation are kept.
func (k *Coordinator) resetSessionTable() {
	unconfirmed := k.unconfirmed
	snapshotCount := k.snapshotCount
	k.sessionTable = newSessionTable()
	k.unconfirmed, k.snapshotCount = unconfirmed, snapshotCount
}

// rejectPendingRequests answers every waiting request with ErrNotLeader, so that its sender turns to the next leader.
func (k *Coordinator) rejectPendingRequests(leader uint64) {
	reject := func(w pendingRequest) {
		k.answers = append(k.answers, Response{Request: w.request, Err: ErrNotLeader, Leader: leader})
	}
	for _, w := range append(k.unconfirmed, k.confirming...) {
		reject(w)
	}
	for _, c := range k.sessions {
		if c.heldHeartbeat != nil {
			reject(*c.heldHeartbeat)
		}
	}
	k.sessionTable = newSessionTable()
}

// RequestClosed reports that nobody waits for a request any more. A process whose held heartbeat lost its connection may have
// exited, and gets no task until its next heartbeat.
func (k *Coordinator) RequestClosed(request uint64) {
	for _, c := range k.sessions {
		if c.heldHeartbeat != nil && c.heldHeartbeat.request == request {
			c.heldHeartbeat = nil
		}
	}
}

// sessionIDs returns the IDs of the sessions in ascending order, so that everything derived from them is deterministic.
func (k *Coordinator) sessionIDs() []uint64 { return slices.Sorted(maps.Keys(k.sessions)) }

// Heartbeat takes a session's heartbeat.
func (k *Coordinator) Heartbeat(now float64, request uint64, b *Heartbeat) {
	k.now = max(k.now, now)
	if err := b.check(); err != nil {
		k.answer(request, nil, fmt.Errorf("%w: %v", ErrBadRequest, err))
		return
	}
	k.enqueue(pendingRequest{request: request, receivedAt: k.now, heartbeat: b})
}

func (b *Heartbeat) check() error {
	if b.Name == "" || b.Incarnation == 0 {
		return fmt.Errorf("name or incarnation is missing")
	}
	if len(b.RequestedTasks) > MaxRequestedTasks || len(b.CandidateKinds) > MaxCandidateKinds {
		return fmt.Errorf("%d tasks requested, at most %d allowed; %d kinds, at most %d allowed", len(b.RequestedTasks), MaxRequestedTasks, len(b.CandidateKinds), MaxCandidateKinds)
	}
	for _, text := range [...]string{b.Name, b.Zone, b.Region} {
		if err := registry.CheckName(text); err != nil {
			return err
		}
	}
	for _, w := range b.RequestedTasks {
		if kind, _, ok := strings.Cut(w.Task, "/"); !ok || kind == "" || registry.CheckName(w.Task) != nil || registry.CheckName(w.Zone) != nil {
			return fmt.Errorf("%q is not a valid task name", w.Task)
		}
	}
	return nil
}

// ReadRegistry answers with the registry, linearizably: leadership is confirmed first.
func (k *Coordinator) ReadRegistry(now float64, request uint64) {
	k.now = max(k.now, now)
	k.enqueue(pendingRequest{request: request, receivedAt: k.now, isRead: true})
}

// enqueue holds a request until leadership is confirmed.
func (k *Coordinator) enqueue(w pendingRequest) {
	if !k.isLeader {
		k.answer(w.request, nil, ErrNotLeader)
		return
	}
	if w.heartbeat != nil {
		if c := k.sessions[w.heartbeat.Session]; c != nil {
			c.unconfirmedHeartbeats++
		}
	}
	k.unconfirmed = append(k.unconfirmed, w)
	k.confirmLeadership()
}

// confirmLeadership asks the other coordinators, with a raft read index request, whether this one is still the leader. One
// request is in flight at a time and covers everything received, so that hundreds of sessions cost some tens of rounds a
// second.
func (k *Coordinator) confirmLeadership() {
	const retryAfter = 0.5   // seconds after which a request counts as lost
	const minInterval = 0.05 // seconds between two requests: at most twenty rounds a second among coordinators
	if !k.termCommitted || k.now < k.confirmationAt+minInterval || len(k.unconfirmed) == 0 && len(k.confirming) == 0 || len(k.confirming) > 0 && k.now < k.confirmationAt+retryAfter {
		return
	}
	k.confirming = append(k.confirming, k.unconfirmed...)
	k.unconfirmed = nil
	k.confirmationID++
	k.confirmationAt = k.now
	k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, k.confirmationID))
}

// leadershipConfirmed handles the requests that a read index request covered.
func (k *Coordinator) leadershipConfirmed(s raft.ReadState) {
	if len(s.RequestCtx) != 8 || binary.BigEndian.Uint64(s.RequestCtx) != k.confirmationID || !k.IsLeader() || s.Index > k.applied {
		return // an older request, or one ahead of the applied entries: confirmLeadership repeats it
	}
	confirmed := k.confirming
	k.confirming = nil
	for _, w := range confirmed {
		if w.isRead {
			k.answer(w.request, k.reg, nil)
		} else {
			k.processHeartbeat(w)
		}
	}
	k.confirmLeadership()
}

// processHeartbeat handles a heartbeat that was received while this coordinator was certainly the leader.
func (k *Coordinator) processHeartbeat(w pendingRequest) {
	b := w.heartbeat
	c := k.sessions[b.Session]
	if c != nil {
		c.unconfirmedHeartbeats = max(c.unconfirmedHeartbeats-1, 0)
	}
	// The registry is older than one that the session has seen: no fence up to that session's highest may be given again.
	if b.HighestFence > k.reg.Fence() {
		k.propose(registry.Entry{Kind: registry.FenceFloor, Fence: b.HighestFence}, func(_ uint64, err error) {
			if err != nil {
				k.answer(w.request, nil, err)
				return
			}
			k.log("session %q has seen fence %d: raising the registry to it", b.Name, b.HighestFence)
			k.processHeartbeat(w)
		})
		return
	}
	s := k.reg.Session(b.Session)
	switch {
	case b.Session == 0:
		k.openSession(w)
		return
	case s == nil || s.Incarnation != b.Incarnation || s.Name != b.Name:
		k.answer(w.request, nil, ErrUnknownSession)
		return
	case s.Superseded:
		k.answer(w.request, nil, registry.ErrSuperseded)
		return
	}
	c = k.stateOf(s)
	if c.ending {
		k.answer(w.request, nil, ErrUnknownSession)
		return
	}
	if b.LastSnapshot >= c.lastSnapshot {
		c.unacknowledgedSince = 0
	}
	// A session that receives nothing can't prove its lease. If its heartbeats kept the lease alive, its tasks would have no
	// working owner for as long as they arrive.
	if duration, _ := k.reg.LeaseTerms(); c.unacknowledgedSince == 0 || k.now-c.unacknowledgedSince <= duration {
		c.lastHeard = max(c.lastHeard, w.receivedAt)
	}
	k.setCandidateKinds(c, b.CandidateKinds)
	k.recordDemand(b.RequestedTasks)
	k.setRequestedTasks(s.ID, c, b.RequestedTasks)
	if c.heldHeartbeat != nil { // the new heartbeat replaces the held one, which is answered
		k.answerHeartbeat(s.ID, c)
	}
	c.heldHeartbeat, c.holdUntil = &w, w.receivedAt+k.cfg.HoldTime
	k.assignTasksSoon()
	if len(c.inbox) > 0 {
		c.holdUntil = math.Min(c.holdUntil, k.now+deliveryDelay)
	}
	k.answerIfChanged(s.ID, c)
}

// addSession adds a session to the table.
func (k *Coordinator) addSession(s *registry.Session) *sessionState {
	c := &sessionState{name: s.Name, incarnation: s.Incarnation}
	k.sessions[s.ID] = c
	sameName := k.sessionsByName[s.Name]
	at, _ := slices.BinarySearch(sameName, s.ID)
	k.sessionsByName[s.Name] = slices.Insert(sameName, at, s.ID)
	return c
}

// removeSession removes a session that has ended.
func (k *Coordinator) removeSession(id uint64, c *sessionState) {
	k.setCandidateKinds(c, nil)
	k.setRequestedTasks(id, c, nil)
	delete(k.sessions, id)
	remaining := slices.DeleteFunc(k.sessionsByName[c.name], func(other uint64) bool { return other == id })
	if k.sessionsByName[c.name] = remaining; len(remaining) == 0 {
		delete(k.sessionsByName, c.name)
	}
}

// setRequestedTasks records the tasks that a session requests.
func (k *Coordinator) setRequestedTasks(id uint64, c *sessionState, requested []RequestedTask) {
	if slices.Equal(c.requested, requested) {
		return
	}
	for _, x := range c.requested {
		if delete(k.requesters[x.Task], id); len(k.requesters[x.Task]) == 0 {
			delete(k.requesters, x.Task)
		}
	}
	for _, x := range requested {
		if k.requesters[x.Task] == nil {
			k.requesters[x.Task] = map[uint64]bool{}
		}
		k.requesters[x.Task][id] = true
	}
	c.requested = requested
}

// stateOf returns the state of a session, which is created when the session is first seen in this term.
func (k *Coordinator) stateOf(s *registry.Session) *sessionState {
	if c := k.sessions[s.ID]; c != nil {
		return c
	}
	return k.addSession(s)
}

// recordDemand records that tasks are requested now, and since when each has been requested without a pause.
func (k *Coordinator) recordDemand(tasks []RequestedTask) {
	for _, x := range tasks {
		firstRequested := k.now
		if w, ok := k.requested[x.Task]; ok && k.now-w.lastRequested <= requestLifetime {
			firstRequested = w.firstRequested
		}
		k.requested[x.Task] = taskDemand{x.Zone, firstRequested, k.now}
	}
}

// setCandidateKinds records the kinds of task that a session can own.
func (k *Coordinator) setCandidateKinds(c *sessionState, kinds []string) {
	if slices.Equal(c.candidateKinds, kinds) {
		return
	}
	for _, kind := range c.candidateKinds {
		k.candidateCount[kind]--
	}
	for _, kind := range kinds {
		k.candidateCount[kind]++
	}
	c.candidateKinds = kinds
}

// openSession opens a session for a process that proves to be alive now by returning a token. A heartbeat that was delayed in
// the network, of a process that has exited since, must not supersede the process that has its name now.
func (k *Coordinator) openSession(w pendingRequest) {
	b := w.heartbeat
	if s := k.reg.SessionByName(b.Name); s != nil && s.Incarnation == b.Incarnation {
		b.Session = s.ID
		k.processHeartbeat(w)
		return
	}
	const tokenLifetime = 5.0 // seconds from issuing a token to the heartbeat that returns it
	if t, ok := k.openTokens[b.Name]; !ok || t.number != b.LastSnapshot || t.incarnation != b.Incarnation || k.now > t.issuedAt+tokenLifetime {
		k.snapshotCount++
		t = openToken{number: k.term<<32 | k.snapshotCount, incarnation: b.Incarnation, issuedAt: k.now}
		if len(k.openTokens) >= registry.MaxSessions {
			clear(k.openTokens) // bounds memory: these processes get a new token
		}
		k.openTokens[b.Name] = t
		k.answer(w.request, Snapshot{Number: t.number}, nil)
		return
	}
	delete(k.openTokens, b.Name)
	if k.openingNames[b.Name] {
		k.answer(w.request, nil, ErrBusy)
		return
	}
	k.openingNames[b.Name] = true
	k.propose(registry.Entry{Kind: registry.Open, Name: b.Name, Incarnation: b.Incarnation, Zone: b.Zone, Region: b.Region},
		func(_ uint64, err error) {
			delete(k.openingNames, b.Name)
			if err != nil {
				k.answer(w.request, nil, err)
				return
			}
			b.Session = k.reg.SessionByName(b.Name).ID
			k.log("session %d opened for %q in zone %q", b.Session, b.Name, b.Zone)
			k.processHeartbeat(w)
		})
}

// upkeep does the leader's periodic work.
func (k *Coordinator) upkeep() {
	k.confirmLeadership()
	if k.now < k.upkeepAt+TickEvery {
		return
	}
	k.upkeepAt = k.now
	k.endSilentSessions()
	k.assignTasks()
	for _, id := range k.sessionIDs() {
		// Changes of the registry don't wait for this: answerChanged answers them at once.
		if c := k.sessions[id]; c.heldHeartbeat != nil && k.now >= c.holdUntil {
			k.answerHeartbeat(id, c)
		}
	}
	k.dropUnusedTasks()
	const maxChangeTime = 3.0 // seconds that a change of membership may take: some elections
	if k.changingMembers && k.now > k.changeStartedAt+maxChangeTime {
		k.abandonChange()
	}
	deferred := k.deferred
	k.deferred = nil
	for _, do := range deferred {
		do()
	}
	k.promoteLearner()
}

// endSilentSessions ends each session that has sent no heartbeat for a lease, counted from the start of this leader's term at
// the earliest.
func (k *Coordinator) endSilentSessions() {
	duration, _ := k.reg.LeaseTerms()
	for _, s := range k.reg.Sessions() {
		c := k.sessions[s.ID]
		lastSeen := k.leaderSince
		if c != nil {
			lastSeen = max(lastSeen, c.lastHeard)
			if c.unconfirmedHeartbeats > 0 || c.ending {
				continue
			}
		}
		if k.now-lastSeen <= duration {
			continue
		}
		k.stateOf(s).ending = true
		for _, w := range k.reg.Tasks() {
			if w.Owner == s.ID {
				k.flapDamper.RecordLoss(k.now, s.Name)
				k.log("task %q fence %d: the lease of its owner %q has expired", w.Name, w.Fence, s.Name)
				break
			}
		}
		k.endSession(s.ID)
	}
}

// endSession proposes the end of a session. A proposal that fails is repeated by endSilentSessions.
func (k *Coordinator) endSession(id uint64) {
	k.propose(registry.Entry{Kind: registry.Close, Session: id}, func(_ uint64, err error) {
		c := k.sessions[id]
		if c == nil {
			return
		}
		if err != nil && err != registry.ErrNoSession {
			c.ending = false
			return
		}
		if c.heldHeartbeat != nil {
			k.answer(c.heldHeartbeat.request, nil, ErrUnknownSession)
		}
		k.removeSession(id, c)
		k.log("session %d of %q has ended", id, c.name)
	})
}

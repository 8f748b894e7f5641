package admission

import (
	"encoding/binary"
	"math"
	"sort"
)

// attempt is an attempt in flight.
type attempt struct {
	server          int32   // index of the server, -1: no attempt in flight
	number          int     // counts the attempts of the request from 0
	at              float64 // when it was sent
	expected        float64 // expected duration
	cancelRequested bool    // a cancellation was requested
	presumedLost    bool    // it no longer takes a slot
}

// requestState is a request that has no final answer yet, or has an attempt in flight.
type requestState struct {
	Request
	takenAt, deadline float64 // arrival, and the client timeout
	cost              float64 // expected work over all threads, corrected by the profile's bias
	bestTime, target  float64 // time on an idle server, and the time until which an answer has its full benefit
	price, rank       float64 // work per benefit, and the position in the queue, lowest first
	benefit           float64 // of its profile, less if its tenant exceeds its quota
	priority          int     // as last set
	threads           float64 // threads that its attempt counts as
	inFlight          attempt
	attempts          int
	avoidServer       int32   // server that last failed it, -1: none
	erroredOn         int32   // server that last answered it with an error, -1: none
	errors            int     // number of such answers
	mayHaveRun        bool    // an ended attempt may have run
	firstRunAt        float64 // start of the first such attempt, with its zone and cell
	firstRunZone      int
	firstRunCell      int
	short             bool // may use the fast path
	queued            bool
	estimateSent      bool  // its client has received an estimate
	reserved          bool  // it arrives at a time that was estimated for a client of its team
	done              bool  // it has its final answer
	streaming         bool  // its answer is being streamed; no timeout applies
	halfClosed        bool  // its client has closed its sending side, and may have left
	nextOfKey         int32 // next request of the same order key, -1: none
}

// earliestPossibleRun is the start of the earliest attempt that may have run or may still run.
func (r *requestState) earliestPossibleRun() (at float64, risk bool) {
	if r.mayHaveRun {
		return r.firstRunAt, true
	}
	return r.inFlight.at, r.inFlight.server >= 0
}

// keyQueue holds the requests of one order key, in the order of arrival.
type keyQueue struct {
	head, tail int32
	restUntil  float64 // no attempt starts before
}

// profileState holds the settings of a profile and what was learned about it.
type profileState struct {
	Profile
	current, filling            histogram // processing times: current is read while filling collects
	received, admitted          window    // requests that arrived and requests that were admitted, by Bouncer's sliding window
	estimatedWork, measuredWork float64   // decaying sums of the clients' estimates and of the measured work of the same requests
	work, samples               float64   // usual work over all threads, and the number of answers or estimates behind it
	slowdown                    float64   // usual slowdown: processing time over work per thread
}

// tenantState is the token bucket of a tenant's quota. Requests beyond the quota are served last.
type tenantState struct {
	tokens, refilledAt float64
	demand             window // requests received, where the fleet grants quotas
}

// requestSet holds request states at indexes that are reused, the queue ordered by rank, and the queues of order keys.
type requestSet struct {
	states      []requestState
	freeIndexes []int32
	at          map[uint32]int32 // index by request id
	queued      []int32          // indexes of the queued requests, lowest rank first
	byKey       map[uint64]keyQueue
	restingKeys []uint64 // keys with an empty queue that may still have to rest
}

func newSet() requestSet { return requestSet{at: map[uint32]int32{}, byKey: map[uint64]keyQueue{}} }

func (s *requestSet) add(c Request) int32 {
	var i int32
	if n := len(s.freeIndexes); n > 0 {
		i, s.freeIndexes = s.freeIndexes[n-1], s.freeIndexes[:n-1]
	} else {
		i = int32(len(s.states))
		s.states = append(s.states, requestState{})
	}
	s.states[i] = requestState{Request: c, avoidServer: -1, erroredOn: -1, nextOfKey: -1, inFlight: attempt{server: -1}}
	s.at[c.ID] = i
	return i
}

func (s *requestSet) release(i int32) {
	delete(s.at, s.states[i].ID)
	s.freeIndexes = append(s.freeIndexes, i)
}

// enqueue inserts a request into the queue, behind those of the same rank.
func (s *requestSet) enqueue(i int32) {
	r := &s.states[i]
	if r.queued {
		return
	}
	r.queued = true
	k := sort.Search(len(s.queued), func(k int) bool { return s.states[s.queued[k]].rank > r.rank })
	s.queued = append(s.queued, 0)
	copy(s.queued[k+1:], s.queued[k:])
	s.queued[k] = i
}

func (s *requestSet) dequeue(i int32) {
	if !s.states[i].queued {
		return
	}
	s.states[i].queued = false
	for k, h := range s.queued {
		if h == i {
			s.queued = append(s.queued[:k], s.queued[k+1:]...)
			return
		}
	}
}

// enqueueKey appends a request to the queue of its key.
func (s *requestSet) enqueueKey(i int32) {
	q, ok := s.byKey[s.states[i].Key]
	if !ok || q.head < 0 {
		q.head = i
	} else {
		s.states[q.tail].nextOfKey = i
	}
	q.tail = i
	s.byKey[s.states[i].Key] = q
}

// restKey delays the queue of a key until restUntil.
func (s *requestSet) restKey(key uint64, restUntil float64) {
	q := s.byKey[key]
	q.restUntil = max(q.restUntil, restUntil)
	s.byKey[key] = q
}

// advanceKey releases the requests at the head of a key's queue that are done; the next ones may be done already.
func (s *requestSet) advanceKey(key uint64) {
	q := s.byKey[key]
	for q.head >= 0 && s.states[q.head].done && s.states[q.head].inFlight.server < 0 {
		h := q.head
		q.head = s.states[h].nextOfKey
		s.release(h)
	}
	s.byKey[key] = q
	if q.head < 0 {
		s.restingKeys = append(s.restingKeys, key)
	}
}

// dropIdleKeys removes keys with an empty queue whose rest is over.
func (s *requestSet) dropIdleKeys(now float64) {
	kept := s.restingKeys[:0]
	for _, key := range s.restingKeys {
		if q, ok := s.byKey[key]; ok && q.head < 0 && q.restUntil > now {
			kept = append(kept, key)
		} else if ok && q.head < 0 {
			delete(s.byKey, key)
		}
	}
	s.restingKeys = kept
}

// server is what this router knows about one server.
type server struct {
	Entry
	cores           float64
	threads         float64 // this router's threads on it, and those of them on the fast path
	fastPathThreads float64
	openAttempts    int     // this router's attempts in flight
	slowdown        float64 // compared with the usual slowdown of each profile, and when it was last updated
	slowdownAt      float64
	failureRate     float64 // recent share of failed attempts
	aliveAt         float64 // last sign of life
	answeredAt      float64 // last answer
	silentTimeoutAt float64 // when an attempt last timed out without a sign of life since it was sent
	overdue         int     // attempts far over their expected time, and the shortest expected time among them
	short           float64
	fullUntil       float64   // it rejected an attempt as full: no attempts before this time
	unhealthy       bool      // receives one probe at a time
	probing         bool      // a probe is in flight
	nextProbeAt     float64   // no probe before this time
	probeInterval   float64   // time between probes
	coldWork        window    // usual work sent since its start
	peerThreads     []float64 // threads of each other router, as last received; nil: none received
	reportedThreads float64   // threads of all other routers according to the server's load reports, and the time of the last one
	reportedAt      float64
	otherThreads    float64 // threads of all other routers, as far as known
	othersKnown     bool
	othersEstimated bool    // derived from the reports of other servers
	randomThreads   float64 // stands for otherThreads while they are unknown
}

func (e *server) addThreads(short bool, threads float64) {
	e.threads += threads
	if short {
		e.fastPathThreads += threads
	}
}

// permitted reports whether a list allows v; nil allows any.
func permitted(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return list == nil
}

// pool holds the servers of the list. The index of a server that is gone is reused once no attempt is in flight there.
type pool struct {
	servers     []server
	index       map[uint32]int32
	peerHeardAt []float64 // when each router's last load message arrived
	coverage    Coverage  // the part of the pool that the list covers
}

func newPool(routers int) pool {
	p := pool{index: map[uint32]int32{}, peerHeardAt: make([]float64, routers)}
	for k := range p.peerHeardAt {
		p.peerHeardAt[k] = math.Inf(-1)
	}
	return p
}

// totals returns this router's threads and attempts over all servers.
func (p *pool) totals() (threads, openAttempts float64) {
	for k := range p.servers {
		threads, openAttempts = threads+p.servers[k].threads, openAttempts+float64(p.servers[k].openAttempts)
	}
	return threads, openAttempts
}

// healthyTotal sums up this router's load and the known load of others over all servers that are ready and healthy.
func (p *pool) healthyTotal() (a server) {
	for k := range p.servers {
		if e := &p.servers[k]; e.State == Ready && !e.unhealthy {
			a.othersKnown = a.othersKnown || e.othersKnown
			a.cores, a.threads, a.fastPathThreads, a.otherThreads = a.cores+e.cores, a.threads+e.threads, a.fastPathThreads+e.fastPathThreads, a.otherThreads+e.otherThreads
		}
	}
	return a
}

// sumOthers updates the load of other routers on each server, from messages of routers and load reports that arrived
// recently, and counts the routers that sent messages before and no longer do. Where not all servers are known,
// othersPerCore stands for the rest, if it is under lowThreads.
func (p *pool) sumOthers(now, heardFor, reportedFor, othersPerCore, lowThreads float64) (silentPeers int, anyPeerHeard bool) {
	allKnown := true
	for _, at := range p.peerHeardAt {
		if !math.IsInf(at, -1) {
			anyPeerHeard = true
			if now-at >= heardFor {
				silentPeers++
			}
		}
	}
	for k := range p.servers {
		e := &p.servers[k]
		reported := now-e.reportedAt < reportedFor
		e.othersEstimated = false
		if e.otherThreads, e.othersKnown = 0, anyPeerHeard || reported; !anyPeerHeard && reported {
			e.otherThreads = e.reportedThreads
		}
		allKnown = allKnown && (e.othersKnown || e.State != Ready)
		if !anyPeerHeard {
			continue
		}
		for r, at := range p.peerHeardAt {
			if now-at < heardFor && e.peerThreads != nil {
				e.otherThreads += e.peerThreads[r]
			}
		}
	}
	for k := range p.servers {
		switch e := &p.servers[k]; {
		case allKnown: // all ready servers are known
		case othersPerCore >= lowThreads:
			e.otherThreads, e.othersKnown = 0, false // a mix of known and unknown servers would mislead
		case !e.othersKnown:
			e.otherThreads, e.othersKnown, e.othersEstimated = othersPerCore*e.cores, true, true
		}
	}
	return silentPeers, anyPeerHeard
}

// freeIndex returns an index that is free for a new server.
func (p *pool) freeIndex() int32 {
	for k := range p.servers {
		if e := &p.servers[k]; e.State == Gone && e.openAttempts == 0 {
			delete(p.index, e.Server)
			return int32(k)
		}
	}
	p.servers = append(p.servers, server{})
	return int32(len(p.servers) - 1)
}

// merge applies a list event and calls onNewStart for each server that is new or has restarted.
func (p *pool) merge(scope Scope, list []Entry, onNewStart func(*server)) {
	if scope != Delta {
		p.markUnlisted(list)
	}
	for _, n := range list {
		k, ok := p.index[n.Server]
		if !ok {
			k = p.freeIndex()
			p.index[n.Server] = k
			p.servers[k] = server{reportedAt: math.Inf(-1)}
		}
		e := &p.servers[k]
		restarted := !ok || n.ReadyAt != e.ReadyAt
		if e.Entry = n; restarted {
			onNewStart(e)
		}
	}
}

// markUnlisted marks the servers that a complete list leaves out as gone. Lists have thousands of servers, so each is
// looked up once.
func (p *pool) markUnlisted(list []Entry) {
	listed := make(map[uint32]struct{}, len(list))
	for _, n := range list {
		listed[n.Server] = struct{}{}
	}
	for k := range p.servers {
		if _, ok := listed[p.servers[k].Server]; !ok {
			p.servers[k].State = Gone
		}
	}
}

// encodeLoads writes this router's threads on each ready server, for the other routers.
func (p *pool) encodeLoads(buf []byte) []byte {
	buf = buf[:0]
	for k := range p.servers {
		if e := &p.servers[k]; e.State == Ready {
			buf = binary.BigEndian.AppendUint32(buf, e.Server)
			buf = binary.BigEndian.AppendUint16(buf, uint16(min(e.threads, math.MaxUint16)))
		}
	}
	return buf
}

// decodeLoads reads the message of another router's encodeLoads.
func (p *pool) decodeLoads(from int, data []byte) {
	for k := range p.servers {
		e := &p.servers[k]
		if e.peerThreads == nil { // only where routers exchange messages: a value per router and server is the largest state of the package
			e.peerThreads = make([]float64, len(p.peerHeardAt))
		}
		e.peerThreads[from] = 0
	}
	for ; len(data) >= 6; data = data[6:] {
		if k, ok := p.index[binary.BigEndian.Uint32(data)]; ok {
			p.servers[k].peerThreads[from] = float64(binary.BigEndian.Uint16(data[4:]))
		}
	}
}

// PeerMessage reports a message of another router.
func (b *Controller) PeerMessage(now float64, from int, data []byte) {
	b.now = now
	if from >= 0 && from < len(b.peerHeardAt) && from != b.config.Me {
		b.peerHeardAt[from] = now
		b.decodeLoads(from, data)
	}
}

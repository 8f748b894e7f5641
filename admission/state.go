package admission

import (
	"encoding/binary"
	"math"
	"sort"
)

// attempt is one attempt that is out.
type attempt struct {
	server          int32   // index into the engines, -1: this place is free
	number          int     // counting the command's sends from 0
	at              float64 // when it left
	expected        float64 // how long it should take
	cancelRequested bool    // its cancel has been asked for
	presumedLost    bool    // no place is counted for it any more
}

// requestState is one command in hand: until it has its final answer and no send of it is out.
type requestState struct {
	Command
	takenAt, deadline float64 // when taken, and when the client gives it up
	cost              float64 // expected work of all threads, the profile's bias taken out
	bestTime, target  float64 // time on a free engine, and until when an answer earns its whole benefit
	price, rank       float64 // cost per benefit, and place in the line of held commands, least first
	benefit           float64 // benefit, less where its tenant is over its quota
	priority          int     // priority as last set
	threads           float64 // threads that its send counts as
	inFlight          attempt
	attempts          int
	avoidServer       int32   // engine that last failed it, -1: none
	erroredOn         int32   // engine that last answered it with an error, -1: none
	errors            int     // how many such answers it had
	mayHaveRun        bool    // an ended send may have run
	firstRunAt        float64 // when the first of those left, and where to
	firstRunZone      int
	firstRunCell      int
	short             bool
	queued            bool
	estimateSent      bool // its client has been told how long it takes
	reserved          bool // it comes at a time that a client of its team was told
	done              bool
	streaming         bool
	halfClosed        bool  // its client has said its last, and may have left
	nextOfKey         int32 // next of the same order key, -1: none
}

// earliestPossibleRun is when the earliest send left that may have run or may run yet.
func (r *requestState) earliestPossibleRun() (at float64, risk bool) {
	if r.mayHaveRun {
		return r.firstRunAt, true
	}
	return r.inFlight.at, r.inFlight.server >= 0
}

// keyQueue is the commands of one order key, in the order taken.
type keyQueue struct {
	head, tail int32
	restUntil  float64 // nothing is sent before
}

// requestSet holds records in places that are reused, the line of held ones by rank, and the lines of order keys.
type requestSet struct {
	states      []requestState
	freeIndexes []int32
	at          map[uint32]int32
	queued      []int32
	byKey       map[uint64]keyQueue
	restingKeys []uint64 // keys with nothing in line that may still rest
}

func newSet() requestSet { return requestSet{at: map[uint32]int32{}, byKey: map[uint64]keyQueue{}} }

func (s *requestSet) add(c Command) int32 {
	var i int32
	if n := len(s.freeIndexes); n > 0 {
		i, s.freeIndexes = s.freeIndexes[n-1], s.freeIndexes[:n-1]
	} else {
		i = int32(len(s.states))
		s.states = append(s.states, requestState{})
	}
	s.states[i] = requestState{Command: c, avoidServer: -1, erroredOn: -1, nextOfKey: -1, inFlight: attempt{server: -1}}
	s.at[c.ID] = i
	return i
}

func (s *requestSet) release(i int32) {
	delete(s.at, s.states[i].ID)
	s.freeIndexes = append(s.freeIndexes, i)
}

// enqueue puts a record into the held line, behind those of its rank.
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

// enqueueKey puts a record at the back of its key's line.
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

// restKey keeps a key's line still until then.
func (s *requestSet) restKey(key uint64, restUntil float64) {
	q := s.byKey[key]
	q.restUntil = max(q.restUntil, restUntil)
	s.byKey[key] = q
}

// advanceKey releases what is over at the front of a key's line; those behind may be over already.
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

// dropIdleKeys forgets keys whose line is empty and whose rest is over.
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

// server is what this router knows of one server.
type server struct {
	Entry
	cores           float64
	threads         float64 // ours that are out there, and those of the short lane
	fastPathThreads float64
	openAttempts    int
	slowdown        float64 // slowdown against the usual of each profile, and when it was last learned
	slowdownAt      float64
	failureRate     float64 // recent share of sends that failed there
	aliveAt         float64 // last sign of life
	answeredAt      float64 // last answer
	silentTimeoutAt float64 // when an attempt last ran out of time with no sign of life since it was sent
	overdue         int     // sends long past what they should take, and what the shortest of them should
	short           float64
	fullUntil       float64   // it turned us away: nothing before then
	unhealthy       bool      // gets one trial send at a time
	probing         bool      // and that is out
	nextProbeAt     float64   // not before then
	probeInterval   float64   // between trials
	coldWork        window    // usual work sent since its start
	peerThreads     []float64 // threads of each other router, as last told by it; nil: none has told any
	reportedThreads float64   // threads of all others, as the engine's load report implies, and when
	reportedAt      float64
	otherThreads    float64 // threads of all others, as far as that is known
	othersKnown     bool
	othersEstimated bool    // from other engines' reports
	randomThreads   float64 // stands for them where it is not
}

func (e *server) addThreads(short bool, threads float64) {
	e.threads += threads
	if short {
		e.fastPathThreads += threads
	}
}

func permitted(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return list == nil
}

// pool is the engines of the list. The place of one that is gone is reused once no send of ours is out there.
type pool struct {
	servers     []server
	index       map[uint32]int32
	peerHeardAt []float64 // when each router last told its load
	coverage    Held      // what part of the pool the engines are
}

func newPool(routers int) pool {
	p := pool{index: map[uint32]int32{}, peerHeardAt: make([]float64, routers)}
	for k := range p.peerHeardAt {
		p.peerHeardAt[k] = math.Inf(-1)
	}
	return p
}

// totals of this router's threads and commands over all engines.
func (p *pool) totals() (threads, openAttempts float64) {
	for k := range p.servers {
		threads, openAttempts = threads+p.servers[k].threads, openAttempts+float64(p.servers[k].openAttempts)
	}
	return threads, openAttempts
}

// healthyTotal of what this router has and knows on the engines that count.
func (p *pool) healthyTotal() (a server) {
	for k := range p.servers {
		if e := &p.servers[k]; e.State == Ready && !e.unhealthy {
			a.othersKnown = a.othersKnown || e.othersKnown
			a.cores, a.threads, a.fastPathThreads, a.otherThreads = a.cores+e.cores, a.threads+e.threads, a.fastPathThreads+e.fastPathThreads, a.otherThreads+e.otherThreads
		}
	}
	return a
}

// sumOthers adds what others have on each engine, from routers heard or reports that came lately, and counts the
// routers that were heard once and are no longer. Where not all engines are known, dense threads a core stand for
// the rest, if under low.
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
		case allKnown: // all that matter are known
		case othersPerCore >= lowThreads:
			e.otherThreads, e.othersKnown = 0, false // some known beside others that are not would mislead
		case !e.othersKnown:
			e.otherThreads, e.othersKnown, e.othersEstimated = othersPerCore*e.cores, true, true
		}
	}
	return silentPeers, anyPeerHeard
}

// freeIndex is a free one among the engines.
func (p *pool) freeIndex() int32 {
	for k := range p.servers {
		if e := &p.servers[k]; e.State == Gone && e.openAttempts == 0 {
			delete(p.index, e.Engine)
			return int32(k)
		}
	}
	p.servers = append(p.servers, server{})
	return int32(len(p.servers) - 1)
}

// merge takes a list event in and calls fresh for each engine that is new or has started anew.
func (p *pool) merge(scope Scope, list []Entry, onNewStart func(*server)) {
	if scope != Delta {
		p.markUnlisted(list)
	}
	for _, n := range list {
		k, ok := p.index[n.Engine]
		if !ok {
			k = p.freeIndex()
			p.index[n.Engine] = k
			p.servers[k] = server{reportedAt: math.Inf(-1)}
		}
		e := &p.servers[k]
		restarted := !ok || n.ReadyAt != e.ReadyAt
		if e.Entry = n; restarted {
			onNewStart(e)
		}
	}
}

// markUnlisted marks what a whole list leaves out as gone. Lists have thousands of engines, so each is looked up once.
func (p *pool) markUnlisted(list []Entry) {
	listed := make(map[uint32]struct{}, len(list))
	for _, n := range list {
		listed[n.Engine] = struct{}{}
	}
	for k := range p.servers {
		if _, ok := listed[p.servers[k].Engine]; !ok {
			p.servers[k].State = Gone
		}
	}
}

// encodeLoads writes this router's threads on each ready engine, for the other routers.
func (p *pool) encodeLoads(buf []byte) []byte {
	buf = buf[:0]
	for k := range p.servers {
		if e := &p.servers[k]; e.State == Ready {
			buf = binary.BigEndian.AppendUint32(buf, e.Engine)
			buf = binary.BigEndian.AppendUint16(buf, uint16(min(e.threads, math.MaxUint16)))
		}
	}
	return buf
}

// decodeLoads takes what another router packed.
func (p *pool) decodeLoads(from int, data []byte) {
	for k := range p.servers {
		e := &p.servers[k]
		if e.peerThreads == nil { // only where routers talk: a figure for each router and engine is the most that the module keeps
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

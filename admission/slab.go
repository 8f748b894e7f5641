package admission

import (
	"encoding/binary"
	"math"
	"sort"
)

// send is one send that is out.
type send struct {
	engine int32   // index into the engines, -1: this place is free
	number int     // counting the command's sends from 0
	at     float64 // when it left
	expect float64 // how long it should take
	asked  bool    // its cancel has been asked for
	lost   bool    // no place is counted for it any more
}

// record is one command in hand: until it has its final answer and no send of it is out.
type record struct {
	Command
	took, dueBy float64 // when taken, and when the client gives it up
	cost        float64 // expected work of all threads, the profile's bias taken out
	best, aim   float64 // time on a free engine, and until when an answer earns its whole benefit
	price, rank float64 // cost per benefit, and place in the line of held commands, least first
	worth       float64 // benefit, less where its tenant is over its quota
	level       int     // priority as last set
	takes       float64 // threads that its send counts as
	out         send
	sends       int
	avoid       int32   // engine that last failed it, -1: none
	erred       int32   // engine that last answered it with an error, -1: none
	errors      int     // how many such answers it had
	mayRun      bool    // an ended send may have run
	ranAt       float64 // when the first of those left, and where to
	ranZone     int
	ranCell     int
	short       bool
	held        bool
	promised    bool // its client has been told how long it takes
	booked      bool // it comes at a time that a client of its team was told
	done        bool
	streaming   bool
	halfClosed  bool  // its client has said its last, and may have left
	next        int32 // next of the same order key, -1: none
}

// firstRisk is when the earliest send left that may have run or may run yet.
func (r *record) firstRisk() (at float64, risk bool) {
	if r.mayRun {
		return r.ranAt, true
	}
	return r.out.at, r.out.engine >= 0
}

// line is the commands of one order key, in the order taken.
type line struct {
	head, tail int32
	until      float64 // nothing is sent before
}

// slab holds records in places that are reused, the line of held ones by rank, and the lines of order keys.
type slab struct {
	rec  []record
	free []int32
	at   map[uint32]int32
	held []int32
	keys map[uint64]line
	rest []uint64 // keys with nothing in line that may still rest
}

func newSlab() slab { return slab{at: map[uint32]int32{}, keys: map[uint64]line{}} }

func (s *slab) take(c Command) int32 {
	var i int32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
	} else {
		i = int32(len(s.rec))
		s.rec = append(s.rec, record{})
	}
	s.rec[i] = record{Command: c, avoid: -1, erred: -1, next: -1, out: send{engine: -1}}
	s.at[c.ID] = i
	return i
}

func (s *slab) release(i int32) {
	delete(s.at, s.rec[i].ID)
	s.free = append(s.free, i)
}

// hold puts a record into the held line, behind those of its rank.
func (s *slab) hold(i int32) {
	r := &s.rec[i]
	if r.held {
		return
	}
	r.held = true
	k := sort.Search(len(s.held), func(k int) bool { return s.rec[s.held[k]].rank > r.rank })
	s.held = append(s.held, 0)
	copy(s.held[k+1:], s.held[k:])
	s.held[k] = i
}

func (s *slab) unhold(i int32) {
	if !s.rec[i].held {
		return
	}
	s.rec[i].held = false
	for k, h := range s.held {
		if h == i {
			s.held = append(s.held[:k], s.held[k+1:]...)
			return
		}
	}
}

// enlist puts a record at the back of its key's line.
func (s *slab) enlist(i int32) {
	l, ok := s.keys[s.rec[i].Key]
	if !ok || l.head < 0 {
		l.head = i
	} else {
		s.rec[l.tail].next = i
	}
	l.tail = i
	s.keys[s.rec[i].Key] = l
}

// restKey keeps a key's line still until then.
func (s *slab) restKey(key uint64, until float64) {
	l := s.keys[key]
	l.until = max(l.until, until)
	s.keys[key] = l
}

// moveOn releases what is over at the front of a key's line; those behind may be over already.
func (s *slab) moveOn(key uint64) {
	l := s.keys[key]
	for l.head >= 0 && s.rec[l.head].done && s.rec[l.head].out.engine < 0 {
		h := l.head
		l.head = s.rec[h].next
		s.release(h)
	}
	s.keys[key] = l
	if l.head < 0 {
		s.rest = append(s.rest, key)
	}
}

// sweep forgets keys whose line is empty and whose rest is over.
func (s *slab) sweep(now float64) {
	kept := s.rest[:0]
	for _, key := range s.rest {
		if l, ok := s.keys[key]; ok && l.head < 0 && l.until > now {
			kept = append(kept, key)
		} else if ok && l.head < 0 {
			delete(s.keys, key)
		}
	}
	s.rest = kept
}

// engine is what this router knows of one engine.
type engine struct {
	Entry
	cores   float64
	threads float64 // ours that are out there, and those of the short lane
	lane    float64
	outs    int
	slow    float64 // slowdown against the usual of each profile, and when it was last learned
	slowAt  float64
	fails   float64 // recent share of sends that failed there
	sign    float64 // last sign of life
	heardAt float64 // last answer
	silence float64 // when an attempt last ran out of time with no sign of life since it was sent
	overdue int     // sends long past what they should take, and what the shortest of them should
	short   float64
	fullTo  float64   // it turned us away: nothing before then
	ill     bool      // gets one trial send at a time
	trial   bool      // and that is out
	trialAt float64   // not before then
	pause   float64   // between trials
	cold    window    // usual work sent since its start
	theirs  []float64 // threads of each other router, as last told by it; nil: none has told any
	rest    float64   // threads of all others, as the engine's load report implies, and when
	restAt  float64
	others  float64 // threads of all others, as far as that is known
	known   bool
	guessed bool    // from other engines' reports
	chance  float64 // stands for them where it is not
}

func (e *engine) load(short bool, threads float64) {
	e.threads += threads
	if short {
		e.lane += threads
	}
}

func among(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return list == nil
}

// pool is the engines of the list. The place of one that is gone is reused once no send of ours is out there.
type pool struct {
	engines []engine
	index   map[uint32]int32
	heard   []float64 // when each router last told its load
	held    Held      // what part of the pool the engines are
}

func newPool(routers int) pool {
	p := pool{index: map[uint32]int32{}, heard: make([]float64, routers)}
	for k := range p.heard {
		p.heard[k] = math.Inf(-1)
	}
	return p
}

// sums of this router's threads and commands over all engines.
func (p *pool) sums() (threads, outs float64) {
	for k := range p.engines {
		threads, outs = threads+p.engines[k].threads, outs+float64(p.engines[k].outs)
	}
	return threads, outs
}

// sum of what this router has and knows on the engines that count.
func (p *pool) sum() (a engine) {
	for k := range p.engines {
		if e := &p.engines[k]; e.State == Ready && !e.ill {
			a.known = a.known || e.known
			a.cores, a.threads, a.lane, a.others = a.cores+e.cores, a.threads+e.threads, a.lane+e.lane, a.others+e.others
		}
	}
	return a
}

// sumUp adds what others have on each engine, from routers heard or reports that came lately, and counts the
// routers that were heard once and are no longer. Where not all engines are known, dense threads a core stand for
// the rest, if under low.
func (p *pool) sumUp(now, heardFor, reportedFor, dense, low float64) (gone int, met bool) {
	complete := true
	for _, at := range p.heard {
		if !math.IsInf(at, -1) {
			met = true
			if now-at >= heardFor {
				gone++
			}
		}
	}
	for k := range p.engines {
		e := &p.engines[k]
		reported := now-e.restAt < reportedFor
		e.guessed = false
		if e.others, e.known = 0, met || reported; !met && reported {
			e.others = e.rest
		}
		complete = complete && (e.known || e.State != Ready)
		if !met {
			continue
		}
		for r, at := range p.heard {
			if now-at < heardFor && e.theirs != nil {
				e.others += e.theirs[r]
			}
		}
	}
	for k := range p.engines {
		switch e := &p.engines[k]; {
		case complete: // all that matter are known
		case dense >= low:
			e.others, e.known = 0, false // some known beside others that are not would mislead
		case !e.known:
			e.others, e.known, e.guessed = dense*e.cores, true, true
		}
	}
	return gone, met
}

// place is a free one among the engines.
func (p *pool) place() int32 {
	for k := range p.engines {
		if e := &p.engines[k]; e.State == Gone && e.outs == 0 {
			delete(p.index, e.Engine)
			return int32(k)
		}
	}
	p.engines = append(p.engines, engine{})
	return int32(len(p.engines) - 1)
}

// merge takes a list event in and calls fresh for each engine that is new or has started anew.
func (p *pool) merge(scope Scope, list []Entry, fresh func(*engine)) {
	if scope != Delta {
		p.dropUnlisted(list)
	}
	for _, n := range list {
		k, ok := p.index[n.Engine]
		if !ok {
			k = p.place()
			p.index[n.Engine] = k
			p.engines[k] = engine{restAt: math.Inf(-1)}
		}
		e := &p.engines[k]
		again := !ok || n.ReadyAt != e.ReadyAt
		if e.Entry = n; again {
			fresh(e)
		}
	}
}

// dropUnlisted marks what a whole list leaves out as gone. Lists have thousands of engines, so each is looked up once.
func (p *pool) dropUnlisted(list []Entry) {
	listed := make(map[uint32]struct{}, len(list))
	for _, n := range list {
		listed[n.Engine] = struct{}{}
	}
	for k := range p.engines {
		if _, ok := listed[p.engines[k].Engine]; !ok {
			p.engines[k].State = Gone
		}
	}
}

// pack writes this router's threads on each ready engine, for the other routers.
func (p *pool) pack(buf []byte) []byte {
	buf = buf[:0]
	for k := range p.engines {
		if e := &p.engines[k]; e.State == Ready {
			buf = binary.BigEndian.AppendUint32(buf, e.Engine)
			buf = binary.BigEndian.AppendUint16(buf, uint16(min(e.threads, math.MaxUint16)))
		}
	}
	return buf
}

// unpack takes what another router packed.
func (p *pool) unpack(from int, data []byte) {
	for k := range p.engines {
		e := &p.engines[k]
		if e.theirs == nil { // only where routers talk: a figure for each router and engine is the most that the module keeps
			e.theirs = make([]float64, len(p.heard))
		}
		e.theirs[from] = 0
	}
	for ; len(data) >= 6; data = data[6:] {
		if k, ok := p.index[binary.BigEndian.Uint32(data)]; ok {
			p.engines[k].theirs[from] = float64(binary.BigEndian.Uint16(data[4:]))
		}
	}
}

package brain

// send is one send that is out.
type send struct {
	engine   int32   // index into the engines, -1: this place is free
	number   int     // counting the command's sends from 0
	at       float64 // when it left
	expect   float64 // how long it should take on a free engine
	heard    float64 // last sign of it
	progress float64 // share done, as last told
	pace     float64 // share done a second, as last told
}

// record is one command in hand: until it has its final answer and no send of it is out.
type record struct {
	Command
	took, dueBy float64 // when taken, and when the client gives it up
	cost        float64 // expected work of all threads, the profile's bias taken out
	rank        float64 // place in the line of held commands, least first
	worth       float64 // benefit, less where its tenant is over its quota
	level       int     // priority as last set
	out         [2]send
	outs, sends int
	avoid       int32   // engine that last failed it, -1: none
	mayRun      bool    // a send may have run
	ranAt       float64 // when the first of those left
	ranZone     int     // and where to
	ranCell     int
	short       bool
	held        bool
	done        bool
	streaming   bool
	inUse       bool
	next        int32 // next of the same order key, -1: none
}

// slab holds records in places that are reused.
type slab struct {
	rec  []record
	free []int32
	at   map[uint32]int32
}

func newSlab() slab { return slab{at: map[uint32]int32{}} }

func (s *slab) take(id uint32) int32 {
	var i int32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
	} else {
		i = int32(len(s.rec))
		s.rec = append(s.rec, record{})
	}
	s.rec[i] = record{avoid: -1, next: -1, inUse: true, out: [2]send{{engine: -1}, {engine: -1}}}
	s.at[id] = i
	return i
}

func (s *slab) find(id uint32) (int32, bool) {
	i, ok := s.at[id]
	return i, ok
}

func (s *slab) release(i int32) {
	delete(s.at, s.rec[i].ID)
	s.rec[i].inUse = false
	s.free = append(s.free, i)
}

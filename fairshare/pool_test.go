package fairshare

// fakePool simulates servers and the requests that are queued for them. Each running attempt occupies its number of
// threads.
type fakePool struct {
	tree        *Tree
	now         float64
	freeThreads int
	attempts    []attempt
	nextSlot    int32
	requests    map[int32]request
	doneWork    map[int]float64   // core seconds by team
	waits       map[int32]float64 // time in the queue by slot, once started
}

type request struct {
	team     int
	estimate float64 // expected core seconds
	work     float64 // actual core seconds; an attempt runs for this many seconds
	threads  int
	queuedAt float64
}

type attempt struct {
	slot   int32
	endsAt float64
}

func newPool(tree *Tree, threads int) *fakePool {
	return &fakePool{tree: tree, freeThreads: threads, requests: map[int32]request{}, doneWork: map[int]float64{}, waits: map[int32]float64{}}
}

func (p *fakePool) enqueueOne(team int, rank, work float64) int32 {
	return p.enqueue(rank, request{team: team, estimate: work, work: work, threads: 1}, 1e9)
}

// enqueue queues a request that is to start within maxWait seconds.
func (p *fakePool) enqueue(rank float64, r request, maxWait float64) int32 {
	slot := p.nextSlot
	p.nextSlot++
	r.queuedAt = p.now
	p.requests[slot] = r
	p.tree.Enqueue(p.now, slot, r.team, rank, r.estimate, float64(r.threads), p.now+maxWait)
	p.startAttempts()
	return slot
}

func (p *fakePool) startAttempts() {
	for p.tree.StartWalk(p.now); p.freeThreads > 0; {
		slot := p.tree.Next()
		if slot < 0 {
			return
		}
		r := p.requests[slot]
		if p.freeThreads < r.threads || !p.tree.MayStart(p.now, slot, r.team) {
			p.tree.Skip(slot)
			continue
		}
		p.tree.Dequeue(slot)
		p.tree.AttemptStarted(p.now, slot, r.team, r.estimate, float64(r.threads), true)
		p.waits[slot] = p.now - r.queuedAt
		p.freeThreads -= r.threads
		p.attempts = append(p.attempts, attempt{slot, p.now + r.work})
	}
}

// runToNextEnd advances the time to the end of the next attempt and starts what then fits.
func (p *fakePool) runToNextEnd() {
	first := 0
	for k, a := range p.attempts {
		if a.endsAt < p.attempts[first].endsAt {
			first = k
		}
	}
	a := p.attempts[first]
	p.attempts = append(p.attempts[:first], p.attempts[first+1:]...)
	p.now = max(p.now, a.endsAt)
	p.tree.Tick(p.now, float64(p.freeThreads+len(p.attempts)+1)) // includes the thread of the attempt that ends
	r := p.requests[a.slot]
	p.tree.AttemptEnded(p.now, a.slot, r.work)
	p.doneWork[r.team] += r.work
	delete(p.requests, a.slot)
	p.freeThreads += r.threads
	p.startAttempts()
}

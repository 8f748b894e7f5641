package fairshare

// pool is servers as a Tree sees them: threads that run one request each, and what is queued for them.
type pool struct {
	t     *Tree
	now   float64
	free  int
	runs  []run
	next  int32
	jobs  map[int32]job
	done  map[int]float64 // work by team
	waits map[int32]float64
}

type job struct {
	team    int
	guess   float64 // expected work
	work    float64
	threads int
	from    float64
}

type run struct {
	at    int32
	until float64
}

func newPool(t *Tree, places int) *pool {
	return &pool{t: t, free: places, jobs: map[int32]job{}, done: map[int]float64{}, waits: map[int32]float64{}}
}

func (p *pool) hold(team int, rank, work float64) int32 {
	return p.ask(rank, job{team: team, guess: work, work: work, threads: 1}, 1e9)
}

// ask is a command that has so many seconds until it should be sent.
func (p *pool) ask(rank float64, j job, patience float64) int32 {
	at := p.next
	p.next++
	j.from = p.now
	p.jobs[at] = j
	p.t.Enqueue(p.now, at, j.team, rank, j.guess, float64(j.threads), p.now+patience)
	p.fill()
	return at
}

func (p *pool) fill() {
	for p.t.StartWalk(p.now); p.free > 0; {
		at := p.t.Next()
		if at < 0 {
			return
		}
		j := p.jobs[at]
		if p.free < j.threads || !p.t.MayStart(p.now, at, j.team) {
			p.t.Skip(at)
			continue
		}
		p.t.Dequeue(at)
		p.t.AttemptStarted(p.now, at, j.team, j.guess, float64(j.threads), true)
		p.waits[at] = p.now - j.from
		p.free -= j.threads
		p.runs = append(p.runs, run{at, p.now + j.work})
	}
}

// step goes on to the next end.
func (p *pool) step() {
	least := 0
	for k, r := range p.runs {
		if r.until < p.runs[least].until {
			least = k
		}
	}
	r := p.runs[least]
	p.runs = append(p.runs[:least], p.runs[least+1:]...)
	p.now = max(p.now, r.until)
	p.t.Tick(p.now, float64(p.free+len(p.runs)+1)) // the place of the one that ends, too
	j := p.jobs[r.at]
	p.t.AttemptEnded(p.now, r.at, j.work)
	p.done[j.team] += j.work
	delete(p.jobs, r.at)
	p.free += j.threads
	p.fill()
}

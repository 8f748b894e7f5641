// Package waittime says how long commands wait, and keeps to it. It takes the module's own estimate (work ahead over places)
// as a base, corrects it by what then happened to commands of the same team and profile, and tells a median and a 90th
// percentile. Refused clients are told a time each has to itself, and find the room that they were told of. It does no I/O
// and knows no clock. Times are seconds.
//
// The correction is a running quantile of the logarithm of actual over promised (stochastic approximation, Robbins and
// Monro 1951; as an online guarantee of coverage: Gibbs and Candes, "Adaptive Conformal Inference Under Distribution
// Shift", 2021): whatever the base leaves out, half of the waits come to lie under the median and nine in ten under the
// 90th percentile.
package waittime

import (
	"cmp"
	"math"
	"slices"
)

// Estimate of a time, in seconds from when it is made.
type Estimate struct{ P50, P90 float64 }

// Kind of a time that is told.
type Kind uint8

// The kinds of times.
const (
	Start  Kind = iota // until the first send
	Answer             // until the answer
	Return             // until the command would be let in
	kinds
)

func (k Kind) String() string { return [...]string{"start", "answer", "return"}[k] }

// tracker follows two quantiles of the logarithm of actual over promised.
type tracker struct{ n, q50, q90, dev float64 }

const (
	grain  = 0.02         // seconds: differences under this are nobody's wait
	thin   = 10           // observations of its own until a team counts as much as all teams of its profile
	spread = math.Ln2 / 1 // of the 90th percentile over the median before anything is known: double
	young  = 30           // observations until the 90th percentile goes its own way
	steady = 0.04         // weight of one observation in the long run: some twenty-five count
)

func (t *tracker) learn(z float64, above bool) { // above: the wait is over z, and no more is known
	if above && z <= t.q50 {
		return // it could be on either side of both
	}
	t.n++
	step := max(1.5/(t.n+3), steady) * 2 * max(t.dev, 0.05)
	if !above {
		t.dev += max(1/t.n, 0.05) * (math.Abs(z-t.q50) - t.dev)
	}
	t.q50 += step * side(0.5, z <= t.q50 && !above)
	if !above || z > t.q90 {
		t.q90 += step * side(0.9, z <= t.q90 && !above)
	}
	if t.n < young { // a few say little of a tenth: as if they were normal, whose deviations are 0.8 of the spread in the mean
		t.q90 = t.q50 + 1.28/0.8*t.dev
	}
	t.q90 = max(t.q90, t.q50)
}

func side(q float64, under bool) float64 {
	if under {
		return q - 1
	}
	return q
}

// cell is what is known of one team and profile.
type cell struct {
	team, profile int
	used          uint64
	of            [kinds]tracker
}

// promise is one that was made and waits to be kept.
type promise struct {
	team, profile int
	at            float64
	base          [2]float64 // of Start and Answer
	told          [2]Estimate
	open          [2]bool
}

// Figures of the promises kept since they were last asked for.
type Figures struct {
	Kept    int     // or found broken
	Ratio   float64 // actual over the promised median, as a running median
	Covered float64 // share at or under the promised 90th percentile
}

type figures struct {
	n, covered int
	ratio      tracker
}

// Book is one router's. It is one owner's.
type Book struct {
	cells   []cell // hashed by team and profile, those longest unused make room
	all     []cell // by profile, over all teams
	clock   uint64
	made    []promise // by the command's place
	slots   []slot
	audits  map[int]*[kinds]figures
	shows   float64 // share of those told a time that came by it
	longest float64 // pause that clients honour
}

const (
	mostCells = 4096 // cells: teams and profiles that wait at once; 400 bytes each
	near      = 8    // places that a key may be at
	mostTeams = 1024 // whose promises are audited: what an operator can read
	mostSlots = 1024 // times told and not come to yet: at a hundred a second, over what any client honours
)

// New is a book for so many profiles. longest is the longest pause that clients honour, 0: they are told none.
func New(profiles int, longest float64) *Book {
	b := &Book{all: make([]cell, profiles), audits: map[int]*[kinds]figures{}, longest: longest, shows: 0.5}
	for k := range b.all {
		b.all[k] = fresh(-1, k)
	}
	return b
}

func fresh(team, profile int) cell {
	c := cell{team: team, profile: profile}
	for k := range c.of {
		c.of[k] = tracker{q90: spread, dev: 0.3}
	}
	return c
}

// cell of a team and profile: its own, a new one, or in place of the one near that is unused for longest.
func (b *Book) cell(team, profile int) *cell {
	b.clock++
	if b.cells == nil {
		b.cells = make([]cell, mostCells)
		for k := range b.cells {
			b.cells[k].team = -2
		}
	}
	h := (uint64(team)*0x9e3779b97f4a7c15 + uint64(profile)*0xc2b2ae3d27d4eb4f) >> 20 // Fibonacci hashing (Knuth)
	old := uint64(0)
	for k := range uint64(near) {
		c := &b.cells[(h+k)%mostCells]
		if c.team == team && c.profile == profile {
			c.used = b.clock
			return c
		}
		if c.used < b.cells[(h+old)%mostCells].used {
			old = k
		}
	}
	c := &b.cells[(h+old)%mostCells]
	*c = fresh(team, profile)
	c.used = b.clock
	return c
}

// Tell turns the module's own estimate into what can be told.
func (b *Book) Tell(k Kind, team, profile int, base float64) Estimate {
	c, a := &b.cell(team, profile).of[k], &b.all[profile].of[k]
	w := c.n / (c.n + thin)
	at := func(own, all float64) float64 {
		return max((base+grain)*math.Exp(w*own+(1-w)*all)-grain, 0)
	}
	return Estimate{at(c.q50, a.q50), at(c.q90, a.q90)}
}

// Learn takes in what came of a base. above: it took longer than actual, how much is not known.
func (b *Book) Learn(k Kind, team, profile int, base, actual float64, above bool) {
	z := math.Log((max(actual, 0) + grain) / (max(base, 0) + grain))
	b.cell(team, profile).of[k].learn(z, above)
	b.all[profile].of[k].learn(z, above)
}

// Promise makes the estimates for a command, by its place. base is the wait for the first send, negative where there is
// none as it leaves now; runs the median and 90th percentile that it then takes.
func (b *Book) Promise(now float64, at int32, team, profile int, base float64, runs Estimate) (start, answer Estimate) {
	for int(at) >= len(b.made) {
		b.made = append(b.made, promise{})
	}
	if base >= 0 {
		start = b.Tell(Start, team, profile, base)
	}
	whole := start.P50 + runs.P50
	answer = b.Tell(Answer, team, profile, whole)
	answer.P50, answer.P90 = max(answer.P50, start.P50), max(answer.P90, start.P90) // no answer before its send
	b.made[at] = promise{team, profile, now, [2]float64{base, whole}, [2]Estimate{start, answer}, [2]bool{base >= 0, true}}
	return start, answer
}

// Came tells that what was promised for a command has come: its first send, or its answer.
func (b *Book) Came(now float64, at int32, k Kind) { b.close(now, at, k, false) }

// Over ends what is still promised: the command is given up or has left, and waits longer than until now.
func (b *Book) Over(now float64, at int32) {
	b.close(now, at, Start, true)
	b.close(now, at, Answer, true)
}

func (b *Book) close(now float64, at int32, k Kind, above bool) {
	if int(at) >= len(b.made) || !b.made[at].open[k] {
		return
	}
	p := &b.made[at]
	p.open[k] = false
	b.Learn(k, p.team, p.profile, p.base[k], now-p.at, above)
	b.audit(k, p.team, p.told[k], now-p.at, above)
}

// Returned tells when a command that was refused, and told an estimate from a base, would have been let in.
func (b *Book) Returned(team, profile int, base float64, told Estimate, actual float64, above bool) {
	b.Learn(Return, team, profile, base, actual, above)
	b.audit(Return, team, told, actual, above)
}

func (b *Book) audit(k Kind, team int, told Estimate, actual float64, above bool) {
	f := b.audits[team]
	if f == nil {
		if len(b.audits) >= mostTeams {
			return
		}
		f = &[kinds]figures{}
		b.audits[team] = f
	}
	a := &f[k]
	if above && actual <= told.P90 {
		return // whether it was kept is not known
	}
	if a.n++; actual <= told.P90 && !above {
		a.covered++
	}
	a.ratio.learn(math.Log((actual+grain)/(told.P50+grain)), above)
}

// Audit gives what became of a kind of promise by team since the last time, least team first. It allocates.
func (b *Book) Audit(k Kind, each func(team int, f Figures)) {
	teams := make([]int, 0, len(b.audits))
	for team := range b.audits {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for _, team := range teams {
		if a := &b.audits[team][k]; a.n > 0 {
			each(team, Figures{a.n, math.Exp(a.ratio.q50), float64(a.covered) / float64(a.n)})
			*a = figures{}
		}
	}
}

// ---- times that refused clients are told

// slot is a time that one refused client was told, and the room it is to find then.
type slot struct {
	due  float64
	mark uint64
	team int
	load float64 // seconds of the places
}

// Soonest is the least pause that a refused client is told, in seconds: nothing changes sooner, and a client that is told to retry
// at once retries again and again.
const Soonest = 0.05

// How exactly a refused client has to keep its time.
const (
	early = 0.05 // seconds before its time that a client may return: clocks and networks differ
	late  = 0.5  // seconds after its time for which capacity stays reserved
)

// Refuse gives when a refused client should come back and books that time for it: after those of its team told before,
// each with the time that it will take of the team's part of the places, from the median to the 90th percentile. base is the module's own estimate of when it
// would be let in, load its seconds of the places, part its team's share of them. mark is the same for all tries of one
// command, 0: not known, and nothing is booked; one that comes before its time is told that time again. The estimate is
// the client's own wait, not trimmed; the pause is.
func (b *Book) Refuse(now float64, mark uint64, team, profile int, base, load, part float64) (pause float64, e Estimate) {
	e = b.Tell(Return, team, profile, base)
	b.expire(now)
	if k := b.slotOf(mark); k >= 0 && b.slots[k].due > now {
		return b.slots[k].due - now, e
	} else if k >= 0 {
		b.slots = slices.Delete(b.slots, k, k+1)
	}
	due := now + e.P50
	for _, s := range b.slots {
		if s.team == team {
			due = max(due, s.due+s.load/max(part, 1e-3))
		}
	}
	if due > now+e.P90 { // those who ask again and again must not put the others of their team off
		due = now + e.P50
	}
	due = max(due, now+Soonest)
	if pause = due - now; mark == 0 || pause > b.longest || pause <= 0 || len(b.slots) >= mostSlots {
		return max(min(pause, b.longest), 0), e // it comes before its turn, and finds nothing kept
	}
	k, _ := slices.BinarySearchFunc(b.slots, due, func(s slot, due float64) int { return cmp.Compare(s.due, due) })
	b.slots = slices.Insert(b.slots, k, slot{due, mark, team, load})
	return pause, e
}

// Booked tells whether an arrival comes at the time that it was told, and takes that.
func (b *Book) Booked(now float64, mark uint64) bool {
	b.expire(now)
	k := b.slotOf(mark)
	if k < 0 || b.slots[k].due > now+early {
		return false
	}
	b.slots = slices.Delete(b.slots, k, k+1)
	b.shows += 0.02 * (1 - b.shows)
	return true
}

// slotOf a command's tries, -1: none is booked.
func (b *Book) slotOf(mark uint64) int {
	if mark == 0 {
		return -1
	}
	return slices.IndexFunc(b.slots, func(s slot) bool { return s.mark == mark })
}

// Kept is the room kept for those told a time that is now or soon, in seconds of the places. An arrival without one counts
// it as ahead of it, so that who ignores the time he is told gains nothing.
func (b *Book) Kept(now float64) (load float64) {
	b.expire(now)
	for k := range b.slots {
		if b.slots[k].due > now+late {
			break
		}
		load += b.slots[k].load
	}
	return load * b.shows // many don't come: what is kept for them would stand empty
}

func (b *Book) expire(now float64) {
	n := 0
	for ; n < len(b.slots) && b.slots[n].due < now-late; n++ {
		b.shows -= 0.02 * b.shows
	}
	b.slots = slices.Delete(b.slots, 0, n)
}

package cluster

// This file has the clients: their streams, when they come, and which router they come to.

import (
	"math"

	"dunereach/admission"

	"gonum.org/v1/gonum/stat/distuv"
)

// Stream is clients of one kind.
type Stream struct {
	Name          string
	Tenant        int
	Team, Profile int
	Rate          func(t float64) float64 // commands a second; what it is at a time
	Peak          float64                 // the most that Rate gives
	Work, CV      float64                 // mean and spread of the log-normal work, core seconds
	Memory        float64                 // MB
	Deadline      float64                 // of each try
	Scatter       float64                 // of estimates, as the spread of a log-normal; 0: exact
	Bias          float64                 // of estimates, as a factor; 0: 1
	Blind         bool                    // no estimates
	Keys          int                     // distinct order keys, 0: none
	Tries         int                     // in all, 0: 1
	Ignores       float64                 // share of refused clients that come again at once, whatever they are told
}

// Steady is a rate that stays.
func Steady(rate float64) (func(float64) float64, float64) {
	return func(float64) float64 { return rate }, rate
}

// next draws a stream's next arrival, by thinning (Lewis and Shedler, 1979).
func (t *Town) next(k int, from float64) {
	s := &t.set.Streams[k]
	_, most := t.burst(k, from)
	peak := s.Peak * most
	if peak <= 0 {
		return
	}
	gap := distuv.Exponential{Rate: peak, Src: t.rnd}
	for at := from; ; {
		if at += gap.Rand(); at > t.set.Length {
			return
		}
		if factor, _ := t.burst(k, at); t.rnd.Float64()*peak <= s.Rate(at)*factor {
			work := t.draw(s.Work, s.CV)
			try := Try{Stream: k, Number: 1, First: at, Mark: t.seq + 1, Work: work, Guess: t.guess(s, work),
				Ignores: t.rnd.Float64() < s.Ignores}
			if s.Keys > 0 {
				try.Key = 1 + uint64(t.rnd.IntN(s.Keys))
			}
			t.push(event{at: at, what: arrive, try: try})
			return
		}
	}
}

func (t *Town) guess(s *Stream, work float64) float64 {
	if s.Blind {
		return 0
	}
	if s.Bias > 0 {
		work *= s.Bias
	}
	return work * t.draw(1, s.Scatter)
}

func (t *Town) draw(mean, cv float64) float64 {
	if cv == 0 {
		return mean
	}
	v := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - v/2, Sigma: math.Sqrt(v), Src: t.rnd}.Rand()
}

// take brings a try to a router that is up: to the key's own, or to the next in turn.
func (t *Town) take(try Try) {
	r := t.routers[0]
	for n := range t.routers {
		k := t.turn + n
		if try.Key != 0 {
			k = int(try.Key) + n
		}
		if r = t.routers[k%len(t.routers)]; r.up {
			break
		}
	}
	t.turn = (t.turn + 1) % len(t.routers)
	s := &t.set.Streams[try.Stream]
	p := &t.set.Brain.Profiles[s.Profile]
	try.Taken, try.Sent, try.Router = t.now, math.NaN(), r.me
	try.Target = p.Target + p.Stretch*try.Work/max(float64(p.Threads), 1)
	if !r.up {
		try.Ended, try.How = t.now, Lost
		t.Tries = append(t.Tries, try)
		return
	}
	r.lastID++
	f := &flight{try: len(t.Tries), router: r.me, id: r.lastID, number: -1, level: 1, engine: -1, first: -1}
	t.Tries = append(t.Tries, try)
	r.flights[f.id] = f
	r.taken = append(r.taken, t.now)
	f.ask = admission.Request{ID: f.id, Profile: s.Profile, Tenant: s.Tenant, Team: s.Team, Key: try.Key,
		TimeLeft: s.Deadline, RequestKey: try.Mark, Cost: try.Guess, Memory: s.Memory}
	t.show(Taken, f)
	r.mind.Request(t.now, f.ask)
}

// burst is the factor on a stream's rate at a time; most, the most that it comes to.
func (t *Town) burst(stream int, at float64) (factor, most float64) {
	factor, most = 1, 1
	for _, h := range t.set.Happens {
		if h.Act != Burst || h.Stream != stream {
			continue
		}
		most *= max(h.Value, 1)
		if at >= h.At && (h.For == 0 || at < h.At+h.For) {
			factor *= h.Value
		}
	}
	return factor, most
}

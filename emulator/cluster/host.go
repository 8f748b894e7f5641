package cluster

// This file is what a module asks of its surroundings: a router's sends, answers and wakes in the town.

import (
	"dunereach/admission"
	"dunereach/emulator/engine"
	"dunereach/waittime"
)

func (r *router) Send(id, to uint32, after, _ float64) {
	t, f := r.t, r.flights[id]
	k := t.engineOf(to)
	f.number++
	if f.number > 0 {
		r.further = append(r.further, t.now)
	}
	f.engine, f.sent = k, t.now
	t.show(Sent, f) // before it counts as out: one that is out already shows
	if f.out = true; f.first < 0 {
		f.first, f.firstAt = k, t.now
	}
	try := &t.Tries[f.try]
	if f.number == 0 {
		try.Sent = t.now
	}
	if after <= 0 {
		after = try.Taken + t.set.Streams[try.Stream].Deadline - t.now
	}
	s := &t.set.Streams[try.Stream]
	p := &t.set.Brain.Profiles[s.Profile]
	e := event{what: outcome, router: r.me, life: r.life, token: uint64(id), number: f.number}
	house := t.engines[k]
	t.lastRun++
	f.run = t.lastRun
	q := engine.Query{ID: t.lastRun, Work: try.Work, Threads: float64(p.Threads), Memory: s.Memory, Level: f.level}
	switch {
	case house.state == admission.Gone:
		e.at, e.end = t.now+trip, admission.Unreachable
	case house.errs > 0 && t.luck.Float64() < house.errs:
		e.at, e.end = t.now+trip, admission.Errored
	case !house.Submit(t.now, q):
		e.at, e.end = t.now+trip, admission.Rejected
	default:
		t.running[t.lastRun] = query{f, f.number, try.Stream}
		e.at, e.what, e.end = t.now+after, limit, admission.TimedOut
	}
	t.push(e)
}

func (r *router) Reject(id uint32, pause float64) {
	t, f := r.t, r.flights[id]
	t.Tries[f.try].Pause = pause
	t.final(f, Shed)
	try := t.Tries[f.try]
	if t.set.Shadows > 0 && r.me == 0 && t.now == try.Taken && try.HasTold[waittime.RetryAdmission] {
		if t.refused++; t.refused%t.set.Shadows == 0 {
			t.push(event{at: t.now + lookEvery, what: look, token: uint64(len(t.Shadows))})
			t.Shadows = append(t.Shadows, Shadow{Stream: try.Stream, At: t.now, Told: try.Told[waittime.RetryAdmission], ask: f.ask})
		}
	}
	if s := &t.set.Streams[try.Stream]; try.Number < s.Tries {
		if try.Ignores {
			pause = 0
		}
		again := Try{Stream: try.Stream, Number: try.Number + 1, Mark: try.Mark, Key: try.Key, First: try.First, Work: try.Work,
			Guess: try.Guess, Ignores: try.Ignores}
		t.push(event{at: t.now + trip + pause, what: arrive, try: again})
	}
	r.forget(f)
}

func (r *router) Fail(id uint32) {
	f := r.flights[id]
	r.t.final(f, Failed)
	r.forget(f)
}

func (r *router) Priority(id uint32, level int, _ float64) {
	t, f := r.t, r.flights[id]
	if f.level = level; f.out {
		t.Changes = append(t.Changes, t.now)
		t.engines[f.engine].Renice(t.now, f.run, level)
		t.show(Reniced, f)
	}
}

func (r *router) ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) {
	try := &r.t.Tries[r.flights[id].try]
	try.Told[k], try.HasTold[k] = e, true
}

func (r *router) Wake(after float64, token uint64) {
	r.t.push(event{at: r.t.now + max(after, 0), what: wake, router: r.me, life: r.life, token: token})
}

// Cancel gives a send up; the engine goes on with it all the same.
func (r *router) Cancel(id uint32, send int) {
	r.t.push(event{at: r.t.now + trip, what: outcome, router: r.me, life: r.life, token: uint64(id), number: send, end: admission.Cancelled})
}

func (r *router) Withdraw(uint32, int)   {} // what is sent has left
func (r *router) Probe(uint32)           {}
func (r *router) SendToPeer(int, []byte) {}
func (r *router) Watch(bool)             {}
func (r *router) Log(string)             {}

package cluster

// This file is what a module asks of its surroundings: a router's sends, answers and wakes in the town.

import (
	"dunereach/admission"
	"dunereach/emulator/engine"
	"dunereach/waittime"
)

func (r *router) Send(id, serverID uint32, timeout, _ float64) {
	t, f := r.sim, r.requests[id]
	k := t.serverIndex(serverID)
	f.attempt++
	if f.attempt > 0 {
		r.retryTimes = append(r.retryTimes, t.now)
	}
	f.server, f.sentAt = k, t.now
	t.observe(Sent, f) // before it counts as out: one that is out already shows
	if f.outstanding = true; f.firstServer < 0 {
		f.firstServer, f.firstSentAt = k, t.now
	}
	request := &t.Tries[f.requestIndex]
	if f.attempt == 0 {
		request.Sent = t.now
	}
	if timeout <= 0 {
		timeout = request.Taken + t.settings.Streams[request.Stream].Deadline - t.now
	}
	s := &t.settings.Streams[request.Stream]
	p := &t.settings.Brain.Profiles[s.Profile]
	result := event{kind: outcomeEvent, router: r.index, incarnation: r.incarnation, token: uint64(id), attempt: f.attempt}
	server := t.servers[k]
	t.lastQueryID++
	f.queryID = t.lastQueryID
	q := engine.Query{ID: t.lastQueryID, Work: request.Work, Threads: float64(p.Threads), Memory: s.Memory, Level: f.priority}
	switch {
	case server.state == admission.Gone:
		result.at, result.end = t.now+roundTrip, admission.Unreachable
	case server.errorShare > 0 && t.serverRand.Float64() < server.errorShare:
		result.at, result.end = t.now+roundTrip, admission.Errored
	case !server.Submit(t.now, q):
		result.at, result.end = t.now+roundTrip, admission.Rejected
	default:
		t.running[t.lastQueryID] = query{f, f.attempt, request.Stream}
		result.at, result.kind, result.end = t.now+timeout, timeoutEvent, admission.TimedOut
	}
	t.push(result)
}

func (r *router) Reject(id uint32, pause float64) {
	t, f := r.sim, r.requests[id]
	t.Tries[f.requestIndex].Pause = pause
	t.finish(f, Shed)
	request := t.Tries[f.requestIndex]
	if t.settings.Shadows > 0 && r.index == 0 && t.now == request.Taken && request.HasTold[waittime.RetryAdmission] {
		if t.rejected++; t.rejected%t.settings.Shadows == 0 {
			t.push(event{at: t.now + shadowInterval, kind: shadowEvent, token: uint64(len(t.Shadows))})
			t.Shadows = append(t.Shadows, Shadow{Stream: request.Stream, At: t.now, Told: request.Told[waittime.RetryAdmission], request: f.request})
		}
	}
	if s := &t.settings.Streams[request.Stream]; request.Number < s.Tries {
		if request.Ignores {
			pause = 0
		}
		retry := Try{Stream: request.Stream, Number: request.Number + 1, Mark: request.Mark, Key: request.Key, First: request.First, Work: request.Work,
			Guess: request.Guess, Ignores: request.Ignores}
		t.push(event{at: t.now + roundTrip + pause, kind: arrivalEvent, request: retry})
	}
	r.removeIfDone(f)
}

func (r *router) Fail(id uint32) {
	f := r.requests[id]
	r.sim.finish(f, Failed)
	r.removeIfDone(f)
}

func (r *router) Priority(id uint32, level int, _ float64) {
	t, f := r.sim, r.requests[id]
	if f.priority = level; f.outstanding {
		t.Changes = append(t.Changes, t.now)
		t.servers[f.server].Renice(t.now, f.queryID, level)
		t.observe(Reniced, f)
	}
}

func (r *router) ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) {
	request := &r.sim.Tries[r.requests[id].requestIndex]
	request.Told[k], request.HasTold[k] = e, true
}

func (r *router) Wake(after float64, token uint64) {
	r.sim.push(event{at: r.sim.now + max(after, 0), kind: wakeEvent, router: r.index, incarnation: r.incarnation, token: token})
}

// Cancel gives a send up; the engine goes on with it all the same.
func (r *router) Cancel(id uint32, attempt int) {
	r.sim.push(event{at: r.sim.now + roundTrip, kind: outcomeEvent, router: r.index, incarnation: r.incarnation, token: uint64(id), attempt: attempt, end: admission.Cancelled})
}

func (r *router) Withdraw(uint32, int)   {} // what is sent has left
func (r *router) Probe(uint32)           {}
func (r *router) SendToPeer(int, []byte) {}
func (r *router) Watch(bool)             {}
func (r *router) Log(string)             {}

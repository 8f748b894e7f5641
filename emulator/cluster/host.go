package cluster

// This file implements admission.Host for a simulated router: attempts, answers to clients and timers.

import (
	"dunereach/admission"
	"dunereach/emulator/engine"
	"dunereach/waittime"
)

func (r *router) Send(id, serverID uint32, timeout, _ float64) {
	sim, active := r.sim, r.requests[id]
	k := sim.serverIndex(serverID)
	active.attempt++
	if active.attempt > 0 {
		r.retryTimes = append(r.retryTimes, sim.now)
	}
	active.server, active.sentAt = k, sim.now
	sim.observe(AttemptSent, active) // called before this attempt is marked as outstanding, so that it reports only an earlier one
	if active.outstanding = true; active.firstServer < 0 {
		active.firstServer, active.firstSentAt = k, sim.now
	}
	request := &sim.Requests[active.requestIndex]
	if active.attempt == 0 {
		request.FirstSentAt = sim.now
	}
	if timeout <= 0 {
		timeout = request.ReceivedAt + sim.settings.Streams[request.Stream].Deadline - sim.now
	}
	s := &sim.settings.Streams[request.Stream]
	p := &sim.settings.Controller.Profiles[s.Profile]
	result := event{kind: outcomeEvent, router: r.index, incarnation: r.incarnation, token: uint64(id), attempt: active.attempt}
	target := sim.servers[k]
	sim.lastQueryID++
	active.queryID = sim.lastQueryID
	q := engine.Query{ID: sim.lastQueryID, Work: request.Work, Threads: float64(p.Threads), Memory: s.Memory, Priority: active.priority}
	switch {
	case target.state == admission.Gone:
		result.at, result.end = sim.now+roundTrip, admission.Unreachable
	case target.errorShare > 0 && sim.serverRand.Float64() < target.errorShare:
		result.at, result.end = sim.now+roundTrip, admission.Errored
	case !target.Submit(sim.now, q):
		result.at, result.end = sim.now+roundTrip, admission.Rejected
	default:
		sim.running[sim.lastQueryID] = query{active, active.attempt, request.Stream}
		result.at, result.kind, result.end = sim.now+timeout, timeoutEvent, admission.TimedOut
	}
	sim.push(result)
}

func (r *router) Reject(id uint32, pause float64) {
	sim, active := r.sim, r.requests[id]
	sim.Requests[active.requestIndex].RetryAfter = pause
	sim.finish(active, Rejected)
	request := sim.Requests[active.requestIndex]
	if sim.settings.ShadowEvery > 0 && r.index == 0 && sim.now == request.ReceivedAt && request.HasEstimate[waittime.RetryAdmission] {
		if sim.rejected++; sim.rejected%sim.settings.ShadowEvery == 0 {
			sim.push(event{at: sim.now + shadowInterval, kind: shadowEvent, token: uint64(len(sim.Shadows))})
			sim.Shadows = append(sim.Shadows, Shadow{Stream: request.Stream, At: sim.now, Estimate: request.Estimates[waittime.RetryAdmission], admissionRequest: active.admissionRequest})
		}
	}
	if s := &sim.settings.Streams[request.Stream]; request.ClientRequest < s.MaxRequests {
		if request.IgnoresPause {
			pause = 0
		}
		retry := Request{Stream: request.Stream, ClientRequest: request.ClientRequest + 1, RequestKey: request.RequestKey, Key: request.Key, FirstRequestedAt: request.FirstRequestedAt, Work: request.Work,
			Cost: request.Cost, IgnoresPause: request.IgnoresPause}
		sim.push(event{at: sim.now + roundTrip + pause, kind: arrivalEvent, request: retry})
	}
	r.removeIfDone(active)
}

func (r *router) Fail(id uint32) {
	active := r.requests[id]
	r.sim.finish(active, Failed)
	r.removeIfDone(active)
}

func (r *router) Priority(id uint32, priority int, _ float64) {
	sim, active := r.sim, r.requests[id]
	if active.priority = priority; active.outstanding {
		sim.PriorityChanges = append(sim.PriorityChanges, sim.now)
		sim.servers[active.server].SetPriority(sim.now, active.queryID, priority)
		sim.observe(PriorityChanged, active)
	}
}

func (r *router) ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) {
	request := &r.sim.Requests[r.requests[id].requestIndex]
	request.Estimates[k], request.HasEstimate[k] = e, true
}

func (r *router) Wake(after float64, token uint64) {
	r.sim.push(event{at: r.sim.now + max(after, 0), kind: wakeEvent, router: r.index, incarnation: r.incarnation, token: token})
}

// Cancel gives up an attempt. The server continues its query all the same.
func (r *router) Cancel(id uint32, attemptNumber int) {
	r.sim.push(event{at: r.sim.now + roundTrip, kind: outcomeEvent, router: r.index, incarnation: r.incarnation, token: uint64(id), attempt: attemptNumber, end: admission.Cancelled})
}

func (r *router) Withdraw(uint32, int)   {} // an attempt that was sent can't be withdrawn
func (r *router) Probe(uint32)           {}
func (r *router) SendToPeer(int, []byte) {}
func (r *router) Watch(bool)             {}
func (r *router) Log(string)             {}

package cluster

// This file generates the clients' requests and chooses the router that receives each one.

import (
	"math"

	"dunereach/admission"

	"gonum.org/v1/gonum/stat/distuv"
)

// Stream describes a stream of clients with the same kind of request.
type Stream struct {
	Name          string
	Tenant        int
	Team, Profile int
	Rate          func(t float64) float64 // requests per second at time t
	Peak          float64                 // maximum of Rate
	Work, CV      float64                 // mean and coefficient of variation of the log-normal work, in core seconds
	Memory        float64                 // MB
	Deadline      float64                 // of each request, in seconds
	Scatter       float64                 // coefficient of variation of the log-normal estimation error; 0: exact
	Bias          float64                 // factor on all estimates; 0: 1
	Blind         bool                    // clients send no estimates
	Keys          int                     // number of distinct order keys; 0: none
	Tries         int                     // most requests that a client sends, the first one included; 0: 1
	Ignores       float64                 // share of rejected clients that retry at once instead of after the requested pause
}

// Steady returns a constant rate and its maximum.
func Steady(rate float64) (func(float64) float64, float64) {
	return func(float64) float64 { return rate }, rate
}

// scheduleArrival draws the next arrival of a stream by thinning (Lewis and Shedler, 1979).
func (sim *Town) scheduleArrival(k int, from float64) {
	s := &sim.settings.Streams[k]
	_, most := sim.rateFactor(k, from)
	peak := s.Peak * most
	if peak <= 0 {
		return
	}
	gap := distuv.Exponential{Rate: peak, Src: sim.clientRand}
	for at := from; ; {
		if at += gap.Rand(); at > sim.settings.Length {
			return
		}
		if factor, _ := sim.rateFactor(k, at); sim.clientRand.Float64()*peak <= s.Rate(at)*factor {
			work := sim.drawLogNormal(s.Work, s.CV)
			request := Try{Stream: k, Number: 1, First: at, Mark: sim.seq + 1, Work: work, Guess: sim.estimate(s, work),
				Ignores: sim.clientRand.Float64() < s.Ignores}
			if s.Keys > 0 {
				request.Key = 1 + uint64(sim.clientRand.IntN(s.Keys))
			}
			sim.push(event{at: at, kind: arrivalEvent, request: request})
			return
		}
	}
}

func (sim *Town) estimate(s *Stream, work float64) float64 {
	if s.Blind {
		return 0
	}
	if s.Bias > 0 {
		work *= s.Bias
	}
	return work * sim.drawLogNormal(1, s.Scatter)
}

func (sim *Town) drawLogNormal(mean, cv float64) float64 {
	if cv == 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - variance/2, Sigma: math.Sqrt(variance), Src: sim.clientRand}.Rand()
}

// routeRequest delivers a request to a running router: the one assigned to its key, or else the next one in round-robin
// order.
func (sim *Town) routeRequest(request Try) {
	r := sim.routers[0]
	for n := range sim.routers {
		k := sim.nextRouter + n
		if request.Key != 0 {
			k = int(request.Key) + n
		}
		if r = sim.routers[k%len(sim.routers)]; r.up {
			break
		}
	}
	sim.nextRouter = (sim.nextRouter + 1) % len(sim.routers)
	s := &sim.settings.Streams[request.Stream]
	p := &sim.settings.Brain.Profiles[s.Profile]
	request.Taken, request.Sent, request.Router = sim.now, math.NaN(), r.index
	request.Target = p.Target + p.Stretch*request.Work/max(float64(p.Threads), 1)
	if !r.up {
		request.Ended, request.How = sim.now, Lost
		sim.Tries = append(sim.Tries, request)
		return
	}
	r.lastRequestID++
	active := &activeRequest{requestIndex: len(sim.Tries), router: r.index, id: r.lastRequestID, attempt: -1, priority: 1, server: -1, firstServer: -1}
	sim.Tries = append(sim.Tries, request)
	r.requests[active.id] = active
	r.requestTimes = append(r.requestTimes, sim.now)
	active.admissionRequest = admission.Request{ID: active.id, Profile: s.Profile, Tenant: s.Tenant, Team: s.Team, Key: request.Key,
		TimeLeft: s.Deadline, RequestKey: request.Mark, Cost: request.Guess, Memory: s.Memory}
	sim.observe(Taken, active)
	r.controller.Request(sim.now, active.admissionRequest)
}

// rateFactor returns the factor on a stream's rate at a time, and the maximum of that factor over the run.
func (sim *Town) rateFactor(stream int, at float64) (factor, most float64) {
	factor, most = 1, 1
	for _, fault := range sim.settings.Happens {
		if fault.Act != Burst || fault.Stream != stream {
			continue
		}
		most *= max(fault.Value, 1)
		if at >= fault.At && (fault.For == 0 || at < fault.At+fault.For) {
			factor *= fault.Value
		}
	}
	return factor, most
}

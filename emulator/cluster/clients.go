package cluster

// This file generates the clients' requests and chooses the router that receives each one.

import (
	"math"

	"dunereach/admission"

	"gonum.org/v1/gonum/stat/distuv"
)

// Stream describes a stream of clients with the same kind of request.
type Stream struct {
	Name              string
	Tenant            int
	Team, Profile     int
	Rate              func(t float64) float64 // requests per second at time t
	PeakRate          float64                 // maximum of Rate
	Work, CV          float64                 // mean and coefficient of variation of the log-normal work, in core seconds
	Memory            float64                 // MB
	Deadline          float64                 // of each request, in seconds
	EstimateCV        float64                 // coefficient of variation of the log-normal estimation error; 0: exact
	EstimateBias      float64                 // factor on all estimates; 0: 1
	NoEstimates       bool                    // clients send no estimates
	Keys              int                     // number of distinct order keys; 0: none
	MaxRequests       int                     // most requests that a client sends, the first one included; 0: 1
	IgnoresPauseShare float64                 // share of rejected clients that retry at once instead of after the requested pause
}

// ConstantRate returns a constant rate and its maximum.
func ConstantRate(rate float64) (func(float64) float64, float64) {
	return func(float64) float64 { return rate }, rate
}

// scheduleArrival draws the next arrival of a stream by thinning (Lewis and Shedler, 1979).
func (sim *Simulation) scheduleArrival(k int, from float64) {
	s := &sim.settings.Streams[k]
	_, most := sim.rateFactor(k, from)
	peak := s.PeakRate * most
	if peak <= 0 {
		return
	}
	gap := distuv.Exponential{Rate: peak, Src: sim.clientRand}
	for at := from; ; {
		if at += gap.Rand(); at > sim.settings.Duration {
			return
		}
		if factor, _ := sim.rateFactor(k, at); sim.clientRand.Float64()*peak <= s.Rate(at)*factor {
			work := sim.drawLogNormal(s.Work, s.CV)
			request := Request{Stream: k, ClientRequest: 1, FirstRequestedAt: at, RequestKey: sim.seq + 1, Work: work, Cost: sim.estimate(s, work),
				IgnoresPause: sim.clientRand.Float64() < s.IgnoresPauseShare}
			if s.Keys > 0 {
				request.Key = 1 + uint64(sim.clientRand.IntN(s.Keys))
			}
			sim.push(event{at: at, kind: arrivalEvent, request: request})
			return
		}
	}
}

func (sim *Simulation) estimate(s *Stream, work float64) float64 {
	if s.NoEstimates {
		return 0
	}
	if s.EstimateBias > 0 {
		work *= s.EstimateBias
	}
	return work * sim.drawLogNormal(1, s.EstimateCV)
}

func (sim *Simulation) drawLogNormal(mean, cv float64) float64 {
	if cv == 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - variance/2, Sigma: math.Sqrt(variance), Src: sim.clientRand}.Rand()
}

// routeRequest delivers a request to a running router: the one assigned to its key, or else the next one in round-robin
// order.
func (sim *Simulation) routeRequest(request Request) {
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
	p := &sim.settings.Controller.Profiles[s.Profile]
	request.ReceivedAt, request.FirstSentAt, request.Router = sim.now, math.NaN(), r.index
	request.Target = p.Target + p.Stretch*request.Work/max(float64(p.Threads), 1)
	if !r.up {
		request.EndedAt, request.Outcome = sim.now, RouterStopped
		sim.Requests = append(sim.Requests, request)
		return
	}
	r.lastRequestID++
	active := &activeRequest{requestIndex: len(sim.Requests), router: r.index, id: r.lastRequestID, attempt: -1, priority: 1, server: -1, firstServer: -1}
	sim.Requests = append(sim.Requests, request)
	r.requests[active.id] = active
	r.requestTimes = append(r.requestTimes, sim.now)
	active.admissionRequest = admission.Request{ID: active.id, Profile: s.Profile, Tenant: s.Tenant, Team: s.Team, Key: request.Key,
		TimeLeft: s.Deadline, RequestKey: request.RequestKey, Cost: request.Cost, Memory: s.Memory}
	sim.observe(RequestReceived, active)
	r.controller.Request(sim.now, active.admissionRequest)
}

// rateFactor returns the factor on a stream's rate at a time, and the maximum of that factor over the run.
func (sim *Simulation) rateFactor(stream int, at float64) (factor, most float64) {
	factor, most = 1, 1
	for _, fault := range sim.settings.Faults {
		if fault.Kind != TrafficBurst || fault.Stream != stream {
			continue
		}
		most *= max(fault.Value, 1)
		if at >= fault.At && (fault.Duration == 0 || at < fault.At+fault.Duration) {
			factor *= fault.Value
		}
	}
	return factor, most
}

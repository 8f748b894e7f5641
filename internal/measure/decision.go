package measure

import (
	"math"
	"testing"
	"time"

	"dunereach/admission"
	"dunereach/fleet/agent"
	"dunereach/waittime"
)

// discardingHost carries out no action and remembers only the server of the last attempt.
type discardingHost struct{ server uint32 }

func (d *discardingHost) Send(_, server uint32, _, _ float64)                         { d.server = server }
func (d *discardingHost) Withdraw(uint32, int)                                        {}
func (d *discardingHost) Reject(uint32, float64)                                      {}
func (d *discardingHost) Fail(uint32)                                                 {}
func (d *discardingHost) Cancel(uint32, int)                                          {}
func (d *discardingHost) Probe(uint32)                                                {}
func (d *discardingHost) Priority(uint32, int, float64)                               {}
func (d *discardingHost) Wake(float64, uint64)                                        {}
func (d *discardingHost) SendToPeer(int, []byte)                                      {}
func (d *discardingHost) Watch(bool)                                                  {}
func (d *discardingHost) Log(string)                                                  {}
func (d *discardingHost) ReportEstimate(uint32, waittime.TimeKind, waittime.Estimate) {}

// requestDriver drives a controller with one request after another: each is admitted, sent and completed.
type requestDriver struct {
	controller *admission.Controller
	host       discardingHost
	now        float64
	count      int
}

func newRequestDriver(f admission.Fleet) *requestDriver {
	p := &requestDriver{}
	p.controller = admission.New(admission.Settings{Seed: 1, Routers: 300, Tick: 0.005, Fleet: f, Tenants: []admission.Tenant{{QuotaPerS: 1e9}, {QuotaPerS: 1e9}},
		Profiles: []admission.Profile{{Target: 1, Benefit: 1, Threads: 1}}, ColdFrom: 0.35, WarmUp: 10, FallMultiple: 2, FallWindow: 1, MaxSends: 4,
		KindCores: []float64{8}}, 0, &p.host)
	var list []admission.Entry
	for k := range 8 {
		list = append(list, admission.Entry{Server: uint32(k + 1), State: admission.Ready})
	}
	p.controller.UpdateServers(0, admission.Full, list)
	return p
}

func (p *requestDriver) run(requests int) {
	for range requests {
		p.now += 0.001
		p.count++
		id := uint32(p.count)
		p.controller.Request(p.now, admission.Request{ID: id, Tenant: p.count & 1, Cost: 0.1, TimeLeft: 4})
		p.controller.Outcome(p.now+0.0005, admission.Outcome{ID: id, Server: p.host.server, End: admission.Completed, Latency: 0.0005, Work: 0.1, Final: true})
		if p.count%50 == 0 {
			p.controller.Woken(p.now, 0)
		}
	}
}

// decisionCost measures the controller's time per request with and without the fleet, and its allocations per request with the fleet.
func decisionCost() ([]Row, error) {
	m := agent.New(agent.Config{Name: "n1", Incarnation: 1, CandidateKinds: []string{agent.WarmUpKind, agent.ProbeKind, agent.QuotaKind}, RouterCount: 300, Window: 1,
		Tenants: []string{"a", "b"}, CleanStart: true}, agent.PersistentState{})
	m.SetDemand(0, agent.Demand{Tenants: []agent.Tenant{{Number: 0, Need: 0.1}, {Number: 1, Need: 0.1}}})
	withoutFleet, withFleet := newRequestDriver(nil), newRequestDriver(m)
	const block, blocks = 4000, 400 // blocks of a few milliseconds alternate, so that other load on the machine affects both
	var without, with []float64
	timed := func(p *requestDriver) float64 {
		began := time.Now()
		p.run(block)
		return float64(time.Since(began).Nanoseconds()) / block
	}
	for n := range blocks {
		if n%2 == 0 {
			without, with = append(without, timed(withoutFleet)), append(with, timed(withFleet))
		} else {
			with, without = append(with, timed(withFleet)), append(without, timed(withoutFleet))
		}
	}
	allocs := testing.AllocsPerRun(10, func() { withFleet.run(1000) })
	ratios := make([]float64, blocks) // of adjacent pairs: the machine's speed varies by a factor of two, but rarely within a pair
	for n := range ratios {
		ratios[n] = with[n] / without[n]
	}
	return []Row{
		Figure("decisions per request without the fleet, ns", quantile(without, 0.5)),
		Figure("decisions per request with the fleet, ns", quantile(with, 0.5)),
		AtMost("decisions per request, with the fleet / without", quantile(ratios, 0.5), 1.02),
		AtMost("allocations per request with the fleet", math.Round(allocs/1000), 0),
	}, nil
}

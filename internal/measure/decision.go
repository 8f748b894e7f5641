package measure

import (
	"math"
	"testing"
	"time"

	"dunereach/admission"
	"dunereach/fleet/agent"
	"dunereach/waittime"
)

// deaf carries out nothing, and remembers where the last send went.
type deaf struct{ engine uint32 }

func (d *deaf) Send(_, engine uint32, _, _ float64)                         { d.engine = engine }
func (d *deaf) Withdraw(uint32, int)                                        {}
func (d *deaf) Reject(uint32, float64)                                      {}
func (d *deaf) Fail(uint32)                                                 {}
func (d *deaf) Cancel(uint32, int)                                          {}
func (d *deaf) Probe(uint32)                                                {}
func (d *deaf) Priority(uint32, int, float64)                               {}
func (d *deaf) Wake(float64, uint64)                                        {}
func (d *deaf) SendToPeer(int, []byte)                                      {}
func (d *deaf) Watch(bool)                                                  {}
func (d *deaf) Log(string)                                                  {}
func (d *deaf) ReportEstimate(uint32, waittime.TimeKind, waittime.Estimate) {}

// played is a module that takes, sends and has answered one command after another.
type played struct {
	m    *admission.Controller
	host deaf
	now  float64
	k    int
}

func newPlayed(f admission.Fleet) *played {
	p := &played{}
	p.m = admission.New(admission.Settings{Seed: 1, Routers: 300, Tick: 0.005, Fleet: f, Tenants: []admission.Tenant{{QuotaPerS: 1e9}, {QuotaPerS: 1e9}},
		Profiles: []admission.Profile{{Target: 1, Benefit: 1, Threads: 1}}, ColdFrom: 0.35, WarmUp: 10, FallMultiple: 2, FallWindow: 1, MaxSends: 4,
		KindCores: []float64{8}}, 0, &p.host)
	var list []admission.Entry
	for k := range 8 {
		list = append(list, admission.Entry{Server: uint32(k + 1), State: admission.Ready})
	}
	p.m.UpdateServers(0, admission.Full, list)
	return p
}

func (p *played) run(commands int) {
	for range commands {
		p.now += 0.001
		p.k++
		id := uint32(p.k)
		p.m.Request(p.now, admission.Request{ID: id, Tenant: p.k & 1, Cost: 0.1, TimeLeft: 4})
		p.m.Outcome(p.now+0.0005, admission.Outcome{ID: id, Server: p.host.engine, End: admission.Completed, Latency: 0.0005, Work: 0.1, Final: true})
		if p.k%50 == 0 {
			p.m.Woken(p.now, 0)
		}
	}
}

// decision is what a command costs in the module with the fleet on, beside what it costs without, and what it allocates.
func decision() ([]Row, error) {
	m := agent.New(agent.Config{Name: "n1", Incarnation: 1, CandidateKinds: []string{agent.WarmUpKind, agent.ProbeKind, agent.QuotaKind}, RouterCount: 300, Window: 1,
		Tenants: []string{"a", "b"}, CleanStart: true}, agent.PersistentState{})
	m.SetDemand(0, agent.Demand{Tenants: []agent.Tenant{{Number: 0, Need: 0.1}, {Number: 1, Need: 0.1}}})
	off, on := newPlayed(nil), newPlayed(m)
	const block, blocks = 4000, 400 // some milliseconds each, in turn, so that what else runs on the machine meets both
	var without, with []float64
	timed := func(p *played) float64 {
		began := time.Now()
		p.run(block)
		return float64(time.Since(began).Nanoseconds()) / block
	}
	for n := range blocks {
		if n%2 == 0 {
			without, with = append(without, timed(off)), append(with, timed(on))
		} else {
			with, without = append(with, timed(on)), append(without, timed(off))
		}
	}
	allocs := testing.AllocsPerRun(10, func() { on.run(1000) })
	over := make([]float64, blocks) // by pairs: the machine's own pace changes by a factor of two, and rarely inside a pair
	for n := range over {
		over[n] = with[n] / without[n]
	}
	return []Row{
		Figure("a command's decisions without the fleet, ns", quantile(without, 0.5)),
		Figure("a command's decisions with it, ns", quantile(with, 0.5)),
		AtMost("a command's decisions, with it over without", quantile(over, 0.5), 1.02),
		AtMost("a command's allocations with it", math.Round(allocs/1000), 0),
	}, nil
}

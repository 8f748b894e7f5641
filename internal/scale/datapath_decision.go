package scale

import (
	"testing"

	"dunereach/admission"
	"dunereach/internal/measure"
	"dunereach/waittime"
)

// deafHost carries out nothing and remembers where the last attempt went.
type deafHost struct{ database uint32 }

func (h *deafHost) Send(_, database uint32, _, _ float64)                     { h.database = database }
func (*deafHost) Withdraw(uint32, int)                                        {}
func (*deafHost) Reject(uint32, float64)                                      {}
func (*deafHost) Fail(uint32)                                                 {}
func (*deafHost) Cancel(uint32, int)                                          {}
func (*deafHost) Probe(uint32)                                                {}
func (*deafHost) Priority(uint32, int, float64)                               {}
func (*deafHost) Wake(float64, uint64)                                        {}
func (*deafHost) SendToPeer(int, []byte)                                      {}
func (*deafHost) Watch(bool)                                                  {}
func (*deafHost) Log(string)                                                  {}
func (*deafHost) ReportEstimate(uint32, waittime.TimeKind, waittime.Estimate) {}

// decider is the module of one router with a pool of databases that all stand ready, and requests that come one after another.
type decider struct {
	module *admission.Controller
	host   deafHost
	now    float64
	last   uint32
	// request is the one that comes again and again, with another ID each time.
	request admission.Request
}

// routerSettings are a module's settings at the size that the fleet is designed for, with one profile and no tenants.
func routerSettings() admission.Settings {
	return admission.Settings{Seed: 1, Routers: TargetRouters, Tick: 0.005, KindCores: []float64{8}, MaxSends: 4,
		ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1,
		Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}}}
}

// readyList is a list of so many databases, all long past their start.
func readyList(databases int) []admission.Entry {
	list := make([]admission.Entry, databases)
	for k := range list {
		list[k] = admission.Entry{Server: uint32(k + 1), State: admission.Ready}
	}
	return list
}

func newDecider(settings admission.Settings, databases int) *decider {
	d := &decider{request: admission.Request{TimeLeft: 4, Cost: 0.001}}
	d.module = admission.New(settings, 0, &d.host)
	d.module.UpdateServers(0, admission.Full, readyList(databases))
	d.upkeep(2 * upkeepRate) // histograms are read from the second second on
	d.decide(200)
	d.upkeep(2 * upkeepRate)
	return d
}

// decide takes requests one after another: each comes, is attempted and is answered, one in a millisecond.
func (d *decider) decide(requests int) {
	for range requests {
		d.now += 0.001
		d.last++
		d.request.ID = d.last
		d.module.Request(d.now, d.request)
		d.module.Outcome(d.now+0.0005, admission.Outcome{ID: d.last, Server: d.host.database, End: admission.Completed,
			Latency: 0.0005, Work: d.request.Cost, Final: true})
	}
}

// upkeep runs the module's regular work, which it asks to be woken for.
func (d *decider) upkeep(times int) {
	for range times {
		d.now += 1.0 / upkeepRate
		d.module.Woken(d.now, 0)
	}
}

// upkeepRate is how often in a second the module asks to be woken for its regular work.
const upkeepRate = 20

// decisionSizes are the pools that a decision is measured over.
func decisionSizes(short bool) []int {
	if short {
		return []int{8, 72, 500, TargetDatabases}
	}
	return []int{8, 32, 72, 128, 256, 500, 1000, 2000, TargetDatabases}
}

// statementsPerRouter is how many statements a second a router has at the target.
const statementsPerRouter = float64(TargetStatements) / TargetRouters

// decisions are the processor time and the allocations of a decision, and of a second of upkeep, by databases in one pool.
func decisions(short bool) ([]measure.Row, error) {
	rounds, walks := 9, 400_000
	if short {
		rounds, walks = 5, 100_000
	}
	sizes := decisionSizes(short)
	var deciding, keeping []piece
	allocations := 0.0
	for _, databases := range sizes {
		d := newDecider(routerSettings(), databases)
		requests := max(walks/databases, 20)
		deciding = append(deciding, piece{requests, func() { d.decide(requests) }})
		keeping = append(keeping, piece{10 * requests, func() { d.upkeep(10 * requests) }})
		allocations = max(allocations, testing.AllocsPerRun(3, func() { d.decide(requests) })/float64(requests))
		d.upkeep(2 * upkeepRate)
	}
	rows, decision, err := slopeRows("decision, us, by databases in the pool", sizes, medianCosts(rounds, deciding))
	if err != nil {
		return nil, err
	}
	kept, upkeep, err := slopeRows("upkeep, us a run, by databases in the pool", sizes, medianCosts(rounds, keeping))
	if err != nil {
		return nil, err
	}
	rows = append(rows, kept...)
	return append(rows,
		measure.AtMost("allocations of a decision, most of all sizes", allocations, 0),
		measure.Figure("decisions over all databases of the target, core", decision.At(TargetDatabases)*1e-6*statementsPerRouter),
		measure.Figure("decisions over 64 databases, core", decision.At(64)*1e-6*statementsPerRouter),
		measure.Figure("upkeep over all databases of the target, core", upkeep.At(TargetDatabases)*1e-6*upkeepRate)), nil
}

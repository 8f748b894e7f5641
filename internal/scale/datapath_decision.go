package scale

import (
	"testing"

	"dunereach/admission"
	"dunereach/internal/measure"
	"dunereach/waittime"
)

// discardingHost discards all actions of a controller, except that it records the database of the last attempt.
type discardingHost struct{ database uint32 }

func (h *discardingHost) Send(_, database uint32, _, _ float64)                     { h.database = database }
func (*discardingHost) Withdraw(uint32, int)                                        {}
func (*discardingHost) Reject(uint32, float64)                                      {}
func (*discardingHost) Fail(uint32)                                                 {}
func (*discardingHost) Cancel(uint32, int)                                          {}
func (*discardingHost) Probe(uint32)                                                {}
func (*discardingHost) Priority(uint32, int, float64)                               {}
func (*discardingHost) Wake(float64, uint64)                                        {}
func (*discardingHost) SendToPeer(int, []byte)                                      {}
func (*discardingHost) Watch(bool)                                                  {}
func (*discardingHost) Log(string)                                                  {}
func (*discardingHost) ReportEstimate(uint32, waittime.TimeKind, waittime.Estimate) {}

// controllerDriver drives the controller of one router, with a pool of databases that are all ready and one request after another.
type controllerDriver struct {
	controller *admission.Controller
	host       discardingHost
	now        float64
	lastID     uint32
	// request is the request that is repeated, with a new ID each time.
	request admission.Request
}

// routerSettings returns a controller's settings at the size that the fleet is designed for, with one profile and no tenants.
func routerSettings() admission.Settings {
	return admission.Settings{Seed: 1, Routers: TargetRouters, Tick: 0.005, KindCores: []float64{8}, MaxSends: 4,
		ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1,
		Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}}}
}

// readyList returns a list of databases that are all ready and started long ago.
func readyList(databases int) []admission.Entry {
	list := make([]admission.Entry, databases)
	for k := range list {
		list[k] = admission.Entry{Server: uint32(k + 1), State: admission.Ready}
	}
	return list
}

func newControllerDriver(settings admission.Settings, databases int) *controllerDriver {
	d := &controllerDriver{request: admission.Request{TimeLeft: 4, Cost: 0.001}}
	d.controller = admission.New(settings, 0, &d.host)
	d.controller.UpdateServers(0, admission.Full, readyList(databases))
	d.upkeep(2 * upkeepRate) // histograms are read from the second second on
	d.handleRequests(200)
	d.upkeep(2 * upkeepRate)
	return d
}

// handleRequests runs requests one after another, one per millisecond. Each is taken, attempted and completed.
func (d *controllerDriver) handleRequests(requests int) {
	for range requests {
		d.now += 0.001
		d.lastID++
		d.request.ID = d.lastID
		d.controller.Request(d.now, d.request)
		d.controller.Outcome(d.now+0.0005, admission.Outcome{ID: d.lastID, Server: d.host.database, End: admission.Completed,
			Latency: 0.0005, Work: d.request.Cost, Final: true})
	}
}

// upkeep runs the controller's periodic work, for which it requests a wake-up.
func (d *controllerDriver) upkeep(count int) {
	for range count {
		d.now += 1.0 / upkeepRate
		d.controller.Woken(d.now, 0)
	}
}

// upkeepRate is how many times a second the controller requests a wake-up for its periodic work.
const upkeepRate = 20

// decisionSizes returns the pool sizes at which the cost of a decision is measured.
func decisionSizes(short bool) []int {
	if short {
		return []int{8, 72, 500, TargetDatabases}
	}
	return []int{8, 32, 72, 128, 256, 500, 1000, 2000, TargetDatabases}
}

// statementsPerRouter is the number of statements a second per router at the target.
const statementsPerRouter = float64(TargetStatementRate) / TargetRouters

// decisionCosts measures the processor time and the allocations of a decision, and the processor time of upkeep, by the number of
// databases in one pool.
func decisionCosts(short bool) ([]measure.Row, error) {
	rounds, databaseVisits := 9, 400_000
	if short {
		rounds, databaseVisits = 5, 100_000
	}
	sizes := decisionSizes(short)
	var requestItems, upkeepItems []workItem
	allocations := 0.0
	for _, databases := range sizes {
		d := newControllerDriver(routerSettings(), databases)
		requests := max(databaseVisits/databases, 20)
		requestItems = append(requestItems, workItem{requests, func() { d.handleRequests(requests) }})
		upkeepItems = append(upkeepItems, workItem{10 * requests, func() { d.upkeep(10 * requests) }})
		allocations = max(allocations, testing.AllocsPerRun(3, func() { d.handleRequests(requests) })/float64(requests))
		d.upkeep(2 * upkeepRate)
	}
	rows, decisionFit, err := slopeRows("decision, us, by databases in the pool", sizes, medianCosts(rounds, requestItems))
	if err != nil {
		return nil, err
	}
	upkeepRows, upkeep, err := slopeRows("upkeep, us a run, by databases in the pool", sizes, medianCosts(rounds, upkeepItems))
	if err != nil {
		return nil, err
	}
	rows = append(rows, upkeepRows...)
	return append(rows,
		measure.AtMost("allocations of a decision, most of all sizes", allocations, 0),
		measure.Figure("decisions over all databases of the target, core", decisionFit.CostAt(TargetDatabases)*1e-6*statementsPerRouter),
		measure.Figure("decisions over 64 databases, core", decisionFit.CostAt(64)*1e-6*statementsPerRouter),
		measure.Figure("upkeep over all databases of the target, core", upkeep.CostAt(TargetDatabases)*1e-6*upkeepRate)), nil
}

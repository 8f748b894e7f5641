// Package hollow runs the control part of routers without their data path: sessions, leases, the agent, its driver's requests over real
// sockets to real coordinators, and the list of databases in memory. Several hundred routers share a process (Worker). A Fleet consists
// of several such processes and their coordinators, injects faults between them, and audits the acts of task owners.
//
// Hollow routers have no client connections, no requests, no connections to databases, no folder that stores fences, and no name server
// queries: each router holds the database list, but receives it only once.
package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/failover"
	"dunereach/internal/agentdriver"
	"dunereach/internal/boottime"
	"dunereach/internal/coordserver"

	"golang.org/x/sync/errgroup"
)

const (
	tickInterval = 100 * time.Millisecond // a real router's data path reports its demand to the agent at this interval
	sharesNeeded = 2.0                    // demand of a router for each cold database, in equal shares of the fleet
)

// router is one incarnation of a hollow router, from its start to its end.
type router struct {
	number      int
	name        string
	incarnation uint64
	zone        Zone
	zoneCount   int
	member      *agent.Member
	driver      *agentdriver.Driver
	client      *coordserver.Client
	list        *databaseList
	demand      func() Demand
	stop        chan struct{} // closed to request a shutdown: the session ends first, then the router
	cancel      context.CancelFunc
	ended       chan struct{}

	mu    sync.Mutex
	state state
}

// state is the part of a router's state that its worker reads.
type state struct {
	session          bool
	snapshotsApplied int     // number of registry snapshots applied so far
	confirmedAt      float64 // boot clock time of the first confirmation after the last ResetConfirmed, 0 if none yet
	held             int
	shares           int
	stats            agent.Stats
}

// newRouter starts a router with the given number. It calls recordAct for each act of an owner.
func newRouter(s *Setup, n *Network, number int, demand func() Demand, recordAct func(Act)) (*router, error) {
	const incarnationMask = 1<<52 - 1 // 52 bits, as in a real router's incarnation
	zoneNumber := (number - 1) % len(s.Zones)
	r := &router{number: number, name: fmt.Sprint("r", number), incarnation: rand.Uint64()&incarnationMask | 1, zone: s.Zones[zoneNumber], zoneCount: len(s.Zones), demand: demand,
		stop: make(chan struct{}), ended: make(chan struct{})}
	var err error
	if r.list, err = newList(s); err != nil {
		return nil, err
	}
	names := make([]string, len(s.Zones))
	roundTrips := make([][]float64, len(s.Zones))
	for k, zone := range s.Zones {
		names[k] = zone.Name
		roundTrips[k] = make([]float64, len(s.Zones))
	}
	id := fmt.Sprintf("%s/%x", r.name, r.incarnation)
	r.client = coordserver.NewClientWithDial(s.Coordinators, n.Dial(r.zone.Region))
	r.member = agent.New(agent.Config{Name: r.name, Zone: r.zone.Name, Region: r.zone.Region, Incarnation: r.incarnation, Seed: rand.Uint64(),
		CandidateKinds: []string{agent.WarmUpKind, agent.ProbeKind, agent.QuotaKind, agent.PlanKind}, ZoneCount: len(names), ZoneNames: names, ZoneNumber: zoneNumber, RoundTrips: roundTrips,
		RouterCount: s.Routers, Window: 1, StartedAt: boottime.Now(), Now: boottime.Now,
		Trace: func(t agent.Trace) {
			if t.Event == "act" {
				recordAct(Act{Task: t.Task, Router: id, Fence: t.Fence, At: t.At, Until: t.Until})
			}
		}}, agent.PersistentState{})
	r.driver = agentdriver.NewDriver(r.member, r.client)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.run(ctx)
	return r, nil
}

// run drives the member until the router ends. Only its goroutines use the member.
func (r *router) run(ctx context.Context) {
	defer close(r.ended)
	group, ctx := errgroup.WithContext(ctx)
	r.driver.Run(ctx, group)
	group.Go(func() error {
		r.loop(ctx)
		return nil
	})
	group.Wait()
}

func (r *router) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	stop := r.stop
	for {
		select {
		case <-ctx.Done():
			return
		case <-stop:
			stop = nil
			r.driver.Submit(r.member.Close(boottime.Now()))
			time.AfterFunc(closeGrace, r.cancel)
		case handle := <-r.driver.News():
			handle()
		case <-tick.C:
			now := boottime.Now()
			r.member.SetDemand(now, r.agentDemand(r.demand()))
			r.driver.Submit(r.member.Tick(now))
		}
		r.publish()
	}
}

// closeGrace is the time that a stopping router waits for its last request.
const closeGrace = time.Second

// agentDemand converts a demand into the form in which the data path reports it to the agent.
func (r *router) agentDemand(d Demand) agent.Demand {
	var demand agent.Demand
	for n := range d.ColdDatabases {
		demand.ColdServers = append(demand.ColdServers, agent.ColdServer{Server: coldServer(n, d.Generation), Need: sharesNeeded / float64(max(r.member.FleetSize(), 1))})
	}
	if d.SendEvidence {
		demand.Report = r.zoneReport
	}
	return demand
}

// coldServer identifies cold database n of a generation.
func coldServer(n, generation int) agent.Server {
	return agent.Server{ID: uint32(n + 1), Start: float64(generation + 1)}
}

// zoneReport returns the evidence for one second without failures, with most traffic in the router's own zone and a little in each other
// zone.
func (r *router) zoneReport() failover.Report {
	const work, cores = 3.75, 16.0 // core seconds a second: 750 requests of 5 ms; ready cores in a zone
	zoneReport := failover.Report{Demand: work, Observations: make([]failover.ZoneObservation, r.zoneCount)}
	zoneReport.Zone = (r.number - 1) % len(zoneReport.Observations)
	for z := range zoneReport.Observations {
		zoneReport.Observations[z] = failover.ZoneObservation{Attempts: 10, Work: work / 100, Slow: 1.2, Ready: cores}
	}
	zoneReport.Observations[zoneReport.Zone] = failover.ZoneObservation{Attempts: 700, Work: work, Slow: 1.2, Ready: cores}
	return zoneReport
}

// publish updates the state that the worker reads.
func (r *router) publish() {
	now, d := boottime.Now(), r.demand()
	shares := 0
	for n := range d.ColdDatabases {
		server := coldServer(n, d.Generation)
		if share, ok := r.member.WarmUpShare(now, server.ID, server.Start); ok && share > 0 {
			shares++
		}
	}
	stats := r.member.Stats
	r.mu.Lock()
	defer r.mu.Unlock()
	if stats.SnapshotsApplied > r.state.snapshotsApplied && r.state.confirmedAt == 0 {
		r.state.confirmedAt = now
	}
	r.state.session, r.state.snapshotsApplied, r.state.held, r.state.shares, r.state.stats = r.member.Session() != 0, stats.SnapshotsApplied, len(r.member.Held()), shares, stats
}

// resetConfirmed discards the confirmation: only later ones count.
func (r *router) resetConfirmed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.confirmedAt = 0
}

func (r *router) currentState() state {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

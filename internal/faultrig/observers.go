package faultrig

import (
	"context"
	"fmt"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/failover"
	"dunereach/internal/agentdriver"
	"dunereach/internal/boottime"
	"dunereach/internal/coordserver"

	"golang.org/x/sync/errgroup"
)

// StartObservers starts sessions beside the routers', spread evenly over the zones, that send the reports of the function
// report, true or false, to the plan's owner. They connect to the coordinators as routers do. Start them after the plan
// has an owner: they would own tasks as well otherwise.
func (r *Rig) StartObservers(count int, report func(zone int) failover.Report) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	n := r.file.Zones
	roundTrips := make([][]float64, n)
	for z := range roundTrips {
		roundTrips[z] = make([]float64, n)
	}
	for k := range count {
		zone := k % n
		m := agent.New(agent.Config{Name: fmt.Sprint("observer", k+1), Zone: fmt.Sprint("z", zone+1), Incarnation: uint64(k + 1), Seed: uint64(k + 1), ZoneCount: n,
			ZoneNumber: zone, RoundTrips: roundTrips, CandidateKinds: []string{agent.PlanKind}, RouterCount: count, Window: 1, StartedAt: boottime.Now(), CleanStart: true, Log: func(string) {}}, agent.PersistentState{})
		d := agentdriver.NewDriver(m, coordserver.NewClient(r.coordinatorAddrs(), ""))
		d.Run(ctx, group)
		group.Go(func() error {
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case handle := <-d.News():
					handle()
				case <-tick.C:
					now := boottime.Now()
					m.SetDemand(now, agent.Demand{Report: func() failover.Report { return report(zone) }})
					d.Submit(m.Tick(now))
				}
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

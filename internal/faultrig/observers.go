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

// Observers are sessions beside the routers', one in each zone in turn, that tell the plan's owner what report says, true or not. They
// speak to the keepers as routers do. Who owns the plan should be settled before: they would own works too.
func (r *Rig) Observers(many int, report func(zone int) failover.Report) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	n := r.file.Zones
	way := make([][]float64, n)
	for z := range way {
		way[z] = make([]float64, n)
	}
	for k := range many {
		zone := k % n
		m := agent.New(agent.Config{Name: fmt.Sprint("observer", k+1), Zone: fmt.Sprint("z", zone+1), Incarnation: uint64(k + 1), Seed: uint64(k + 1), ZoneCount: n,
			ZoneNumber: zone, RoundTrips: way, CandidateKinds: []string{agent.PlanKind}, RouterCount: many, Window: 1, StartedAt: boottime.Now(), CleanStart: true, Log: func(string) {}}, agent.PersistentState{})
		d := agentdriver.NewDriver(m, coordserver.NewClient(r.coordinatorAddrs(), ""))
		d.Run(ctx, group)
		group.Go(func() error {
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return nil
				case take := <-d.News():
					take()
				case <-tick.C:
					now := boottime.Now()
					m.SetDemand(now, agent.Demand{Report: func() failover.Report { return report(zone) }})
					d.Put(m.Tick(now))
				}
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

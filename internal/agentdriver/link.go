// Package agentdriver connects a router to the fleet. It carries the requests of its member (package agent) to the
// coordinators and their answers back, and stores what must outlive the process. The goroutine that owns the router's
// state never waits for any of this.
package agentdriver

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"dunereach/admission"
	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
	"dunereach/fleet/lease"
	"dunereach/internal/boottime"
	"dunereach/internal/config"
	"dunereach/internal/coordserver"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	workerCount    = 6               // two heartbeats, and messages and actions beside them
	queueLength    = 64              // requests: some seconds of a busy router
	requestTimeout = 2 * time.Second // a heartbeat is held for 1 s
)

// Driver carries a member's requests to the coordinators and their answers back. Only one goroutine may use the member;
// it calls the functions that it receives from News.
type Driver struct {
	Member    *agent.Member
	client    *coordserver.Client
	fenceFile *fenceFile
	updates   chan func() // to be called by the goroutine that owns the member
	requests  chan agent.Request
}

// newDriver returns a driver over a client. f may be nil.
func newDriver(m *agent.Member, c *coordserver.Client, f *fenceFile) *Driver {
	return &Driver{Member: m, client: c, fenceFile: f, updates: make(chan func(), queueLength), requests: make(chan agent.Request, queueLength)}
}

// NewDriver returns the driver of a member that stores nothing.
func NewDriver(m *agent.Member, c *coordserver.Client) *Driver { return newDriver(m, c, nil) }

// Link is a router's connection to the fleet. All its methods are called by the goroutine that owns the router's state.
type Link struct {
	*Driver
	log         *zap.Logger
	zones       []string
	clockOffset float64 // clock of the leases minus the router's clock
	loggedStats agent.Stats
	loggedAt    float64
}

// New returns the connection of a router to the fleet.
func New(cfg config.Config, log *zap.Logger) (*Link, error) {
	fleet := cfg.Operator.Fleet
	l := &Link{log: log, zones: cfg.Settings.Zones}
	zone := fleet.Zone
	if z := cfg.Settings.Admission.Zone; zone == "" && z >= 0 && z < len(l.zones) {
		zone = l.zones[z]
	}
	candidates := fleet.TaskKinds
	if len(candidates) == 0 {
		candidates = []string{agent.WarmUpKind, agent.ProbeKind, agent.QuotaKind, agent.PlanKind}
	}
	var persisted agent.PersistentState
	var fences *fenceFile
	if fleet.Folder != "" {
		var err error
		if fences, persisted, err = openFenceFile(fleet.Folder, cfg.Name); err != nil {
			return nil, err
		}
		if fences.unreadable != "" {
			log.Warn("fences of an earlier process are not known", zap.String("why", fences.unreadable))
		}
	}
	const idMask = 1<<52 - 1 // 52 bits, so that any JSON parser reads the number exactly
	var trace func(agent.Trace)
	if fleet.Trace {
		trace = func(event agent.Trace) {
			log.Info("trace "+event.Event+" "+event.Task, zap.String("what", event.Event), zap.String("work", event.Task), zap.Uint64("fence", event.Fence),
				zap.Float64("part", event.Share), zap.Float64("at", event.At), zap.Float64("until", event.Until))
		}
	}
	member := agent.New(agent.Config{ZoneCount: len(l.zones), ZoneNames: l.zones, ZoneNumber: cfg.Settings.Admission.Zone, RoundTrips: roundTrips(l.zones, fleet.Regions), Name: cfg.Name, Tenants: cfg.Settings.Tenants, Zone: zone, Region: fleet.Region, Incarnation: rand.Uint64()&idMask | 1, Seed: rand.Uint64(),
		CandidateKinds: candidates, RouterCount: max(cfg.Settings.Admission.Routers, 1), Window: cfg.Settings.Admission.FallWindow, StartedAt: boottime.Now(),
		Persistent: fences != nil, Now: boottime.Now, Trace: trace, Log: func(text string) { log.Info(text) }}, persisted)
	l.Driver = newDriver(member, coordserver.NewClient(fleet.Coordinators, fleet.From), fences)
	return l, nil
}

// roundTrips returns the assumed round-trip times between zones, in seconds. Only their order matters: it makes near
// zones preferred to far ones.
func roundTrips(zones []string, regions map[string][]string) [][]float64 {
	const near, far = 0.005, 0.1
	region := map[string]string{}
	for r, regionZones := range regions {
		for _, z := range regionZones {
			region[z] = r
		}
	}
	seconds := make([][]float64, len(zones))
	for o := range zones {
		seconds[o] = make([]float64, len(zones))
		for z := range zones {
			switch {
			case o == z:
			case region[zones[o]] == region[zones[z]]:
				seconds[o][z] = near
			default:
				seconds[o][z] = far
			}
		}
	}
	return seconds
}

// Plan returns the plan that admission follows, or nil if there is none.
func (l *Link) Plan() admission.Plan {
	if l.Member.Guide() == nil {
		return nil
	}
	return planFollower{l}
}

// planFollower is the member's plan follower, with times by the router's clock.
type planFollower struct{ l *Link }

func (g planFollower) Price(now float64, zone int, work float64) (float64, bool) {
	return g.l.Member.Guide().Price(now+g.l.clockOffset, zone, work)
}
func (g planFollower) Sent(now float64, zone int, work float64) {
	g.l.Member.Guide().RecordSent(now+g.l.clockOffset, zone, work)
}
func (g planFollower) Keeps(now, price, work float64) bool {
	return g.l.Member.Guide().Admits(now+g.l.clockOffset, price, work)
}

// Run starts the driver's goroutines.
func (l *Driver) Run(ctx context.Context, group *errgroup.Group) {
	for range workerCount {
		group.Go(func() error {
			for {
				select {
				case r := <-l.requests:
					l.execute(ctx, r)
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		l.client.Close()
		if l.fenceFile != nil {
			return l.fenceFile.close()
		}
		return nil
	})
}

// execute sends one request to the coordinators, or stores it on disk, and returns the result to the member.
func (l *Driver) execute(ctx context.Context, r agent.Request) {
	if r.Persist != nil {
		err := l.fenceFile.persist(*r.Persist)
		l.sendUpdate(ctx, func() { l.Member.Persisted(r.Seq, *r.Persist, err) })
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var value any
	var err error
	switch {
	case r.Heartbeat != nil:
		var snapshot coordinator.Snapshot
		err = l.client.Call(callCtx, "/v1/beat", r.Heartbeat, &snapshot)
		value = snapshot
	case r.Messages != nil:
		var result coordinator.PostResult
		err = l.client.Call(callCtx, "/v1/mail", r.Messages, &result)
		value = result
	case r.Action != nil:
		var result coordinator.PostResult
		err = l.client.Call(callCtx, "/v1/act", r.Action, &result)
		var stale *lease.StaleFenceError
		if errors.As(err, &stale) {
			stale.Fence = r.Action.Fence
		}
		value = result
	}
	l.sendUpdate(ctx, func() { l.Member.Answer(boottime.Now(), r.Seq, value, err) })
}

func (l *Driver) sendUpdate(ctx context.Context, apply func()) {
	select {
	case l.updates <- func() {
		apply()
		l.Submit(l.Member.Tick(boottime.Now()))
	}:
	case <-ctx.Done():
	}
}

// Submit queues requests. A request that does not fit into the queue gets ErrNoAnswer.
func (l *Driver) Submit(batch []agent.Request) {
	for _, r := range batch {
		select {
		case l.requests <- r:
		default:
			if r.Persist != nil {
				l.Member.Persisted(r.Seq, *r.Persist, agent.ErrNoAnswer)
			} else {
				l.Member.Answer(boottime.Now(), r.Seq, nil, agent.ErrNoAnswer)
			}
		}
	}
}

// News returns functions that the goroutine that owns the router's state has to call.
func (l *Driver) News() <-chan func() { return l.updates }

// Tick reports the router's needs to the fleet and advances time.
func (l *Link) Tick(now float64, controller *admission.Controller) {
	bootNow := boottime.Now()
	l.clockOffset = bootNow - now
	var demand agent.Demand
	server := func(id uint32, zone int, start float64) agent.Server {
		s := agent.Server{ID: id, Start: start}
		if zone >= 0 && zone < len(l.zones) {
			s.Zone = l.zones[zone]
		}
		return s
	}
	controller.Needs(now, admission.NeedsSink{
		Cold: func(id uint32, zone int, start, need, least float64) {
			demand.ColdServers = append(demand.ColdServers, agent.ColdServer{Server: server(id, zone, start), Need: need, Least: least})
		},
		Suspected: func(id uint32, zone int, start float64) {
			demand.Suspected = append(demand.Suspected, agent.Health{Server: server(id, zone, start)})
		},
		Tenant: func(tenant int, need float64) {
			demand.Tenants = append(demand.Tenants, agent.Tenant{Number: tenant, Need: need})
		},
	})
	demand.Health = func(id uint32) (agent.Health, bool) {
		start, unhealthy, sinceAnswer, ok := controller.Health(id)
		return agent.Health{Server: agent.Server{ID: id, Start: start}, Unhealthy: unhealthy, SinceAnswer: sinceAnswer}, ok
	}
	demand.Report = func() failover.Report { return controller.Report(now, len(l.zones)) }
	l.Member.SetDemand(bootNow, demand)
	l.Submit(l.Member.Tick(bootNow))
	l.logActivity(bootNow)
}

// logActivity logs the fleet's activity at most every 30 s, and only if there was any.
func (l *Link) logActivity(now float64) {
	const interval = 30.0 // seconds
	if now < l.loggedAt+interval {
		return
	}
	s, last := l.Member.Stats, l.loggedStats
	l.loggedStats, l.loggedAt = s, now
	if s.Granted+s.Relinquishments+s.RejectedStale+s.LateGrants+s.StaleNotices != last.Granted+last.Relinquishments+last.RejectedStale+last.LateGrants+last.StaleNotices {
		l.log.Info("work for the fleet", zap.Int("sessions", l.Member.FleetSize()), zap.Int("works", len(l.Member.Held())), zap.Int("dealt", s.Granted-last.Granted),
			zap.Int("pledged", s.Relinquishments-last.Relinquishments), zap.Int("late", s.LateGrants-last.LateGrants), zap.Int("refused", s.RejectedStale-last.RejectedStale+s.StaleNotices-last.StaleNotices))
	}
}

// End releases the tasks.
func (l *Link) End(float64) { l.Submit(l.Member.Close(boottime.Now())) }

// Methods that admission calls, with times by the router's clock.

// WarmUpShare returns this router's share of a cold server's allowance, if the fleet has granted one.
func (l *Link) WarmUpShare(now float64, server uint32, start float64) (float64, bool) {
	return l.Member.WarmUpShare(now+l.clockOffset, server, start)
}

// QuotaShare returns this router's share of a tenant's quota, if the fleet has granted one.
func (l *Link) QuotaShare(now float64, tenant int) (float64, bool) {
	return l.Member.QuotaShare(now+l.clockOffset, tenant)
}

// NextProbe returns the time at which this router may probe a suspected server, given the time that it would choose by
// itself.
func (l *Link) NextProbe(now float64, server uint32, start, ownTime float64) float64 {
	return l.Member.NextProbe(now+l.clockOffset, server, start, ownTime+l.clockOffset) - l.clockOffset
}

// Probed records the result of a probe of a suspected server.
func (l *Link) Probed(now float64, server uint32, start float64, healthy bool) {
	l.Member.Probed(now+l.clockOffset, server, start, healthy)
}

// Package agentdriver drives a router's part in the fleet (package member): it carries its requests to the keepers and their answers
// back, and keeps what must outlive the process. The owner's goroutine never waits for any of it.
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
	workers  = 6               // two beats, and letters and acts beside them
	waiting  = 64              // requests: some seconds of a busy owner
	patience = 2 * time.Second // a beat is held for one
)

// Driver carries a member's requests to the keepers and their answers back. The member is one goroutine's, which calls what
// comes by News.
type Driver struct {
	M      *agent.Member
	client *coordserver.Client
	vault  *vault
	news   chan func()
	work   chan agent.Request
}

// NewDriver over a client; the vault may be nil.
func newDriver(m *agent.Member, c *coordserver.Client, v *vault) *Driver {
	return &Driver{M: m, client: c, vault: v, news: make(chan func(), waiting), work: make(chan agent.Request, waiting)}
}

// NewDriver of a member that keeps nothing.
func NewDriver(m *agent.Member, c *coordserver.Client) *Driver { return newDriver(m, c, nil) }

// Link is the part. All its methods but Run's goroutines are the owner's goroutine's.
type Link struct {
	*Driver
	log    *zap.Logger
	zones  []string
	ahead  float64 // of the router's clock: the one that leases are counted on
	last   agent.Stats
	lastAt float64
}

// New part of a router.
func New(cfg config.Config, log *zap.Logger) (*Link, error) {
	f := cfg.Operator.Fleet
	l := &Link{log: log, zones: cfg.Settings.Zones}
	zone := f.Zone
	if z := cfg.Settings.Admission.Zone; zone == "" && z >= 0 && z < len(l.zones) {
		zone = l.zones[z]
	}
	works := f.TaskKinds
	if len(works) == 0 {
		works = []string{agent.WarmUpKind, agent.ProbeKind, agent.QuotaKind, agent.PlanKind}
	}
	var kept agent.PersistentState
	var v *vault
	if f.Folder != "" {
		var err error
		if v, kept, err = openVault(f.Folder, cfg.Name); err != nil {
			return nil, err
		}
		if v.why != "" {
			log.Warn("fences of an earlier process are not known", zap.String("why", v.why))
		}
	}
	const digits = 1<<52 - 1 // so that any reader of JSON gets it whole
	var trace func(agent.Trace)
	if f.Trace {
		trace = func(t agent.Trace) {
			log.Info("trace "+t.Event+" "+t.Task, zap.String("what", t.Event), zap.String("work", t.Task), zap.Uint64("fence", t.Fence),
				zap.Float64("part", t.Share), zap.Float64("at", t.At), zap.Float64("until", t.Until))
		}
	}
	m := agent.New(agent.Config{ZoneCount: len(l.zones), ZoneNames: l.zones, ZoneNumber: cfg.Settings.Admission.Zone, RoundTrips: ways(l.zones, f.Regions), Name: cfg.Name, Tenants: cfg.Settings.Tenants, Zone: zone, Region: f.Region, Incarnation: rand.Uint64()&digits | 1, Seed: rand.Uint64(),
		CandidateKinds: works, RouterCount: max(cfg.Settings.Admission.Routers, 1), Window: cfg.Settings.Admission.FallWindow, StartedAt: boottime.Now(),
		Persistent: v != nil, Now: boottime.Now, Trace: trace, Log: func(text string) { log.Info(text) }}, kept)
	l.Driver = newDriver(m, coordserver.NewClient(f.Coordinators, f.From), v)
	return l, nil
}

// ways between zones, seconds there and back: what order they have is what counts for near before far.
func ways(zones []string, regions map[string][]string) [][]float64 {
	const near, far = 0.005, 0.1
	region := map[string]string{}
	for r, all := range regions {
		for _, z := range all {
			region[z] = r
		}
	}
	table := make([][]float64, len(zones))
	for o := range zones {
		table[o] = make([]float64, len(zones))
		for z := range zones {
			switch {
			case o == z:
			case region[zones[o]] == region[zones[z]]:
				table[o][z] = near
			default:
				table[o][z] = far
			}
		}
	}
	return table
}

// Plan that the module follows, nil: none.
func (l *Link) Plan() admission.Plan {
	if l.M.Guide() == nil {
		return nil
	}
	return guide{l}
}

// guide is the member's by the router's clock.
type guide struct{ l *Link }

func (g guide) Price(now float64, zone int, work float64) (float64, bool) {
	return g.l.M.Guide().Price(now+g.l.ahead, zone, work)
}
func (g guide) Sent(now float64, zone int, work float64) {
	g.l.M.Guide().RecordSent(now+g.l.ahead, zone, work)
}
func (g guide) Keeps(now, price, work float64) bool {
	return g.l.M.Guide().Admits(now+g.l.ahead, price, work)
}

// Run its goroutines.
func (l *Driver) Run(ctx context.Context, group *errgroup.Group) {
	for range workers {
		group.Go(func() error {
			for {
				select {
				case r := <-l.work:
					l.carry(ctx, r)
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	group.Go(func() error {
		<-ctx.Done()
		l.client.Close()
		if l.vault != nil {
			return l.vault.close()
		}
		return nil
	})
}

// carry one request to the keepers, or to the disk, and its answer back.
func (l *Driver) carry(ctx context.Context, r agent.Request) {
	if r.Persist != nil {
		err := l.vault.keep(*r.Persist)
		l.tell(ctx, func() { l.M.Persisted(r.Seq, *r.Persist, err) })
		return
	}
	ask, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var value any
	var err error
	switch {
	case r.Heartbeat != nil:
		var v coordinator.Snapshot
		err = l.client.Call(ask, "/v1/beat", r.Heartbeat, &v)
		value = v
	case r.Messages != nil:
		var p coordinator.PostResult
		err = l.client.Call(ask, "/v1/mail", r.Messages, &p)
		value = p
	case r.Action != nil:
		var p coordinator.PostResult
		err = l.client.Call(ask, "/v1/act", r.Action, &p)
		var old *lease.StaleFenceError
		if errors.As(err, &old) {
			old.Fence = r.Action.Fence
		}
		value = p
	}
	l.tell(ctx, func() { l.M.Answer(boottime.Now(), r.Seq, value, err) })
}

func (l *Driver) tell(ctx context.Context, take func()) {
	select {
	case l.news <- func() {
		take()
		l.Put(l.M.Tick(boottime.Now()))
	}:
	case <-ctx.Done():
	}
}

// Put requests on their way; one that finds no room got no answer.
func (l *Driver) Put(all []agent.Request) {
	for _, r := range all {
		select {
		case l.work <- r:
		default:
			if r.Persist != nil {
				l.M.Persisted(r.Seq, *r.Persist, agent.ErrNoAnswer)
			} else {
				l.M.Answer(boottime.Now(), r.Seq, nil, agent.ErrNoAnswer)
			}
		}
	}
}

// News are to be called by the owner's goroutine.
func (l *Driver) News() <-chan func() { return l.news }

// Tick tells the fleet what the module has use for, and lets time pass.
func (l *Link) Tick(now float64, mind *admission.Controller) {
	mine := boottime.Now()
	l.ahead = mine - now
	var d agent.Demand
	engine := func(id uint32, zone int, start float64) agent.Server {
		e := agent.Server{ID: id, Start: start}
		if zone >= 0 && zone < len(l.zones) {
			e.Zone = l.zones[zone]
		}
		return e
	}
	mind.Needs(now, admission.NeedsSink{
		Cold: func(id uint32, zone int, start, need, least float64) {
			d.ColdServers = append(d.ColdServers, agent.ColdServer{Server: engine(id, zone, start), Need: need, Least: least})
		},
		Suspected: func(id uint32, zone int, start float64) {
			d.Suspected = append(d.Suspected, agent.Health{Server: engine(id, zone, start)})
		},
		Tenant: func(tenant int, need float64) {
			d.Tenants = append(d.Tenants, agent.Tenant{Number: tenant, Need: need})
		},
	})
	d.Health = func(id uint32) (agent.Health, bool) {
		start, ill, heard, ok := mind.Health(id)
		return agent.Health{Server: agent.Server{ID: id, Start: start}, Unhealthy: ill, SinceAnswer: heard}, ok
	}
	d.Report = func() failover.Report { return mind.Report(now, len(l.zones)) }
	l.M.SetDemand(mine, d)
	l.Put(l.M.Tick(mine))
	l.account(mine)
}

// account says now and then what became of the fleet's work, where there is news.
func (l *Link) account(now float64) {
	const every = 30.0 // seconds
	if now < l.lastAt+every {
		return
	}
	s, was := l.M.Stats, l.last
	l.last, l.lastAt = s, now
	if s.Granted+s.Relinquishments+s.RejectedStale+s.LateGrants+s.StaleNotices != was.Granted+was.Relinquishments+was.RejectedStale+was.LateGrants+was.StaleNotices {
		l.log.Info("work for the fleet", zap.Int("sessions", l.M.FleetSize()), zap.Int("works", len(l.M.Held())), zap.Int("dealt", s.Granted-was.Granted),
			zap.Int("pledged", s.Relinquishments-was.Relinquishments), zap.Int("late", s.LateGrants-was.LateGrants), zap.Int("refused", s.RejectedStale-was.RejectedStale+s.StaleNotices-was.StaleNotices))
	}
}

// End gives the works back.
func (l *Link) End(float64) { l.Put(l.M.Close(boottime.Now())) }

// What the module asks, by the router's clock.

// WarmUpShare is this router's share of a server's budget, where the fleet has granted one.
func (l *Link) WarmUpShare(now float64, engine uint32, start float64) (float64, bool) {
	return l.M.WarmUpShare(now+l.ahead, engine, start)
}

// QuotaShare is this router's share of a tenant's quota, where the fleet has granted one.
func (l *Link) QuotaShare(now float64, tenant int) (float64, bool) {
	return l.M.QuotaShare(now+l.ahead, tenant)
}

// NextProbe is when this router may probe a suspected server, given the time that it would choose alone.
func (l *Link) NextProbe(now float64, engine uint32, start, own float64) float64 {
	return l.M.NextProbe(now+l.ahead, engine, start, own+l.ahead) - l.ahead
}

// Probed takes the result of a probe of a suspected server.
func (l *Link) Probed(now float64, engine uint32, start float64, well bool) {
	l.M.Probed(now+l.ahead, engine, start, well)
}

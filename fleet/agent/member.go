// Package agent is one router's membership in the fleet: its session with the coordinators, the tasks that it owns, and its
// handling of other routers' messages. The package does no I/O and has no clock: a driver passes in the time and the answers,
// and sends the requests that it returns. It gives the admission module plain values; without messages from the fleet it
// gives none, and the module decides as if there were no fleet.
package agent

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dunereach/fleet/allocation"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
	"dunereach/probing"
)

// Kinds of task. A task's name is its kind, a slash, and the name of the thing that the task is about.
const (
	WarmUpKind = "warmth" // grants shares of a cold server's allowance
	ProbeKind  = "trial"  // probes a suspected server on behalf of all routers
	QuotaKind  = "quota"  // grants shares of a tenant's quota
	PlanKind   = "plan"   // makes the plan of the zones' shares
)

// Names of the task of the fleet's plan, and of the operators' orders on it, which nobody owns.
const (
	PlanTask   = PlanKind + "/zones"
	OrdersTask = "words/zones"
)

// Config is the configuration of one member.
type Config struct {
	Name, Zone, Region string
	Incarnation        uint64 // random, identifies one process
	Seed               uint64
	CandidateKinds     []string // kinds of task that this member takes part in and can own
	Tenants            []string // tenants whose quotas are shared by the fleet, in the module's numbering
	ZoneCount          int      // number of zones in the settings
	ZoneNumber         int      // of this router's zone
	ZoneNames          []string
	RoundTrips         [][]float64 // round trip times between zones, in seconds
	RouterCount        int         // number of routers in the settings
	Window             float64     // seconds over which a cold server's limit counts
	StartedAt          float64     // when the process started
	CleanStart         bool        // no earlier process of this name can have relinquished a share that is still relinquished
	Persistent         bool        // there is a folder: state that must outlive the process is returned as a request to persist it
	Log                func(text string)
	Trace              func(Trace)    // nil: no tracing
	Now                func() float64 // reads the clock just before an action; nil: the time that was passed in is used
}

// Trace is an event for fault analysis: an action of an owner, or a share that a member relinquished or may use, and until
// when, by the clock that leases are counted on.
type Trace struct {
	Event     string // "begins" (with shares relinquished until then), "act", "laid", "part", "plan" or "refused"
	Task      string
	Fence     uint64
	Share     float64
	At, Until float64
}

// Server is one start of a server.
type Server struct {
	ID    uint32
	Start float64
	Zone  string
}

// taskName returns the name of a task of a kind about this start of the server.
func (e Server) taskName(kind string) string { return fmt.Sprintf("%s/%d@%.3f", kind, e.ID, e.Start) }

// ColdServer is a cold server that this router would use.
type ColdServer struct {
	Server
	Need, Least float64 // shares of its allowance: the share needed, and the smallest share that is of use
}

// Health is this router's knowledge of a server that some router suspects.
type Health struct {
	Server
	Unhealthy   bool    // unhealthy here
	SinceAnswer float64 // seconds since it last answered this router, negative: never
}

// Demand is the router's needs and knowledge, which it reports several times a second.
type Demand struct {
	ColdServers []ColdServer
	Suspected   []Health
	Health      func(engine uint32) (Health, bool) // of any server on the list of servers
	Report      func() failover.Report             // observations of the zones since the last call
	Tenants     []Tenant
}

// Tenant is a tenant whose quota is shared by the fleet.
type Tenant struct {
	Number int
	Need   float64 // share of the quota
}

// Request is a request to a coordinator. Its answer is passed to Answer.
type Request struct {
	Seq       uint64
	Heartbeat *coordinator.Heartbeat
	Messages  *coordinator.MessageBatch
	Action    *coordinator.Action
	Persist   *PersistentState // not sent to a coordinator: state to store on disk before Persisted is called
}

// PersistentState is the state that outlives the process.
type PersistentState struct {
	Marks        []lease.TaskFence `json:"marks" cbor:"1,keyasint"`
	Floor        uint64            `json:"floor" cbor:"2,keyasint"`
	HighestFence uint64            `json:"highest" cbor:"3,keyasint"`
	Relinquished bool              `json:"pledged" cbor:"4,keyasint"` // a share may be relinquished
}

// sharedQuota is one quota of which members use shares: a cold server's allowance or a tenant's quota.
type sharedQuota struct {
	holder            *allocation.Holder
	granter           *allocation.Granter // while this member owns its task, else nil
	need              float64
	leastShare        float64
	zone              string
	key               serverStart // of a cold server
	lastNeeded        float64     // when the router last needed it
	roundOpenedAt     float64
	relinquishedRound uint64 // last round that a share was relinquished for, under fence
	fence             uint64
}

// probeTask is the task of probing a suspected server.
type probeTask struct {
	server      Server
	lastNeeded  float64
	annotatedAt float64
	healthy     bool
}

// Stats are counters for operators and tests.
type Stats struct {
	RejectedStale    int // messages rejected for a stale fence
	LateGrants       int // grants that had expired on arrival
	Granted          int
	Relinquishments  int
	Lost             int // tasks lost without a release
	Gained           int
	StaleNotices     int // answers saying that this member is no longer the owner
	SnapshotsApplied int
}

// Member is one router as a member of the fleet.
type Member struct {
	cfg                Config
	terms              lease.Terms
	owner              *lease.Owner
	gate               *lease.FenceChecker
	hints              *probing.Hints
	quotasByTask       map[string]*sharedQuota
	coldQuotas         map[serverStart]*sharedQuota // those of cold servers, since the module looks them up with each request
	tenantQuotas       []*sharedQuota               // those of tenants, by number
	probeTasks         map[string]*probeTask
	demand             Demand
	session            uint64
	lastSnapshot       uint64
	highestFence       uint64
	lastSeq            uint64
	outgoing           []Request
	messages           []coordinator.Message
	inFlight           map[uint64]inFlight
	heartbeatsInFlight int // sent and not yet answered
	nextHeartbeat      float64
	lastRequested      string // tasks requested by the last heartbeat
	backoff            float64
	superseded         bool // a newer process has this member's name
	closing            bool
	persisted          PersistentState // the state that is on disk
	persistSeq         uint64
	persistingClear    bool // the state in flight to the disk says that nothing is relinquished
	coldTerms          allocation.Terms
	tenantTerms        allocation.Terms

	warmUpEnabled, probesEnabled, quotasEnabled, plansEnabled bool

	guide            *failover.PlanFollower
	controller       *failover.Controller
	controllerFence  uint64 // the fence that the controller acts under
	evidenceByRouter map[string]evidence
	reportedAt       float64
	nextPlanAt       float64
	newestPlan       failover.PublishedPlan // the newest plan received
	registryPlan     failover.PublishedPlan // the plan that the registry showed last
	highestEpoch     uint64                 // highest epoch that this member gave a plan

	publishing    bool // a plan is proposed and its outcome not yet known
	planDecidedAt float64
	orders        failover.Orders

	fleetSize int
	rng       *rand.Rand
	lastRound uint64 // last round that was opened for any quota
	Stats     Stats
}

// evidence is a router's report and when it arrived.
type evidence struct {
	report     failover.Report
	receivedAt float64
}

// serverStart identifies one start of a server.
type serverStart struct {
	id        uint32
	startedAt float64
}

// inFlight is a request that has no answer yet. task is the task that an action is about.
type inFlight struct {
	sentAt     float64
	heartbeat  bool
	task       string
	annotation bool
}

// Bounds and intervals of one member.
const (
	maxQuotas          = 96 // cold servers and tenants at a time: with probe tasks they fit into a heartbeat's requested tasks
	maxProbeTasks      = 24
	idleTimeout        = 10.0 // seconds without use after which an owner releases a task
	roundInterval      = 0.5  // seconds between rounds of grants
	annotationInterval = 1.0  // seconds between two annotations of a task
)

// New returns a member. persisted is the state that an earlier process left.
func New(cfg Config, persisted PersistentState) *Member {
	m := &Member{cfg: cfg, gate: lease.NewFenceChecker(), hints: probing.NewHints(), quotasByTask: map[string]*sharedQuota{},
		coldQuotas: map[serverStart]*sharedQuota{}, tenantQuotas: make([]*sharedQuota, len(cfg.Tenants)), probeTasks: map[string]*probeTask{}, inFlight: map[uint64]inFlight{}, persisted: persisted, highestFence: persisted.HighestFence,
		rng: rand.New(rand.NewPCG(cfg.Seed, 7)), nextHeartbeat: cfg.StartedAt}
	m.warmUpEnabled, m.probesEnabled, m.quotasEnabled = slices.Contains(cfg.CandidateKinds, WarmUpKind), slices.Contains(cfg.CandidateKinds, ProbeKind), slices.Contains(cfg.CandidateKinds, QuotaKind)
	if m.plansEnabled = slices.Contains(cfg.CandidateKinds, PlanKind) && cfg.ZoneCount > 1 && cfg.ZoneCount <= failover.MaxZones; m.plansEnabled {
		const drift = 0.05
		m.guide, m.evidenceByRouter = failover.NewPlanFollower(cfg.ZoneNumber, cfg.ZoneCount, drift), map[string]evidence{}
	}
	m.gate.Import(persisted.Marks, persisted.Floor)
	if cfg.Persistent {
		m.cfg.CleanStart = !persisted.Relinquished
	}
	const drift = 0.05 // until the coordinators give their terms
	m.setTerms(0, drift)
	m.owner = lease.NewOwner(m.terms)
	begins := Trace{Event: "begins", Task: "*", At: cfg.StartedAt, Until: cfg.StartedAt}
	if !m.cfg.CleanStart {
		begins.Until += m.coldTerms.LongestRelinquishment()
	}
	m.trace(begins)
	return m
}

// setTerms sets the lease's terms, and those of grants that follow from them.
func (m *Member) setTerms(duration, drift float64) {
	m.terms = lease.Terms{Lease: duration, Drift: drift}
	m.coldTerms = allocation.StandardTerms(m.cfg.RouterCount, m.cfg.Window, drift)
	m.tenantTerms = allocation.StandardTerms(m.cfg.RouterCount, 1, drift) // a quota is an amount per second
	for name, w := range m.quotasByTask {
		w.holder.SetTerms(m.termsOf(name))
	}
}

func (m *Member) log(format string, args ...any) {
	if m.cfg.Log != nil {
		m.cfg.Log(fmt.Sprintf(format, args...))
	}
}

// ---- queries of the admission module

// WarmUpShare returns the share of a cold server's allowance that this router may use now. If ok is false, it is the equal
// share.
func (m *Member) WarmUpShare(now float64, server uint32, startedAt float64) (share float64, ok bool) {
	if !m.warmUpEnabled {
		return 0, false
	}
	key := serverStart{server, startedAt}
	if w := m.coldQuotas[key]; w != nil {
		return w.holder.Share(now)
	}
	return m.unknownQuotaShare(now, m.coldTerms)
}

// unknownQuotaShare returns the share of a quota that this process has no account of: the equal share, unless an earlier
// process may have relinquished it.
func (m *Member) unknownQuotaShare(now float64, t allocation.Terms) (float64, bool) {
	if m.cfg.CleanStart || now >= m.cfg.StartedAt+t.LongestRelinquishment() {
		return 0, false
	}
	return 0, true
}

// QuotaShare returns the share of a tenant's quota that this router may use now. If ok is false, it is the equal share.
func (m *Member) QuotaShare(now float64, tenant int) (share float64, ok bool) {
	if !m.quotasEnabled {
		return 0, false
	}
	if w := m.tenantQuotas[tenant]; w != nil {
		return w.holder.Share(now)
	}
	return m.unknownQuotaShare(now, m.tenantTerms)
}

// NextProbe adjusts the time of the next probe of a server that this router suspects.
func (m *Member) NextProbe(now float64, server uint32, startedAt, ownNext float64) float64 {
	if !m.probesEnabled {
		return ownNext
	}
	return m.hints.NextProbe(now, server, startedAt, ownNext)
}

// Probed reports the result of a probe.
func (m *Member) Probed(now float64, server uint32, startedAt float64, healthy bool) {
	effect := m.hints.ProbeEnded(now, server, startedAt, healthy)
	m.log("server %d probed, %v: answered %v", server, effect, healthy)
}

// ---- reports of the router

// SetDemand reports the router's demand.
func (m *Member) SetDemand(now float64, d Demand) {
	m.demand = d
	if m.warmUpEnabled {
		for _, c := range d.ColdServers {
			key := serverStart{c.ID, c.Start}
			if w := m.coldQuotas[key]; w != nil {
				w.need, w.leastShare, w.zone, w.lastNeeded = c.Need, c.Least, c.Zone, now
			} else if w = m.useQuota(now, c.taskName(WarmUpKind), m.coldTerms); w != nil {
				w.need, w.leastShare, w.zone, w.key = c.Need, c.Least, c.Zone, key
				m.coldQuotas[key] = w
			}
		}
	}
	if m.quotasEnabled {
		for _, t := range d.Tenants {
			if m.tenantQuotas[t.Number] == nil {
				m.tenantQuotas[t.Number] = m.useQuota(now, QuotaKind+"/"+m.cfg.Tenants[t.Number], m.tenantTerms)
			}
			if w := m.tenantQuotas[t.Number]; w != nil {
				w.need, w.lastNeeded = t.Need, now
			}
		}
	}
	if m.probesEnabled {
		for _, h := range d.Suspected {
			name := h.taskName(ProbeKind)
			x := m.probeTasks[name]
			if x == nil {
				if len(m.probeTasks) >= maxProbeTasks {
					continue
				}
				x = &probeTask{server: h.Server, annotatedAt: math.Inf(-1)}
				m.probeTasks[name] = x
			}
			x.lastNeeded = now
		}
	}
}

// useQuota returns the quota of a task that the router needs now, or nil if there are too many.
func (m *Member) useQuota(now float64, name string, t allocation.Terms) *sharedQuota {
	if w := m.quotasByTask[name]; w != nil {
		w.lastNeeded = now
		return w
	}
	if len(m.quotasByTask) >= maxQuotas || registry.CheckName(name) != nil {
		return nil
	}
	w := &sharedQuota{holder: allocation.NewHolder(t, m.cfg.StartedAt, m.cfg.CleanStart), lastNeeded: now}
	m.quotasByTask[name] = w
	return w
}

// ---- time

// Tick advances the time and returns the requests to send. A driver calls it some ten times a second and after each answer.
func (m *Member) Tick(now float64) []Request {
	if m.superseded {
		return m.flush()
	}
	m.forget(now)
	m.heartbeat(now)
	if !m.closing {
		m.performOwnedTasks(now)
		m.relinquish(now)
		m.planStep(now)
	}
	if m.cfg.Persistent && m.persisted.Relinquished && m.persistSeq == 0 && m.relinquishedCount(now) == 0 {
		// Nothing is relinquished any more: the next process may use its equal share at once. relinquish runs before this and
		// starts its own persist request, with true, which this one would wait for.
		m.persist(now, false)
	}
	if len(m.messages) > 0 && m.session != 0 {
		n := min(len(m.messages), coordinator.MaxMessages)
		m.request(now, Request{Messages: &coordinator.MessageBatch{Session: m.session, Incarnation: m.cfg.Incarnation, Messages: m.messages[:n:n]}}, inFlight{})
		m.messages = m.messages[n:]
	}
	return m.flush()
}

func (m *Member) flush() []Request {
	outgoing := m.outgoing
	m.outgoing = nil
	return outgoing
}

// request queues a request for the driver and remembers that its answer is outstanding.
func (m *Member) request(now float64, r Request, s inFlight) {
	m.lastSeq++
	r.Seq, s.sentAt = m.lastSeq, now
	m.inFlight[r.Seq] = s
	m.outgoing = append(m.outgoing, r)
}

// forget drops quotas and probe tasks that are no longer needed.
func (m *Member) forget(now float64) {
	for name, w := range m.quotasByTask {
		if now-w.lastNeeded <= idleTimeout {
			continue
		}
		if w.granter != nil {
			m.release(now, name)
		}
		if now >= w.holder.RelinquishedUntil() {
			delete(m.quotasByTask, name)
			delete(m.coldQuotas, w.key)
			if k := slices.Index(m.tenantQuotas, w); k >= 0 {
				m.tenantQuotas[k] = nil
			}
		}
	}
	for name, x := range m.probeTasks {
		if now-x.lastNeeded > idleTimeout {
			m.release(now, name)
			delete(m.probeTasks, name)
		}
	}
}

// relinquishedCount returns the number of quotas whose equal share is still relinquished. An earlier process counts as one as
// long as its relinquishments may hold.
func (m *Member) relinquishedCount(now float64) (n int) {
	for _, w := range m.quotasByTask {
		if now < w.holder.RelinquishedUntil() {
			n++
		}
	}
	if !m.cfg.CleanStart && now < m.cfg.StartedAt+max(m.coldTerms.LongestRelinquishment(), m.tenantTerms.LongestRelinquishment()) {
		n++
	}
	return n
}

// release stops acting on a task and tells the coordinators so.
func (m *Member) release(now float64, task string) {
	if w := m.quotasByTask[task]; w != nil {
		w.granter = nil
	}
	if c, ok := m.owner.Release(task); ok {
		m.log("task %q fence %d: released", task, c.Fence)
		m.request(now, Request{Action: &coordinator.Action{Kind: "release", Session: m.session, Task: task, Fence: c.Fence}}, inFlight{task: task})
	}
}

// heartbeat renews the session. One heartbeat is in flight at a time, and a second one when the requested tasks have changed.
func (m *Member) heartbeat(now float64) {
	requestedTasks := m.requestedTasks()
	requestedText := fmt.Sprint(requestedTasks)
	if m.closing || now < m.nextHeartbeat || m.heartbeatsInFlight > 1 || m.heartbeatsInFlight == 1 && requestedText == m.lastRequested {
		return
	}
	const minInterval = 0.05 // seconds between two heartbeats at least
	m.nextHeartbeat, m.lastRequested = now+minInterval, requestedText
	m.heartbeatsInFlight++
	m.request(now, Request{Heartbeat: &coordinator.Heartbeat{Name: m.cfg.Name, Incarnation: m.cfg.Incarnation, Zone: m.cfg.Zone, Region: m.cfg.Region,
		Session: m.session, LastSnapshot: m.lastSnapshot, CandidateKinds: m.cfg.CandidateKinds, RequestedTasks: requestedTasks, HighestFence: m.highestFence}}, inFlight{heartbeat: true})
}

// requestedTasks returns the tasks that a heartbeat requests.
func (m *Member) requestedTasks() (all []coordinator.RequestedTask) {
	for _, name := range sortedKeys(m.quotasByTask) {
		all = append(all, coordinator.RequestedTask{Task: name, Zone: m.quotasByTask[name].zone})
	}
	for _, name := range sortedKeys(m.probeTasks) {
		all = append(all, coordinator.RequestedTask{Task: name, Zone: m.probeTasks[name].server.Zone})
	}
	if m.plansEnabled {
		all = append(all, coordinator.RequestedTask{Task: PlanTask}, coordinator.RequestedTask{Task: OrdersTask})
	}
	return all
}

// Persisted reports that a state to persist is on the disk, or that storing it failed.
func (m *Member) Persisted(seq uint64, k PersistentState, err error) {
	delete(m.inFlight, seq)
	if seq == m.persistSeq {
		m.persistSeq, m.persistingClear = 0, false
	}
	if err == nil {
		m.persisted = k
	} else {
		// The state on disk is unknown: it is stored again before the next relinquishment.
		m.persisted.Relinquished = m.persisted.Relinquished && k.Relinquished
	}
}

// ---- state

// Held returns the tasks that this member owns according to the registry.
func (m *Member) Held() []lease.Claim { return m.owner.HeldClaims() }

// Permit reports whether this member may act on a task now, and under which fence.
func (m *Member) Permit(now float64, task string) (fence uint64, ok bool) {
	return m.owner.Permit(now, task, 0)
}

// Session returns the number of this member's session, or 0.
func (m *Member) Session() uint64 { return m.session }

// FleetSize returns the number of sessions in the fleet.
func (m *Member) FleetSize() int { return m.fleetSize }

// SharesInUse returns the sum of the shares of a quota that may be in use, or 0 if this member doesn't own the quota's task.
func (m *Member) SharesInUse(now float64, task string) float64 {
	if w := m.quotasByTask[task]; w != nil && w.granter != nil {
		return w.granter.ShareInUse(now)
	}
	return 0
}

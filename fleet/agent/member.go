// Package agent is one router's part in the fleet: its session with the keepers, the works that it owns, and what it makes of
// others' words. It does no I/O and knows no clock: a driver gives it time and answers and sends what it puts out. What it
// tells the module are plain values; with nothing heard it tells nothing, and the module decides as if there were no fleet.
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

// Kinds of work. What follows the slash names the thing.
const (
	Warmth = "warmth" // deals out a cold engine's allowance
	Trials = "trial"  // tries a suspected engine for all
	Quotas = "quota"  // deals out a tenant's quota
	Plans  = "plan"   // makes the plan of zones' shares
)

// The fleet's plan, and the operators' words on it, which nobody owns.
const (
	PlanWork  = Plans + "/zones"
	WordsWork = "words/zones"
)

// Config of one member.
type Config struct {
	Name, Zone, Region string
	Incarnation        uint64 // by chance, one process's life
	Seed               uint64
	Stands             []string // kinds of work: it takes part in these, and would own them
	Tenants            []string // whose quotas are the fleet's, as the module numbers them
	Zones              int      // that the settings name, and which is ours
	ZoneNumber         int
	ZoneNames          []string
	Way                [][]float64 // seconds there and back between them
	Members            int         // routers that the settings name
	Window             float64     // seconds of a cold engine's limit
	Began              float64
	Clean              bool // no earlier process of this name can have laid a part down
	Keeps              bool // there is a folder: what must outlive the process is put out as Keep
	Log                func(text string)
	Trace              func(Trace)    // nil: none
	Now                func() float64 // a reading of the clock, asked for at the moment of an act; nil: the time that was given
}

// Trace of one act, for looking at a fault: what an owner did, what a member laid down or may use, and until when, by the clock
// that leases are counted on.
type Trace struct {
	What      string // "begins" (with parts laid down until then), "act", "laid", "part" or "refused"
	Work      string
	Fence     uint64
	Part      float64
	At, Until float64
}

// Engine is one start of a server.
type Engine struct {
	ID    uint32
	Start float64
	Zone  string
}

func (e Engine) work(kind string) string { return fmt.Sprintf("%s/%d@%.3f", kind, e.ID, e.Start) }

// Cold is a cold engine that this router would send to.
type Cold struct {
	Engine
	Need, Least float64 // parts of its allowance: that it has use for, and that is of use at all
}

// Health is what this router knows of an engine that someone doubts.
type Health struct {
	Engine
	Ill   bool
	Heard float64 // seconds since it last answered here, negative: never
}

// Demand is what the router tells several times a second.
type Demand struct {
	Cold    []Cold
	Doubted []Health
	Health  func(engine uint32) (Health, bool) // of any engine that the list has
	Report  func() failover.Report             // what was seen of zones since it was asked last
	Tenants []Tenant
}

// Tenant whose quota is the fleet's.
type Tenant struct {
	Number int
	Need   float64 // part of the quota
}

// Request goes to a keeper. Its answer comes back by Answer.
type Request struct {
	Seq  uint64
	Beat *coordinator.Beat
	Mail *coordinator.Mail
	Act  *coordinator.Act
	Keep *Kept // not for a keeper: to be kept before Kept is called
}

// Kept is what outlives the process.
type Kept struct {
	Marks   []lease.FenceMark `json:"marks" cbor:"1,keyasint"`
	Floor   uint64            `json:"floor" cbor:"2,keyasint"`
	Highest uint64            `json:"highest" cbor:"3,keyasint"`
	Pledged bool              `json:"pledged" cbor:"4,keyasint"` // a part may be laid down
}

// whole is one thing with parts.
type whole struct {
	holder  *allocation.Holder
	dealer  *allocation.Granter // while its work is ours
	need    float64
	least   float64
	zone    string
	key     start   // of a cold engine
	wanted  float64 // when there was last use for it
	opened  float64
	pledged uint64 // round that was pledged for, under the fence
	fence   uint64
}

// trial is a suspected engine.
type trial struct {
	engine Engine
	wanted float64
	noted  float64
	well   bool
}

// Stats for people and tests.
type Stats struct {
	Refused   int // letters under an old fence
	Late      int // deals whose life was over
	Dealt     int
	Pledges   int
	Lost      int // works that went without our letting go
	Gained    int
	ToldOld   int // times that this member was told it is no owner any more
	Confirmed int
}

// Member of the fleet.
type Member struct {
	cfg      Config
	terms    lease.Terms
	owner    *lease.Owner
	gate     *lease.Gate
	book     *probing.Hints
	wholes   map[string]*whole
	cold     map[start]*whole // the same by engine, since the module asks for them with each command
	quotas   []*whole         // and by tenant
	trials   map[string]*trial
	demand   Demand
	session  uint64
	got      uint64
	highest  uint64
	seq      uint64
	out      []Request
	letters  []coordinator.Letter
	sent     map[uint64]sent
	beats    int // out
	beatAt   float64
	told     string // wants of the last beat
	wait     float64
	over     bool // another process has our name
	closing  bool
	kept     Kept // on disk
	keeping  uint64
	clearing bool // the word that nothing is laid down is on its way to the disk
	parts    allocation.Terms
	quota    allocation.Terms

	doesWarmth, doesTrials, doesQuotas, doesPlans bool

	guide    *failover.Guide
	control  *failover.Controller
	controls uint64 // fence that it is under
	seen     map[string]evidence
	reportAt float64
	nextAt   float64
	plan     failover.Published // the newest that was heard
	shown    failover.Published // what the record showed last
	said     uint64             // highest epoch that we gave a plan

	publishing bool // one is being agreed
	agreedAt   float64
	orders     failover.Orders

	fleet int
	rnd   *rand.Rand
	round uint64 // last that was opened of any whole
	Stats Stats
}

// evidence of one router, and when it came.
type evidence struct {
	report failover.Report
	at     float64
}

// start of an engine.
type start struct {
	id uint32
	at float64
}

type sent struct {
	at   float64
	beat bool
	work string
	note bool
}

// Bounds of one member.
const (
	mostWholes = 96 // cold engines and tenants at a time: with trials they fit a beat's wants
	mostTrials = 24
	idle       = 10.0 // seconds without use after which an owner lets go
	every      = 0.5  // seconds between rounds
	noteEvery  = 1.0
)

// New member. kept is what an earlier process left.
func New(cfg Config, kept Kept) *Member {
	m := &Member{cfg: cfg, gate: lease.NewGate(), book: probing.NewHints(), wholes: map[string]*whole{},
		cold: map[start]*whole{}, quotas: make([]*whole, len(cfg.Tenants)), trials: map[string]*trial{}, sent: map[uint64]sent{}, kept: kept, highest: kept.Highest,
		rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), beatAt: cfg.Began}
	m.doesWarmth, m.doesTrials, m.doesQuotas = slices.Contains(cfg.Stands, Warmth), slices.Contains(cfg.Stands, Trials), slices.Contains(cfg.Stands, Quotas)
	if m.doesPlans = slices.Contains(cfg.Stands, Plans) && cfg.Zones > 1 && cfg.Zones <= failover.MostZones; m.doesPlans {
		const drift = 0.05
		m.guide, m.seen = failover.NewGuide(cfg.ZoneNumber, cfg.Zones, drift), map[string]evidence{}
	}
	m.gate.Import(kept.Marks, kept.Floor)
	if cfg.Keeps {
		m.cfg.Clean = !kept.Pledged
	}
	const drift = 0.05 // until the keepers say
	m.setTerms(0, drift)
	m.owner = lease.NewOwner(m.terms)
	begins := Trace{What: "begins", Work: "*", At: cfg.Began, Until: cfg.Began}
	if !m.cfg.Clean {
		begins.Until += m.parts.Longest()
	}
	m.trace(begins)
	return m
}

func (m *Member) setTerms(duration, drift float64) {
	m.terms = lease.Terms{Lease: duration, Drift: drift}
	m.parts = allocation.Standard(m.cfg.Members, m.cfg.Window, drift)
	m.quota = allocation.Standard(m.cfg.Members, 1, drift) // a quota is so much a second
	for name, w := range m.wholes {
		w.holder.Terms(m.termsOf(name))
	}
}

func (m *Member) log(format string, args ...any) {
	if m.cfg.Log != nil {
		m.cfg.Log(fmt.Sprintf(format, args...))
	}
}

// ---- what the module asks

// Part of a cold engine's allowance that this router may use now; ok is false: the equal part.
func (m *Member) Part(now float64, engine uint32, at float64) (part float64, ok bool) {
	if !m.doesWarmth {
		return 0, false
	}
	key := start{engine, at}
	if w := m.cold[key]; w != nil {
		return w.holder.Share(now)
	}
	return m.unheard(now, m.parts)
}

// unheard is the part of a whole that this process has no account of: the equal part, unless an earlier process may have laid
// it down.
func (m *Member) unheard(now float64, t allocation.Terms) (float64, bool) {
	if m.cfg.Clean || now >= m.cfg.Began+t.Longest() {
		return 0, false
	}
	return 0, true
}

// Quota is the part of a tenant's.
func (m *Member) Quota(now float64, tenant int) (part float64, ok bool) {
	if !m.doesQuotas {
		return 0, false
	}
	if w := m.quotas[tenant]; w != nil {
		return w.holder.Share(now)
	}
	return m.unheard(now, m.quota)
}

// TrialAt moves the time of the next trial of an engine that this router doubts.
func (m *Member) TrialAt(now float64, engine uint32, at, own float64) float64 {
	if !m.doesTrials {
		return own
	}
	return m.book.NextProbe(now, engine, at, own)
}

// Tried tells how a trial went.
func (m *Member) Tried(now float64, engine uint32, at float64, well bool) {
	why := m.book.Probed(now, engine, at, well)
	m.log("server %d probed, %v: answered %v", engine, why, well)
}

// ---- what the router tells

// Tell of what there is use for.
func (m *Member) Tell(now float64, d Demand) {
	m.demand = d
	if m.doesWarmth {
		for _, c := range d.Cold {
			key := start{c.ID, c.Start}
			if w := m.cold[key]; w != nil {
				w.need, w.least, w.zone, w.wanted = c.Need, c.Least, c.Zone, now
			} else if w = m.use(now, c.work(Warmth), m.parts); w != nil {
				w.need, w.least, w.zone, w.key = c.Need, c.Least, c.Zone, key
				m.cold[key] = w
			}
		}
	}
	if m.doesQuotas {
		for _, t := range d.Tenants {
			if m.quotas[t.Number] == nil {
				m.quotas[t.Number] = m.use(now, Quotas+"/"+m.cfg.Tenants[t.Number], m.quota)
			}
			if w := m.quotas[t.Number]; w != nil {
				w.need, w.wanted = t.Need, now
			}
		}
	}
	if m.doesTrials {
		for _, h := range d.Doubted {
			name := h.work(Trials)
			x := m.trials[name]
			if x == nil {
				if len(m.trials) >= mostTrials {
					continue
				}
				x = &trial{engine: h.Engine, noted: math.Inf(-1)}
				m.trials[name] = x
			}
			x.wanted = now
		}
	}
}

// use is a whole that there is use for now, nil: there are too many.
func (m *Member) use(now float64, name string, t allocation.Terms) *whole {
	if w := m.wholes[name]; w != nil {
		w.wanted = now
		return w
	}
	if len(m.wholes) >= mostWholes || registry.CheckName(name) != nil {
		return nil
	}
	w := &whole{holder: allocation.NewHolder(t, m.cfg.Began, m.cfg.Clean), wanted: now}
	m.wholes[name] = w
	return w
}

// ---- time

// Tick lets time pass and gives what is to be sent. A driver calls it some ten times a second and after each answer.
func (m *Member) Tick(now float64) []Request {
	if m.over {
		return m.flush()
	}
	m.forget(now)
	m.beat(now)
	if !m.closing {
		m.own(now)
		m.pledge(now)
		m.planning(now)
	}
	if m.cfg.Keeps && m.kept.Pledged && m.keeping == 0 && m.laid(now) == 0 {
		m.keep(now, false) // nothing is laid down any more: a next process may use its equal part at once (after pledge, that waits for true)
	}
	if len(m.letters) > 0 && m.session != 0 {
		n := min(len(m.letters), coordinator.MostLetters)
		m.request(now, Request{Mail: &coordinator.Mail{Session: m.session, Incarnation: m.cfg.Incarnation, Letters: m.letters[:n:n]}}, sent{})
		m.letters = m.letters[n:]
	}
	return m.flush()
}

func (m *Member) flush() []Request {
	out := m.out
	m.out = nil
	return out
}

func (m *Member) request(now float64, r Request, s sent) {
	m.seq++
	r.Seq, s.at = m.seq, now
	m.sent[r.Seq] = s
	m.out = append(m.out, r)
}

// forget what there is no use for any more.
func (m *Member) forget(now float64) {
	for name, w := range m.wholes {
		if now-w.wanted <= idle {
			continue
		}
		if w.dealer != nil {
			m.letGo(now, name)
		}
		if now >= w.holder.RelinquishedUntil() {
			delete(m.wholes, name)
			delete(m.cold, w.key)
			if k := slices.Index(m.quotas, w); k >= 0 {
				m.quotas[k] = nil
			}
		}
	}
	for name, x := range m.trials {
		if now-x.wanted > idle {
			m.letGo(now, name)
			delete(m.trials, name)
		}
	}
}

// laid is how many wholes this process has an unfinished pledge for.
func (m *Member) laid(now float64) (n int) {
	for _, w := range m.wholes {
		if now < w.holder.RelinquishedUntil() {
			n++
		}
	}
	if !m.cfg.Clean && now < m.cfg.Began+max(m.parts.Longest(), m.quota.Longest()) {
		n++
	}
	return n
}

func (m *Member) letGo(now float64, work string) {
	if w := m.wholes[work]; w != nil {
		w.dealer = nil
	}
	if c, ok := m.owner.Release(work); ok {
		m.log("work %q fence %d: let go", work, c.Fence)
		m.request(now, Request{Act: &coordinator.Act{Kind: "release", Session: m.session, Work: work, Fence: c.Fence}}, sent{work: work})
	}
}

// beat keeps the session: one beat is out at a time, and a second one when there is something new to want.
func (m *Member) beat(now float64) {
	wants := m.wants()
	fresh := fmt.Sprint(wants)
	if m.closing || now < m.beatAt || m.beats > 1 || m.beats == 1 && fresh == m.told {
		return
	}
	const gap = 0.05 // seconds between two beats at least
	m.beatAt, m.told = now+gap, fresh
	m.beats++
	m.request(now, Request{Beat: &coordinator.Beat{Name: m.cfg.Name, Incarnation: m.cfg.Incarnation, Zone: m.cfg.Zone, Region: m.cfg.Region,
		Session: m.session, Got: m.got, Stands: m.cfg.Stands, Wants: wants, Highest: m.highest}}, sent{beat: true})
}

func (m *Member) wants() (all []coordinator.Want) {
	for _, name := range sorted(m.wholes) {
		all = append(all, coordinator.Want{Work: name, Zone: m.wholes[name].zone})
	}
	for _, name := range sorted(m.trials) {
		all = append(all, coordinator.Want{Work: name, Zone: m.trials[name].engine.Zone})
	}
	if m.doesPlans {
		all = append(all, coordinator.Want{Work: PlanWork}, coordinator.Want{Work: WordsWork})
	}
	return all
}

// Kept tells that what was put out is on the disk, or that it could not be kept.
func (m *Member) Kept(seq uint64, k Kept, err error) {
	delete(m.sent, seq)
	if seq == m.keeping {
		m.keeping, m.clearing = 0, false
	}
	if err == nil {
		m.kept = k
	} else {
		m.kept.Pledged = m.kept.Pledged && k.Pledged // nobody knows what is there: before the next pledge it is kept anew
	}
}

// ---- what keepers answer

// Held gives the tasks that this member owns, by the registry.
func (m *Member) Held() []lease.Claim { return m.owner.Held() }

// May tells whether this member may act on a task now, and under which fence.
func (m *Member) May(now float64, work string) (fence uint64, ok bool) {
	return m.owner.Permit(now, work, 0)
}

// Session is the number of this member's session, 0: none.
func (m *Member) Session() uint64 { return m.session }

// Fleet is how many sessions there are.
func (m *Member) Fleet() int { return m.fleet }

// Live is what the owner of a whole has dealt and what may still be in use of it, 0 where it isn't ours.
func (m *Member) Live(now float64, work string) float64 {
	if w := m.wholes[work]; w != nil && w.dealer != nil {
		return w.dealer.InUse(now)
	}
	return 0
}

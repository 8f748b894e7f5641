// Package admission decides, for one router, what happens to every command: shed, held, or sent to an engine.
//
// This file is the interface and holds no decision. A host makes one Brain per router with New, calls its
// methods as things happen, each with the current time, and carries out what comes back through Host. Nothing
// here knows a wire. Times are seconds on any clock that only advances; ids come back unaltered.
package admission

import (
	"dunereach/fairshare"
	"dunereach/waittime"
	"dunereach/warmstart"
)

// Host is what the module asks of its surroundings. Calls are carried out in the order made.
type Host interface {
	Send(id, engine uint32, limit, by float64)            // a send that ends by itself after limit, and leaves before by, 0: any time
	Shed(id uint32, pause float64)                        // final: a retry is harmless, best after pause (0: any time)
	Fail(id uint32)                                       // final: nothing is promised
	Cancel(id uint32, send int)                           // stop waiting for that send
	Withdraw(id uint32, send int)                         // end that send as Moot if nothing of it has left yet
	Probe(engine uint32)                                  // ask an engine how it is; Probed answers
	Priority(id uint32, level int, grant float64)         // 0 to 3, at once; memory of later sends, 0: engine's choice
	Wake(after float64, token uint64)                     // Woken with that token, not before
	Tell(peer int, data []byte)                           // a short message to another router, -1 for all
	Watch(on bool)                                        // follow the list of engines, where it must be asked for
	Log(text string)                                      // a line for the people on call
	Told(id uint32, k waittime.Kind, e waittime.Estimate) // how long it will be; before a Shed, until it would be let in
}

// Effect says what running a command twice does.
type Effect uint8

// The effects.
const (
	Replayable    Effect = iota // may run again
	Uniqued                     // a repeat is known by its mark, within Group and Window
	NonReplayable               // must never run twice
)

// Group says which engines drop the repeats of a uniqued command.
type Group uint8

// Those of the whole deployment, of a zone or of a cell.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Profile is the settings of one kind of command.
type Profile struct {
	Target, Stretch float64 // latency target, and what it grows by per second of work on each thread
	Benefit         float64 // of an answer in time
	Effect          Effect
	Group           Group
	Window          float64 // how long repeats are dropped
	Ordered         bool
	Zones, Kinds    []int // the only places allowed; nil: any
	Threads         int
}

// Tenant has a share of the service.
type Tenant struct{ QuotaPerS float64 }

// Settings are fixed for the life of a Brain. A zero figure means that the rule or liberty does not exist.
type Settings struct {
	Seed              uint64
	Me, Routers, Zone int
	Tick              float64
	Profiles          []Profile
	Tenants           []Tenant
	OverShareBenefit  float64   // benefit of a command beyond its tenant's quota, as a share
	KindCores         []float64 // cores by kind of machine; empty: not known
	Ask               bool      // the list comes only when watched

	Cancels, Peers, Priorities bool
	ProbeLoads                 bool // a probe tells how many commands an engine holds
	MaxSends                   int
	MaxPause                   float64 // longest pause that clients honour, 0: none

	ColdFrom, WarmUp, FallMultiple, FallWindow float64
	KeyRest                                    float64
	BudgetFree, BudgetShare, BudgetWindow      float64

	Memory *warmstart.Beliefs // of what an earlier process knew, engines' starts by this one's clock; nil: nothing

	Fleet  Fleet               // nil: nothing is heard of what other routers agree on
	Plan   Plan                // nil: zones have a price of the module's own
	Teams  Teams               // nil: commands are of no team
	Waits  *waittime.Estimator // nil: no waits are told
	Ageing float64             // with teams: seconds of work per benefit that a second of waiting makes up for
}

// Teams decides between the commands of teams that compete: which of the held goes next, who may use the short lane, whose
// running sends step back. A command is known by its place. Package budgets has one. Work is in core seconds.
type Teams interface {
	Enqueue(now float64, at int32, team int, rank, work, threads, due float64) // due: latest time to send it
	Dequeue(at int32)
	StartWalk(now float64) // a walk over the held commands, in the order that holds now
	Next() int32           // the next, -1: none; the same until it is sent or skipped
	Skip(at int32)
	MarkUnplaceable(at int32)                      // no engine would take it whatever the places
	GaveUp(now float64, team int, price float64)   // a held command was; price is work per benefit
	Cut(now float64, team int) float64             // price from which the line gave up of late
	ShareOf(team int) float64                      // part of the pool among the teams in use
	Ahead(team int, rank float64) float64          // held work that leaves before a command of that rank would
	MayStart(now float64, at int32, team int) bool // take a place now
	Lane(team int) bool                            // go past full places with a short command
	AttemptStarted(now float64, at int32, team int, work, threads float64, bends bool)
	AttemptEnded(now float64, at int32, work float64)      // that it took; negative: not known, what was expected stays charged
	Noted(at int32, share float64, spills bool)            // share done
	Tick(now, capacity float64) []fairshare.PriorityChange // levels to change now; core seconds a second of this router's part
}

// Fleet is what this router has heard of work done on behalf of all. Package member has one. Parts are shares of a whole.
type Fleet interface {
	Part(now float64, engine uint32, start float64) (part float64, ok bool) // of a cold engine's allowance; not ok: the equal part
	Quota(now float64, tenant int) (part float64, ok bool)                  // of a tenant's quota; not ok: as without a fleet
	TrialAt(now float64, engine uint32, start, own float64) float64         // when to try a doubted engine, instead of own
	Tried(now float64, engine uint32, start float64, well bool)             // how a trial went
}

// Plan is the fleet's agreed shares of work by zone, as this router follows them. Package failover has one.
type Plan interface {
	Price(now float64, zone int, work float64) (price float64, ok bool) // of a zone, in load of an engine; not ok: nothing was heard
	Sent(now float64, zone int, work float64)                           // work went there
	Keeps(now, price, work float64) bool                                // let a command in, where a part of all fits nowhere
}

// Use is what this router would have of the fleet's wholes, and what it knows of engines.
type Use struct {
	Cold    func(engine uint32, zone int, start, need, least float64) // a cold engine; parts of its allowance
	Doubted func(engine uint32, zone int, start float64)              // an engine that gets trials only
	Tenant  func(tenant int, need float64)                            // part of its quota
}

// State of an engine as the list has it.
type State uint8

// A server may be gone from the list, finish what it has, or take new attempts.
const (
	Gone State = iota
	Draining
	Ready
)

func (s State) String() string { return [...]string{"gone", "draining", "ready"}[s] }

// Scope of a list event.
type Scope uint8

// What a list event says of the servers that it does not name.
const (
	Delta     Scope = iota // changed entries only
	Cached                 // the whole list, possibly out of date
	Full                   // the whole list
	FailedAsk              // no entries: asking failed or the subscription broke
)

// Entry is one engine of the list.
type Entry struct {
	Engine           uint32
	Kind, Zone, Cell int
	Weight           float64
	ReadyAt          float64 // latest start, 0: long past
	State            State
}

// Command is one try of a client.
type Command struct {
	ID              uint32
	Profile, Tenant int
	Key             uint64  // order key, 0: none
	TimeLeft        float64 // before the client gives this try up
	Cost            float64 // estimate of the work over all threads, 0: none
	Memory          float64 // estimate in MB, 0: none
	Area            uint32  // subject area that it reads
	Retry           bool    // known to be a client's repeat
	Team            int     // as Settings.Teams numbers them
	Mark            uint64  // the same for all tries of one command, 0: not known
}

// End is how a send ended.
type End uint8

// The ends of an attempt.
const (
	Answered End = iota
	Errored
	TurnedAway
	TimedOut
	Unreachable
	Cut
	Cancelled
	Moot
)

func (e End) String() string {
	return [...]string{"answered", "error", "turned away", "timed out", "unreachable", "cut off", "cancelled", "moot"}[e]
}

// NeverRan tells whether the end proves that the engine did nothing.
func (e End) NeverRan() bool { return e == TurnedAway || e == Unreachable || e == Moot }

// Load is an engine's own word on itself. Fields that are not reported are negative.
type Load struct{ Held, Waiting, Cores, Memory, Disks float64 }

// Outcome of one send.
type Outcome struct {
	ID, Engine uint32
	Send       int
	End        End
	Unsent     bool    // nothing of it had left when it ended
	Lag        float64 // since the send
	Over       bool    // the command has had its final answer
	Work       float64 // true work, 0: not told
	Memory     float64 // true need in MB
	Load       *Load   // nil: none came along
}

// NoteKind is what a note tells of a send that is out.
type NoteKind uint8

// The kinds of notes.
const (
	Progressed NoteKind = iota + 1 // Value: share done
	Spilling                       // Value: MB missing
	Waiting                        // Value: 1 for memory, 2 for a load
)

// Note tells of a send that is out.
type Note struct {
	ID, Engine uint32
	Send       int
	Kind       NoteKind
	Value      float64
}

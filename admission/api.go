// Package admission decides, for one router, whether each request is rejected, queued or sent to a server.
//
// This file is the interface and holds no decision. A host makes one Controller per router with New, calls its methods
// as events happen, each with the current time, and carries out the actions that come back through Host. Nothing here
// depends on a wire protocol. Times are seconds on any clock that only advances; ids are returned unaltered.
package admission

import (
	"dunereach/fairshare"
	"dunereach/waittime"
	"dunereach/warmstart"
)

// Host carries out the actions of a Controller. Calls are carried out in the order made.
type Host interface {
	Send(id, server uint32, timeout, sendBefore float64)                // ends by itself after timeout, and leaves before sendBefore (0: any time)
	Reject(id uint32, pause float64)                                    // final answer: retrying is harmless, best after pause (0: at any time)
	Fail(id uint32)                                                     // final answer: the request may or may not have run
	Cancel(id uint32, attempt int)                                      // stops waiting for that attempt
	Withdraw(id uint32, attempt int)                                    // ends that attempt as Moot if nothing of it has been sent yet
	Probe(server uint32)                                                // asks a server for its load; Probed receives the answer
	Priority(id uint32, level int, grant float64)                       // 0 to 3, at once; grant: memory for later attempts, 0: server's choice
	Wake(after float64, token uint64)                                   // calls Woken with that token, not before
	SendToPeer(peer int, data []byte)                                   // sends a short message to another router, -1: to all
	Watch(on bool)                                                      // follows the list of servers, where it must be requested
	Log(text string)                                                    // writes a line for the operators
	ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) // reports an estimated time; before a rejection: until the request would be admitted
}

// Effect says whether a request may run twice.
type Effect uint8

// The effects.
const (
	Idempotent      Effect = iota // may run again
	IdempotentByKey               // the servers drop a repeat with the same key, within Group and Window
	NonIdempotent                 // must never run twice
)

// Group says which servers drop the repeats of a request that is idempotent by key.
type Group uint8

// The servers of the whole deployment, of a zone or of a cell.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Profile holds the settings of one kind of request.
type Profile struct {
	Target, Stretch float64 // latency target, and its increase per second of work on each thread
	Benefit         float64 // of an answer in time
	Effect          Effect
	Group           Group
	Window          float64 // how long repeats are dropped
	Ordered         bool
	Zones, Kinds    []int // the only zones and kinds of machine allowed; nil: any
	Threads         int
}

// Tenant has a quota of requests per second.
type Tenant struct{ QuotaPerS float64 }

// Settings are fixed while a Controller exists. With a zero value the rule or the option is off.
type Settings struct {
	Seed              uint64
	Me, Routers, Zone int
	Tick              float64
	Profiles          []Profile
	Tenants           []Tenant
	OverShareBenefit  float64   // factor on the benefit of a request beyond its tenant's quota
	KindCores         []float64 // cores by kind of machine; empty: not known
	Ask               bool      // the list of servers comes only when watched

	Cancels, Peers, Priorities bool
	ProbeLoads                 bool // a probe reports how many requests a server holds
	MaxSends                   int
	MaxPause                   float64 // longest pause that clients honour, 0: none

	ColdFrom, WarmUp, FallMultiple, FallWindow float64
	KeyRest                                    float64
	BudgetFree, BudgetShare, BudgetWindow      float64

	Memory *warmstart.DiscountedKnowledge // beliefs taken over from an earlier process, with start times of servers on this process's clock; nil: none

	Fleet  Fleet               // nil: no shares agreed between routers
	Plan   Plan                // nil: the controller sets its own price for crossing zones
	Teams  Teams               // nil: requests belong to no team
	Waits  *waittime.Estimator // nil: no estimates are reported
	Ageing float64             // with teams: seconds of work per benefit that one second of waiting makes up for
}

// Teams decides between the requests of competing teams: which queued request goes next, which may use the fast path,
// and which running attempts are lowered in priority. A request is identified by its index. Package fairshare has an
// implementation. Work is in core seconds.
type Teams interface {
	Enqueue(now float64, index int32, team int, rank, work, threads, due float64) // due: latest time to send it
	Dequeue(index int32)
	StartWalk(now float64) // starts a walk over the queued requests, in the current order
	Next() int32           // the next one, -1: none; the same until it is sent or skipped
	Skip(index int32)
	MarkUnplaceable(index int32)                         // no server would take it even with free slots
	RequestGivenUp(now float64, team int, price float64) // a queued request was given up; price is work per benefit
	RejectionPrice(now float64, team int) float64        // price from which queued requests were given up recently
	TeamShare(team int) float64                          // share of the pool among the active teams
	WorkQueuedBefore(team int, rank float64) float64     // queued work that leaves before a request of that rank
	MayStart(now float64, index int32, team int) bool    // whether it may take a slot now
	MayUseFastPath(team int) bool                        // whether short requests may exceed the full slots
	AttemptStarted(now float64, index int32, team int, work, threads float64, mayBeLowered bool)
	AttemptEnded(now float64, index int32, work float64)    // work: what it took; negative: not known, the expected work stays charged
	ReportProgress(index int32, share float64, spills bool) // share done
	Tick(now, capacity float64) []fairshare.PriorityChange  // priorities to change now; capacity: this router's share in core seconds per second
}

// Fleet provides what this router has received of the shares that are agreed between all routers. Package agent has an
// implementation. Shares are fractions of a total.
type Fleet interface {
	WarmUpShare(now float64, server uint32, start float64) (share float64, ok bool) // of a cold server's allowance; not ok: use the equal share
	QuotaShare(now float64, tenant int) (share float64, ok bool)                    // of a tenant's quota; not ok: as without a fleet
	NextProbe(now float64, server uint32, start, localProbeAt float64) float64      // when to probe a suspected server, in place of localProbeAt
	Probed(now float64, server uint32, start float64, succeeded bool)               // reports the result of a probe
}

// Plan provides the fleet's agreed shares of work by zone, as this router follows them. Package failover has an
// implementation.
type Plan interface {
	Price(now float64, zone int, work float64) (price float64, ok bool) // of a zone, as a load of a server; not ok: nothing was received
	Sent(now float64, zone int, work float64)                           // counts work sent to the zone
	Keeps(now, price, work float64) bool                                // whether to admit a request if demand exceeds all capacity
}

// NeedsSink receives the shares of the fleet's totals that this router needs, and the servers that it suspects.
type NeedsSink struct {
	Cold      func(server uint32, zone int, start, need, least float64) // a cold server; need and least are shares of its allowance
	Suspected func(server uint32, zone int, start float64)              // a server that receives probes only
	Tenant    func(tenant int, need float64)                            // share of its quota
}

// State of a server in the list.
type State uint8

// A server may have gone from the list, be completing its open attempts, or accept new ones.
const (
	Gone State = iota
	Draining
	Ready
)

func (s State) String() string { return [...]string{"gone", "draining", "ready"}[s] }

// Scope says how complete a list event is.
type Scope uint8

// The scopes.
const (
	Delta           Scope = iota // changed entries only
	Cached                       // the whole list, possibly out of date
	Full                         // the whole list
	ListUnavailable              // no entries: the query failed or the subscription broke
)

// Entry is one server of the list.
type Entry struct {
	Server           uint32
	Kind, Zone, Cell int
	Weight           float64
	ReadyAt          float64 // latest start, 0: long ago
	State            State
}

// Request is one request of a client. A client's retry is a new one.
type Request struct {
	ID              uint32
	Profile, Tenant int
	Key             uint64  // order key, 0: none
	TimeLeft        float64 // until the client timeout
	Cost            float64 // estimate of the work over all threads, 0: none
	Memory          float64 // estimate in MB, 0: none
	SubjectArea     uint32  // subject area that it reads
	Retry           bool    // known to be a client's retry
	Team            int     // index as in Settings.Teams
	RequestKey      uint64  // the same for all retries of one request by its client, 0: not known
}

// End is how an attempt ended.
type End uint8

// The ends of an attempt.
const (
	Completed End = iota
	Errored
	Rejected
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	Withdrawn
)

func (e End) String() string {
	return [...]string{"answered", "error", "turned away", "timed out", "unreachable", "cut off", "cancelled", "moot"}[e]
}

// NeverRan reports whether the end proves that the server did nothing.
func (e End) NeverRan() bool { return e == Rejected || e == Unreachable || e == Withdrawn }

// Load is a server's report on its own load. Fields that are not reported are negative.
type Load struct{ Requests, Waiting, Cores, Memory, Disks float64 }

// Outcome of one attempt.
type Outcome struct {
	ID, Server uint32
	Attempt    int
	End        End
	Unsent     bool    // nothing of it had been sent when it ended
	Latency    float64 // since the attempt was sent
	Final      bool    // the request has had its final answer
	Work       float64 // measured work, 0: not reported
	Memory     float64 // measured need in MB
	Load       *Load   // nil: none was attached
}

// ProgressKind says which progress an attempt reports.
type ProgressKind uint8

// The kinds of progress.
const (
	ShareDone ProgressKind = iota + 1 // Value: share done
	Spilling                          // Value: MB missing
	Waiting                           // Value: 1 for memory, 2 for a load
)

// Progress is a report on an attempt in flight.
type Progress struct {
	ID, Server uint32
	Attempt    int
	Kind       ProgressKind
	Value      float64
}

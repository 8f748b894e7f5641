// Package subset selects the databases that one router connects to, from a pool that is too large for every router to connect to all
// of it. Routers select independently. Each ranks the databases by a score that depends only on the database's name, weight and
// location and on the router's own identity, and selects the head of its ranking. A database that is added or removed therefore
// changes only the subsets that contain it. A router that is added or removed changes no other router's subset. Routers with
// different versions of the list differ only in the databases in which their lists differ.
//
// The score balances the load. For one database the scores of routers 0, 1, 2, ... are a Kronecker sequence: multiples of an
// irrational number that depends on the database, modulo 1. Such a sequence fills the unit interval evenly for any number of
// routers. docs/design/subset.md compares it with random subsets, rounds, rings and rendezvous hashing.
//
// The package has no clock, socket or goroutine.
package subset

import "slices"

// Database is one database of the list. Its state (ready, draining, unhealthy, restarted) does not matter here: a database keeps its
// place in a subset for as long as it is in the list.
type Database struct {
	Name               string
	Zone, Kind, Region int
	Cell               int     // group within a zone that drops duplicate requests together
	Weight             float64 // capacity relative to other databases; an invalid weight counts as 1, see NormalizeWeight
}

// Router is the router that selects a subset.
type Router struct {
	Name         string  // used for the ranking if Number is unknown
	Number       int     // unique among the routers, preferably without gaps; negative: unknown, and the loads are then uneven
	Zone         int     // negative: unknown, and no database is in the own zone
	Region       int     // negative: unknown
	TrafficShare float64 // traffic relative to the mean router's; 0: the mean
	// PlannedWeight is the pool's effective weight, for this list or a similar one, from which the size of the subset is adjusted to even
	// out the loads. 0: none; all subsets then have the same size.
	PlannedWeight float64
}

// Requirement is a set of databases of which every subset must contain a minimum number: those in the listed zones and of the listed
// kinds. Nil stands for all.
type Requirement struct {
	Name         string // used in messages
	Zones, Kinds []int
	Outside      bool // all zones except the listed ones count
	Minimum      int
}

// covers reports whether the database counts for the requirement.
func (n *Requirement) covers(d *Database) bool {
	if n.Zones != nil && slices.Contains(n.Zones, d.Zone) == n.Outside {
		return false
	}
	return n.Kinds == nil || slices.Contains(n.Kinds, d.Kind)
}

// Reason is the reason for which a database is in a subset.
type Reason uint8

// The reasons; the first takes precedence.
const (
	Required Reason = iota + 1 // without the database a requirement would have fewer than its minimum
	Ranked                     // the database is at the head of the router's ranking
)

func (r Reason) String() string {
	if r == Required {
		return "needed"
	}
	return "ranked"
}

// Member is one database of a subset.
type Member struct {
	Index       int // index in the list of databases
	Reason      Reason
	Requirement int // index of the first requirement that needs the database, if Reason is Required
	InOwnZone   bool
}

// Selection is a subset, in the order of the list.
type Selection struct {
	Members   []Member
	Excess    int  // number of databases beyond the size limit that the requirements add
	WholePool bool // the subset contains the whole list
}

// Pool is a list of databases prepared for ranking, for any number of routers. It is immutable.
type Pool struct {
	databases  []Database
	entries    []entry
	duplicates []string
}

// entry is a database with the values from which its scores are computed.
type entry struct {
	index              int32
	nameHash, cellHash uint64 // hashes of its name and of its zone and cell
	irrational         uint64
	cellIrrational     uint64 // irrational number of its cell
	weight             float64
}

// NewPool prepares a list. A database that occurs twice counts once, by its first entry. The Pool keeps the list, which must not
// change.
func NewPool(databases []Database) *Pool {
	p := &Pool{databases: databases, entries: make([]entry, 0, len(databases))}
	seen := make(map[string]struct{}, len(databases))
	for i := range databases {
		d := &databases[i]
		if _, duplicate := seen[d.Name]; duplicate {
			p.duplicates = append(p.duplicates, d.Name)
			continue
		}
		seen[d.Name] = struct{}{}
		e := entry{index: int32(i), nameHash: hashName(d.Name), weight: NormalizeWeight(d.Weight)}
		e.cellHash = mix(uint64(uint32(d.Zone))<<32 | uint64(uint32(d.Cell)))
		e.irrational, e.cellIrrational = irrational(e.nameHash), irrational(e.cellHash)
		p.entries = append(p.entries, e)
	}
	return p
}

// Len returns the number of distinct databases.
func (p *Pool) Len() int { return len(p.entries) }

// Duplicates returns the names that occur in the list again, once for each repetition.
func (p *Pool) Duplicates() []string { return p.duplicates }

// Package subset chooses the databases that one router talks to, out of a pool that is too large for each router to talk to all
// of it. Routers choose alone: each ranks the databases by a score that depends on nothing but the database's own name, weight
// and place and the router's own, and holds the best of its ranking. A database that comes or goes therefore changes only the
// subsets that hold it, a router that comes or goes changes no other router's subset, and routers whose lists are of different
// age differ only in the databases that their lists differ in.
//
// What evens out the load is the score. For one database the scores of routers 0, 1, 2, ... are a Kronecker sequence: multiples
// of an irrational number of the database's own, modulo 1, which fill the unit interval evenly however many routers there are.
// docs/design/subset.md weighs it against random subsets, rounds, rings and rendezvous hashing.
//
// The package decides; it holds no clock, socket or goroutine.
package subset

import "slices"

// Database is one database of the list. Whether it is ready, drains, is unhealthy or was restarted does not matter: a database
// keeps its place in a subset for as long as the list names it.
type Database struct {
	Name               string
	Zone, Kind, Region int
	Cell               int     // the group within a zone that drops repeats together
	Weight             float64 // capacity relative to others; what CheckedWeight does not take counts as 1
}

// Router is the router that chooses.
type Router struct {
	Name   string  // ranks where Place is unknown
	Place  int     // unique among the routers, best without gaps; negative: unknown, and loads are then uneven
	Zone   int     // negative: unknown, no database is near
	Region int     // negative: unknown
	Share  float64 // traffic relative to the mean router's; 0: as the mean
	// Planned is the pool's effective weight that sizes are evened out by, of this list or one not much different; 0: none, and all
	// subsets have the same size.
	Planned float64
}

// Need is a set of databases of which every subset must have some: those of the zones and kinds named. Nil names all.
type Need struct {
	Name         string // for messages
	Zones, Kinds []int
	Outside      bool // the zones are those that do not count
	Least        int
}

// covers tells whether the need is for this database.
func (n *Need) covers(d *Database) bool {
	if n.Zones != nil && slices.Contains(n.Zones, d.Zone) == n.Outside {
		return false
	}
	return n.Kinds == nil || slices.Contains(n.Kinds, d.Kind)
}

// Reason is why a database is in a subset.
type Reason uint8

// The reasons, strongest first.
const (
	Needed Reason = iota + 1 // without it a need would have fewer than its minimum
	Ranked                   // it is among the best of the router's ranking
)

func (r Reason) String() string {
	if r == Needed {
		return "needed"
	}
	return "ranked"
}

// Member is one place of a subset.
type Member struct {
	Index  int // in the list of databases
	Reason Reason
	Need   int // the first of the needs that asks for it, where it is Needed
	Near   bool
}

// Choice is a subset, in the order of the list.
type Choice struct {
	Members []Member
	Grown   int  // places beyond the size, since the needs take more
	Whole   bool // it is the whole list
}

// Pool is a list of databases made ready to be ranked, for any number of routers. It is not changed once made.
type Pool struct {
	databases []Database
	entries   []entry
	repeated  []string
}

// entry is a database with what its scores are made of.
type entry struct {
	index      int32
	own, cell  uint64 // hashes of its name, and of its zone and cell
	irrational uint64
	togetherBy uint64 // irrational of its cell
	weight     float64
}

// NewPool takes a list. A database that stands in it twice counts once, by its first entry. The list is kept and must not change.
func NewPool(databases []Database) *Pool {
	p := &Pool{databases: databases, entries: make([]entry, 0, len(databases))}
	seen := make(map[string]struct{}, len(databases))
	for i := range databases {
		d := &databases[i]
		if _, twice := seen[d.Name]; twice {
			p.repeated = append(p.repeated, d.Name)
			continue
		}
		seen[d.Name] = struct{}{}
		e := entry{index: int32(i), own: hashOf(d.Name), weight: CheckedWeight(d.Weight)}
		e.cell = mix(uint64(uint32(d.Zone))<<32 | uint64(uint32(d.Cell)))
		e.irrational, e.togetherBy = irrational(e.own), irrational(e.cell)
		p.entries = append(p.entries, e)
	}
	return p
}

// Len is the number of different databases.
func (p *Pool) Len() int { return len(p.entries) }

// Repeated are the names that stand in the list more than once.
func (p *Pool) Repeated() []string { return p.repeated }

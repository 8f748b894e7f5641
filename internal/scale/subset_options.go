package scale

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"

	"dunereach/fleet/subset"
	"dunereach/internal/measure"
)

// This file measures the published ways to choose a subset beside the one that fleet/subset has: how even they are, what they move,
// and what they cost. docs/design/subset.md has the table.

// option is one way. It gives the databases of each router, by their names.
type option struct {
	name   string
	choose func(routers int, databases []string, size int) [][]string
}

var options = []option{
	{"random by list", alone(randomByList)},
	{"rounds by list", alone(roundsByList)},
	{"rounds over slots", roundsOverSlots},
	{"aperture by list", alone(apertureByList)},
	{"ring", ring},
	{"rendezvous", alone(rendezvous)},
	{"rendezvous, bounded loads", boundedLoads},
	{"this, equal sizes", ours(0)},
	{"this, room 0.5", ours(0.5)},
}

// alone is a way in which each router chooses without regard to the others' choices.
func alone(one func(router, routers int, databases []string, size int) []string) func(int, []string, int) [][]string {
	return func(routers int, databases []string, size int) [][]string {
		all := make([][]string, routers)
		for r := range all {
			all[r] = one(r, routers, databases, size)
		}
		return all
	}
}

// randomByList draws from the list by a seed of the router's own.
func randomByList(router, _ int, databases []string, size int) []string {
	mixed := shuffled(databases, uint64(router))
	return mixed[:size]
}

func shuffled(list []string, seed uint64) []string {
	mixed := slices.Clone(list)
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(mixed), func(i, j int) { mixed[i], mixed[j] = mixed[j], mixed[i] })
	return mixed
}

// roundsByList deals a list shuffled anew for each round to the round's routers (Site Reliability Engineering, chapter 20).
func roundsByList(router, _ int, databases []string, size int) []string {
	each := len(databases) / size
	mixed := shuffled(databases, uint64(router/each))
	from := router % each * size
	return mixed[from : from+size]
}

// slotCount of the table that names are put into: some more than there are databases.
const slotCount = 4096

// roundsOverSlots deals slots of a fixed number in rounds. A name sits in the slot of its hash or the next free one; a place whose
// slot is empty goes to an occupied slot drawn by slot, router and try.
func roundsOverSlots(routers int, databases []string, size int) [][]string {
	slots := make([]string, slotCount)
	byHash := slices.Clone(databases)
	slices.SortFunc(byHash, func(a, b string) int { return cmp.Compare(hashName(a, 0), hashName(b, 0)) })
	for _, name := range byHash {
		at := hashName(name, 0) % slotCount
		for slots[at] != "" {
			at = (at + 1) % slotCount
		}
		slots[at] = name
	}
	all := make([][]string, routers)
	var order []int
	for r := range all {
		round := r * size / slotCount
		if r == 0 || round != (r-1)*size/slotCount {
			order = rand.New(rand.NewPCG(uint64(round), 2)).Perm(slotCount)
		}
		for j := range size {
			slot := order[(r*size+j)%slotCount]
			for try := 0; slots[slot] == "" || slices.Contains(all[r], slots[slot]); try++ {
				slot = int(hashName(fmt.Sprint(slot, r, j, try), 3) % slotCount)
			}
			all[r] = append(all[r], slots[slot])
		}
	}
	return all
}

// apertureByList gives routers at even distances on a ring the databases of an arc of it (Finagle's deterministic aperture).
func apertureByList(router, routers int, databases []string, size int) (own []string) {
	from := router * len(databases) / routers
	for j := range size {
		own = append(own, databases[(from+j)%len(databases)])
	}
	return own
}

// ring is consistent hashing: the next databases clockwise by the hash of their names, from an even place of the router.
func ring(routers int, databases []string, size int) [][]string {
	byHash := slices.Clone(databases)
	slices.SortFunc(byHash, func(a, b string) int { return cmp.Compare(hashName(a, 0), hashName(b, 0)) })
	all := make([][]string, routers)
	for r := range all {
		_, place := math.Modf(float64(r) * math.Phi)
		from, _ := slices.BinarySearchFunc(byHash, uint64(place*math.MaxUint64), func(name string, at uint64) int { return cmp.Compare(hashName(name, 0), at) })
		for j := range size {
			all[r] = append(all[r], byHash[(from+j)%len(byHash)])
		}
	}
	return all
}

// rendezvous is highest random weight hashing.
func rendezvous(router, _ int, databases []string, size int) []string {
	return ranked(router, databases)[:size]
}

func ranked(router int, databases []string) []string {
	type scored struct {
		score uint64
		name  string
	}
	all := make([]scored, len(databases))
	for k, name := range databases {
		all[k] = scored{hashName(name, uint64(router)+1), name}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	names := make([]string, len(all))
	for k := range all {
		names[k] = all[k].name
	}
	return names
}

// boundedLoads is rendezvous hashing where a database that has its bound of routers is passed over: each router has to know what all
// before it chose.
func boundedLoads(routers int, databases []string, size int) [][]string {
	bound := int(subset.MaxUnevenness * float64(routers*size) / float64(len(databases)))
	loads := make(map[string]int, len(databases))
	all := make([][]string, routers)
	for r := range all {
		for _, name := range ranked(r, databases) {
			if len(all[r]) == size {
				break
			}
			if loads[name] < bound {
				loads[name]++
				all[r] = append(all[r], name)
			}
		}
	}
	return all
}

// ours is fleet/subset without zones, with some room.
func ours(room float64) func(int, []string, int) [][]string {
	return func(routers int, names []string, size int) [][]string {
		databases := make([]subset.Database, len(names))
		for k, name := range names {
			databases[k] = subset.Database{Name: name, Weight: 1}
		}
		pool := subset.NewPool(databases)
		o := subset.Options{Size: size, SizeSlack: room}
		all := make([][]string, routers)
		for r := range all {
			ranking, err := pool.Rank(&o, subset.Router{Number: r, Zone: -1, Region: -1, PlannedWeight: TargetDatabases})
			if err != nil {
				panic(err) // the options are right here
			}
			for _, m := range ranking.Select(1).Members {
				all[r] = append(all[r], names[m.Index])
			}
		}
		return all
	}
}

func hashName(name string, seed uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64() ^ seed*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// optionRows compares the ways at the designed size.
func optionRows(size int) (rows []measure.Row) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	names := make([]string, TargetDatabases)
	for k := range names {
		names[k] = fmt.Sprintf("db-%d.example", k)
	}
	gone := TargetDatabases / 3
	fewer := slices.Delete(slices.Clone(names), gone, gone+1)
	for _, o := range options {
		began := threadTime()
		before := o.choose(TargetRouters, names, size)
		took := threadTime() - began
		databaseGone := moves(before, o.choose(TargetRouters, fewer, size), names[gone])
		routerGone := moves(before, o.choose(TargetRouters-1, names, size), "")
		most, mean := heldBy(before)
		label := fmt.Sprintf("size %d, %s: ", size, o.name)
		rows = append(rows,
			measure.Figure(label+"most to mean routers a database", float64(most)/mean),
			measure.Figure(label+"a database goes, most places moved in a subset that held it", float64(databaseGone.most)),
			measure.Figure(label+"a database goes, other subsets that move", float64(databaseGone.others)),
			measure.Figure(label+"a router goes, subsets of others that move", float64(routerGone.others)),
			measure.Figure(label+"to choose, us a router", took.Seconds()*1e6/TargetRouters))
	}
	return rows
}

func heldBy(subsets [][]string) (most int, mean float64) {
	loads, total := map[string]int{}, 0
	for _, own := range subsets {
		for _, name := range own {
			loads[name]++
			most = max(most, loads[name])
		}
		total += len(own)
	}
	return most, float64(total) / TargetDatabases
}

// moved is what a change did: most places in a subset that held what went, and how many others moved at all.
type moved struct{ most, others int }

func moves(before, after [][]string, gone string) (m moved) {
	for r := range after {
		if slices.Equal(before[r], after[r]) {
			continue
		}
		was, is := map[string]bool{}, map[string]bool{}
		for _, name := range before[r] {
			was[name] = true
		}
		entered := 0
		for _, name := range after[r] {
			if is[name] = true; !was[name] {
				entered++
			}
		}
		left := 0
		for _, name := range before[r] {
			if !is[name] {
				left++
			}
		}
		switch places := max(entered, left); {
		case was[gone]:
			m.most = max(m.most, places)
		case places > 0:
			m.others++
		}
	}
	return m
}

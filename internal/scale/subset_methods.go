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

// This file compares published methods of selecting subsets with that of fleet/subset: how even they are, what they change, and what
// they cost. docs/design/subset.md has the table.

// subsetMethod is one method. It returns the databases of each router by name.
type subsetMethod struct {
	name   string
	choose func(routers int, databases []string, size int) [][]string
}

var subsetMethods = []subsetMethod{
	{"random by list", independent(randomByList)},
	{"rounds by list", independent(roundsByList)},
	{"rounds over slots", roundsOverSlots},
	{"aperture by list", independent(apertureByList)},
	{"ring", consistentHashRing},
	{"rendezvous", independent(rendezvous)},
	{"rendezvous, bounded loads", boundedLoads},
	{"this, equal sizes", fleetSubset(0)},
	{"this, room 0.5", fleetSubset(0.5)},
}

// independent is a method in which each router chooses regardless of the choices of the others.
func independent(chooseOne func(router, routers int, databases []string, size int) []string) func(int, []string, int) [][]string {
	return func(routers int, databases []string, size int) [][]string {
		subsets := make([][]string, routers)
		for r := range subsets {
			subsets[r] = chooseOne(r, routers, databases, size)
		}
		return subsets
	}
}

// randomByList draws from the list with a seed of the router.
func randomByList(router, _ int, databases []string, size int) []string {
	order := shuffled(databases, uint64(router))
	return order[:size]
}

func shuffled(list []string, seed uint64) []string {
	order := slices.Clone(list)
	rand.New(rand.NewPCG(seed, 1)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// roundsByList divides a list, shuffled anew for each round, among the round's routers (Site Reliability Engineering, chapter 20).
func roundsByList(router, _ int, databases []string, size int) []string {
	routersPerRound := len(databases) / size
	order := shuffled(databases, uint64(router/routersPerRound))
	start := router % routersPerRound * size
	return order[start : start+size]
}

// slotCount is the size of the table into which names are hashed, a little more than there are databases.
const slotCount = 4096

// roundsOverSlots distributes a fixed number of slots in rounds. A name occupies the slot of its hash or the next free one. If the slot
// is empty or its database already chosen, an occupied slot is drawn by hashing the slot, router, position and attempt.
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
	subsets := make([][]string, routers)
	var order []int
	for r := range subsets {
		round := r * size / slotCount
		if r == 0 || round != (r-1)*size/slotCount {
			order = rand.New(rand.NewPCG(uint64(round), 2)).Perm(slotCount)
		}
		for j := range size {
			slot := order[(r*size+j)%slotCount]
			for attempt := 0; slots[slot] == "" || slices.Contains(subsets[r], slots[slot]); attempt++ {
				slot = int(hashName(fmt.Sprint(slot, r, j, attempt), 3) % slotCount)
			}
			subsets[r] = append(subsets[r], slots[slot])
		}
	}
	return subsets
}

// apertureByList places routers at equal distances on a ring and gives each the databases on an arc (Finagle's deterministic aperture).
func apertureByList(router, routers int, databases []string, size int) (chosen []string) {
	start := router * len(databases) / routers
	for j := range size {
		chosen = append(chosen, databases[(start+j)%len(databases)])
	}
	return chosen
}

// consistentHashRing is consistent hashing: the next databases clockwise by the hash of their names, from an evenly spread position of
// the router.
func consistentHashRing(routers int, databases []string, size int) [][]string {
	byHash := slices.Clone(databases)
	slices.SortFunc(byHash, func(a, b string) int { return cmp.Compare(hashName(a, 0), hashName(b, 0)) })
	subsets := make([][]string, routers)
	for r := range subsets {
		_, position := math.Modf(float64(r) * math.Phi)
		from, _ := slices.BinarySearchFunc(byHash, uint64(position*math.MaxUint64), func(name string, at uint64) int { return cmp.Compare(hashName(name, 0), at) })
		for j := range size {
			subsets[r] = append(subsets[r], byHash[(from+j)%len(byHash)])
		}
	}
	return subsets
}

// rendezvous is highest random weight hashing.
func rendezvous(router, _ int, databases []string, size int) []string {
	return rankByHash(router, databases)[:size]
}

func rankByHash(router int, databases []string) []string {
	type scored struct {
		score uint64
		name  string
	}
	scores := make([]scored, len(databases))
	for k, name := range databases {
		scores[k] = scored{hashName(name, uint64(router)+1), name}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	names := make([]string, len(scores))
	for k := range scores {
		names[k] = scores[k].name
	}
	return names
}

// boundedLoads is rendezvous hashing that skips a database whose number of routers has reached the bound. Each router has to know the
// choices of all routers before it.
func boundedLoads(routers int, databases []string, size int) [][]string {
	bound := int(subset.MaxUnevenness * float64(routers*size) / float64(len(databases)))
	loads := make(map[string]int, len(databases))
	subsets := make([][]string, routers)
	for r := range subsets {
		for _, name := range rankByHash(r, databases) {
			if len(subsets[r]) == size {
				break
			}
			if loads[name] < bound {
				loads[name]++
				subsets[r] = append(subsets[r], name)
			}
		}
	}
	return subsets
}

// fleetSubset is the method of fleet/subset without zones, with the given slack.
func fleetSubset(sizeSlack float64) func(int, []string, int) [][]string {
	return func(routers int, names []string, size int) [][]string {
		databases := make([]subset.Database, len(names))
		for k, name := range names {
			databases[k] = subset.Database{Name: name, Weight: 1}
		}
		pool := subset.NewPool(databases)
		o := subset.Options{Size: size, SizeSlack: sizeSlack}
		subsets := make([][]string, routers)
		for r := range subsets {
			ranking, err := pool.Rank(&o, subset.Router{Number: r, Zone: -1, Region: -1, PlannedWeight: TargetDatabases})
			if err != nil {
				panic(err) // the options are valid
			}
			for _, m := range ranking.Select(1).Members {
				subsets[r] = append(subsets[r], names[m.Index])
			}
		}
		return subsets
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

// methodRows compares the methods at the designed size.
func methodRows(size int) (rows []measure.Row) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	names := make([]string, TargetDatabases)
	for k := range names {
		names[k] = fmt.Sprintf("db-%d.example", k)
	}
	removedIndex := TargetDatabases / 3
	remaining := slices.Delete(slices.Clone(names), removedIndex, removedIndex+1)
	for _, o := range subsetMethods {
		start := threadTime()
		initial := o.choose(TargetRouters, names, size)
		elapsed := threadTime() - start
		databaseRemoved := countChanges(initial, o.choose(TargetRouters, remaining, size), names[removedIndex])
		routerRemoved := countChanges(initial, o.choose(TargetRouters-1, names, size), "")
		most, mean := routersPerDatabase(initial)
		label := fmt.Sprintf("size %d, %s: ", size, o.name)
		rows = append(rows,
			measure.Figure(label+"most to mean routers a database", float64(most)/mean),
			measure.Figure(label+"a database removed, most places changed in a subset that held it", float64(databaseRemoved.most)),
			measure.Figure(label+"a database removed, other subsets that changed", float64(databaseRemoved.otherSubsets)),
			measure.Figure(label+"a router removed, subsets of others that changed", float64(routerRemoved.otherSubsets)),
			measure.Figure(label+"selection, us a router", elapsed.Seconds()*1e6/TargetRouters))
	}
	return rows
}

func routersPerDatabase(subsets [][]string) (most int, mean float64) {
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

// placeChanges are the effects of a change: the most places changed in a subset that held the removed database, and the number of other
// subsets that changed at all.
type placeChanges struct{ most, otherSubsets int }

func countChanges(before, after [][]string, removedName string) (m placeChanges) {
	for r := range after {
		if slices.Equal(before[r], after[r]) {
			continue
		}
		heldBefore, heldAfter := map[string]bool{}, map[string]bool{}
		for _, name := range before[r] {
			heldBefore[name] = true
		}
		added := 0
		for _, name := range after[r] {
			if heldAfter[name] = true; !heldBefore[name] {
				added++
			}
		}
		removed := 0
		for _, name := range before[r] {
			if !heldAfter[name] {
				removed++
			}
		}
		switch moved := max(added, removed); {
		case heldBefore[removedName]:
			m.most = max(m.most, moved)
		case moved > 0:
			m.otherSubsets++
		}
	}
	return m
}

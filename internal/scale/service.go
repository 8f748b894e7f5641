package scale

import (
	"math/rand/v2"

	"dunereach/admission"
	"dunereach/emulator/cluster"
	"dunereach/emulator/engine"
)

// The pool that subsets are played on, on virtual time. Routers stand to databases as at the target, 1,600 to 3,900, so that a
// subset of a size is held by as many routers a database.
const (
	poolDatabases = 256
	poolRouters   = (poolDatabases*TargetRouters + TargetDatabases - 1) / TargetDatabases
	poolZones     = 4
	poolCores     = 4.0 // of each database
	wholePool     = 0   // in place of a subset's size
)

// The kinds of requests: a lookup, and a report on two threads that is worth ten lookups.
const (
	lookupProfile = iota
	reportProfile
)

// requestMix is what clients ask for, as shares of the work.
var requestMix = []cluster.Stream{
	{Name: "lookup", Profile: lookupProfile, Work: 0.1, CV: 1, Deadline: 4, Scatter: 0.3},
	{Name: "report", Profile: reportProfile, Work: 1, CV: 1, Deadline: 15, Scatter: 0.3},
}

const lookupShare = 0.6 // of the work

// disturbance is what befalls the pool or its clients in a run.
type disturbance uint8

const (
	undisturbed   disturbance = iota
	hotKeys                   // a tenth of the requests has one of three keys, and a key's requests all come to one router
	slowDatabases             // one database of twenty works at a third of its pace
	zoneLost                  // a zone's databases refuse connections, and no list says so
)

func (t disturbance) String() string {
	return [...]string{"calm", "hot keys", "one of 20 slow", "a zone of 4 lost"}[t]
}

// poolRun is one run of the pool.
type poolRun struct {
	Seed        uint64
	Subset      int     // databases that each router is told of, wholePool: all
	Load        float64 // work asked for, over the cores of the pool
	Disturbance disturbance
	Naive       bool    // modules count all routers as sharers of each database, though only some hold it
	Seconds     float64 // that are measured
}

// warmUpSeconds pass before anything is measured: histograms fill, and troubles have begun.
const warmUpSeconds = 6.0

// disturbanceStart is when a trouble begins.
const disturbanceStart = 2.0

// settings of the run.
func (p poolRun) settings() cluster.Settings {
	s := cluster.Settings{Seed: p.Seed, Routers: poolRouters, Length: warmUpSeconds + p.Seconds + drainSeconds,
		Zones: []string{"z1", "z2", "z3", "z4"}, Kinds: []string{"std"},
		Brain: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5, KindCores: []float64{poolCores},
			ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1,
			Profiles: []admission.Profile{
				{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1},
				{Target: 2, Stretch: 2.5, Benefit: 10, Threads: 2}}}}
	for k := range poolDatabases {
		s.Engines = append(s.Engines, cluster.Engine{Zone: k % poolZones,
			Settings: engine.Settings{Cores: poolCores, Sessions: 64, Knee: 2, Thrash: 0.3}})
	}
	s.Streams = p.streams()
	s.Happens = p.events()
	if p.Subset != wholePool {
		held := roundSubsets(poolRouters, poolDatabases, p.Subset, p.Seed)
		s.Subset = func(router, database int) bool { return held[router][database] }
		if !p.Naive {
			s.Sharers = max((poolRouters*p.Subset+poolDatabases/2)/poolDatabases, 1)
		}
	}
	return s
}

// drainSeconds is how long a request of the last measured moment may still run, in seconds.
const drainSeconds = 5.0

func (p poolRun) streams() []cluster.Stream {
	const hotShare, keys = 0.1, 3
	active := func(t float64) bool { return t < warmUpSeconds+p.Seconds }
	work := p.Load * poolDatabases * poolCores
	var streams []cluster.Stream
	for _, stream := range requestMix {
		share := lookupShare
		if stream.Profile == reportProfile {
			share = 1 - lookupShare
		}
		rate := work * share / stream.Work
		variants := []cluster.Stream{stream}
		rates := []float64{rate}
		if p.Disturbance == hotKeys {
			hot := stream
			hot.Name, hot.Keys = "hot "+stream.Name, keys
			variants, rates = append(variants, hot), []float64{rate * (1 - hotShare), rate * hotShare}
		}
		for k := range variants {
			variants[k].Peak = rates[k]
			variants[k].Rate = func(t float64) float64 {
				if active(t) {
					return rates[k]
				}
				return 0
			}
		}
		streams = append(streams, variants...)
	}
	return streams
}

func (p poolRun) events() []cluster.Happening {
	switch p.Disturbance {
	case slowDatabases:
		const every, pace = 20, 1.0 / 3
		var slow []int
		for k := 0; k < poolDatabases; k += every {
			slow = append(slow, k)
		}
		return []cluster.Happening{{At: disturbanceStart, Act: cluster.Pace, Engines: slow, Value: pace}}
	case zoneLost:
		var lost []int
		for k := 0; k < poolDatabases; k += poolZones {
			lost = append(lost, k)
		}
		return []cluster.Happening{{At: disturbanceStart - 0.1, Act: cluster.ListLost}, {At: disturbanceStart, Act: cluster.Gone, Engines: lost}}
	}
	return nil
}

// roundSubsets gives each router a subset of the databases by rounds: all databases are shuffled, with another order in each
// round, and routers take the next so many of the round's order (deterministic subsetting, Beyer and others, Site Reliability
// Engineering, chapter 20). It stands here for any balanced and stable choice.
func roundSubsets(routers, databases, size int, seed uint64) [][]bool {
	held := make([][]bool, routers)
	routersPerRound := max(databases/size, 1)
	var order []int
	for router := range held {
		held[router] = make([]bool, databases)
		subsetInRound := router % routersPerRound
		if subsetInRound == 0 {
			order = rand.New(rand.NewPCG(seed, uint64(router/routersPerRound))).Perm(databases)
		}
		for _, database := range order[subsetInRound*size : min((subsetInRound+1)*size, databases)] {
			held[router][database] = true
		}
	}
	return held
}

package scale

import (
	"math/rand/v2"

	"dunereach/admission"
	"dunereach/emulator/cluster"
	"dunereach/emulator/engine"
)

// The pool for the measurements of subsets on virtual time. The ratio of routers to databases is that of the target, 1,600 to 3,900, so
// that a subset of a given size results in as many routers per database.
const (
	poolDatabases = 256
	poolRouters   = (poolDatabases*TargetRouters + TargetDatabases - 1) / TargetDatabases
	poolZones     = 4
	poolCores     = 4.0 // per database
	wholePool     = 0   // as the size of a subset: all databases
)

// The profiles of requests: a lookup, and a report on two threads that has ten times the benefit of a lookup.
const (
	lookupProfile = iota
	reportProfile
)

// requestMix is the mix of requests of the clients.
var requestMix = []cluster.Stream{
	{Name: "lookup", Profile: lookupProfile, Work: 0.1, CV: 1, Deadline: 4, EstimateCV: 0.3},
	{Name: "report", Profile: reportProfile, Work: 1, CV: 1, Deadline: 15, EstimateCV: 0.3},
}

const lookupShare = 0.6 // of the work

// disturbance is what disturbs the pool or its clients in a run.
type disturbance uint8

const (
	undisturbed   disturbance = iota
	hotKeys                   // a tenth of the requests has one of three keys, and all requests of a key go to one router
	slowDatabases             // one of 20 databases runs at a third of its speed
	zoneLost                  // the databases of a zone refuse connections, and no list reports it
)

func (t disturbance) String() string {
	return [...]string{"calm", "hot keys", "one of 20 slow", "a zone of 4 lost"}[t]
}

// poolRun is one run of the pool.
type poolRun struct {
	Seed        uint64
	Subset      int     // databases in the list of each router; wholePool: all
	Load        float64 // requested work, divided by the cores of the pool
	Disturbance disturbance
	Naive       bool    // controllers count all routers as sharers of each database, although only some hold it
	Seconds     float64 // measured time
}

// warmUpSeconds pass before the measurement: histograms fill, and disturbances begin.
const warmUpSeconds = 6.0

// disturbanceStart is when a disturbance begins, in seconds.
const disturbanceStart = 2.0

// settings returns the settings of the run.
func (p poolRun) settings() cluster.Settings {
	s := cluster.Settings{Seed: p.Seed, Routers: poolRouters, Duration: warmUpSeconds + p.Seconds + drainSeconds,
		Zones: []string{"z1", "z2", "z3", "z4"}, Kinds: []string{"std"},
		Controller: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5, KindCores: []float64{poolCores},
			ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1,
			Profiles: []admission.Profile{
				{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1},
				{Target: 2, Stretch: 2.5, Benefit: 10, Threads: 2}}}}
	for k := range poolDatabases {
		s.Servers = append(s.Servers, cluster.Server{Zone: k % poolZones,
			Settings: engine.Settings{Cores: poolCores, MaxQueries: 64, Knee: 2, ContentionLoss: 0.3}})
	}
	s.Streams = p.streams()
	s.Faults = p.events()
	if p.Subset != wholePool {
		held := roundSubsets(poolRouters, poolDatabases, p.Subset, p.Seed)
		s.Subset = func(router, database int) bool { return held[router][database] }
		if !p.Naive {
			s.Sharers = max((poolRouters*p.Subset+poolDatabases/2)/poolDatabases, 1)
		}
	}
	return s
}

// drainSeconds is how long a request that arrives at the end of the measurement may still run.
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
			variants[k].PeakRate = rates[k]
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

func (p poolRun) events() []cluster.Fault {
	switch p.Disturbance {
	case slowDatabases:
		const every, pace = 20, 1.0 / 3
		var slow []int
		for k := 0; k < poolDatabases; k += every {
			slow = append(slow, k)
		}
		return []cluster.Fault{{At: disturbanceStart, Kind: cluster.SetSpeed, Servers: slow, Value: pace}}
	case zoneLost:
		var lost []int
		for k := 0; k < poolDatabases; k += poolZones {
			lost = append(lost, k)
		}
		return []cluster.Fault{{At: disturbanceStart - 0.1, Kind: cluster.LoseList}, {At: disturbanceStart, Kind: cluster.StopServers, Servers: lost}}
	}
	return nil
}

// roundSubsets gives each router a subset of the databases by rounds: all databases are shuffled, with another order in each
// round, and each router takes the next part of the round's order (deterministic subsetting, Beyer and others, Site Reliability
// Engineering, chapter 20). It represents any balanced and stable selection.
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

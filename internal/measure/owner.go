package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	fleetworld "dunereach/emulator/fleet"
	"dunereach/emulator/modelcheck"
	"dunereach/emulator/scenario"
	"dunereach/fleet/agent"
	"dunereach/internal/agentdriver"
	"dunereach/internal/boottime"
	"dunereach/internal/coordserver"
	"dunereach/internal/faultrig"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

const rigLease = 2.0 // seconds; shorter than usual, as a usual lease would leave time for only a few losses of owners

// Owner measures task ownership with real processes, on virtual time and by exploring all states. Parts that need much CPU time run in
// parallel, so that it takes under a minute on four cores.
func Owner() ([]Row, error) {
	bin, err := programFolder()
	if err != nil {
		return nil, err
	}
	rows, err := runAll(
		func() ([]Row, error) { return virtualRuns(12) },
		func() ([]Row, error) { return coordinatorsLost(bin) },
		func() ([]Row, error) { return sessionCost(bin, 300) },
		func() ([]Row, error) { return exploreStates(modelcheck.ShortBounds) },
		func() ([]Row, error) { return idleMemory(bin) },
	)
	if err != nil {
		return nil, err
	}
	// Times are measured with nothing else running: three hundred sessions on the same cores would add to them.
	gaps, err := handoverTimes(bin)
	if err != nil {
		return nil, err
	}
	cost, err := decisionCost()
	return append(append(rows, gaps...), cost...), err
}

// programFolder returns the folder of this program, which must also contain the programs of the fleet.
func programFolder() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	dir := filepath.Dir(self)
	for _, name := range []string{"dunereach", "dunefleet", "dunekeep", "dunecheck"} {
		if _, err := os.Stat(filepath.Join(dir, name)); err != nil {
			return "", fmt.Errorf("%s is missing in the folder of this program: run `make build` first", name)
		}
	}
	return dir, nil
}

// RunSeeds simulates random runs of a fleet from a seed on, until the given number of runs or seconds is reached. It stops at the first
// error, and returns the combined figures and the number of runs played.
func RunSeeds(from, count uint64, seconds float64) (all fleetworld.Figures, played uint64, err error) {
	for end := time.Now().Add(time.Duration(seconds * 1e9)); played < count && time.Now().Before(end); played++ {
		f, err := fleetworld.Play(fleetworld.RandomScenario(from+played), nil)
		if err != nil {
			return all, played, err
		}
		all.Worst, all.Twice = max(all.Worst, f.Worst), all.Twice+f.Twice
		all.OldTried, all.Late, all.Lost, all.Dealt = all.OldTried+f.OldTried, all.Late+f.Late, all.Lost+f.Lost, all.Dealt+f.Dealt
		all.Operations, all.Looks = all.Operations+f.Operations, all.Looks+f.Looks
	}
	return all, played, nil
}

// seedsResult is written as JSON by the Go names of its fields.
type seedsResult struct {
	Figures fleetworld.Figures
	Played  uint64
	Wrong   string
}

// RunSeedsJSON calls RunSeeds and returns the result as JSON. Each process runs only one RunSeeds at a time, because raft has one random source per
// process.
func RunSeedsJSON(from, count uint64, seconds float64) ([]byte, error) {
	f, n, err := RunSeeds(from, count, seconds)
	s := seedsResult{f, n, ""}
	if err != nil {
		s.Wrong = err.Error()
	}
	return json.Marshal(s)
}

// drawnRuns simulates random runs in several worker processes in parallel: count runs in total from a seed on, for at most the given
// number of seconds.
func drawnRuns(from, count uint64, seconds float64, workers uint64) (f fleetworld.Figures, runs uint64, wrong []string, err error) {
	self, err := os.Executable()
	if err != nil {
		return f, 0, nil, err
	}
	var group errgroup.Group
	results := make([]seedsResult, workers)
	for k := range workers {
		first, next := from+count*k/workers, from+count*(k+1)/workers
		group.Go(func() error {
			out, err := exec.Command(self, "fleet-seeds", fmt.Sprint(first), fmt.Sprint(next-first), fmt.Sprint(seconds)).Output()
			if err != nil {
				return fmt.Errorf("fleet-seeds: %v", err)
			}
			return json.Unmarshal(out, &results[k])
		})
	}
	if err := group.Wait(); err != nil {
		return f, 0, nil, err
	}
	for _, s := range results {
		runs += s.Played
		if s.Wrong != "" {
			wrong = append(wrong, s.Wrong)
		}
		f.Worst, f.Twice, f.OldTried, f.Late, f.Lost = max(f.Worst, s.Figures.Worst), f.Twice+s.Figures.Twice, f.OldTried+s.Figures.OldTried, f.Late+s.Figures.Late, f.Lost+s.Figures.Lost
		f.Operations += s.Figures.Operations
	}
	return f, runs, wrong, nil
}

// ExploreSeeds simulates the given number of random runs of a fleet on virtual time, on all cores.
func ExploreSeeds(from, count uint64, seconds float64) ([]Row, error) {
	f, runs, wrong, err := drawnRuns(from, count, seconds, uint64(runtime.GOMAXPROCS(0)))
	if err != nil {
		return nil, err
	}
	return append(virtualRows(f, runs, wrong), AtLeast("virtual time: share of the requested runs played", float64(runs)/float64(count), 1)), nil
}

func virtualRuns(seconds float64) ([]Row, error) {
	f, runs, wrong, err := drawnRuns(1000, 2_000_000, seconds, 2)
	if err != nil {
		return nil, err
	}
	return virtualRows(f, runs, wrong), nil
}

func virtualRows(f fleetworld.Figures, runs uint64, wrong []string) []Row {
	for _, w := range wrong {
		fmt.Fprintln(os.Stderr, w)
	}
	return []Row{
		AtLeast("virtual time: random runs", float64(runs), 50),
		AtMost("virtual time: runs with a violation", float64(len(wrong)), 0),
		AtMost("virtual time: times with two owners allowed to act", float64(f.Twice), 0),
		AtMost("virtual time: valid shares / allowance, max", f.Worst, 1+1e-9),
		AtLeast("virtual time: messages under a stale fence, all refused", float64(f.OldTried), 1),
		AtLeast("virtual time: grants that arrived after they expired, all refused", float64(f.Late), 1),
		Figure("virtual time: tasks lost", float64(f.Lost)),
		Figure("virtual time: operations in histories that porcupine found linearizable", float64(f.Operations)),
	}
}

func fleetScenario(name string, routers, servers int) scenario.File {
	return scenario.File{Name: name, Coordinators: 3, Routers: routers, Zones: 2, Servers: servers, Lease: rigLease, Drift: 0.05, PersistentFolders: true, SettleTime: 30}
}

// startRig creates a fault rig and starts its processes. The returned function ends them and removes their folder.
func startRig(f scenario.File, bin string, load bool) (*faultrig.Rig, func(), error) {
	dir, err := os.MkdirTemp("", "dunerig")
	if err != nil {
		return nil, nil, err
	}
	r, err := faultrig.New(f, bin, dir, nil)
	if err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	end := func() {
		r.Close()
		os.RemoveAll(dir)
	}
	r.GenerateLoad = load
	if err := r.Start(); err != nil {
		end()
		return nil, nil, err
	}
	return r, end, nil
}

// handoverTimes ends owners by SIGKILL and by SIGTERM, and measures how long their tasks had no owner.
func handoverTimes(bin string) ([]Row, error) {
	const rigs, seconds = 2, 18.0
	gaps := map[string][]float64{}
	var all faultrig.Figures
	var mu sync.Mutex
	var group errgroup.Group
	for k := range rigs {
		group.Go(func() error {
			r, end, err := startRig(fleetScenario("hand-over", 6, 3), bin, false)
			if err != nil {
				return err
			}
			defer end()
			if err := r.Await("dealt"); err != nil {
				return fmt.Errorf("%v\n%s", err, r.LogTails())
			}
			before := 0
			for deadline, n := time.Now().Add(time.Duration(seconds*1e9)), k; time.Now().Before(deadline); n++ {
				action := []string{"kill", "end", "end"}[n%3]
				owner := r.RememberOwner()
				if owner == "" {
					if err := r.Await("owned"); err != nil {
						return err
					}
					continue
				}
				if err := r.Do(action, owner); err != nil {
					return err
				}
				if err := r.Await("moved"); err != nil {
					return err
				}
				if err := r.Await("owned"); err != nil {
					return err
				}
				if err := r.Do("start", owner); err != nil {
					return err
				}
				f := r.Figures()
				mu.Lock()
				gaps[action] = append(gaps[action], f.OwnerGaps[before:]...)
				mu.Unlock()
				before = len(f.OwnerGaps)
			}
			f := r.Figures()
			mu.Lock()
			defer mu.Unlock()
			all.Acts, all.StaleActs, all.MaxInUse = all.Acts+f.Acts, all.StaleActs+f.StaleActs, max(all.MaxInUse, f.MaxInUse)
			all.Violations = append(all.Violations, f.Violations...)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for _, w := range all.Violations {
		fmt.Fprintln(os.Stderr, w)
	}
	rows := []Row{
		AtMost("processes: acts under a stale fence", float64(all.StaleActs), 0),
		AtLeast("processes: acts", float64(all.Acts), 100),
		AtMost("processes: valid shares / allowance, max", all.MaxInUse, 1+1e-9),
		AtMost("processes: other violations", float64(len(all.Violations)-all.StaleActs), 0),
	}
	for _, action := range []string{"kill", "end"} {
		if len(gaps[action]) == 0 {
			return nil, errors.New("no owner was ended by " + action)
		}
	}
	rows = append(rows,
		Figure("next owner's first act after a loss, p50 s", quantile(gaps["kill"], 0.5)),
		AtMost("next owner's first act after a loss, p99 s", quantile(gaps["kill"], 0.99), rigLease+1),
		Figure("next owner's first act after SIGTERM, p50 s", quantile(gaps["end"], 0.5)),
		AtMost("next owner's first act after SIGTERM, p99 s", quantile(gaps["end"], 0.99), 0.3),
		AtLeast("tasks handed over", float64(len(gaps["kill"])+len(gaps["end"])), 20))
	return rows, nil
}

func quantile(x []float64, q float64) float64 {
	stat.SortWeighted(x, nil)
	return stat.Quantile(q, stat.Empirical, x, nil)
}

// coordinatorsLost compares a fleet whose coordinators are all killed with one whose coordinators keep running.
func coordinatorsLost(bin string) ([]Row, error) {
	const before, after = 7 * time.Second, 14 * time.Second // until grants are issued; until leases and relinquishments have expired, and some time beyond
	var figures [2]faultrig.Figures
	var group errgroup.Group
	for k := range figures {
		group.Go(func() error {
			r, end, err := startRig(fleetScenario("coordinators lost", 4, 2), bin, true)
			if err != nil {
				return err
			}
			defer end()
			time.Sleep(before)
			if k == 1 {
				for n := range 3 {
					if err := r.Do("kill", fmt.Sprint("k", n+1)); err != nil {
						return err
					}
				}
			}
			time.Sleep(after)
			figures[k] = r.Figures()
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	with, without := figures[0], figures[1]
	return []Row{
		AtLeast("requests with coordinators", float64(with.Requests), 500),
		AtLeast("requests without", float64(without.Requests), 500),
		AtMost("requests failed because of lost coordinators", float64(without.Failed-with.Failed), 0),
		AtMost("requests without an answer because of lost coordinators", float64(without.Disconnected-with.Disconnected), 0),
		Figure("requests rejected with coordinators, share", float64(with.Rejected)/float64(with.Requests)),
		AtMost("requests rejected without, share", float64(without.Rejected)/float64(without.Requests), 0.02+float64(with.Rejected)/float64(with.Requests)),
	}, nil
}

// sessionCost opens the given number of sessions with real coordinators and measures their cost: idle, and with four cold servers to
// grant shares of.
func sessionCost(bin string, count int) ([]Row, error) {
	r, end, err := func() (*faultrig.Rig, func(), error) {
		dir, err := os.MkdirTemp("", "dunerig")
		if err != nil {
			return nil, nil, err
		}
		f := fleetScenario("sessions", 1, 1)
		f.Lease = 4
		r, err := faultrig.New(f, bin, dir, nil)
		if err != nil {
			return nil, nil, err
		}
		return r, func() { r.Close(); os.RemoveAll(dir) }, r.StartOnly("k1", "k2", "k3")
	}()
	if err != nil {
		return nil, err
	}
	defer end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var coldServers sync.Map // contains "on" once there are cold servers
	group, ctx := errgroup.WithContext(ctx)
	var clients []*coordserver.Client
	opened := make(chan bool, count)
	for n := range count {
		c := coordserver.NewClient(r.CoordinatorAddrs(), "")
		clients = append(clients, c)
		m := agent.New(agent.Config{Name: fmt.Sprint("s", n+1), Zone: fmt.Sprint("z", n%2+1), Incarnation: uint64(n + 1), Seed: uint64(n + 77),
			CandidateKinds: []string{agent.WarmUpKind}, RouterCount: count, Window: 1, StartedAt: boottime.Now(), CleanStart: true}, agent.PersistentState{})
		d := agentdriver.NewDriver(m, c)
		d.Run(ctx, group)
		group.Go(func() error {
			tick := time.NewTicker(100 * time.Millisecond)
			defer tick.Stop()
			reported := false
			for {
				select {
				case <-ctx.Done():
					return nil
				case handle := <-d.News():
					handle()
				case <-tick.C:
					var demand agent.Demand
					if _, on := coldServers.Load("on"); on {
						for e := range 4 {
							demand.ColdServers = append(demand.ColdServers, agent.ColdServer{Server: agent.Server{ID: uint32(e + 1), Start: 1}, Need: 2 / float64(count)})
						}
					}
					now := boottime.Now()
					m.SetDemand(now, demand)
					d.Submit(m.Tick(now))
				}
				if !reported && m.Session() != 0 {
					reported = true
					opened <- true
				}
			}
		})
	}
	for range count {
		select {
		case <-opened:
		case <-time.After(20 * time.Second):
			return nil, errors.New("not all sessions opened in 20 s")
		}
	}
	usage := func() (all [3]float64, requests, bytes float64, err error) {
		for k := range all {
			if all[k], _, err = r.CPU(fmt.Sprint("k", k+1)); err != nil {
				return
			}
		}
		for _, c := range clients {
			n, b := c.Traffic()
			requests, bytes = requests+float64(n), bytes+float64(b)
		}
		return
	}
	measure := func(seconds float64) (cores, requests, bytes float64, err error) {
		a, c0, b0, err := usage()
		if err != nil {
			return
		}
		began := time.Now()
		time.Sleep(time.Duration(seconds * 1e9)) // rates are measured over this time
		b, c1, b1, err := usage()
		took := time.Since(began).Seconds()
		for k := range a {
			cores = max(cores, (b[k]-a[k])/took)
		}
		return cores, (c1 - c0) / took / float64(count), (b1 - b0) / took / float64(count), err
	}
	time.Sleep(2 * time.Second) // until connections are up
	idle, idleRequests, idleBytes, err := measure(8)
	if err != nil {
		return nil, err
	}
	coldServers.Store("on", true)
	time.Sleep(4 * time.Second) // until tasks have owners and the grants of earlier owners have expired
	busy, busyRequests, busyBytes, err := measure(6)
	cancel()
	group.Wait()
	if err != nil {
		return nil, err
	}
	return []Row{
		AtMost("300 sessions: the busiest coordinator, cores", idle, 0.1),
		AtMost("300 sessions: requests per router and second", idleRequests, 3),
		AtMost("300 sessions: bytes per router and second", idleBytes, 4096),
		Figure("300 sessions and four cold servers: the busiest coordinator, cores", busy),
		Figure("300 sessions and four cold servers: requests per router and second", busyRequests),
		Figure("300 sessions and four cold servers: bytes per router and second", busyBytes),
	}, nil
}

// exploreStates checks the rules of ownership in all states of a small model. The number of violations is NaN, which is never within
// bounds, if not all states were explored.
func exploreStates(b modelcheck.Bounds) ([]Row, error) {
	began := time.Now()
	states, complete, err := modelcheck.Explore(b)
	violations := 0.0
	if err != nil {
		violations = 1
		fmt.Fprintln(os.Stderr, err)
	}
	if !complete {
		violations = math.NaN()
	}
	return []Row{
		AtLeast("states explored, all interleavings of two owners and a receiver", float64(states), 10_000),
		AtMost("states that break a rule", violations, 0),
		Figure("seconds for exploring the states", time.Since(began).Seconds()),
	}, nil
}

// idleMemory measures the memory of an idle router without the fleet, and of one whose coordinators don't answer.
func idleMemory(bin string) ([]Row, error) {
	var memory [2]float64
	for k := range memory {
		dir, err := os.MkdirTemp("", "dunerig")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		f := fleetScenario("idle", 1, 1)
		f.Coordinators = k
		r, err := faultrig.New(f, bin, dir, nil)
		if err != nil {
			return nil, err
		}
		if err := r.StartOnly("n1"); err != nil {
			r.Close()
			return nil, err
		}
		time.Sleep(2 * time.Second) // until the router is idle
		_, memory[k], err = r.CPU("n1")
		r.Close()
		if err != nil {
			return nil, err
		}
	}
	const baselineMB = 8.7 // memory of an idle router in the version before the fleet existed
	return []Row{
		AtMost("idle router without fleet settings, MB", memory[0], baselineMB+0.5),
		AtMost("idle router with fleet settings, MB", memory[1], 16),
	}, nil
}

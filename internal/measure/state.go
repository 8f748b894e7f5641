package measure

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunereach/admission"
	"dunereach/emulator/cluster"
	"dunereach/emulator/engine"
	"dunereach/internal/jobrunner"
	"dunereach/internal/store"
	bg "dunereach/jobs"
	"dunereach/warmstart"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
)

// State measures the state that survives a restart: the state folder when the writer is killed, the trust in stored knowledge by its age,
// the cost of reading and writing, and the benefit of the state after a restart at peak load.
func State() ([]Row, error) {
	rows, err := runAll(
		func() ([]Row, error) { return killedWriters(500) },
		func() ([]Row, error) { return trustByAge(), nil },
		func() ([]Row, error) { return restartRegret(24) },
		func() ([]Row, error) { return rollingRestart(30) },
	)
	if err != nil {
		return nil, err
	}
	full, err := fullFolderCost() // with nothing else running, because it measures time and memory
	if err != nil {
		return nil, err
	}
	late, err := snapshotLateness(1.7)
	return append(append(rows, full...), late...), err
}

// WriteState writes snapshots and records to a folder until the process is killed. Each contains a number, one higher than the last. A
// number is printed once it must be durable.
func WriteState(dir string) error {
	s, loaded, err := store.Open(dir, "n1")
	if err != nil {
		return err
	}
	n, err := lastNumber(loaded)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(os.Stdout)
	body := make([]byte, 8+16<<10)
	for {
		n++
		binary.LittleEndian.PutUint64(body, n)
		if err := s.WriteSnapshot(body); err != nil {
			return err
		}
		fmt.Fprintln(out, n)
		out.Flush()
		for range 20 {
			n++
			if err := s.Append(binary.LittleEndian.AppendUint64(nil, n)); err != nil {
				return err
			}
			if n%3 == 0 { // several records per sync
				if err := s.Sync(); err != nil {
					return err
				}
				fmt.Fprintln(out, n)
				out.Flush()
			}
		}
	}
}

// lastNumber returns the last number in a folder. It fails if numbers are missing.
func lastNumber(r store.Contents) (n uint64, err error) {
	if r.Generation == 0 {
		return 0, nil
	}
	if len(r.Body) < 8 {
		return 0, errors.New("snapshot body is too short")
	}
	n = binary.LittleEndian.Uint64(r.Body)
	for _, b := range r.Records {
		if next := binary.LittleEndian.Uint64(b); next == n+1 {
			n = next
		} else {
			return 0, fmt.Errorf("record %d after %d", next, n)
		}
	}
	return n, nil
}

// killedWriters repeatedly kills a writer process at a random time, in the same folders, and reads the folder after each kill.
func killedWriters(count int) ([]Row, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var damaged, lost, wentBack, cutShort, killed int
	var group errgroup.Group
	const workers = 4
	for worker := range workers {
		group.Go(func() error {
			dir, err := os.MkdirTemp("", "dunestate")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			rnd := rand.New(rand.NewPCG(uint64(worker), 5))
			last, generation := uint64(0), uint64(0)
			for range count / workers {
				c := exec.Command(self, "state-writer", dir)
				out, err := c.StdoutPipe()
				if err != nil {
					return err
				}
				if err := c.Start(); err != nil {
					return err
				}
				lastPrinted := make(chan uint64, 1)
				first := make(chan bool)
				go func() {
					var n uint64
					lines := bufio.NewScanner(out)
					for begun := false; lines.Scan(); {
						n, _ = strconv.ParseUint(lines.Text(), 10, 64)
						if !begun {
							begun = true
							close(first)
						}
					}
					lastPrinted <- n
				}()
				select {
				case <-first:
				case <-time.After(20 * time.Second):
					c.Process.Kill()
					return errors.New("the writer has written nothing for 20 s")
				}
				time.Sleep(time.Duration(rnd.Float64() * 20e6)) // a random time up to 20 ms
				c.Process.Kill()
				acked := max(<-lastPrinted, last)
				c.Wait()
				r, _, err := store.Load(dir, "n1")
				if err != nil {
					return err
				}
				n, wrong := lastNumber(r)
				mu.Lock()
				killed++
				if wrong != nil || r.Generation == 0 || len(r.Skipped) > 0 {
					damaged++
				}
				if n < acked {
					lost++
				}
				if r.Generation < generation {
					wentBack++
				}
				if r.CutShort {
					cutShort++
				}
				mu.Unlock()
				last, generation = n, r.Generation
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return []Row{
		AtLeast("kills of a writer process, each followed by a read", float64(killed), float64(count)),
		AtMost("reads that found partly written data", float64(damaged), 0),
		AtMost("reads that lacked synced data", float64(lost), 0),
		AtMost("reads whose generation went back", float64(wentBack), 0),
		Figure("journals truncated by the kill, as expected", float64(cutShort)),
	}, nil
}

// trustByAge measures how much of each kind of stored knowledge is restored, by its age.
func trustByAge() (rows []Row) {
	settings, rates := []uint64{1}, []float64{2}
	savedAt := warmstart.Timestamp{Wall: 1e9, Up: 1e6, Boot: "b"}
	snapshot := warmstart.Snapshot{At: savedAt, Profiles: []warmstart.Profile{{Settings: 1, Work: 0.1, Seen: 100, Hinted: 10, Worked: 20, Slow: 3, Times: warmstart.Times{Counts: []float64{1000}, Sum: 100}}},
		Quick: warmstart.JournalRecord{At: savedAt, Known: warmstart.Knowledge{Engines: []warmstart.Server{{ID: 1, Slow: 2, Fails: 0.8, Ill: true, Pause: 1}}, Tenants: []warmstart.Tenant{{Left: -60, Rate: 2}}}}}
	for _, a := range []struct {
		name                    string
		age                     float64
		times, unhealthy, debts [2]float64 // lower and upper bounds
	}{
		{"1 s", 1, [2]float64{39.9, 40}, [2]float64{1, 1}, [2]float64{58, 58}},
		{"20 s", 20, [2]float64{39, 40}, [2]float64{0, 0}, [2]float64{20, 20}},
		{"10 min", 600, [2]float64{19.9, 20.1}, [2]float64{0, 0}, [2]float64{-1140, -1140}},
		{"1 hour", 3600, [2]float64{0, 1}, [2]float64{0, 0}, [2]float64{-7140, -7140}},
		{"3 days", 3 * 86400, [2]float64{0, 0}, [2]float64{0, 0}, [2]float64{-1e6, -5e5}},
	} {
		r := warmstart.Restore(snapshot, nil, warmstart.Timestamp{Wall: savedAt.Wall + a.age, Up: savedAt.Up + a.age, Boot: "b"}, settings, rates)
		unhealthy := 0.0
		for _, e := range r.Engines {
			if e.Ill {
				unhealthy++
			}
		}
		rows = append(rows,
			Between("knowledge of "+a.name+": processing times restored, of forty", r.Profiles[0].Times.N(), a.times[0], a.times[1]),
			Between("knowledge of "+a.name+": servers still considered unhealthy, of one", unhealthy, a.unhealthy[0], a.unhealthy[1]),
			Between("knowledge of "+a.name+": a tenant's remaining debt, of sixty", -r.Tenants[0].Left, a.debts[0], a.debts[1]))
	}
	r := warmstart.Restore(snapshot, nil, warmstart.Timestamp{Wall: savedAt.Wall - 100, Up: 5, Boot: "c"}, settings, rates)
	return append(rows, AtMost("clock went back: processing times restored, of forty", r.Profiles[0].Times.N(), 10), AtMost("clock went back: servers considered unhealthy", float64(len(r.Engines)), 0))
}

// maxSnapshot returns a snapshot with the largest contents that are read: a thousand profiles, four thousand servers and tenants.
func maxSnapshot() warmstart.Snapshot {
	k := warmstart.Snapshot{At: warmstart.Timestamp{Wall: 1, Up: 1}}
	for n := range warmstart.MaxProfiles {
		p := warmstart.Profile{Settings: uint64(n), Work: 0.1, Seen: 50, Hinted: 3, Worked: 4, Slow: 1.2}
		for b := range 90 {
			p.Times.Counts = append(p.Times.Counts, 1.5*float64(b))
		}
		k.Profiles = append(k.Profiles, p)
	}
	for n := range warmstart.MaxServers {
		k.Quick.Known.Engines = append(k.Quick.Known.Engines, warmstart.Server{ID: uint32(n), Start: 1e9, Slow: 1.5, Fails: 0.3, Ill: true, Pause: 1})
		k.Quick.Known.Tenants = append(k.Quick.Known.Tenants, warmstart.Tenant{Left: -1.5, Rate: 3})
	}
	return k
}

// fullFolderCost measures reading a folder of the maximum size.
func fullFolderCost() ([]Row, error) {
	dir, err := os.MkdirTemp("", "dunestate")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	s, _, err := store.Open(dir, "n1")
	if err != nil {
		return nil, err
	}
	body, err := cbor.Marshal(maxSnapshot())
	if err != nil {
		return nil, err
	}
	if err := s.WriteSnapshot(body); err != nil {
		return nil, err
	}
	record, err := cbor.Marshal(warmstart.JournalRecord{Known: warmstart.Knowledge{Engines: maxSnapshot().Quick.Known.Engines[:500]}})
	if err != nil {
		return nil, err
	}
	for s.Append(record) == nil {
	}
	s.Close()
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	r, _, err := store.Load(dir, "n1")
	if err != nil {
		return nil, err
	}
	var k warmstart.Snapshot
	var q warmstart.JournalRecord
	if err := errors.Join(cbor.Unmarshal(r.Body, &k), cbor.Unmarshal(r.Records[len(r.Records)-1], &q)); err != nil {
		return nil, err
	}
	warmstart.Restore(k, []warmstart.JournalRecord{q}, warmstart.Timestamp{Wall: 2, Up: 2}, make([]uint64, warmstart.MaxProfiles), make([]float64, warmstart.MaxTenants))
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	_, bytes := store.Size(dir, "n1")
	return []Row{
		Figure("a full folder, MB", float64(bytes)/(1<<20)),
		AtMost("a full folder: ms to read and restore", float64(elapsed.Microseconds())/1000, 500),
		AtMost("a full folder: MB allocated in total for reading", float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), 64),
	}, nil
}

// snapshotLateness measures the lateness of the timers of a process that makes decisions on one core, as a router does, with a snapshot
// each second and without.
func snapshotLateness(seconds float64) ([]Row, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var p99 [2][]float64
	var differences []float64
	const rounds = 7 // both modes alternate and are compared in pairs, because the machine's speed varies
	for range rounds {
		for k, mode := range []string{"without", "with"} {
			out, err := exec.Command(self, "state-late", mode, fmt.Sprint(seconds)).Output()
			if err != nil {
				return nil, fmt.Errorf("state-late: %v", err)
			}
			x, err := strconv.ParseFloat(strings.TrimSpace(string(out)), 64)
			if err != nil {
				return nil, err
			}
			p99[k] = append(p99[k], x)
		}
		differences = append(differences, p99[1][len(differences)]-p99[0][len(differences)])
	}
	return []Row{
		Figure("timer lateness at p99 without snapshots, ms", 1000*quantile(p99[0], 0.5)),
		Figure("the same with a snapshot every second, ms", 1000*quantile(p99[1], 0.5)),
		AtMost("increase by snapshots at p99, ms, median of pairs", 1000*quantile(differences, 0.5), 1),
	}, nil
}

// TimerLateness runs one of these measurements in this process and returns the lateness of its timers on one core at p99, in seconds.
func TimerLateness(write bool, seconds float64) (p99 float64, err error) {
	runtime.GOMAXPROCS(1)
	dir, err := os.MkdirTemp("", "dunestate")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := jobrunner.New(bg.Limits{CPU: 0.05, MaxLateness: 0.005}, func(string, int, error) {})
	if write {
		s, _, err := store.Open(filepath.Join(dir, "state"), "n1")
		if err != nil {
			return 0, err
		}
		defer s.Close()
		snapshot := maxSnapshot()
		snapshot.Profiles = snapshot.Profiles[:32] // as in a typical router
		snapshot.Quick.Known.Engines, snapshot.Quick.Known.Tenants = snapshot.Quick.Known.Engines[:72], snapshot.Quick.Known.Tenants[:64]
		r.Add(bg.Job{Name: "snapshot", Interval: 1, Deadline: 1}, func(_ context.Context, m *jobrunner.Meter) error {
			body, err := cbor.Marshal(snapshot)
			if err != nil {
				return err
			}
			m.AddBytes(len(body))
			return s.WriteSnapshot(body)
		})
	}
	ended := make(chan bool)
	go func() {
		r.Run(ctx, time.Second)
		close(ended)
	}()
	driver := newRequestDriver(nil)
	var lateness []float64
	const interval = 2 * time.Millisecond
	for end, due := time.Now().Add(time.Duration(seconds*1e9)), time.Now().Add(interval); due.Before(end); due = due.Add(interval) {
		time.Sleep(time.Until(due))
		late := time.Since(due).Seconds()
		lateness = append(lateness, late)
		r.ObserveLateness(late)
		driver.run(100) // about 0.2 ms of decisions
	}
	cancel()
	<-ended
	return quantile(lateness, 0.99), nil
}

// restartRegret measures the cost of a restart at peak load: all routers restart at once, with and without their stored state, compared
// with routers that are not restarted.
func restartRegret(days int) ([]Row, error) {
	recallDiscounted := func(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge {
		b := warmstart.Discount(k, age, true, admission.Fingerprints(s.Profiles), s.TenantRates())
		return &b
	}
	peak := func(seed uint64, restart bool, recall cluster.RestoreMemoryFunc) cluster.Settings {
		s := cluster.Settings{Seed: seed, Duration: 105, Routers: 3, RestoreMemory: recall, Controller: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5,
			ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1, Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}, {Target: 3, Stretch: 2, Benefit: 1, Threads: 1}}}}
		for range 3 {
			s.Servers = append(s.Servers, cluster.Server{Settings: engine.Settings{Cores: 4, Knee: 2, ContentionLoss: 0.3, ProgressInterval: 2}})
		}
		short := cluster.Stream{Work: 0.1, CV: 1, Deadline: 4, EstimateCV: 0.3, EstimateBias: 2, MaxRequests: 2, IgnoresPauseShare: 0.3}
		short.Rate, short.PeakRate = cluster.ConstantRate(60)
		long := cluster.Stream{Work: 0.8, CV: 1, Deadline: 8, EstimateCV: 0.3, EstimateBias: 0.4, Profile: 1}
		long.Rate, long.PeakRate = cluster.ConstantRate(10)
		s.Streams = []cluster.Stream{short, long}
		s.Faults = []cluster.Fault{{At: 36, Duration: 12, Kind: cluster.StallServers, Servers: []int{0}}}
		if restart {
			s.Faults = append(s.Faults, cluster.Fault{At: 40, Duration: 0.5, Kind: cluster.RestartRouter, Routers: []int{0, 1, 2}})
		}
		return s
	}
	spans := []float64{10, 30, 60}
	var inTime, rejected [3][3][]float64 // by mode (without state, with state, not restarted), by span, by day
	var attemptsToHung [3]float64        // attempts to the hanging server between 40.5 s and 48 s, by mode
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(4)
	for seed := range uint64(days) {
		group.Go(func() error {
			for k, s := range []cluster.Settings{peak(seed, true, nil), peak(seed, true, recallDiscounted), peak(seed, false, nil)} {
				hungAttempts := 0.0
				s.Observe = func(m *cluster.Observation) bool {
					if m.Kind == cluster.AttemptSent && m.Server == 0 && m.Now >= 40.5 && m.Now < 48 {
						hungAttempts++
					}
					return true
				}
				r, err := cluster.Run(s)
				if err != nil {
					return err
				}
				mu.Lock()
				attemptsToHung[k] += hungAttempts
				mu.Unlock()
				for n, span := range spans {
					completed, rejectedCount, all := 0.0, 0.0, 0.0
					for i := range r.Requests {
						if x := &r.Requests[i]; x.ReceivedAt >= 40.5 && x.ReceivedAt < 40.5+span {
							all++
							if x.InTime() {
								completed++
							}
							if x.Outcome == cluster.Rejected {
								rejectedCount++
							}
						}
					}
					mu.Lock()
					inTime[k][n], rejected[k][n] = append(inTime[k][n], completed/all), append(rejected[k][n], rejectedCount/all)
					mu.Unlock()
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var rows []Row
	for n, span := range spans {
		name := fmt.Sprintf("restart at peak load, %.0f s: ", span)
		withoutState, withState, uninterrupted := stat.Mean(inTime[0][n], nil), stat.Mean(inTime[1][n], nil), stat.Mean(inTime[2][n], nil)
		rows = append(rows, Figure(name+"in time without state", withoutState), Figure(name+"in time with state", withState), Figure(name+"in time without a restart", uninterrupted),
			AtMost(name+"regret with state", uninterrupted-withState, max(0.02, (uninterrupted-withoutState)/2)),
			AtMost(name+"rejected with state / rejected without state", stat.Mean(rejected[1][n], nil)/math.Max(stat.Mean(rejected[0][n], nil), 1e-9), 1.05))
	}
	return append(rows, Figure("restart at peak load: attempts per day to a server known to hang, without state", attemptsToHung[0]/float64(days)),
		AtMost("restart at peak load: attempts to that server with state / without state", attemptsToHung[1]/max(attemptsToHung[0], 1), 0.8)), nil
}

// rollingRestart restarts many routers one after another while a server hangs. The server recovers when the last routers come back, so all
// routers restore the knowledge that it hangs. They have to find out by themselves that it has recovered, and must not all send attempts
// to it at the same time.
func rollingRestart(routers int) ([]Row, error) {
	s := cluster.Settings{Seed: 3, Duration: 80, Routers: routers, Controller: admission.Settings{Tick: 0.005, MaxSends: 4, MaxPause: 0.5,
		Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}}}}
	for range 6 {
		s.Servers = append(s.Servers, cluster.Server{Settings: engine.Settings{Cores: 16, Knee: 2, ContentionLoss: 0.3, ProgressInterval: 2}})
	}
	st := cluster.Stream{Work: 0.05, CV: 1, Deadline: 4, EstimateCV: 0.3}
	st.Rate, st.PeakRate = cluster.ConstantRate(20 * float64(routers))
	s.Streams = []cluster.Stream{st}
	const began, ended = 30.0, 40.0
	s.Faults = []cluster.Fault{{At: began, Duration: ended - began, Kind: cluster.StallServers, Servers: []int{0}}}
	for r := range routers { // the last one restarts shortly before the server recovers
		s.Faults = append(s.Faults, cluster.Fault{At: began + 3 + (ended-began-3)*float64(r)/float64(routers), Duration: 0.2, Kind: cluster.RestartRouter, Routers: []int{r}})
	}
	s.RestoreMemory = func(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge {
		b := warmstart.Discount(k, age, true, admission.Fingerprints(s.Profiles), s.TenantRates())
		return &b
	}
	const slot = 0.05
	attemptsBySlot := map[int]float64{}   // attempts to the server by slot of time
	var attempts, allAttempts [40]float64 // by second since the server recovered: attempts to it, and to all servers
	s.Observe = func(m *cluster.Observation) bool {
		if m.Kind == cluster.AttemptSent && m.Now >= ended && m.Now < ended+40 {
			k := int(m.Now - ended)
			if allAttempts[k]++; m.Server == 0 {
				attempts[k]++
				if m.Now < ended+1 {
					attemptsBySlot[int((m.Now-ended)/slot)]++
				}
			}
		}
		return true
	}
	if _, err := cluster.Run(s); err != nil {
		return nil, err
	}
	recovered, worst := math.Inf(1), 0.0
	for k := range attempts {
		if attempts[k] >= 0.5*allAttempts[k]/6 {
			recovered = float64(k + 1)
			break
		}
	}
	for _, n := range attemptsBySlot {
		worst = max(worst, n)
	}
	return []Row{
		AtMost(fmt.Sprintf("%d routers restarted with stored knowledge that a healthy server hangs: seconds until it has half of its share", routers), recovered, 6),
		AtMost("the same: attempts in a twentieth of a second per router, max in the first second", worst/float64(routers), 0.34),
	}, nil
}

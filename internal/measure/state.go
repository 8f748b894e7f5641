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

// State measures what survives a restart: the folder under kills, what is believed of it by age, what reading and writing cost, and what
// it is worth in the peak.
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
	full, err := fullFolderCost() // times and memory alone
	if err != nil {
		return nil, err
	}
	late, err := snapshotLateness(1.7)
	return append(append(rows, full...), late...), err
}

// WriteState writes to a folder until it is killed: snapshots and records that bear a number which only grows, each number printed once
// it must last.
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
		if err := s.Snapshot(body); err != nil {
			return err
		}
		fmt.Fprintln(out, n)
		out.Flush()
		for range 20 {
			n++
			if err := s.Append(binary.LittleEndian.AppendUint64(nil, n)); err != nil {
				return err
			}
			if n%3 == 0 { // in groups
				if err := s.Sync(); err != nil {
					return err
				}
				fmt.Fprintln(out, n)
				out.Flush()
			}
		}
	}
}

// lastNumber is the last one in a folder.
func lastNumber(r store.Read) (n uint64, err error) {
	if r.Generation == 0 {
		return 0, nil
	}
	if len(r.Body) < 8 {
		return 0, errors.New("a body that nobody wrote")
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

// killedWriters ends a writing process at a random moment, again and again in the same folders, and reads what is there.
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
					return errors.New("the writer does not write")
				}
				time.Sleep(time.Duration(rnd.Float64() * 20e6)) // the moment is drawn
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
				if wrong != nil || r.Generation == 0 || len(r.Passed) > 0 {
					damaged++
				}
				if n < acked {
					lost++
				}
				if r.Generation < generation {
					wentBack++
				}
				if r.Cut {
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
		AtLeast("kills of a writing process, each followed by a read", float64(killed), float64(count)),
		AtMost("reads that found something half written", float64(damaged), 0),
		AtMost("reads that lacked what had been synced", float64(lost), 0),
		AtMost("reads whose generation went back", float64(wentBack), 0),
		Figure("journals cut short by the kill, as is normal", float64(cutShort)),
	}, nil
}

// trustByAge is how much of each kind of knowledge is believed, by its age.
func trustByAge() (rows []Row) {
	settings, rates := []uint64{1}, []float64{2}
	savedAt := warmstart.Timestamp{Wall: 1e9, Up: 1e6, Boot: "b"}
	snapshot := warmstart.Snapshot{At: savedAt, Profiles: []warmstart.Profile{{Settings: 1, Work: 0.1, Seen: 100, Hinted: 10, Worked: 20, Slow: 3, Times: warmstart.Times{Counts: []float64{1000}, Sum: 100}}},
		Quick: warmstart.JournalRecord{At: savedAt, Known: warmstart.Knowledge{Engines: []warmstart.Server{{ID: 1, Slow: 2, Fails: 0.8, Ill: true, Pause: 1}}, Tenants: []warmstart.Tenant{{Left: -60, Rate: 2}}}}}
	for _, a := range []struct {
		name                    string
		age                     float64
		times, suspended, debts [2]float64 // least and most
	}{
		{"1 s", 1, [2]float64{39.9, 40}, [2]float64{1, 1}, [2]float64{58, 58}},
		{"20 s", 20, [2]float64{39, 40}, [2]float64{0, 0}, [2]float64{20, 20}},
		{"10 min", 600, [2]float64{19.9, 20.1}, [2]float64{0, 0}, [2]float64{-1140, -1140}},
		{"1 hour", 3600, [2]float64{0, 1}, [2]float64{0, 0}, [2]float64{-7140, -7140}},
		{"3 days", 3 * 86400, [2]float64{0, 0}, [2]float64{0, 0}, [2]float64{-1e6, -5e5}},
	} {
		r := warmstart.Restore(snapshot, nil, warmstart.Timestamp{Wall: savedAt.Wall + a.age, Up: savedAt.Up + a.age, Boot: "b"}, settings, rates)
		suspended := 0.0
		for _, e := range r.Engines {
			if e.Ill {
				suspended++
			}
		}
		rows = append(rows,
			Between("knowledge of "+a.name+": processing times, of forty", r.Profiles[0].Times.N(), a.times[0], a.times[1]),
			Between("knowledge of "+a.name+": engines still taken for ill, of one", suspended, a.suspended[0], a.suspended[1]),
			Between("knowledge of "+a.name+": a tenant's debt of sixty", -r.Tenants[0].Left, a.debts[0], a.debts[1]))
	}
	r := warmstart.Restore(snapshot, nil, warmstart.Timestamp{Wall: savedAt.Wall - 100, Up: 5, Boot: "c"}, settings, rates)
	return append(rows, AtMost("a clock that went back: processing times, of forty", r.Profiles[0].Times.N(), 10), AtMost("a clock that went back: engines taken for ill", float64(len(r.Engines)), 0))
}

// maxSnapshot is as much as is read at all: a thousand profiles, four thousand engines and tenants.
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

// fullFolderCost reads a folder that is as full as one may be.
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
	if err := s.Snapshot(body); err != nil {
		return nil, err
	}
	quick, err := cbor.Marshal(warmstart.JournalRecord{Known: warmstart.Knowledge{Engines: maxSnapshot().Quick.Known.Engines[:500]}})
	if err != nil {
		return nil, err
	}
	for s.Append(quick) == nil {
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
	took := time.Since(began)
	runtime.ReadMemStats(&after)
	_, bytes := store.Size(dir, "n1")
	return []Row{
		Figure("a full folder, MB", float64(bytes)/(1<<20)),
		AtMost("a full folder: ms to read and believe", float64(took.Microseconds())/1000, 500),
		AtMost("a full folder: MB that reading takes in all", float64(after.TotalAlloc-before.TotalAlloc)/(1<<20), 64),
	}, nil
}

// snapshotLateness is how late an owner's timers are while it decides, with a snapshot each second and without, on one core as a router has.
func snapshotLateness(seconds float64) ([]Row, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var p99 [2][]float64
	var differences []float64
	const rounds = 7 // in turn, and by pairs, as the machine's pace changes
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
		Figure("the owner's timers late at p99 with no snapshots, ms", 1000*quantile(p99[0], 0.5)),
		Figure("the same with a snapshot each second, ms", 1000*quantile(p99[1], 0.5)),
		AtMost("what snapshots add at p99, ms, median of pairs", 1000*quantile(differences, 0.5), 1),
	}, nil
}

// Late is one of these runs: it prints how late the timers of a process on one core were at p99, in seconds.
func Late(write bool, seconds float64) (p99 float64, err error) {
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
		snapshot.Profiles = snapshot.Profiles[:32] // of a usual router
		snapshot.Quick.Known.Engines, snapshot.Quick.Known.Tenants = snapshot.Quick.Known.Engines[:72], snapshot.Quick.Known.Tenants[:64]
		r.Add(bg.Job{Name: "snapshot", Interval: 1, Deadline: 1}, func(_ context.Context, m *jobrunner.Meter) error {
			body, err := cbor.Marshal(snapshot)
			if err != nil {
				return err
			}
			m.AddBytes(len(body))
			return s.Snapshot(body)
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
		driver.run(100) // some 0.2 ms of decisions
	}
	cancel()
	<-ended
	return quantile(lateness, 0.99), nil
}

// restartRegret is what a restart in the peak costs: all routers restart at once, with what they knew and with nothing, against never.
func restartRegret(days int) ([]Row, error) {
	recallDiscounted := func(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge {
		b := warmstart.Discount(k, age, true, admission.Fingerprints(s.Profiles), s.TenantRates())
		return &b
	}
	peak := func(seed uint64, restart bool, recall cluster.Recall) cluster.Settings {
		s := cluster.Settings{Seed: seed, Length: 105, Routers: 3, Recall: recall, Brain: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5,
			ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1, Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}, {Target: 3, Stretch: 2, Benefit: 1, Threads: 1}}}}
		for range 3 {
			s.Engines = append(s.Engines, cluster.Engine{Settings: engine.Settings{Cores: 4, Knee: 2, Thrash: 0.3, Notes: 2}})
		}
		short := cluster.Stream{Work: 0.1, CV: 1, Deadline: 4, Scatter: 0.3, Bias: 2, Tries: 2, Ignores: 0.3}
		short.Rate, short.Peak = cluster.Steady(60)
		long := cluster.Stream{Work: 0.8, CV: 1, Deadline: 8, Scatter: 0.3, Bias: 0.4, Profile: 1}
		long.Rate, long.Peak = cluster.Steady(10)
		s.Streams = []cluster.Stream{short, long}
		s.Happens = []cluster.Happening{{At: 36, For: 12, Act: cluster.Silent, Engines: []int{0}}}
		if restart {
			s.Happens = append(s.Happens, cluster.Happening{At: 40, For: 0.5, Act: cluster.Restart, Routers: []int{0, 1, 2}})
		}
		return s
	}
	spans := []float64{10, 30, 60}
	var inTime, rejected [3][3][]float64 // nothing, knew, never; by span; by day
	var attemptsToHung [3]float64        // to the engine that hangs, in the ten seconds after
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(4)
	for seed := range uint64(days) {
		group.Go(func() error {
			for k, s := range []cluster.Settings{peak(seed, true, nil), peak(seed, true, recallDiscounted), peak(seed, false, nil)} {
				hungAttempts := 0.0
				s.Watch = func(m *cluster.Moment) bool {
					if m.On == cluster.Sent && m.Engine == 0 && m.Now >= 40.5 && m.Now < 48 {
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
					for i := range r.Tries {
						if x := &r.Tries[i]; x.Taken >= 40.5 && x.Taken < 40.5+span {
							all++
							if x.InTime() {
								completed++
							}
							if x.How == cluster.Shed {
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
		name := fmt.Sprintf("restart in the peak, %.0f s: ", span)
		withoutState, withState, uninterrupted := stat.Mean(inTime[0][n], nil), stat.Mean(inTime[1][n], nil), stat.Mean(inTime[2][n], nil)
		rows = append(rows, Figure(name+"in time from nothing", withoutState), Figure(name+"with what it knew", withState), Figure(name+"never stopped", uninterrupted),
			AtMost(name+"regret with what it knew", uninterrupted-withState, max(0.02, (uninterrupted-withoutState)/2)),
			AtMost(name+"refused with what it knew, over refused from nothing", stat.Mean(rejected[1][n], nil)/math.Max(stat.Mean(rejected[0][n], nil), 1e-9), 1.05))
	}
	return append(rows, Figure("restart in the peak: sends to an engine known to hang, a day, from nothing", attemptsToHung[0]/float64(days)),
		AtMost("restart in the peak: the same with what it knew, over that", attemptsToHung[1]/max(attemptsToHung[0], 1), 0.8)), nil
}

// rollingRestart restarts many routers one after the other while an engine hangs, which is well again before the last of them is back: they all
// believe that it hangs. Nobody may have to tell them, and they may not all try it in the same moment.
func rollingRestart(routers int) ([]Row, error) {
	s := cluster.Settings{Seed: 3, Length: 80, Routers: routers, Brain: admission.Settings{Tick: 0.005, MaxSends: 4, MaxPause: 0.5,
		Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1}}}}
	for range 6 {
		s.Engines = append(s.Engines, cluster.Engine{Settings: engine.Settings{Cores: 16, Knee: 2, Thrash: 0.3, Notes: 2}})
	}
	st := cluster.Stream{Work: 0.05, CV: 1, Deadline: 4, Scatter: 0.3}
	st.Rate, st.Peak = cluster.Steady(20 * float64(routers))
	s.Streams = []cluster.Stream{st}
	const began, ended = 30.0, 40.0
	s.Happens = []cluster.Happening{{At: began, For: ended - began, Act: cluster.Silent, Engines: []int{0}}}
	for r := range routers { // the last of them is back just after
		s.Happens = append(s.Happens, cluster.Happening{At: began + 3 + (ended-began-3)*float64(r)/float64(routers), For: 0.2, Act: cluster.Restart, Routers: []int{r}})
	}
	s.Recall = func(k warmstart.Knowledge, age float64, s *admission.Settings) *warmstart.DiscountedKnowledge {
		b := warmstart.Discount(k, age, true, admission.Fingerprints(s.Profiles), s.TenantRates())
		return &b
	}
	const slot = 0.05
	attemptsBySlot := map[int]float64{}   // sends to it by slot
	var attempts, allAttempts [40]float64 // by second after it is well: sends to it, and to all
	s.Watch = func(m *cluster.Moment) bool {
		if m.On == cluster.Sent && m.Now >= ended && m.Now < ended+40 {
			k := int(m.Now - ended)
			if allAttempts[k]++; m.Engine == 0 {
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
		AtMost(fmt.Sprintf("%d routers restarted, all told that a well engine hangs: seconds until it has half of its share", routers), recovered, 6),
		AtMost("the same: of them in one twentieth of a second, in its first second", worst/float64(routers), 0.34),
	}, nil
}

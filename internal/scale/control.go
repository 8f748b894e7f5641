package scale

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"dunereach/internal/boottime"
	"dunereach/internal/hollow"
	"dunereach/internal/measure"
)

// The fleet for which the cost of control is measured. 5 of the CoordinatorMachines run a voting coordinator, 3 of them in one region
// and 2 in the other. The other 2 are spares, as an initial registry has at most 5 coordinators.
const (
	coordinatorCount  = 5
	controlLease      = 4.0 // seconds, the default
	routersPerProcess = 200
	recoveryTimeout   = 60 * time.Second // for control to recover
	planTasks         = 1                // the fleet's plan, which is always requested
)

// ControlPart is one group of control measurements that can be run alone.
type ControlPart struct {
	Name, Description string
	Run               func(routers int) ([]measure.Row, error) // with at most that many routers
}

// ControlParts are all groups, in the order in which they are printed.
var ControlParts = []ControlPart{
	{"state", "Size of the registry's snapshot by sessions and tasks", controlState},
	{"idle", "Cost of sessions without cold databases, with and without zone reports", controlIdle},
	{"cold", "Cost of cold databases", controlCold},
	{"virtual", "Cold databases on virtual time, with the same packages", controlVirtual},
	{"return", "Time until all sessions are open again", controlReturn},
	{"faults", "Loss of a rack and a zone, a cut of a region's links, a rolling restart", controlFaults},
}

// Control measures coordinators and hollow routers over real sockets.
func Control(short bool) ([]measure.Row, error) {
	if short {
		return controlShort()
	}
	var all []measure.Row
	for _, part := range ControlParts {
		rows, err := part.Run(TargetRouters)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", part.Name, err)
		}
		all = append(all, rows...)
	}
	return all, nil
}

// controlSizes returns the router counts at which slopes are measured: 100, 400, 800 and 1,600 for most = 1,600.
func controlSizes(most int) []int { return []int{most / 16, most / 4, most / 2, most} }

func lastOf(sizes []int) int { return sizes[len(sizes)-1] }

// targetZones returns the zones of the target. They alternate between the two regions.
func targetZones() (zones []hollow.Zone) {
	regions := [TargetRegions]string{"north", "south"}
	for n := range TargetZones {
		zones = append(zones, hollow.Zone{Name: fmt.Sprint("z", n+1), Region: regions[n%TargetRegions]})
	}
	return zones
}

// controlFleet is a fleet under measurement, with its temporary directory.
type controlFleet struct {
	*hollow.Fleet
	folder string
	peak   hollow.Peak // over the whole run
}

// newControlFleet starts a fleet of coordinators, for up to the given number of routers. No router runs yet.
func newControlFleet(routers int) (*controlFleet, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	dunekeepPath := filepath.Join(filepath.Dir(executable), "dunekeep")
	if _, err := os.Stat(dunekeepPath); err != nil {
		return nil, fmt.Errorf("dunekeep is not in the directory of this program: run `make build` first")
	}
	folder, err := os.MkdirTemp("", "dunehollow")
	if err != nil {
		return nil, err
	}
	fleet, err := hollow.New(hollow.Options{CoordinatorProgram: dunekeepPath, WorkerProgram: executable, WorkerArgs: []string{"hollow"}, Folder: folder,
		Coordinators: coordinatorCount, Routers: routers, RoutersPerWorker: min(routersPerProcess, (routers+1)/2), Zones: targetZones(),
		Databases: TargetDatabases, Lease: controlLease})
	if err != nil {
		os.RemoveAll(folder)
		return nil, err
	}
	return &controlFleet{Fleet: fleet, folder: folder}, nil
}

func (f *controlFleet) close() {
	f.Close()
	os.RemoveAll(f.folder)
}

// loadAndAwaitTasks sets the demand of all routers and waits until the resulting tasks have owners.
func (f *controlFleet) loadAndAwaitTasks(d hollow.Demand) error {
	if err := f.SetDemand(d); err != nil {
		return err
	}
	return f.AwaitTasks(planTasks+d.ColdDatabases, recoveryTimeout)
}

// takePeak returns the peak usage since the last call.
func (f *controlFleet) takePeak() hollow.Peak {
	p := f.TakePeak()
	for p.Processes == 0 { // less time has passed than between two samples of the processes
		time.Sleep(100 * time.Millisecond)
		p = f.TakePeak()
	}
	f.peak.RaiseTo(p)
	return p
}

// grow starts routers until the given number runs, and returns how long that took.
func (f *controlFleet) grow(from, to int) (hollow.Recovery, error) {
	if err := f.ResetConfirmed(); err != nil {
		return hollow.Recovery{}, err
	}
	start := boottime.Now()
	if _, err := f.StartRouters(numbers(from+1, to)); err != nil {
		return hollow.Recovery{}, err
	}
	r, err := f.awaitRecovery(start, planTasks)
	progress("%d routers: the last session was open after %.1f s, control had recovered after %.1f s", to, r.Confirmed, r.Settled)
	return r, err
}

// progress reports the progress of a run on standard error.
func progress(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "%s "+format+"\n", append([]any{time.Now().Format(time.TimeOnly)}, values...)...)
}

// awaitRecovery waits until control has recovered for all routers that run.
func (f *controlFleet) awaitRecovery(since float64, tasks int) (hollow.Recovery, error) {
	r, err := f.AwaitRecovery(since, f.Live(), tasks, recoveryTimeout)
	if err != nil {
		fmt.Fprintln(os.Stderr, f.Logs())
	}
	return r, err
}

func numbers(from, to int) (list []int) {
	for n := from; n <= to; n++ {
		list = append(list, n)
	}
	return list
}

// controlUsage is the usage over a measurement interval; rates are per second.
type controlUsage struct {
	leaderCore, followerCore         float64
	leaderMB, followerMB             float64
	leaderBytes, followerBytes       float64 // in and out, by read and write calls
	leaderDisk, followerDisk         float64 // bytes written
	leaderDescriptors                float64
	routerCore, routerMB             float64            // per router
	routerRequests, routerBytes      float64            // per router, on connections, including headers
	requestsByPath, bodyBytesByPath  map[string]float64 // per router
	grantedShares                    float64            // cold databases of which a router may use a granted share, mean over the routers
	grants, relinquished, lateGrants float64            // per second, all routers: grants made, shares relinquished, and grants that arrived after they had expired
	loadAverage                      float64            // of the machine: runnable processes, mean over the last minute
}

// measure returns what a fleet of the given number of routers uses over the given time.
func (f *controlFleet) measure(routers int, length time.Duration) (w controlUsage, err error) {
	report0, err := f.CollectReports()
	if err != nil {
		return w, err
	}
	usage0, err := f.Usage()
	if err != nil {
		return w, err
	}
	start := time.Now()
	time.Sleep(length) // the usage is a rate over this interval
	usage1, err := f.Usage()
	if err != nil {
		return w, err
	}
	elapsed := time.Since(start).Seconds()
	report1, err := f.CollectReports()
	if err != nil {
		return w, err
	}
	progress("measured %d routers over %.1f s", routers, elapsed)
	w.setCoordinators(usage0.Coordinators, usage1.Coordinators, elapsed)
	n := float64(routers)
	w.routerCore = (usage1.Routers.CPU - usage0.Routers.CPU) / elapsed / n
	w.routerMB = usage1.Routers.MemoryMB / n
	w.routerRequests = float64(report1.Requests-report0.Requests) / elapsed / n
	w.routerBytes = float64(report1.Bytes-report0.Bytes) / elapsed / n
	w.requestsByPath, w.bodyBytesByPath = map[string]float64{}, map[string]float64{}
	for path, traffic := range report1.ByPath {
		before := report0.ByPath[path]
		w.requestsByPath[path] = float64(traffic.Requests-before.Requests) / elapsed / n
		w.bodyBytesByPath[path] = float64(traffic.Bytes-before.Bytes) / elapsed / n
	}
	w.grantedShares = float64(report1.Shares) / n
	w.grants = float64(report1.Grants-report0.Grants) / elapsed
	w.relinquished = float64(report1.Relinquished-report0.Relinquished) / elapsed
	w.lateGrants = float64(report1.Late-report0.Late) / elapsed
	w.loadAverage = readLoadAverage()
	return w, nil
}

// readLoadAverage returns the mean number of runnable processes over the last minute, or NaN where the system does not report it.
func readLoadAverage() (load float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return math.NaN()
	}
	fmt.Sscan(string(text), &load)
	return load
}

// setCoordinators takes the busiest coordinator as the leader and sets the values of the followers to the mean of the others.
func (w *controlUsage) setCoordinators(before, after []hollow.Usage, elapsed float64) {
	busiest, mostCore := 0, math.Inf(-1)
	for n := range after {
		if used := after[n].CPU - before[n].CPU; used > mostCore {
			busiest, mostCore = n, used
		}
	}
	others := float64(len(after) - 1)
	for n, u := range after {
		core, bytes, disk := (u.CPU-before[n].CPU)/elapsed, (u.TransferredBytes-before[n].TransferredBytes)/elapsed, (u.WrittenBytes-before[n].WrittenBytes)/elapsed
		if n == busiest {
			w.leaderCore, w.leaderBytes, w.leaderDisk = core, bytes, disk
			w.leaderMB, w.leaderDescriptors = u.MemoryMB, float64(u.Descriptors)
			continue
		}
		w.followerCore, w.followerBytes, w.followerDisk = w.followerCore+core/others, w.followerBytes+bytes/others, w.followerDisk+disk/others
		w.followerMB += u.MemoryMB / others
	}
}

// limitRows returns the resource limits of the whole run and the findings of its auditor.
func (f *controlFleet) limitRows(name string) []measure.Row {
	f.takePeak()
	f.Audit.Check()
	for _, violation := range f.Audit.Violations {
		fmt.Fprintln(os.Stderr, violation)
	}
	return []measure.Row{
		measure.AtMost(name+": memory of all processes, GB", f.peak.MemoryMB/1024, hollow.MaxMemoryMB/1024),
		measure.AtMost(name+": processes", float64(f.peak.Processes), hollow.MaxProcesses),
		measure.Figure(name+": audited acts of owners", float64(f.Audit.Acts)),
		measure.AtMost(name+": stale decisions", float64(f.Audit.Stale), 0),
	}
}

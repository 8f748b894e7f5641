package hollow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"dunereach/fleet/coordinator"
	"dunereach/internal/boottime"
	"dunereach/internal/coordserver"

	"golang.org/x/sync/errgroup"
)

// Limits of one fleet on one machine, checked while it runs.
const (
	MaxMemoryMB  = 12 << 10
	MaxProcesses = 300
)

// Options configures a fleet.
type Options struct {
	CoordinatorProgram string // path of the coordinator program
	WorkerProgram      string // path of the program that runs Worker.Serve; started with WorkerArgs
	WorkerArgs         []string
	Folder             string // parent of the coordinators' data folders; must be used by this fleet only
	Coordinators       int
	Routers            int    // number of routers in the settings, and maximum number that run
	RoutersPerWorker   int    // routers per worker process
	Zones              []Zone // coordinators and routers are assigned to the zones round-robin
	Databases          int
	Lease              float64 // seconds
}

// Fleet runs a set of coordinators and the hollow routers that connect to them. Its methods must be called from one goroutine.
type Fleet struct {
	Audit *Auditor

	options      Options
	starter      *starter
	coordinators []*coordinatorProcess
	workers      []*workerProcess
	client       *coordserver.Client
	running      map[int]bool // numbers of the running routers
	sampler      *sampler
}

// coordinatorProcess is one coordinator, which may be stopped.
type coordinatorProcess struct {
	name          string
	zone          Zone
	published     string // address listed in the registry; the relay listens on it
	listenAddress string // address that the coordinator itself listens on
	sourceHost    string // source address of the coordinator's own requests
	folder        string
	cmd           *exec.Cmd    // nil while the coordinator is down
	pid           atomic.Int64 // process id of cmd, 0 while the coordinator is down
	log           tail
	relay         *relay
}

const coordinatorPort = 7000

// New starts a fleet and waits until a coordinator leads. No router runs yet.
func New(o Options) (*Fleet, error) {
	f := &Fleet{Audit: NewAuditor(), options: o, starter: newStarter(), running: map[int]bool{}}
	if err := f.build(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) build() error {
	if err := f.initCoordinators(); err != nil {
		return err
	}
	var published []string
	route := map[string]string{}
	for _, c := range f.coordinators {
		published = append(published, c.published)
		route[c.published] = c.listenAddress
		if err := f.startCoordinator(c); err != nil {
			return err
		}
	}
	network := NewNetwork(route) // the fleet's own requests bypass the relays, as the routers' requests do
	f.client = coordserver.NewClientWithDial(published, network.Dial(""))
	for range (f.options.Routers + f.options.RoutersPerWorker - 1) / f.options.RoutersPerWorker {
		w, err := startWorker(f.starter, f.options.WorkerProgram, f.options.WorkerArgs...)
		if err != nil {
			return err
		}
		f.workers = append(f.workers, w)
	}
	f.sampler = newSampler(f)
	setup := &Setup{Coordinators: published, Route: route, Routers: f.options.Routers, Zones: f.options.Zones, Databases: f.options.Databases}
	if _, err := f.sendAll(Command{Action: Configure, Setup: setup}); err != nil {
		return err
	}
	const timeout = 20 * time.Second // all coordinators must connect before a new registry elects a leader
	return f.await(timeout, "waiting for a leading coordinator", func() (bool, error) { return f.Leader() >= 0, nil })
}

func (f *Fleet) initCoordinators() error {
	network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256))
	var spec []string
	for n := range f.options.Coordinators {
		c := &coordinatorProcess{name: fmt.Sprint("c", n+1), zone: f.options.Zones[n%len(f.options.Zones)], sourceHost: fmt.Sprint(network, 11+n)}
		c.folder = filepath.Join(f.options.Folder, c.name)
		c.published = fmt.Sprintf("%s%d:%d", network, 101+n, coordinatorPort)
		c.listenAddress = fmt.Sprintf("%s:%d", c.sourceHost, coordinatorPort)
		var err error
		if c.relay, err = newRelay(c.published, c.listenAddress); err != nil {
			return err
		}
		f.coordinators = append(f.coordinators, c)
		spec = append(spec, fmt.Sprintf("%s=%s@%s", c.name, c.published, c.zone.Name))
	}
	token := ""
	for _, c := range f.coordinators {
		id, err := coordserver.Init(c.folder, c.name, strings.Join(spec, ","), token, f.options.Lease, 0.05)
		if err != nil {
			return err
		}
		token = id.Token
	}
	return nil
}

func (f *Fleet) startCoordinator(c *coordinatorProcess) error {
	cmd := exec.Command(f.options.CoordinatorProgram, "run", c.folder, "--listen", c.listenAddress, "--from", c.sourceHost)
	cmd.Stderr = &c.log
	if err := f.starter.start(cmd); err != nil {
		return err
	}
	c.cmd = cmd
	c.pid.Store(int64(cmd.Process.Pid))
	return nil
}

// Close kills all processes.
func (f *Fleet) Close() {
	if f.sampler != nil {
		f.sampler.close()
	}
	for _, w := range f.workers {
		w.close()
	}
	for n, c := range f.coordinators {
		f.KillCoordinator(n)
		c.relay.close()
	}
	if f.client != nil {
		f.client.Close()
	}
	f.starter.close()
}

// Leader returns the number of the leading coordinator, or -1 if none reports that it leads.
func (f *Fleet) Leader() int {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	leader, leadingFor := -1, 0.0
	for n, status := range f.statuses(ctx) {
		if status != nil && status.LeaderFor > 0 && (leader < 0 || status.LeaderFor < leadingFor) { // if two claim to lead, take the more recent leader
			leader, leadingFor = n, status.LeaderFor
		}
	}
	return leader
}

func (f *Fleet) statuses(ctx context.Context) []*coordinator.Status {
	addresses := make([]string, len(f.coordinators))
	for n, c := range f.coordinators {
		addresses[n] = c.published
	}
	return f.client.Statuses(ctx, addresses)
}

// Registry returns the current registry from the coordinators.
func (f *Fleet) Registry() (p coordserver.RegistrySnapshot, err error) {
	const timeout = 3 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = f.client.Call(ctx, "/v1/record", nil, &p)
	return p, err
}

// sendAll sends the same command to all workers. It returns the sum of their reports and passes their acts to the auditor.
func (f *Fleet) sendAll(c Command) (Report, error) {
	return f.sendEach(func(int) Command { return c })
}

// sendEach sends each worker its own command, in parallel, and handles the reports as sendAll does.
func (f *Fleet) sendEach(command func(worker int) Command) (sum Report, err error) {
	var group errgroup.Group
	reports := make([]Report, len(f.workers))
	for n, w := range f.workers {
		group.Go(func() (err error) {
			if reports[n], err = w.do(command(n)); err != nil {
				return fmt.Errorf("%w: %s", err, w.log.String())
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return sum, err
	}
	for _, r := range reports {
		sum.Add(r)
	}
	f.Audit.Add(sum.Acts)
	sum.Acts = nil
	if sum.Unseen > 0 {
		return sum, fmt.Errorf("%d acts were dropped before they reached the auditor", sum.Unseen)
	}
	return sum, f.sampler.err()
}

// sendTo sends a command for the given routers to the workers that run them, and records whether these routers run from now on.
func (f *Fleet) sendTo(action Action, numbers []int, start bool) (Report, error) {
	byWorker := make([][]int, len(f.workers))
	for _, number := range numbers {
		worker := (number - 1) / f.options.RoutersPerWorker
		byWorker[worker] = append(byWorker[worker], number)
		if start {
			f.running[number] = true
		} else {
			delete(f.running, number)
		}
	}
	return f.sendEach(func(worker int) Command { return Command{Action: action, Routers: byWorker[worker]} })
}

// StartRouters starts routers with these numbers, each as a new incarnation.
func (f *Fleet) StartRouters(numbers []int) (Report, error) { return f.sendTo(Start, numbers, true) }

// CrashRouters ends these routers without closing their sessions.
func (f *Fleet) CrashRouters(numbers []int) (Report, error) { return f.sendTo(Crash, numbers, false) }

// StopRouters shuts these routers down, closing their sessions.
func (f *Fleet) StopRouters(numbers []int) (Report, error) { return f.sendTo(Stop, numbers, false) }

// SetDemand sets the demand of all routers from now on.
func (f *Fleet) SetDemand(d Demand) error {
	_, err := f.sendAll(Command{Action: SetDemand, Demand: &d})
	return err
}

// ResetConfirmed resets the confirmations: only those from now on count for Report.Confirmed.
func (f *Fleet) ResetConfirmed() error {
	_, err := f.sendAll(Command{Action: ResetConfirmed})
	return err
}

// CollectReports collects the reports of all routers.
func (f *Fleet) CollectReports() (Report, error) { return f.sendAll(Command{Action: CollectReports}) }

// KillCoordinator kills coordinator n without a shutdown, as a power loss would.
func (f *Fleet) KillCoordinator(n int) {
	c := f.coordinators[n]
	if c.cmd == nil {
		return
	}
	c.pid.Store(0)
	c.cmd.Process.Kill()
	c.cmd.Wait()
	c.cmd = nil
}

// StartCoordinator restarts coordinator n on its existing data folder if it is down.
func (f *Fleet) StartCoordinator(n int) error {
	if f.coordinators[n].cmd != nil {
		return nil
	}
	return f.startCoordinator(f.coordinators[n])
}

// Coordinators returns the numbers of all coordinators.
func (f *Fleet) Coordinators() (all []int) {
	for n := range f.coordinators {
		all = append(all, n)
	}
	return all
}

// CoordinatorsOf returns the numbers of a region's coordinators.
func (f *Fleet) CoordinatorsOf(region string) (all []int) {
	for n, c := range f.coordinators {
		if c.zone.Region == region {
			all = append(all, n)
		}
	}
	return all
}

// ZoneOf returns the zone of a router.
func (f *Fleet) ZoneOf(router int) Zone { return f.options.Zones[(router-1)%len(f.options.Zones)] }

// CutRegion cuts all links between a region and the other regions.
func (f *Fleet) CutRegion(region string) error {
	var inside, outside []string
	for _, c := range f.coordinators {
		if c.zone.Region == region {
			inside = append(inside, c.sourceHost)
		} else {
			outside = append(outside, c.sourceHost)
		}
	}
	for _, c := range f.coordinators {
		if c.zone.Region == region {
			c.relay.cutFrom(outside)
		} else {
			c.relay.cutFrom(inside)
		}
	}
	for _, zone := range f.options.Zones {
		var far []string
		for _, c := range f.coordinators {
			if (c.zone.Region == region) != (zone.Region == region) {
				far = append(far, c.published)
			}
		}
		if _, err := f.sendAll(Command{Action: Cut, Region: zone.Region, Addresses: far}); err != nil {
			return err
		}
	}
	return nil
}

// Heal restores all links.
func (f *Fleet) Heal() error {
	for _, c := range f.coordinators {
		c.relay.heal()
	}
	_, err := f.sendAll(Command{Action: Heal})
	return err
}

// Logs returns the last log lines of all coordinators.
func (f *Fleet) Logs() string {
	var all strings.Builder
	for _, c := range f.coordinators {
		fmt.Fprintf(&all, "%s: %s\n", c.name, c.log.String())
	}
	return all.String()
}

var errTimeout = errors.New("timed out")

const pollInterval = 200 * time.Millisecond

// await polls the condition until it holds, returns an error or the timeout passes.
func (f *Fleet) await(timeout time.Duration, goal string, condition func() (bool, error)) error {
	for end := time.Now().Add(timeout); ; {
		done, err := condition()
		if done || err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s: %w: %v", goal, errTimeout, timeout)
		}
		time.Sleep(pollInterval)
	}
}

// Recovery is the time that the control plane took to recover from a fault, in seconds.
type Recovery struct {
	Confirmed float64 // until the last router's session was confirmed
	Settled   float64 // until in addition no session of an ended router was left and every requested task had a running owner
	Report    Report
}

// AwaitRecovery waits until the control plane has recovered: the sessions of the given number of routers have been confirmed since the last
// ResetConfirmed, the registry contains no other sessions, and the given number of tasks are owned.
func (f *Fleet) AwaitRecovery(since float64, routers, tasks int, timeout time.Duration) (r Recovery, err error) {
	confirmed := false
	var registry coordserver.RegistrySnapshot
	err = f.await(timeout, "waiting for the control plane to recover", func() (bool, error) {
		if !confirmed {
			report, err := f.CollectReports()
			if err != nil {
				return false, err
			}
			r.Report = report
			if confirmed = report.Confirmed >= routers; !confirmed {
				return false, nil
			}
			r.Confirmed = report.Last - since
		}
		p, err := f.Registry()
		if err != nil {
			return false, nil // no coordinator has answered yet
		}
		registry = p
		r.Settled = boottime.Now() - since
		return len(p.Sessions) == routers && len(p.Owners) >= tasks, nil
	})
	if err != nil {
		err = fmt.Errorf("%w; %d of %d routers confirmed, %d sessions, %d of %d tasks owned", err, r.Report.Confirmed, routers,
			len(registry.Sessions), len(registry.Owners), tasks)
	}
	return r, err
}

// AwaitTasks waits until exactly the given number of tasks are owned.
func (f *Fleet) AwaitTasks(tasks int, timeout time.Duration) error {
	owned := 0
	err := f.await(timeout, "waiting for task owners", func() (bool, error) {
		p, err := f.Registry()
		owned = len(p.Owners)
		return err == nil && owned == tasks, nil
	})
	if err != nil {
		return fmt.Errorf("%w; %d tasks owned instead of %d", err, owned, tasks)
	}
	return nil
}

// Live returns the number of running routers.
func (f *Fleet) Live() int { return len(f.running) }

// FolderBytes returns the total size of the files in a coordinator's data folder.
func (f *Fleet) FolderBytes(n int) (sum float64) {
	entries, _ := os.ReadDir(f.coordinators[n].folder)
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			sum += float64(info.Size())
		}
	}
	return sum
}

func (f *Fleet) coordinatorPIDs() (all []int) {
	for _, c := range f.coordinators {
		if pid := int(c.pid.Load()); pid > 0 {
			all = append(all, pid)
		}
	}
	return all
}

// FleetUsage is the resource usage of the fleet's processes so far.
type FleetUsage struct {
	Coordinators []Usage // by number; zero for one that is down
	Routers      Usage   // sum over all worker processes
}

// Usage returns the resource usage of all processes so far.
func (f *Fleet) Usage() (u FleetUsage, err error) {
	u.Coordinators = make([]Usage, len(f.coordinators))
	for n, c := range f.coordinators {
		if pid := int(c.pid.Load()); pid > 0 {
			if u.Coordinators[n], err = usageOf(pid); err != nil {
				return u, err
			}
		}
	}
	for _, w := range f.workers {
		one, err := usageOf(w.cmd.Process.Pid)
		if err != nil {
			return u, err
		}
		u.Routers.add(one)
	}
	return u, nil
}

package faultrig

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunereach/emulator/scenario"
	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
	"dunereach/internal/coordserver"
	"dunereach/internal/fake"

	"golang.org/x/sys/unix"
)

// Rig is one fleet of processes, whose programs are in one folder. The name server and the servers are fakes in this
// process, outside the fleet. There are no faults in links to the name server, and in links to the servers only with
// Options.LinkFaults.
type Rig struct {
	file             scenario.File
	options          Options
	hung             []atomic.Bool  // servers that do not answer
	paceChanges      []chan float64 // changes of speed, by model server
	bin              string
	dir              string
	addressPrefix    string // "127.a.b."
	procs            map[string]*process
	routerLists      []*routerList
	proxies          map[string]*proxy // by coordinator, and by router and server
	fakes            *fake.Standalone
	nameServer       *fake.NameServer
	serverAddrs      []string // addresses of the servers
	serversStartedMs int64
	serverList       []string
	audit            *audit
	lastOwner        string
	startedAt        time.Time
	log              func(string)
	registryToken    string
	startRequests    chan func()
	GenerateLoad     bool // run clients that send requests all the time
	stop             chan struct{}
	clients          sync.WaitGroup
}

// process is one process of the fleet.
type process struct {
	name, zone   string
	addr         string
	folder       string
	args         []string
	env          []string
	run          int
	cmd          *exec.Cmd
	exited       chan struct{}
	running      bool
	stopped      bool
	exitExpected bool     // it is expected to exit by itself
	tail         []string // the last lines of its log
}

// cores of each server by the settings of the routers.
const cores = 8

// Plan returns the fleet's plan from the registry.
func (r *Rig) Plan() (p failover.PublishedPlan, err error) {
	c := coordserver.NewClient(r.coordinatorAddrs(), "")
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var picture coordserver.RegistrySnapshot
	if err := c.Call(ctx, "/v1/record", nil, &picture); err != nil {
		return p, err
	}
	for _, w := range picture.Tasks {
		if w.Name == agent.PlanTask && len(w.Annotation) > 0 {
			return p, json.Unmarshal(w.Annotation, &p)
		}
	}
	return p, errors.New("the registry has no plan")
}

// Start starts all processes, coordinators first, and the clients if there is load.
func (r *Rig) Start() error {
	for _, name := range r.processNames() {
		if err := r.start(r.procs[name]); err != nil {
			return err
		}
	}
	if r.GenerateLoad {
		for n := range r.file.Routers {
			clientCount := 1
			if r.options.Clients != nil {
				clientCount = r.options.Clients[n]
			}
			for k := range clientCount {
				r.clients.Go(func() { r.runClient(n, k) })
			}
		}
	}
	return nil
}

// StartOnly starts only some of the processes.
func (r *Rig) StartOnly(names ...string) error {
	for _, name := range names {
		if err := r.start(r.procs[name]); err != nil {
			return err
		}
	}
	return nil
}

// CoordinatorAddrs returns the coordinators' addresses as all processes use them.
func (r *Rig) CoordinatorAddrs() []string { return r.coordinatorAddrs() }

// Figures returns the results so far, with all violations.
func (r *Rig) Figures() Figures { return r.audit.figures() }

// Await waits for the condition of a scenario's event: "owned", "dealt", "moved" (since Do) or "lost".
func (r *Rig) Await(what string) error { return r.waitFor(what) }

// RememberOwner remembers and returns the current owner of the first task, so that Await can wait for another one.
func (r *Rig) RememberOwner() string {
	r.lastOwner = r.Owner()
	return r.lastOwner
}

// CPU returns the processor time in seconds that a process has used, and its resident memory in MB.
func (r *Rig) CPU(name string) (seconds, memory float64, err error) {
	return Usage(r.procs[name].cmd.Process.Pid)
}

// Usage returns the processor time of a process in seconds and its resident memory in MB.
func Usage(pid int) (seconds, memory float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, errors.New("unexpected format of /proc/PID/stat")
	}
	var user, system, pages float64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	fmt.Sscan(fields[21], &pages)
	const hertz = 100 // USER_HZ, the same on every Linux that Go runs on
	return (user + system) / hertz, pages * float64(os.Getpagesize()) / (1 << 20), nil
}

// processNames returns the names of all processes, coordinators first.
func (r *Rig) processNames() (names []string) {
	for n := range r.file.Coordinators {
		names = append(names, fmt.Sprint("k", n+1))
	}
	for n := range r.file.Routers {
		names = append(names, fmt.Sprint("n", n+1))
	}
	return names
}

// start starts a process and follows its log.
func (r *Rig) start(p *process) error {
	p.cmd = exec.Command(filepath.Join(r.bin, p.args[0]), p.args[1:]...)
	p.cmd.Env = p.env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the rig
	out, err := p.cmd.StderrPipe()
	if err == nil {
		done := make(chan error)
		r.startRequests <- func() { done <- p.cmd.Start() }
		err = <-done
	}
	if err != nil {
		return err
	}
	p.run++
	p.exitExpected = false
	p.running, p.stopped, p.exited = true, false, make(chan struct{})
	r.audit.processStarted(p)
	go func(cmd *exec.Cmd, run int, exited chan struct{}) {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			r.audit.logLine(p, run, lines.Bytes())
		}
		cmd.Wait()
		r.audit.processExited(p, run, cmd.ProcessState.ExitCode())
		close(exited)
	}(p.cmd, p.run, p.exited)
	return nil
}

// Close ends everything that was started.
func (r *Rig) Close() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	for _, p := range r.procs {
		if p.running {
			p.cmd.Process.Kill()
		}
	}
	for _, p := range r.procs {
		if p.exited != nil {
			<-p.exited
		}
	}
	r.clients.Wait()
	close(r.startRequests)
	for _, l := range r.proxies {
		l.close()
	}
	r.fakes.RunCleanups()
}

// Do applies a fault or an action to one process.
func (r *Rig) Do(action, name string) error {
	p := r.procs[name]
	switch action {
	case "stop":
		if p.running {
			p.stopped = true
			return p.cmd.Process.Signal(syscall.SIGSTOP)
		}
	case "continue":
		if p.running && p.stopped {
			p.stopped = false
			return p.cmd.Process.Signal(syscall.SIGCONT)
		}
	case "kill":
		if p.running {
			r.audit.markOwnerLost(p)
			p.cmd.Process.Kill()
			<-p.exited
			p.running, p.stopped = false, false
			r.audit.processGone(p)
		}
	case "end":
		if p.running {
			r.audit.markOwnerLost(p)
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.cmd.Process.Signal(syscall.SIGCONT) // a stopped process handles the signal only when it continues
			p.stopped = false
			exited := p.exited
			go func() {
				<-exited
				r.audit.processGone(p)
			}()
			p.running = false
		}
	case "start":
		if !p.running {
			if p.exited != nil {
				<-p.exited
			}
			return r.start(p)
		}
	case "full":
		if p.running {
			p.exitExpected = true // it is expected to exit by itself
			return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: 4096}, nil)
		}
	case "release":
		task := r.audit.firstTask()
		out, err := exec.Command(filepath.Join(r.bin, "dunefleet"), "fleet", "release", task, "--keepers", strings.Join(r.coordinatorAddrs(), ",")).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%v: %s", err, out)
		}
	case "wipe":
		folder := p.folder
		if strings.HasPrefix(name, "n") {
			folder = filepath.Join(p.folder, "state")
		}
		return os.RemoveAll(folder)
	}
	return nil
}

// InjectLinkFault injects a fault into the direction between two processes, one of which is a coordinator or a server.
func (r *Rig) InjectLinkFault(fault, from, to string, seconds float64) {
	m, until := cut, time.Time{}
	if fault == "hold" {
		m, until = hold, time.Now().Add(time.Duration(seconds*1e9))
	}
	for _, pair := range [][2]string{{from, to}, {to, from}} { // a router and a server
		if l := r.proxies[pair[0]+" "+pair[1]]; l != nil {
			l.set(from, to, m, until, 0)
		}
	}
	if l := r.proxies[to]; l != nil { // connections from one to the other
		l.set(from, to, m, until, 0)
	}
	if l := r.proxies[from]; l != nil { // answers on connections that the other one opened
		l.set(from, to, m, until, 0)
	}
}

// coordinatorAddrs returns the addresses of the coordinators.
func (r *Rig) coordinatorAddrs() (addrs []string) {
	for n := range r.file.Coordinators {
		addrs = append(addrs, r.procs[fmt.Sprint("k", n+1)].addr)
	}
	return addrs
}

// CutServers cuts the servers of a zone (from 1) off from all routers, or from the routers (from 0) that from selects.
func (r *Rig) CutServers(zone int, from func(router int) bool) {
	for e := range r.file.Servers {
		if e%r.file.Zones != zone-1 {
			continue
		}
		for n := range r.file.Routers {
			if from == nil || from(n) {
				a, b := fmt.Sprint("n", n+1), fmt.Sprint("e", e+1)
				r.InjectLinkFault("cut", a, b, 0)
				r.InjectLinkFault("cut", b, a, 0)
			}
		}
	}
}

// SetZonePace sets the speed of a zone's model servers (zones from 1), as a factor of their configured speed.
func (r *Rig) SetZonePace(zone int, factor float64) {
	for e, pace := range r.paceChanges {
		if e%r.file.Zones == zone-1 {
			pace <- factor
		}
	}
}

// ZoneAttempts returns how many statements the servers of a zone (from 1) have received.
func (r *Rig) ZoneAttempts(zone int) (n int) {
	for e := range r.file.Servers {
		if e%r.file.Zones == zone-1 {
			k, _ := r.Attempts(e)
			n += k
		}
	}
	return n
}

// SetHung makes a server stop answering, or answer again.
func (r *Rig) SetHung(engine int, on bool) { r.hung[engine].Store(on) }

// Attempts returns how many attempts a server has received, and how many attempts at all servers had the lowest
// priority level.
func (r *Rig) Attempts(engine int) (sends, lowestLevel int) {
	r.audit.mu.Lock()
	defer r.audit.mu.Unlock()
	return r.audit.attemptsByServer[engine], r.audit.lowestLevel
}

// Heal ends the faults of all links.
func (r *Rig) Heal() {
	for _, l := range r.proxies {
		l.heal()
	}
}

// status returns the status that a coordinator reports, requested without the proxies.
func (r *Rig) status(name string) (s coordinator.Status, err error) {
	p := r.procs[name]
	if !p.running || p.stopped {
		return s, errors.New("down")
	}
	c := &http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get("http://" + p.args[4] + "/v1/status")
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Leader returns the coordinator that reports itself as leader, in the newest term.
func (r *Rig) Leader() string {
	name, term := "", uint64(0)
	for n := range r.file.Coordinators {
		k := fmt.Sprint("k", n+1)
		if s, err := r.status(k); err == nil && s.LeaderFor > 0 && s.Term > term {
			name, term = k, s.Term
		}
	}
	return name
}

// Owner returns the owner of the first task: the process that acted on it last, if that was recent.
func (r *Rig) Owner() string { return r.audit.ownerOf(0) }

// logf logs a message with the time since the start of the rig.
func (r *Rig) logf(format string, args ...any) {
	r.log(fmt.Sprintf("%7.3f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...))
}

// LastLogged returns the fields of the last line with a message among the latest lines of a process's log, nil if there
// is none, and the number of such lines.
func (r *Rig) LastLogged(name, message string) (fields map[string]any, count int) {
	for _, line := range r.audit.tail(r.procs[name]) {
		var f map[string]any
		if json.Unmarshal([]byte(line), &f) == nil && f["msg"] == message {
			fields = f
			count++
		}
	}
	return fields, count
}

// Folder returns the folder of a process.
func (r *Rig) Folder(name string) string { return r.procs[name].folder }

// LogTails returns the last lines of each process's log, for the report of a failed run.
func (r *Rig) LogTails() string {
	var b bytes.Buffer
	for _, name := range r.processNames() {
		fmt.Fprintf(&b, "--- %s\n%s\n", name, strings.Join(r.audit.tail(r.procs[name]), "\n"))
	}
	return b.String()
}

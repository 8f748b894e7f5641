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

// Rig is one fleet of processes. Programs are those of one folder. Name server and engines are stand-ins in this process, which
// is outside the fleet; their links are not put under faults.
type Rig struct {
	file             scenario.File
	options          Options
	hung             []atomic.Bool  // engines that answer nothing
	paceChanges      []chan float64 // of model engines
	bin              string
	dir              string
	addressPrefix    string // "127.a.b."
	procs            map[string]*process
	routerLists      []*routerList
	proxies          map[string]*proxy // before each keeper
	fakes            *fake.Desk
	nameServer       *fake.NameServer
	serverAddrs      []string // their addresses
	serversStartedMs int64
	serverList       []string
	audit            *audit
	lastOwner        string
	startedAt        time.Time
	log              func(string)
	registryToken    string
	startRequests    chan func()
	Load             bool // clients ask all the time
	stop             chan struct{}
	clients          sync.WaitGroup
}

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
	exitExpected bool     // it is expected to end by itself
	tail         []string // last lines of its log
}

const cores = 8

// Plan is the fleet's plan as the record has it.
func (r *Rig) Plan() (p failover.PublishedPlan, err error) {
	c := coordserver.NewClient(r.coordinatorAddrs(), "")
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var picture coordserver.Picture
	if err := c.Call(ctx, "/v1/record", nil, &picture); err != nil {
		return p, err
	}
	for _, w := range picture.Works {
		if w.Name == agent.PlanTask && len(w.Annotation) > 0 {
			return p, json.Unmarshal(w.Annotation, &p)
		}
	}
	return p, errors.New("there is no plan")
}

// Start all processes, keepers first.
func (r *Rig) Start() error {
	for _, name := range r.processNames() {
		if err := r.start(r.procs[name]); err != nil {
			return err
		}
	}
	if r.Load {
		for n := range r.file.Routers {
			many := 1
			if r.options.Clients != nil {
				many = r.options.Clients[n]
			}
			for k := range many {
				r.clients.Go(func() { r.runClient(n, k) })
			}
		}
	}
	return nil
}

// Begin some of the processes only.
func (r *Rig) Begin(names ...string) error {
	for _, name := range names {
		if err := r.start(r.procs[name]); err != nil {
			return err
		}
	}
	return nil
}

// Fronts are the keepers' addresses as all know them.
func (r *Rig) Fronts() []string { return r.coordinatorAddrs() }

// Figures so far, and what was wrong.
func (r *Rig) Figures() Figures { return r.audit.figures() }

// Await what an event of a script would wait for: "owned", "dealt", "moved" (since Do) or "lost".
func (r *Rig) Await(what string) error { return r.waitFor(what) }

// Note who owns the first work now, for what is waited for next.
func (r *Rig) Note() string {
	r.lastOwner = r.Owner()
	return r.lastOwner
}

// CPU is the processor time, in seconds, that a process has used, and its memory at rest in MB.
func (r *Rig) CPU(name string) (seconds, memory float64, err error) {
	return Usage(r.procs[name].cmd.Process.Pid)
}

// Usage of a process: processor time in seconds, and memory in MB.
func Usage(pid int) (seconds, memory float64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 22 {
		return 0, 0, errors.New("a line of /proc that can't be read")
	}
	var user, system, pages float64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	fmt.Sscan(fields[21], &pages)
	const hertz = 100 // USER_HZ, the same on every Linux that Go runs on
	return (user + system) / hertz, pages * float64(os.Getpagesize()) / (1 << 20), nil
}

func (r *Rig) processNames() (names []string) {
	for n := range r.file.Keepers {
		names = append(names, fmt.Sprint("k", n+1))
	}
	for n := range r.file.Routers {
		names = append(names, fmt.Sprint("n", n+1))
	}
	return names
}

func (r *Rig) start(p *process) error {
	p.cmd = exec.Command(filepath.Join(r.bin, p.args[0]), p.args[1:]...)
	p.cmd.Env = p.env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the rig
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
	r.fakes.End()
}

// Do something to one process.
func (r *Rig) Do(what, name string) error {
	p := r.procs[name]
	switch what {
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
			p.cmd.Process.Signal(syscall.SIGCONT) // one that is stopped hears it when it goes on
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
			p.exitExpected = true // it is to end by itself
			return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: 4096}, nil)
		}
	case "release":
		work := r.audit.firstTask()
		out, err := exec.Command(filepath.Join(r.bin, "dunefleet"), "fleet", "release", work, "--keepers", strings.Join(r.coordinatorAddrs(), ",")).CombinedOutput()
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

// Link between two processes, one of which is a keeper.
func (r *Rig) Link(do, from, to string, seconds float64) {
	m, until := cut, time.Time{}
	if do == "hold" {
		m, until = hold, time.Now().Add(time.Duration(seconds*1e9))
	}
	for _, pair := range [][2]string{{from, to}, {to, from}} { // a router and an engine
		if l := r.proxies[pair[0]+" "+pair[1]]; l != nil {
			l.set(from, to, m, until, 0)
		}
	}
	if l := r.proxies[to]; l != nil { // a call from one to the other, and what is said on it
		l.set(from, to, m, until, 0)
	}
	if l := r.proxies[from]; l != nil { // answers on calls that the other made
		l.set(from, to, m, until, 0)
	}
}

func (r *Rig) coordinatorAddrs() (addrs []string) {
	for n := range r.file.Keepers {
		addrs = append(addrs, r.procs[fmt.Sprint("k", n+1)].addr)
	}
	return addrs
}

// CutEngines of a zone (from 1) off from all routers, or from those (from 0) that from names.
func (r *Rig) CutEngines(zone int, from func(router int) bool) {
	for e := range r.file.Engines {
		if e%r.file.Zones != zone-1 {
			continue
		}
		for n := range r.file.Routers {
			if from == nil || from(n) {
				a, b := fmt.Sprint("n", n+1), fmt.Sprint("e", e+1)
				r.Link("cut", a, b, 0)
				r.Link("cut", b, a, 0)
			}
		}
	}
}

// Pace of a zone's model engines (from 1), as a factor on what they were set.
func (r *Rig) Pace(zone int, factor float64) {
	for e, pace := range r.paceChanges {
		if e%r.file.Zones == zone-1 {
			pace <- factor
		}
	}
}

// ZoneSent is how many statements engines of a zone (from 1) were sent.
func (r *Rig) ZoneSent(zone int) (n int) {
	for e := range r.file.Engines {
		if e%r.file.Zones == zone-1 {
			k, _ := r.Sent(e)
			n += k
		}
	}
	return n
}

// Hang has an engine answer nothing, or answer again.
func (r *Rig) Hang(engine int, on bool) { r.hung[engine].Store(on) }

// Sent is how many sends an engine got so far, and how many of all engines' had the lowest level.
func (r *Rig) Sent(engine int) (sends, lowestLevel int) {
	r.audit.mu.Lock()
	defer r.audit.mu.Unlock()
	return r.audit.attemptsByServer[engine], r.audit.lowestLevel
}

// Heal all links.
func (r *Rig) Heal() {
	for _, l := range r.proxies {
		l.heal()
	}
}

// status of a keeper by its own word, past the links.
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

// Leader is the keeper that leads by its own word and newest term.
func (r *Rig) Leader() string {
	name, term := "", uint64(0)
	for n := range r.file.Keepers {
		k := fmt.Sprint("k", n+1)
		if s, err := r.status(k); err == nil && s.LeaderFor > 0 && s.Term > term {
			name, term = k, s.Term
		}
	}
	return name
}

// Owner of the first work: who acted on it last, if that was of late.
func (r *Rig) Owner() string { return r.audit.ownerOf(0) }

func (r *Rig) logf(format string, args ...any) {
	r.log(fmt.Sprintf("%7.3f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...))
}

// Said is the last line of a process's log with that message, as its fields; nil: there is none among the last.
func (r *Rig) Said(name, message string) (fields map[string]any, count int) {
	for _, line := range r.audit.tail(r.procs[name]) {
		var f map[string]any
		if json.Unmarshal([]byte(line), &f) == nil && f["msg"] == message {
			fields = f
			count++
		}
	}
	return fields, count
}

// Folder of a process.
func (r *Rig) Folder(name string) string { return r.procs[name].folder }

// Tail is the last lines of each process's log, for a run that failed.
func (r *Rig) Tail() string {
	var b bytes.Buffer
	for _, name := range r.processNames() {
		fmt.Fprintf(&b, "--- %s\n%s\n", name, strings.Join(r.audit.tail(r.procs[name]), "\n"))
	}
	return b.String()
}

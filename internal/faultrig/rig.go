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
	file    scenario.File
	o       Options
	hung    []atomic.Bool  // engines that answer nothing
	paces   []chan float64 // of model engines
	bin     string
	dir     string
	net     string // "127.a.b."
	procs   map[string]*proc
	lists   []*ownList
	links   map[string]*links // before each keeper
	desk    *fake.Desk
	names   *fake.NameServer
	engines []string // their addresses
	boot    int64
	list    []string
	audit   *audit
	last    string
	began   time.Time
	log     func(string)
	token   string
	starts  chan func()
	Load    bool // clients ask all the time
	stop    chan struct{}
	calls   sync.WaitGroup
}

type proc struct {
	name, zone string
	addr       string
	folder     string
	args       []string
	env        []string
	life       int
	cmd        *exec.Cmd
	ended      chan struct{}
	up         bool
	stopped    bool
	fails      bool     // it is expected to end by itself
	tail       []string // last lines of its log
}

const cores = 8

// Plan is the fleet's plan as the record has it.
func (r *Rig) Plan() (p failover.PublishedPlan, err error) {
	c := coordserver.NewClient(r.fronts(), "")
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
	for _, name := range r.all() {
		if err := r.start(r.procs[name]); err != nil {
			return err
		}
	}
	if r.Load {
		for n := range r.file.Routers {
			many := 1
			if r.o.Clients != nil {
				many = r.o.Clients[n]
			}
			for k := range many {
				r.calls.Go(func() { r.client(n, k) })
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
func (r *Rig) Fronts() []string { return r.fronts() }

// Figures so far, and what was wrong.
func (r *Rig) Figures() Figures { return r.audit.figures() }

// Await what an event of a script would wait for: "owned", "dealt", "moved" (since Do) or "lost".
func (r *Rig) Await(what string) error { return r.wait(what) }

// Note who owns the first work now, for what is waited for next.
func (r *Rig) Note() string {
	r.last = r.Owner()
	return r.last
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

func (r *Rig) all() (names []string) {
	for n := range r.file.Keepers {
		names = append(names, fmt.Sprint("k", n+1))
	}
	for n := range r.file.Routers {
		names = append(names, fmt.Sprint("n", n+1))
	}
	return names
}

func (r *Rig) start(p *proc) error {
	p.cmd = exec.Command(filepath.Join(r.bin, p.args[0]), p.args[1:]...)
	p.cmd.Env = p.env
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the rig
	out, err := p.cmd.StderrPipe()
	if err == nil {
		done := make(chan error)
		r.starts <- func() { done <- p.cmd.Start() }
		err = <-done
	}
	if err != nil {
		return err
	}
	p.life++
	p.fails = false
	p.up, p.stopped, p.ended = true, false, make(chan struct{})
	r.audit.started(p)
	go func(cmd *exec.Cmd, life int, ended chan struct{}) {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			r.audit.line(p, life, lines.Bytes())
		}
		cmd.Wait()
		r.audit.endedProc(p, life, cmd.ProcessState.ExitCode())
		close(ended)
	}(p.cmd, p.life, p.ended)
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
		if p.up {
			p.cmd.Process.Kill()
		}
	}
	for _, p := range r.procs {
		if p.ended != nil {
			<-p.ended
		}
	}
	r.calls.Wait()
	close(r.starts)
	for _, l := range r.links {
		l.close()
	}
	r.desk.End()
}

// Do something to one process.
func (r *Rig) Do(what, name string) error {
	p := r.procs[name]
	switch what {
	case "stop":
		if p.up {
			p.stopped = true
			return p.cmd.Process.Signal(syscall.SIGSTOP)
		}
	case "continue":
		if p.up && p.stopped {
			p.stopped = false
			return p.cmd.Process.Signal(syscall.SIGCONT)
		}
	case "kill":
		if p.up {
			r.audit.takenAway(p)
			p.cmd.Process.Kill()
			<-p.ended
			p.up, p.stopped = false, false
			r.audit.gone(p)
		}
	case "end":
		if p.up {
			r.audit.takenAway(p)
			p.cmd.Process.Signal(syscall.SIGTERM)
			p.cmd.Process.Signal(syscall.SIGCONT) // one that is stopped hears it when it goes on
			p.stopped = false
			ended := p.ended
			go func() {
				<-ended
				r.audit.gone(p)
			}()
			p.up = false
		}
	case "start":
		if !p.up {
			if p.ended != nil {
				<-p.ended
			}
			return r.start(p)
		}
	case "full":
		if p.up {
			p.fails = true // it is to end by itself
			return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: 4096}, nil)
		}
	case "release":
		work := r.audit.first()
		out, err := exec.Command(filepath.Join(r.bin, "dunefleet"), "fleet", "release", work, "--keepers", strings.Join(r.fronts(), ",")).CombinedOutput()
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
		if l := r.links[pair[0]+" "+pair[1]]; l != nil {
			l.set(from, to, m, until, 0)
		}
	}
	if l := r.links[to]; l != nil { // a call from one to the other, and what is said on it
		l.set(from, to, m, until, 0)
	}
	if l := r.links[from]; l != nil { // answers on calls that the other made
		l.set(from, to, m, until, 0)
	}
}

func (r *Rig) fronts() (addrs []string) {
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
	for e, pace := range r.paces {
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
func (r *Rig) Sent(engine int) (sends, low int) {
	r.audit.mu.Lock()
	defer r.audit.mu.Unlock()
	return r.audit.to[engine], r.audit.low
}

// Heal all links.
func (r *Rig) Heal() {
	for _, l := range r.links {
		l.heal()
	}
}

// status of a keeper by its own word, past the links.
func (r *Rig) status(name string) (s coordinator.Status, err error) {
	p := r.procs[name]
	if !p.up || p.stopped {
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
func (r *Rig) Owner() string { return r.audit.owner(0) }

func (r *Rig) say(format string, args ...any) {
	r.log(fmt.Sprintf("%7.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
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
	for _, name := range r.all() {
		fmt.Fprintf(&b, "--- %s\n%s\n", name, strings.Join(r.audit.tail(r.procs[name]), "\n"))
	}
	return b.String()
}

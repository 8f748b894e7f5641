package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dunereach/internal/discovery"
	"dunereach/internal/fake"
)

// routerProcess is a real router process, with fakes on loopback for the databases and the name server.
type routerProcess struct {
	fakes      *fake.Standalone
	folder     string
	config     string // path
	addr       string
	options    routerOptions
	nameServer *fake.NameServer
	received   chan fake.Message
	command    *exec.Cmd
	exited     chan error
	log        chan string // lines
	started    time.Time
}

// routerOptions are the options with which a router is started.
type routerOptions struct {
	databases        int // in the list
	descriptors      int
	revision         uint32 // of the list; 0 means 1
	renamedDatabases int    // databases of the list with new names
	sharingRouters   int    // routers that share the databases, in the settings; 0 means 1
}

const (
	// fakeDatabases is the number of fake databases that listen. A longer list uses the address of each several times.
	fakeDatabases = 16
	// routerDescriptors is the limit on a router's descriptors where the limit is not what is measured.
	routerDescriptors = 16384
	// routerTimeout is the time limit for a router to start and to apply a configuration.
	routerTimeout = 20 * time.Second
)

// routerProgram returns the path of the router's binary: in bin/ below the working directory, or in the directory of this program.
func routerProgram() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	for _, path := range []string{"bin/dunereach", filepath.Join(filepath.Dir(executable), "dunereach")} {
		if _, err := os.Stat(path); err == nil {
			return filepath.Abs(path)
		}
	}
	return "", errors.New("no bin/dunereach: run `make build` first")
}

// startRouter starts a router and waits until it logs that it serves.
func startRouter(options routerOptions) (*routerProcess, error) {
	program, err := routerProgram()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "dunereach-scale")
	if err != nil {
		return nil, err
	}
	r := &routerProcess{fakes: &fake.Standalone{}, folder: folder, config: filepath.Join(folder, "config.json"), options: options,
		received: make(chan fake.Message, 4096), exited: make(chan error, 1), log: make(chan string, 4096),
		addr: fmt.Sprintf("127.%d.%d.%d:4100", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))}
	r.nameServer = fake.NewNameServer(r.fakes, discovery.ServiceName)
	r.nameServer.SetList(1) // the revision of the list in the configuration
	r.fakes.Cleanup(func() { os.RemoveAll(folder) })
	var endpoints []string
	for range fakeDatabases {
		endpoints = append(endpoints, fake.NewServer(r.fakes, r.received).Addr)
	}
	if err = r.configure(options, endpoints); err == nil {
		err = r.spawn(program)
	}
	if err != nil {
		r.fakes.RunCleanups()
		return nil, err
	}
	if _, err := r.awaitLog("serving"); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

// spawn starts the process and reads its log.
func (r *routerProcess) spawn(program string) error {
	r.command = exec.Command(program)
	r.command.Env = append(os.Environ(), "BALANCER_NAME=scale", "BALANCER_LISTEN="+r.addr, "BALANCER_CONFIG="+r.config)
	output, input := io.Pipe()
	r.command.Stdout, r.command.Stderr = input, input
	r.started = time.Now()
	if err := r.command.Start(); err != nil {
		return err
	}
	go r.readLog(output)
	go func() {
		err := r.command.Wait()
		input.Close()
		r.exited <- err
	}()
	return nil
}

// readLog passes log lines on. Lines that nothing waits for are dropped when the channel is full.
func (r *routerProcess) readLog(output io.Reader) {
	defer close(r.log)
	for lines := bufio.NewScanner(output); lines.Scan(); {
		select {
		case r.log <- lines.Text():
		default:
		}
	}
}

// awaitLog waits for a log line that contains the given text.
func (r *routerProcess) awaitLog(text string) (string, error) {
	last, timeout := "", time.After(routerTimeout)
	for {
		select {
		case line, open := <-r.log:
			if !open {
				return "", fmt.Errorf("the router exited before it logged %q; its last line: %s", text, last)
			}
			if last = line; strings.Contains(line, text) {
				return line, nil
			}
		case <-timeout:
			return "", fmt.Errorf("the router did not log %q within %v; its last line: %q", text, routerTimeout, last)
		}
	}
}

// stop kills the process and closes its fakes. No shutdown is measured.
func (r *routerProcess) stop() {
	defer r.fakes.RunCleanups()
	r.command.Process.Kill()
	<-r.exited
}

// configure writes the router's configuration.
func (r *routerProcess) configure(options routerOptions, endpoints []string) error {
	revision := max(options.revision, 1)
	targets := make([]map[string]any, options.databases)
	for k := range targets {
		name := fmt.Sprintf("db-%d", k)
		if k < options.renamedDatabases {
			name = fmt.Sprintf("db-%d-%d", k, revision)
		}
		targets[k] = map[string]any{"uid": name, "endpoint": endpoints[k%len(endpoints)], "az": "east", "model": "std", "pod_group": 0,
			"state": "ready", "capacity_hint": 8, "boot_ms": 0}
	}
	text, err := json.Marshal(map[string]any{
		"name": "scale", "listen": r.addr, "seed": "8c1f30d27a5be964", "nameserver": r.nameServer.Addr,
		"limits": map[string]any{"cores": 1, "memory_mb": 1024, "sockets": options.descriptors},
		"known": map[string]any{"rev": revision, "notices": []any{map[string]any{"rev": revision,
			"pool": map[string]any{"rev": revision, "all": true, "targets": targets}}}},
		"settings": json.RawMessage(fmt.Sprintf(processSettings, max(options.sharingRouters, 1)))})
	if err != nil {
		return err
	}
	return os.WriteFile(r.config, text, 0o600)
}

// processSettings are the settings. The number of routers that share the databases is a parameter.
const processSettings = `{"Balancers":%d,"Tick":5,"Dcs":["east"],"Kinds":["std"],"Discovery":"push","OverShareWorth":1,
	"Classes":[{"Name":"lookup","Aim":5000,"Deadline":20000,"Effect":"safe","Worth":1}],
	"FamilyInfo":{"CpuOfKind":[8],"RanksHeeded":true},"Realms":[{"Name":"acme","QuotaPerS":1000000}],
	"Limits":{"ConnIdle":30000,"ConnectTimeout":5000,"MaxStreams":100,"MaxRetryAfter":500,"OpenCap":100000,"RetryAfter":true,"SendCap":4},
	"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":15000}}`

// usage is the kernel's accounting of a process.
type usage struct {
	ProcessorTime time.Duration // user and system, all live threads
	ResidentKB    float64
	Descriptors   float64
}

// readUsage returns the current usage of the process.
func (r *routerProcess) readUsage() (usage, error) {
	folder := filepath.Join("/proc", strconv.Itoa(r.command.Process.Pid))
	u := usage{}
	threads, err := filepath.Glob(filepath.Join(folder, "task/*/schedstat"))
	if err != nil || len(threads) == 0 {
		return u, fmt.Errorf("%s: no threads: %v", folder, err)
	}
	for _, path := range threads {
		text, err := os.ReadFile(path)
		var nanoseconds int64
		if err == nil {
			_, err = fmt.Sscan(string(text), &nanoseconds)
		}
		if err != nil {
			return u, err
		}
		u.ProcessorTime += time.Duration(nanoseconds)
	}
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return u, err
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	if _, err := fmt.Sscan(after, &u.ResidentKB); err != nil {
		return u, fmt.Errorf("%s/status: VmRSS: %v", folder, err)
	}
	open, err := os.ReadDir(filepath.Join(folder, "fd"))
	u.Descriptors = float64(len(open))
	return u, err
}

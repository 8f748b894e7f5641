package scale

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunereach/internal/discovery"
	"dunereach/internal/fake"
)

const (
	electionDelay  = 500 * time.Millisecond // simulated time between the old process's exit and the name server's update
	primaryTimeout = 25 * time.Second       // a router without an answer of the new process by then counts as unserved
	clientPause    = 50 * time.Millisecond  // of a client between two requests
	warmUpMillis   = 15000                  // in the settings
)

// primaryOptions describe the change.
type primaryOptions struct {
	routers int  // number in the settings; primaryProcesses of them run
	cold    bool // the new process has just started; otherwise it has run for long, like a replica that is promoted
}

// primaryChange is the state of one change.
type primaryChange struct {
	fakes      *fake.Standalone
	nameServer *fake.NameServer
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu                sync.Mutex
	oldExited         time.Time // zero: still running
	announced         time.Time
	routers           [primaryProcesses]primaryRouter
	lateAttempts      int
	rejected          int
	completedRequests int
}

// primaryRouter holds the times at which one router reached the processes.
type primaryRouter struct {
	lastOldAttempt, firstNewAttempt, firstNewAnswer time.Time
}

// runPrimaryChange starts routers with one database, replaces the process behind its name, and waits until all routers are served again.
func runPrimaryChange(program string, options primaryOptions) (primaryResult, error) {
	folder, err := os.MkdirTemp("", "dunereach-primary")
	if err != nil {
		return primaryResult{}, err
	}
	p := &primaryChange{fakes: &fake.Standalone{}, stop: make(chan struct{})}
	defer p.fakes.RunCleanups()
	p.fakes.Cleanup(func() { os.RemoveAll(folder) })
	p.nameServer = fake.NewNameServer(p.fakes, discovery.ServiceName)
	oldReceived, newReceived := make(chan fake.Message, 1024), make(chan fake.Message, 1024)
	old := fake.NewServer(p.fakes, oldReceived)
	p.announce(1, 0, old.Addr)
	p.goroutines.Go(func() { p.serveOld(oldReceived) })
	p.goroutines.Go(func() { p.serveNew(newReceived) })
	defer p.goroutines.Wait()
	defer close(p.stop)
	for n := range primaryProcesses {
		addr, err := p.startRouter(program, folder, n, options, old.Addr)
		if err != nil {
			return primaryResult{}, err
		}
		p.goroutines.Go(func() { p.client(n, addr) })
	}
	if err := p.awaitRouters(func(r *primaryRouter) bool { return !r.lastOldAttempt.IsZero() }); err != nil {
		return primaryResult{}, fmt.Errorf("before the change: %w", err)
	}
	started := int64(0)
	if options.cold {
		started = time.Now().UnixMilli()
	}
	p.kill(old)
	time.Sleep(electionDelay)
	replacement := fake.NewServer(p.fakes, newReceived)
	p.mu.Lock()
	p.announced = time.Now()
	p.mu.Unlock()
	p.announce(2, started, replacement.Addr)
	p.awaitRouters(func(r *primaryRouter) bool { return !r.firstNewAnswer.IsZero() }) //nolint:errcheck // routers that are not served by then are counted
	return p.result(), nil
}

// announce updates the name server with the address and start time of the database, in milliseconds since 1970 (0: long ago).
func (p *primaryChange) announce(revision uint32, started int64, addr string) {
	p.nameServer.SetList(revision, fmt.Sprintf("e-1.hall 0 10 std 0 %d %s", started, addr))
}

// kill ends the old process: its listener closes at once, each connection at its next message.
func (p *primaryChange) kill(old *fake.Server) {
	old.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oldExited = time.Now()
}

// serveOld answers until the old process exits. After that it resets each connection that sends a message.
func (p *primaryChange) serveOld(received <-chan fake.Message) {
	for {
		select {
		case message := <-received:
			if message.Words[0] != "fetch" {
				continue
			}
			router := routerOf(message.Body)
			p.mu.Lock()
			exited := !p.oldExited.IsZero()
			if !exited {
				p.routers[router].lastOldAttempt = time.Now()
			} else if !p.routers[router].firstNewAttempt.IsZero() {
				p.lateAttempts++
			}
			p.mu.Unlock()
			if exited {
				message.Reset()
				continue
			}
			message.Answer("served", "count=1,ticks=5", "x\t\t\n")
		case <-p.stop:
			return
		}
	}
}

// serveNew answers for the new process.
func (p *primaryChange) serveNew(received <-chan fake.Message) {
	for {
		select {
		case message := <-received:
			if message.Words[0] != "fetch" {
				continue
			}
			router := routerOf(message.Body)
			p.mu.Lock()
			if r := &p.routers[router]; r.firstNewAttempt.IsZero() {
				r.firstNewAttempt = time.Now()
			}
			p.mu.Unlock()
			message.Answer("served", "count=1,ticks=5", "y\t\t\n")
		case <-p.stop:
			return
		}
	}
}

// routerOf returns the router's number from the statement of a client.
func routerOf(body string) int {
	_, rest, _ := strings.Cut(body, "router=")
	number, _, _ := strings.Cut(rest, " ")
	router, err := strconv.Atoi(number)
	if err != nil || router < 0 || router >= primaryProcesses {
		return 0
	}
	return router
}

// startRouter starts one router process and returns its address. The process is killed at the end of the run.
func (p *primaryChange) startRouter(program, folder string, number int, options primaryOptions, database string) (string, error) {
	addr := fmt.Sprintf("127.%d.%d.%d:4100", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	config := filepath.Join(folder, fmt.Sprintf("config-%d.json", number))
	text := fmt.Sprintf(`{"seed":"%016x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"nameserver":"%s",
		"known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[
			{"uid":"e-1","endpoint":"%s","az":"hall","model":"std","state":"ready","boot_ms":0}]}}]},
		"settings":{"Balancers":%d,"Me":%d,"MyZone":0,"Tick":5,"Dcs":["hall"],"Kinds":["std"],"Discovery":"push","OverShareWorth":0.1,
		"Classes":[{"Name":"lookup","Aim":1000,"Deadline":2000,"Effect":"safe","Worth":1}],
		"FamilyInfo":{"CpuOfKind":[64],"RanksHeeded":true},"Realms":[{"Name":"acme","QuotaPerS":1000}],
		"Limits":{"ConnIdle":30000,"ConnectTimeout":250,"MaxStreams":100,"MaxRetryAfter":500,"OpenCap":1000,"RetryAfter":true,"SendCap":6},
		"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":%d}}}`,
		rand.Uint64(), p.nameServer.Addr, database, options.routers, number*options.routers/primaryProcesses, warmUpMillis)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return "", err
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), fmt.Sprintf("BALANCER_NAME=n%d", number), "BALANCER_LISTEN="+addr, "BALANCER_CONFIG="+config)
	if err := command.Start(); err != nil {
		return "", err
	}
	p.fakes.Cleanup(func() {
		command.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have exited already
		command.Wait()                          //nolint:errcheck // it was killed
	})
	return addr, nil
}

// client sends requests to one router, one after another, until the run ends.
func (p *primaryChange) client(number int, addr string) {
	defer func() { _ = recover() }() // a fake client that can't connect panics; its router then counts as unserved
	client := fake.NewClient(p.fakes, addr)
	for sequence := 0; ; sequence++ {
		select {
		case <-p.stop:
			return
		case <-time.After(clientPause):
		}
		client.Call(fmt.Sprintf("/* router=%d request=%d */", number, sequence), "service", "lookup", "project", "acme",
			"allow", "2000", "ref", fmt.Sprintf("%04x%012x", number, sequence))
		p.recordAnswer(number, client.NextAnswer())
	}
}

// recordAnswer counts an answer and records the time of the first one from the new process.
func (p *primaryChange) recordAnswer(number int, answer string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	router := &p.routers[number]
	switch {
	case strings.Contains(answer, "y\\t") || strings.Contains(answer, "y\t"):
		p.completedRequests++
		if router.firstNewAnswer.IsZero() {
			router.firstNewAnswer = now
		}
	case strings.Contains(answer, "x\\t") || strings.Contains(answer, "x\t"):
		p.completedRequests++
	case !p.oldExited.IsZero() && router.firstNewAnswer.IsZero():
		p.rejected++
	}
}

// awaitRouters waits until all routers meet the condition.
func (p *primaryChange) awaitRouters(condition func(*primaryRouter) bool) error {
	for end := time.Now().Add(primaryTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.allRouters(condition) {
			return nil
		}
	}
	return fmt.Errorf("some routers did not meet the condition within %v", primaryTimeout)
}

func (p *primaryChange) allRouters(condition func(*primaryRouter) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.routers {
		if !condition(&p.routers[n]) {
			return false
		}
	}
	return true
}

// result summarizes the change over all routers.
func (p *primaryChange) result() primaryResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := primaryResult{lateAttempts: p.lateAttempts, rejected: p.rejected, completed: p.completedRequests}
	end := time.Now()
	for _, router := range p.routers {
		firstNewAnswer, first := router.firstNewAnswer, router.firstNewAttempt
		if firstNewAnswer.IsZero() {
			result.unservedRouters++
			firstNewAnswer = end
		}
		if first.IsZero() {
			first = end
		}
		result.gap = max(result.gap, firstNewAnswer.Sub(router.lastOldAttempt).Seconds())
		result.newsDelay = max(result.newsDelay, first.Sub(p.announced).Seconds())
	}
	return result
}

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
	primaryElection = 500 * time.Millisecond // between the old process's death and the name server's news, as played
	primaryPatience = 25 * time.Second       // a router without an answer of the new process by then is not served
	primaryPause    = 50 * time.Millisecond  // of a client between two requests
	primaryWarmUp   = 15000                  // milliseconds, of the settings
)

// primaryOptions say which change is played.
type primaryOptions struct {
	routers int  // that the settings name; primaryProcesses of them run
	cold    bool // the new process has just started; else it has run for long, as a replica that is promoted
}

// primaryPlay is one change under way.
type primaryPlay struct {
	desk  *fake.Desk
	names *fake.NameServer
	stop  chan struct{}
	done  sync.WaitGroup

	mu       sync.Mutex
	died     time.Time // of the old process, zero: not yet
	news     time.Time
	routers  [primaryProcesses]primaryRouter
	late     int
	rejected int
	served   int
}

// primaryRouter is what one router did.
type primaryRouter struct {
	lastOld, firstNew, answered time.Time
}

// playPrimary starts routers before one database, changes the process behind its name, and waits until all are served again.
func playPrimary(program string, options primaryOptions) (primaryResult, error) {
	folder, err := os.MkdirTemp("", "dunereach-primary")
	if err != nil {
		return primaryResult{}, err
	}
	p := &primaryPlay{desk: &fake.Desk{}, stop: make(chan struct{})}
	defer p.desk.End()
	p.desk.Cleanup(func() { os.RemoveAll(folder) })
	p.names = fake.NewNameServer(p.desk, discovery.ServiceName)
	oldHeard, newHeard := make(chan fake.Said, 1024), make(chan fake.Said, 1024)
	old := fake.NewEngine(p.desk, oldHeard)
	p.list(1, 0, old.Addr)
	p.done.Go(func() { p.serveOld(oldHeard) })
	p.done.Go(func() { p.serveNew(newHeard) })
	defer p.done.Wait()
	defer close(p.stop)
	for n := range primaryProcesses {
		addr, err := p.startRouter(program, folder, n, options, old.Addr)
		if err != nil {
			return primaryResult{}, err
		}
		p.done.Go(func() { p.client(n, addr) })
	}
	if err := p.await(func(r *primaryRouter) bool { return !r.lastOld.IsZero() }); err != nil {
		return primaryResult{}, fmt.Errorf("before the change: %w", err)
	}
	started := int64(0)
	if options.cold {
		started = time.Now().UnixMilli()
	}
	p.kill(old)
	time.Sleep(primaryElection)
	replacement := fake.NewEngine(p.desk, newHeard)
	p.mu.Lock()
	p.news = time.Now()
	p.mu.Unlock()
	p.list(2, started, replacement.Addr)
	p.await(func(r *primaryRouter) bool { return !r.answered.IsZero() }) //nolint:errcheck // who is not served by then is counted
	return p.result(), nil
}

// list tells the name server where the database is, and when its process started, in milliseconds since 1970 (0: long ago).
func (p *primaryPlay) list(revision uint32, started int64, addr string) {
	p.names.Set(revision, fmt.Sprintf("e-1.hall 0 10 std 0 %d %s", started, addr))
}

// kill ends the old process: its listener at once, each connection as it is next heard from.
func (p *primaryPlay) kill(old *fake.Engine) {
	old.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.died = time.Now()
}

// serveOld answers until the process dies, and resets what is said to it after that.
func (p *primaryPlay) serveOld(heard <-chan fake.Said) {
	for {
		select {
		case said := <-heard:
			if said.Words[0] != "fetch" {
				continue
			}
			router := routerOf(said.Body)
			p.mu.Lock()
			dead := !p.died.IsZero()
			if !dead {
				p.routers[router].lastOld = time.Now()
			} else if !p.routers[router].firstNew.IsZero() {
				p.late++
			}
			p.mu.Unlock()
			if dead {
				said.Die()
				continue
			}
			said.Answer("served", "count=1,ticks=5", "x\t\t\n")
		case <-p.stop:
			return
		}
	}
}

// serveNew answers for the new process.
func (p *primaryPlay) serveNew(heard <-chan fake.Said) {
	for {
		select {
		case said := <-heard:
			if said.Words[0] != "fetch" {
				continue
			}
			router := routerOf(said.Body)
			p.mu.Lock()
			if r := &p.routers[router]; r.firstNew.IsZero() {
				r.firstNew = time.Now()
			}
			p.mu.Unlock()
			said.Answer("served", "count=1,ticks=5", "y\t\t\n")
		case <-p.stop:
			return
		}
	}
}

// routerOf reads the number of the router from a statement of a client.
func routerOf(body string) int {
	_, rest, _ := strings.Cut(body, "router=")
	number, _, _ := strings.Cut(rest, " ")
	router, err := strconv.Atoi(number)
	if err != nil || router < 0 || router >= primaryProcesses {
		return 0
	}
	return router
}

// startRouter starts one router process and gives its address. The process ends with the play.
func (p *primaryPlay) startRouter(program, folder string, number int, options primaryOptions, database string) (string, error) {
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
		rand.Uint64(), p.names.Addr, database, options.routers, number*options.routers/primaryProcesses, primaryWarmUp)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return "", err
	}
	command := exec.Command(program)
	command.Env = append(os.Environ(), fmt.Sprintf("BALANCER_NAME=n%d", number), "BALANCER_LISTEN="+addr, "BALANCER_CONFIG="+config)
	if err := command.Start(); err != nil {
		return "", err
	}
	p.desk.Cleanup(func() {
		command.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended by itself
		command.Wait()                          //nolint:errcheck // by the signal
	})
	return addr, nil
}

// client asks one router, one request after another, until the play ends.
func (p *primaryPlay) client(number int, addr string) {
	defer func() { _ = recover() }() // a stand-in that can't connect panics: its router then counts as not served
	client := fake.NewClient(p.desk, addr)
	for sequence := 0; ; sequence++ {
		select {
		case <-p.stop:
			return
		case <-time.After(primaryPause):
		}
		client.Call(fmt.Sprintf("/* router=%d request=%d */", number, sequence), "service", "lookup", "project", "acme",
			"allow", "2000", "ref", fmt.Sprintf("%04x%012x", number, sequence))
		p.count(number, client.Next())
	}
}

// count takes an answer in.
func (p *primaryPlay) count(number int, answer string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	router := &p.routers[number]
	switch {
	case strings.Contains(answer, "y\\t") || strings.Contains(answer, "y\t"):
		p.served++
		if router.answered.IsZero() {
			router.answered = now
		}
	case strings.Contains(answer, "x\\t") || strings.Contains(answer, "x\t"):
		p.served++
	case !p.died.IsZero() && router.answered.IsZero():
		p.rejected++
	}
}

// await waits until all routers have come so far.
func (p *primaryPlay) await(reached func(*primaryRouter) bool) error {
	for end := time.Now().Add(primaryPatience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.all(reached) {
			return nil
		}
	}
	return fmt.Errorf("some routers have not come so far in %v", primaryPatience)
}

func (p *primaryPlay) all(reached func(*primaryRouter) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n := range p.routers {
		if !reached(&p.routers[n]) {
			return false
		}
	}
	return true
}

// result sums up what all routers did.
func (p *primaryPlay) result() primaryResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := primaryResult{late: p.late, rejected: p.rejected, completed: p.served}
	end := time.Now()
	for _, router := range p.routers {
		answered, first := router.answered, router.firstNew
		if answered.IsZero() {
			result.unserved++
			answered = end
		}
		if first.IsZero() {
			first = end
		}
		result.gap = max(result.gap, answered.Sub(router.lastOld).Seconds())
		result.told = max(result.told, first.Sub(p.news).Seconds())
	}
	return result
}

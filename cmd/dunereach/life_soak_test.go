package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/fake"
	"dunereach/internal/thrift"
)

// TestLifeSoak runs one router process after another under crowds, repeated signals, suspensions, hung servers, and kills at the
// earliest time that the specification allows. Clients use open connections until then. The rules of life_audit_test.go are checked
// against the records of clients and servers.

var (
	lifeSeed  = flag.Uint64("life-seed", 1, "the first seed of TestLifeSoak")
	lifeSeeds = flag.Int("life-seeds", 2, "number of successive seeds that TestLifeSoak runs")
)

const (
	runsPerSeed        = 3
	soakServers        = 3
	soakClients        = 6
	soakDescriptors    = 64                     // 26 of them for clients
	connectAfterTerm   = 300 * time.Millisecond // new connections arrive for this long after SIGTERM
	maxCountedDeadline = 3 * time.Second        // upper bound on the longest deadline in the wait before SIGKILL
	killGrace          = 700 * time.Millisecond // added to the deadline before SIGKILL
)

// runPlan holds the values drawn for one run of the router.
type runPlan struct {
	deadline       time.Duration
	duration       time.Duration
	crowdSize      int // clients without requests; 0: none
	crowdAt        time.Duration
	reloads        int // number of successive SIGHUPs
	reloadAt       time.Duration
	suspendFor     time.Duration // time in SIGSTOP; 0: none
	suspendAt      time.Duration
	hangFor        time.Duration // time for which one server hangs; 0: none
	hangAt         time.Duration
	kill           bool // SIGKILL without SIGTERM
	terminations   int  // number of successive SIGTERMs
	reloadWithTerm bool // SIGHUP together with each SIGTERM
}

func drawRun(draw *rand.Rand, deadline time.Duration) runPlan {
	milliseconds := func(lowest, highest int) time.Duration {
		return time.Duration(lowest+draw.IntN(highest-lowest)) * time.Millisecond
	}
	chance := func(percent int) bool { return draw.IntN(100) < percent }
	p := runPlan{deadline: deadline, duration: milliseconds(800, 2200), terminations: 1 + draw.IntN(3), kill: chance(25), reloadWithTerm: chance(40)}
	if chance(50) {
		p.crowdSize, p.crowdAt = 20+draw.IntN(150), milliseconds(0, 800)
	}
	if chance(50) {
		p.reloads, p.reloadAt = 1+draw.IntN(5), milliseconds(0, 800)
	}
	if chance(30) {
		p.suspendFor, p.suspendAt = milliseconds(50, 400), milliseconds(100, 700)
	}
	if chance(60) {
		p.hangFor, p.hangAt = milliseconds(300, 4000), milliseconds(0, 2500)
	}
	return p
}

// soakRun is a run in progress. The lock guards its record.
type soakRun struct {
	*cluster
	plan             runPlan
	stop             chan struct{} // closed to stop the clients
	noNewConnections atomic.Bool   // clients open no new connections
	workers          sync.WaitGroup
	firstServerHangs atomic.Bool // the first server answers nothing

	mu     sync.Mutex
	record runRecord
}

// TestLifeSoak guards against requests that are lost, late, run twice or sent without a client, over the runs of several router
// processes.
func TestLifeSoak(t *testing.T) {
	for seed := *lifeSeed; seed < *lifeSeed+uint64(*lifeSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Logf("to repeat: go test ./cmd/dunereach -count=1 -run TestLifeSoak -life-seed %d -life-seeds 1", seed)
			draw := rand.New(rand.NewPCG(seed, 4))
			w := prepareCluster(t, soakServers, soakDescriptors)
			w.descriptorLimit = 0 // the limit in the settings is the lower one
			deadline := []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second}[draw.IntN(3)]
			w.text = strings.NewReplacer(`"Deadline":30000`, fmt.Sprintf(`"Deadline":%d`, deadline.Milliseconds()),
				`"Aim":20000`, fmt.Sprintf(`"Aim":%d`, deadline.Milliseconds()/2)).Replace(w.text)
			if err := os.WriteFile(w.configPath, []byte(w.text), 0o600); err != nil {
				t.Fatal(err)
			}
			for number := range runsPerSeed {
				playRun(t, w, drawRun(draw, deadline), draw.Uint64(), number)
			}
		})
	}
}

// playRun starts a router, injects the faults of the plan, ends the router, and checks the record of the run.
func playRun(t *testing.T, w *cluster, p runPlan, seed uint64, number int) {
	t.Helper()
	l := &soakRun{cluster: w, plan: p, stop: make(chan struct{})}
	w.start()
	w.waitForLog("serving")
	go func(logLines chan string) {
		for range logLines { // discard, so that the goroutine that forwards the log does not block
		}
	}(w.logLines)
	l.workers.Go(l.answerAttempts)
	for k := range soakClients {
		l.workers.Go(func() { l.runClient(k, rand.New(rand.NewPCG(seed, uint64(k)))) })
	}
	began := time.Now()
	faults := l.startFaults(began)
	time.Sleep(p.duration)
	faults.Wait()
	l.endRouter()
	close(l.stop)
	l.workers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("run %d: %+v: %d requests, %d attempts", number, p, len(l.record.requests), len(l.record.attempts))
	for _, text := range l.record.violations() {
		t.Errorf("run %d: %s", number, text)
	}
	if len(l.record.requests) < soakClients {
		t.Errorf("run %d: too few requests", number)
	}
}

// startFaults starts the faults of the plan, each at its time.
func (l *soakRun) startFaults(began time.Time) *sync.WaitGroup {
	var group sync.WaitGroup
	at := func(after time.Duration, happens bool, fault func()) {
		if happens {
			group.Go(func() {
				time.Sleep(time.Until(began.Add(after)))
				fault()
			})
		}
	}
	p := l.plan
	at(p.crowdAt, p.crowdSize > 0, func() {
		l.mu.Lock()
		l.record.crowded = true
		l.mu.Unlock()
		l.connectCrowd(mixedCrowd, p.crowdSize)
	})
	at(p.reloadAt, p.reloads > 0, func() {
		for range p.reloads {
			l.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(10 * time.Millisecond)
		}
	})
	at(p.suspendAt, p.suspendFor > 0, func() {
		l.cmd.Process.Signal(syscall.SIGSTOP)
		from := time.Now()
		time.Sleep(p.suspendFor)
		l.cmd.Process.Signal(syscall.SIGCONT)
		l.mu.Lock()
		l.record.suspendedFor += time.Since(from)
		l.mu.Unlock()
	})
	if p.hangFor > 0 {
		time.AfterFunc(p.hangAt, func() { l.firstServerHangs.Store(true) })
		time.AfterFunc(p.hangAt+p.hangFor, func() { l.firstServerHangs.Store(false) })
	}
	return &group
}

// endRouter kills the router, or sends SIGTERM and kills it at the earliest time that the specification allows.
func (l *soakRun) endRouter() {
	now := time.Now()
	if l.plan.kill {
		l.mu.Lock()
		l.record.killedAt = now
		l.mu.Unlock()
		l.noNewConnections.Store(true)
		l.cmd.Process.Kill()
		l.cmd.Wait()
		return
	}
	l.mu.Lock()
	l.record.terminatedAt = now
	l.mu.Unlock()
	for range l.plan.terminations {
		l.cmd.Process.Signal(syscall.SIGTERM)
		if l.plan.reloadWithTerm {
			l.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	time.AfterFunc(connectAfterTerm, func() { l.noNewConnections.Store(true) })
	ended := make(chan struct{})
	go func() { l.cmd.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(min(l.plan.deadline, maxCountedDeadline) + killGrace):
		l.mu.Lock()
		l.record.killedAt = time.Now()
		l.mu.Unlock()
		l.cmd.Process.Kill()
		<-ended
	}
	l.noNewConnections.Store(true)
	if status := l.cmd.ProcessState.ExitCode(); status > 0 {
		l.t.Errorf("the router exited with status %d", status)
	}
}

// answerAttempts answers the attempts that reach the servers, except those at the hung server.
func (l *soakRun) answerAttempts() {
	for {
		select {
		case said := <-l.received:
			l.answerAttempt(said)
		case <-l.stop:
			return
		}
	}
}

// sentTimeLimit is the time limit that the router sent to the server.
func sentTimeLimit(said fake.Message) time.Duration {
	for _, field := range strings.Split(said.Words[2], ",") {
		if text, ok := strings.CutPrefix(field, "ms="); ok {
			ms, _ := strconv.ParseFloat(text, 64)
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}

func (l *soakRun) answerAttempt(said fake.Message) {
	if said.Words[0] != "fetch" {
		return
	}
	l.mu.Lock()
	l.record.attempts = append(l.record.attempts, attemptRecord{said.Words[1], said.ReceivedAt, sentTimeLimit(said)})
	l.mu.Unlock()
	if said.Server == l.servers[0] && l.firstServerHangs.Load() {
		return
	}
	time.AfterFunc(5*time.Millisecond, func() { said.Answer("served", "count=1", "x\t\t\n") })
}

// runClient sends one request after another, on one connection for as long as it is open.
func (l *soakRun) runClient(number int, draw *rand.Rand) {
	var c *soakConnection
	for sequence := 0; ; sequence++ {
		select {
		case <-l.stop:
			c.close()
			return
		case <-time.After(time.Duration(draw.IntN(30)) * time.Millisecond):
		}
		if c == nil {
			if l.noNewConnections.Load() {
				continue
			}
			c = dialSoak(l.addr)
			if c == nil {
				continue
			}
		}
		r := &requestRecord{ref: fmt.Sprintf("%04x%012x", number+1, draw.Uint64()&0xffffffffffff), timeout: l.plan.deadline, firstOnConnection: c.sequence == 0,
			class: []string{"lookup", "order", "ledger"}[draw.IntN(3)]}
		leaveAfter := time.Duration(0)
		if draw.IntN(20) == 0 {
			leaveAfter = time.Duration(1+draw.IntN(20)) * time.Millisecond
		}
		if !c.exchange(r, leaveAfter) {
			c.close()
			c = nil
		}
		l.mu.Lock()
		l.record.requests = append(l.record.requests, r)
		l.mu.Unlock()
	}
}

// soakConnection is the connection of a client.
type soakConnection struct {
	net.Conn
	sequence int32
}

func dialSoak(addr string) *soakConnection {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil
	}
	return &soakConnection{Conn: c}
}

func (c *soakConnection) close() {
	if c != nil {
		c.Conn.Close()
	}
}

const answerPatience = 4 * time.Second // past the timeout of a request

// exchange sends a request and records its outcome. It reports whether the connection can be used again.
func (c *soakConnection) exchange(r *requestRecord, leaveAfter time.Duration) bool {
	c.sequence++
	message := fake.Call(c.sequence, "SELECT 1", "service", r.class, "project", "acme", "allow", fmt.Sprint(r.timeout.Milliseconds()), "ref", r.ref)
	r.sent = time.Now()
	if _, err := c.Write(message); err != nil {
		r.ended, r.outcome = time.Now(), connectionClosed
		return false
	}
	patience := r.timeout + answerPatience
	if leaveAfter > 0 {
		patience = leaveAfter
	}
	c.SetReadDeadline(r.sent.Add(patience))
	sequence, err := c.readAnswer()
	r.ended = time.Now()
	switch {
	case err == nil && sequence == c.sequence:
		r.outcome = answered
		r.answers++
		return true
	case err == nil: // a second answer to an earlier request
		r.answers += 2
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) && leaveAfter > 0:
		c.Conn.Close()
		r.ended, r.outcome = time.Now(), clientLeft
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false
	}
	r.outcome = connectionClosed
	return false
}

// readAnswer reads one message and returns the sequence number of the request that it answers.
func (c *soakConnection) readAnswer() (sequence int32, err error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.Conn, head); err != nil {
		return 0, err
	}
	frame := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(c.Conn, frame); err != nil {
		return 0, err
	}
	reader := thrift.NewReader(bytes.Clone(frame))
	_, _, sequence = reader.MessageHeader()
	return sequence, nil
}

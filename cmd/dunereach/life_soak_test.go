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

// This soak has one router process after another under crowds, signals in series, stops, hung servers and kills at the page's earliest, with
// clients that use open connections until then. An auditor judges what clients and servers recorded.

var (
	lifeSeed  = flag.Uint64("life-seed", 1, "the first seed that TestLifeSoak draws from")
	lifeSeeds = flag.Int("life-seeds", 2, "how many seeds TestLifeSoak plays, one after another")
)

const (
	livesPerSeed    = 3
	soakServers     = 3
	soakClients     = 6
	soakDescriptors = 64                     // clients have 26 of them
	connectFor      = 300 * time.Millisecond // after SIGTERM new connections come for so long
	mostDeadline    = 3 * time.Second        // the longest deadline counts as this at most
	pageGrace       = 700 * time.Millisecond // of SIGKILL beside it
)

// lifePlan is what is drawn for one life.
type lifePlan struct {
	deadline time.Duration
	runs     time.Duration
	crowd    int // clients that ask nothing, 0: none
	crowdAt  time.Duration
	reloads  int // SIGHUP in series
	reloadAt time.Duration
	stop     time.Duration // by SIGSTOP, 0: none
	stopAt   time.Duration
	hang     time.Duration // of one server, 0: none
	hangAt   time.Duration
	kill     bool // outright
	terms    int  // SIGTERM in series
	hupToo   bool // SIGHUP in the same instant
}

func drawLife(draw *rand.Rand, deadline time.Duration) lifePlan {
	some := func(least, most int) time.Duration {
		return time.Duration(least+draw.IntN(most-least)) * time.Millisecond
	}
	chance := func(percent int) bool { return draw.IntN(100) < percent }
	p := lifePlan{deadline: deadline, runs: some(800, 2200), terms: 1 + draw.IntN(3), kill: chance(25), hupToo: chance(40)}
	if chance(50) {
		p.crowd, p.crowdAt = 20+draw.IntN(150), some(0, 800)
	}
	if chance(50) {
		p.reloads, p.reloadAt = 1+draw.IntN(5), some(0, 800)
	}
	if chance(30) {
		p.stop, p.stopAt = some(50, 400), some(100, 700)
	}
	if chance(60) {
		p.hang, p.hangAt = some(300, 4000), some(0, 2500)
	}
	return p
}

// soakLife is one life under way. The lock guards its record.
type soakLife struct {
	*town
	plan   lifePlan
	stop   chan struct{} // clients end
	noMore atomic.Bool   // no new connections
	done   sync.WaitGroup
	hung   atomic.Bool // the first server answers nothing

	mu     sync.Mutex
	record lifeRecord
}

// TestLifeSoak guards against requests that are lost, late, run twice or sent for nobody, over the lives of router processes.
func TestLifeSoak(t *testing.T) {
	for seed := *lifeSeed; seed < *lifeSeed+uint64(*lifeSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Logf("again: go test ./cmd/dunereach -count=1 -run TestLifeSoak -life-seed %d -life-seeds 1", seed)
			draw := rand.New(rand.NewPCG(seed, 4))
			w := plan(t, soakServers, soakDescriptors)
			w.descriptors = 0 // the settings' limit is the lower one
			deadline := []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second}[draw.IntN(3)]
			w.text = strings.NewReplacer(`"Deadline":30000`, fmt.Sprintf(`"Deadline":%d`, deadline.Milliseconds()),
				`"Aim":20000`, fmt.Sprintf(`"Aim":%d`, deadline.Milliseconds()/2)).Replace(w.text)
			if err := os.WriteFile(w.config, []byte(w.text), 0o600); err != nil {
				t.Fatal(err)
			}
			for life := range livesPerSeed {
				playLife(t, w, drawLife(draw, deadline), draw.Uint64(), life)
			}
		})
	}
}

// playLife starts a router, has the plan's faults happen, ends it, and judges its life.
func playLife(t *testing.T, w *town, p lifePlan, seed uint64, number int) {
	t.Helper()
	l := &soakLife{town: w, plan: p, stop: make(chan struct{})}
	w.start()
	w.logged("serving")
	go func(log chan string) {
		for range log { // nobody reads it
		}
	}(w.log)
	l.done.Go(l.serve)
	for k := range soakClients {
		l.done.Go(func() { l.client(k, rand.New(rand.NewPCG(seed, uint64(k)))) })
	}
	began := time.Now()
	faults := l.faults(began)
	time.Sleep(p.runs)
	faults.Wait()
	l.end()
	close(l.stop)
	l.done.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("life %d: %+v: %d requests, %d attempts", number, p, len(l.record.requests), len(l.record.attempts))
	for _, text := range l.record.audit() {
		t.Errorf("life %d: %s", number, text)
	}
	if len(l.record.requests) < soakClients {
		t.Errorf("life %d: too little came about", number)
	}
}

// faults has the plan's faults happen at their times.
func (l *soakLife) faults(began time.Time) *sync.WaitGroup {
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
	at(p.crowdAt, p.crowd > 0, func() {
		l.mu.Lock()
		l.record.crowded = true
		l.mu.Unlock()
		l.crowd(mixedCrowd, p.crowd)
	})
	at(p.reloadAt, p.reloads > 0, func() {
		for range p.reloads {
			l.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(10 * time.Millisecond)
		}
	})
	at(p.stopAt, p.stop > 0, func() {
		l.cmd.Process.Signal(syscall.SIGSTOP)
		from := time.Now()
		time.Sleep(p.stop)
		l.cmd.Process.Signal(syscall.SIGCONT)
		l.mu.Lock()
		l.record.stopped += time.Since(from)
		l.mu.Unlock()
	})
	if p.hang > 0 {
		time.AfterFunc(p.hangAt, func() { l.hung.Store(true) })
		time.AfterFunc(p.hangAt+p.hang, func() { l.hung.Store(false) })
	}
	return &group
}

// end kills the router outright, or asks it to end and kills it at the page's earliest.
func (l *soakLife) end() {
	now := time.Now()
	if l.plan.kill {
		l.mu.Lock()
		l.record.killed = now
		l.mu.Unlock()
		l.noMore.Store(true)
		l.cmd.Process.Kill()
		l.cmd.Wait()
		return
	}
	l.mu.Lock()
	l.record.asked = now
	l.mu.Unlock()
	for range l.plan.terms {
		l.cmd.Process.Signal(syscall.SIGTERM)
		if l.plan.hupToo {
			l.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	time.AfterFunc(connectFor, func() { l.noMore.Store(true) })
	ended := make(chan struct{})
	go func() { l.cmd.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(min(l.plan.deadline, mostDeadline) + pageGrace):
		l.mu.Lock()
		l.record.killed = time.Now()
		l.mu.Unlock()
		l.cmd.Process.Kill()
		<-ended
	}
	l.noMore.Store(true)
	if status := l.cmd.ProcessState.ExitCode(); status > 0 {
		l.t.Errorf("it ended with status %d", status)
	}
}

// serve answers what reaches the servers, but for the hung one.
func (l *soakLife) serve() {
	for {
		select {
		case said := <-l.heard:
			l.attempt(said)
		case <-l.stop:
			return
		}
	}
}

// limitOf is how long the server is told that the router waits.
func limitOf(said fake.Said) time.Duration {
	for _, field := range strings.Split(said.Words[2], ",") {
		if text, ok := strings.CutPrefix(field, "ms="); ok {
			ms, _ := strconv.ParseFloat(text, 64)
			return time.Duration(ms * float64(time.Millisecond))
		}
	}
	return 0
}

func (l *soakLife) attempt(said fake.Said) {
	if said.Words[0] != "fetch" {
		return
	}
	l.mu.Lock()
	l.record.attempts = append(l.record.attempts, attemptRecord{said.Words[1], said.At, limitOf(said)})
	l.mu.Unlock()
	if said.Engine == l.engines[0] && l.hung.Load() {
		return
	}
	time.AfterFunc(5*time.Millisecond, func() { said.Answer("served", "count=1", "x\t\t\n") })
}

// client asks one request after another, on one connection for as long as that lives.
func (l *soakLife) client(number int, draw *rand.Rand) {
	var c *soakConnection
	for sequence := 0; ; sequence++ {
		select {
		case <-l.stop:
			c.close()
			return
		case <-time.After(time.Duration(draw.IntN(30)) * time.Millisecond):
		}
		if c == nil {
			if l.noMore.Load() {
				continue
			}
			c = dialSoak(l.addr)
			if c == nil {
				continue
			}
		}
		r := &requestRecord{ref: fmt.Sprintf("%04x%012x", number+1, draw.Uint64()&0xffffffffffff), allow: l.plan.deadline, fresh: c.sequence == 0,
			class: []string{"lookup", "order", "ledger"}[draw.IntN(3)]}
		leaves := time.Duration(0)
		if draw.IntN(20) == 0 {
			leaves = time.Duration(1+draw.IntN(20)) * time.Millisecond
		}
		if !c.ask(r, leaves) {
			c.close()
			c = nil
		}
		l.mu.Lock()
		l.record.requests = append(l.record.requests, r)
		l.mu.Unlock()
	}
}

// soakConnection is a client's connection.
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

const soakPatience = 4 * time.Second // past a request's time

// ask sends a request and records what comes of it. It tells whether the connection can be used again.
func (c *soakConnection) ask(r *requestRecord, leaves time.Duration) bool {
	c.sequence++
	message := fake.Call(c.sequence, "SELECT 1", "service", r.class, "project", "acme", "allow", fmt.Sprint(r.allow.Milliseconds()), "ref", r.ref)
	r.sent = time.Now()
	if _, err := c.Write(message); err != nil {
		r.ended, r.outcome = time.Now(), closedOn
		return false
	}
	patience := r.allow + soakPatience
	if leaves > 0 {
		patience = leaves
	}
	c.SetReadDeadline(r.sent.Add(patience))
	sequence, err := c.answer()
	r.ended = time.Now()
	switch {
	case err == nil && sequence == c.sequence:
		r.outcome = answered
		r.answers++
		return true
	case err == nil: // a second answer to an earlier one
		r.answers += 2
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) && leaves > 0:
		c.Conn.Close()
		r.ended, r.outcome = time.Now(), clientLeft
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false
	}
	r.outcome = closedOn
	return false
}

// answer reads one message, and says which request it answers.
func (c *soakConnection) answer() (sequence int32, err error) {
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

package main

import (
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"dunereach/internal/discovery"
	"dunereach/internal/fake"
)

// This soak has one router process after another under a name server whose answers go wrong in drawn ways, while servers drain, go and are
// replaced: whatever it is told, nothing reaches a server past the grace of its drain.

var (
	soakFor  = flag.Duration("soak", 25*time.Second, "how long TestListSoak goes on")
	soakSeed = flag.Uint64("soak-seed", 3, "what TestListSoak draws its faults from")
)

const (
	// toldBy is the time after which news counts as told though the answer with it went wrong.
	toldBy = 1500 * time.Millisecond
	// lag is what a busy machine may take to run a process that is ready, on both ends. A router that does not hear is late by seconds.
	lag = 400 * time.Millisecond
	// badShare is how many answers of a hundred go wrong.
	badShare = 35
)

// listed is one server of the soak.
type listed struct {
	id      string
	engine  *fake.Engine
	drains  bool
	told    time.Time // when this life of the router was told of it, zero: it was not
	retired bool      // it is gone from the list
}

// soak is the servers and the name server. The lock guards all of it.
type soak struct {
	t     *testing.T
	heard chan fake.Said

	mu      sync.Mutex
	rng     *rand.Rand
	servers []*listed
	number  uint32
	history []numberedList // of all lives
	down    time.Time      // until then nobody is answered
	late    []string
	strays  int
	sent    int
}

// numberedList is a list as it was told, under its number of then.
type numberedList struct {
	number uint32
	lines  []string
}

func (k *soak) lines() (all []string) {
	for _, s := range k.servers {
		priority := 0
		if s.drains {
			priority = 1
		}
		if !s.retired {
			all = append(all, fmt.Sprintf("%s.east %d 10 std 0 0 %s", s.id, priority, s.engine.Addr))
		}
	}
	return all
}

// news is an event of the list.
func (k *soak) news() {
	k.number++
	k.history = append(k.history, numberedList{k.number, k.lines()})
}

func (k *soak) add() {
	k.servers = append(k.servers, &listed{id: fmt.Sprintf("s-%04d", len(k.servers)), engine: fake.NewEngine(k.t, k.heard)})
}

// event has one server drain and another come, or one that drains go.
func (k *soak) event() {
	k.mu.Lock()
	defer k.mu.Unlock()
	var ready, draining []*listed
	for _, s := range k.servers {
		switch {
		case s.retired:
		case s.drains:
			draining = append(draining, s)
		default:
			ready = append(ready, s)
		}
	}
	if len(draining) > 1 {
		draining[0].retired = true
	} else {
		s := ready[k.rng.IntN(len(ready))]
		s.drains = true
		k.add()
	}
	k.news()
}

// outage has the name server answer nobody for a while.
func (k *soak) outage() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = time.Now().Add(time.Duration(500+k.rng.IntN(2000)) * time.Millisecond)
}

// startOver begins the numbering of another life, which knows the list of now.
func (k *soak) startOver() (known string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.number = 0
	k.news()
	var targets []string
	for _, s := range k.servers {
		s.told = time.Time{}
		if s.retired {
			continue
		}
		state := "ready"
		if s.drains {
			state, s.told = "draining", time.Now()
		}
		targets = append(targets, fmt.Sprintf(`{"uid":"%s","endpoint":"%s","az":"east","model":"std","state":"%s"}`, s.id, s.engine.Addr, state))
	}
	return fmt.Sprintf(`"known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[%s]}}]}`, strings.Join(targets, ","))
}

// tell notes that the router has been told the list of now, as far as it is about drains, at a time.
func (k *soak) tell(at time.Time) {
	for _, s := range k.servers {
		if (s.drains || s.retired) && (s.told.IsZero() || at.Before(s.told)) {
			s.told = at
		}
	}
}

// reply draws what becomes of a question: the answers that go out.
func (k *soak) reply(question []byte) (answers [][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Before(k.down) {
		return nil
	}
	id := binary.BigEndian.Uint16(question)
	good := func() []byte { return fake.Reply(id, k.number, discovery.ServiceName, k.lines()...) }
	if k.rng.IntN(100) >= badShare {
		k.tell(now)
		k.sent++
		return [][]byte{good()}
	}
	k.tell(now.Add(toldBy))
	switch k.rng.IntN(6) {
	case 0: // lost
		return nil
	case 1: // a failure
		msg := good()
		msg[3] |= 2
		return [][]byte{msg}
	case 2: // cut short
		msg := good()
		return [][]byte{msg[:k.rng.IntN(len(msg))]}
	case 3: // under another id
		return [][]byte{fake.Reply(id^1, k.number, discovery.ServiceName, k.lines()...)}
	default: // a list of any earlier time
		k.strays++
		was := k.history[k.rng.IntN(len(k.history))]
		return [][]byte{fake.Reply(id, was.number, discovery.ServiceName, was.lines...)}
	}
}

// serveNames answers questions until the test ends.
func (k *soak) serveNames() (addr string) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		k.t.Fatal(err)
	}
	k.t.Cleanup(func() { c.Close() })
	go func() {
		buf := make([]byte, 512)
		for {
			n, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			for _, answer := range k.reply(buf[:n]) {
				c.WriteTo(answer, from)
			}
		}
	}()
	return c.LocalAddr().String()
}

// judge answers a request that has reached a server, and notes one that came too late.
func (k *soak) judge(said fake.Said) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.servers {
		if late := said.At.Sub(s.told); s.engine == said.Engine && !s.told.IsZero() && late > grace+lag {
			k.late = append(k.late, fmt.Sprintf("request %s reached %s %v after its drain was told", said.Words[1], s.id, late))
		}
	}
	if said.Words[0] == "fetch" {
		said.Answer("served", "count=1", "x\t\t\n")
	}
}

// ask sends requests to a router for as long as it lives, some hundred a second.
func ask(addr string, stop <-chan struct{}) {
	var c net.Conn
	for seq := int32(1); ; seq++ {
		select {
		case <-stop:
			if c != nil {
				c.Close()
			}
			return
		case <-time.After(8 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", addr); err != nil {
				c = nil
				continue
			}
			go io.Copy(io.Discard, c)
		}
		request := fake.Call(seq, "SELECT 1", "service", "lookup", "project", "acme", "allow", "1000", "ref", fmt.Sprintf("%016x", rand.Uint64()))
		if _, err := c.Write(request); err != nil {
			c.Close()
			c = nil
		}
	}
}

// lives starts one router process after another.
type lives struct {
	*town
	k     *soak
	known string // in the configuration
	count int
}

// begin starts a process that knows the list of now.
func (l *lives) begin() {
	known := l.k.startOver()
	l.rewrite(l.known, known)
	l.known = known
	l.start()
	go func(log chan string) {
		for range log { // nobody reads it
		}
	}(l.log)
	l.count++
}

// draw has one thing happen, or nothing.
func (l *lives) draw() {
	l.k.mu.Lock()
	n := l.k.rng.IntN(20)
	l.k.mu.Unlock()
	switch {
	case n < 9:
		l.k.event()
	case n == 9:
		l.k.outage()
	case n <= 12:
		l.cmd.Process.Kill()
		l.cmd.Wait()
		l.begin()
	}
}

// TestListSoak draws faults for some time, from a seed.
func TestListSoak(t *testing.T) {
	w := plan(t, 1, 1024)
	k := &soak{t: t, heard: w.heard, rng: rand.New(rand.NewPCG(*soakSeed, 0))}
	for range 4 {
		k.add()
	}
	w.rewrite(w.names.Addr, k.serveNames())
	l := &lives{town: w, k: k, known: w.text[strings.Index(w.text, `"known":`):strings.Index(w.text, `,"settings":`)]}
	l.begin()
	stop := make(chan struct{})
	defer close(stop)
	go ask(w.addr, stop)
	step := time.NewTicker(300 * time.Millisecond)
	defer step.Stop()
	served := 0
	for end, over := time.After(*soakFor), false; !over; {
		select {
		case said := <-w.heard:
			k.judge(said)
			served++
		case <-step.C:
			l.draw()
		case <-end:
			over = true
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t.Logf("%d lives, %d servers, %d good answers, %d strays, %d requests", l.count, len(k.servers), k.sent, k.strays, served)
	for _, line := range k.late[:min(len(k.late), 10)] {
		t.Error(line)
	}
	if served < int(soakFor.Seconds())*20 || k.strays == 0 || l.count < 2 {
		t.Error("too little came about")
	}
}

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

// TestListSoak runs one router process after another with a name server that gives wrong answers at random, while servers drain, are
// removed and are replaced. Whatever the answers are, no request may reach a server after the grace of its drain.

var (
	soakFor  = flag.Duration("soak", 25*time.Second, "how long TestListSoak runs")
	soakSeed = flag.Uint64("soak-seed", 3, "the seed of the faults in TestListSoak")
)

const (
	// reportDelay is the time after which a list change counts as reported although the answer with it was lost or wrong.
	reportDelay = 1500 * time.Millisecond
	// machineLag is the time that a busy machine may take to run a ready process, on both ends. A router that missed a list is late
	// by seconds.
	machineLag = 400 * time.Millisecond
	// badAnswerPercent is the percentage of wrong answers.
	badAnswerPercent = 35
)

// listedServer is one server of the soak.
type listedServer struct {
	id         string
	server     *fake.Server
	draining   bool
	reportedAt time.Time // when the drain or removal was reported to the current router process; zero: not yet
	removed    bool      // no longer in the list
}

// listSoak holds the servers and the state of the name server. The lock guards all of it.
type listSoak struct {
	t        *testing.T
	received chan fake.Message

	mu           sync.Mutex
	rng          *rand.Rand
	servers      []*listedServer
	listNumber   uint32
	history      []numberedList // of all router processes
	downUntil    time.Time      // no question is answered before this time
	late         []string       // descriptions of requests that came after the grace
	staleAnswers int
	goodAnswers  int
}

// numberedList is a list as it was sent, with its number at that time.
type numberedList struct {
	listNumber  uint32
	listEntries []string
}

func (k *listSoak) listEntries() (all []string) {
	for _, s := range k.servers {
		priority := 0
		if s.draining {
			priority = 1
		}
		if !s.removed {
			all = append(all, fmt.Sprintf("%s.east %d 10 std 0 0 %s", s.id, priority, s.server.Addr))
		}
	}
	return all
}

// recordList adds the current list to the history under a new number.
func (k *listSoak) recordList() {
	k.listNumber++
	k.history = append(k.history, numberedList{k.listNumber, k.listEntries()})
}

func (k *listSoak) addServer() {
	k.servers = append(k.servers, &listedServer{id: fmt.Sprintf("s-%04d", len(k.servers)), server: fake.NewServer(k.t, k.received)})
}

// changeList drains one server and adds another, or removes a draining one.
func (k *listSoak) changeList() {
	k.mu.Lock()
	defer k.mu.Unlock()
	var readyServers, drainingServers []*listedServer
	for _, s := range k.servers {
		switch {
		case s.removed:
		case s.draining:
			drainingServers = append(drainingServers, s)
		default:
			readyServers = append(readyServers, s)
		}
	}
	if len(drainingServers) > 1 {
		drainingServers[0].removed = true
	} else {
		s := readyServers[k.rng.IntN(len(readyServers))]
		s.draining = true
		k.addServer()
	}
	k.recordList()
}

// startOutage stops the answers of the name server for a while.
func (k *listSoak) startOutage() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.downUntil = time.Now().Add(time.Duration(500+k.rng.IntN(2000)) * time.Millisecond)
}

// restartNumbering restarts the list numbers for a new router process and returns its initial list, which is the current one.
func (k *listSoak) restartNumbering() (known string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listNumber = 0
	k.recordList()
	var targets []string
	for _, s := range k.servers {
		s.reportedAt = time.Time{}
		if s.removed {
			continue
		}
		state := "ready"
		if s.draining {
			state, s.reportedAt = "draining", time.Now()
		}
		targets = append(targets, fmt.Sprintf(`{"uid":"%s","endpoint":"%s","az":"east","model":"std","state":"%s"}`, s.id, s.server.Addr, state))
	}
	return fmt.Sprintf(`"known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[%s]}}]}`, strings.Join(targets, ","))
}

// markReported records that the drains and removals of the current list were reported to the router at the given time.
func (k *listSoak) markReported(at time.Time) {
	for _, s := range k.servers {
		if (s.draining || s.removed) && (s.reportedAt.IsZero() || at.Before(s.reportedAt)) {
			s.reportedAt = at
		}
	}
}

// answersTo draws the answers to a question.
func (k *listSoak) answersTo(question []byte) (answers [][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Before(k.downUntil) {
		return nil
	}
	id := binary.BigEndian.Uint16(question)
	good := func() []byte { return fake.ListAnswer(id, k.listNumber, discovery.ServiceName, k.listEntries()...) }
	if k.rng.IntN(100) >= badAnswerPercent {
		k.markReported(now)
		k.goodAnswers++
		return [][]byte{good()}
	}
	k.markReported(now.Add(reportDelay))
	switch k.rng.IntN(6) {
	case 0: // lost
		return nil
	case 1: // failure code
		msg := good()
		msg[3] |= 2
		return [][]byte{msg}
	case 2: // truncated
		msg := good()
		return [][]byte{msg[:k.rng.IntN(len(msg))]}
	case 3: // wrong id
		return [][]byte{fake.ListAnswer(id^1, k.listNumber, discovery.ServiceName, k.listEntries()...)}
	default: // a list of any earlier time
		k.staleAnswers++
		earlier := k.history[k.rng.IntN(len(k.history))]
		return [][]byte{fake.ListAnswer(id, earlier.listNumber, discovery.ServiceName, earlier.listEntries...)}
	}
}

// startNameServer answers questions until the test ends.
func (k *listSoak) startNameServer() (addr string) {
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
			for _, answer := range k.answersTo(buf[:n]) {
				c.WriteTo(answer, from)
			}
		}
	}()
	return c.LocalAddr().String()
}

// checkMessage answers a request that reached a server, and records it if it came too late.
func (k *listSoak) checkMessage(said fake.Message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.servers {
		if late := said.ReceivedAt.Sub(s.reportedAt); s.server == said.Server && !s.reportedAt.IsZero() && late > grace+machineLag {
			k.late = append(k.late, fmt.Sprintf("request %s reached %s %v after its drain was reported", said.Words[1], s.id, late))
		}
	}
	if said.Words[0] == "fetch" {
		said.Answer("served", "count=1", "x\t\t\n")
	}
}

// sendUntil sends about a hundred requests per second to the router until stop is closed, and reconnects after a restart.
func sendUntil(addr string, stop <-chan struct{}) {
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

// routerRuns starts one router process after another.
type routerRuns struct {
	*cluster
	soak      *listSoak
	knownList string // as it stands in the configuration
	count     int
}

// startNext starts a process that knows the current list.
func (l *routerRuns) startNext() {
	knownList := l.soak.restartNumbering()
	l.replaceConfig(l.knownList, knownList)
	l.knownList = knownList
	l.start()
	go func(logLines chan string) {
		for range logLines { // discard, so that the goroutine that forwards the log does not block
		}
	}(l.logLines)
	l.count++
}

// drawEvent triggers one random event, or none.
func (l *routerRuns) drawEvent() {
	l.soak.mu.Lock()
	n := l.soak.rng.IntN(20)
	l.soak.mu.Unlock()
	switch {
	case n < 9:
		l.soak.changeList()
	case n == 9:
		l.soak.startOutage()
	case n <= 12:
		l.cmd.Process.Kill()
		l.cmd.Wait()
		l.startNext()
	}
}

// TestListSoak draws faults from a seed for the duration of the -soak flag.
func TestListSoak(t *testing.T) {
	w := prepareCluster(t, 1, 1024)
	soak := &listSoak{t: t, received: w.received, rng: rand.New(rand.NewPCG(*soakSeed, 0))}
	for range 4 {
		soak.addServer()
	}
	w.replaceConfig(w.nameServer.Addr, soak.startNameServer())
	l := &routerRuns{cluster: w, soak: soak, knownList: w.text[strings.Index(w.text, `"known":`):strings.Index(w.text, `,"settings":`)]}
	l.startNext()
	stop := make(chan struct{})
	defer close(stop)
	go sendUntil(w.addr, stop)
	step := time.NewTicker(300 * time.Millisecond)
	defer step.Stop()
	served := 0
	for end, over := time.After(*soakFor), false; !over; {
		select {
		case said := <-w.received:
			soak.checkMessage(said)
			served++
		case <-step.C:
			l.drawEvent()
		case <-end:
			over = true
		}
	}
	soak.mu.Lock()
	defer soak.mu.Unlock()
	t.Logf("%d router processes, %d servers, %d good answers, %d stale answers, %d requests", l.count, len(soak.servers), soak.goodAnswers, soak.staleAnswers, served)
	for _, line := range soak.late[:min(len(soak.late), 10)] {
		t.Error(line)
	}
	if served < int(soakFor.Seconds())*20 || soak.staleAnswers == 0 || l.count < 2 {
		t.Error("too few requests, stale answers or restarts")
	}
}

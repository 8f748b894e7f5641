package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/discovery"
	"dunereach/internal/fake"
)

// TestSignalAtAccept guards against requests lost when new connections, their requests and SIGTERM arrive together. The process
// is suspended meanwhile, so it finds all of them in the same instant. Each request gets an answer and no connection is reset.
func TestSignalAtAccept(t *testing.T) {
	w := newCluster(t, 1)
	w.waitForLog("serving")
	go answerRequests(w)
	w.cmd.Process.Signal(syscall.SIGSTOP)
	var clients []*fake.Client
	for range 20 {
		c := fake.NewClient(t, w.addr)
		w.request(c, "lookup", 30000, "SELECT 1")
		clients = append(clients, c)
	}
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.cmd.Process.Signal(syscall.SIGCONT)
	for k, c := range clients {
		got := c.NextAnswer()
		if !strings.Contains(got, " 0={") && !strings.Contains(got, " 1={") {
			t.Errorf("client %d got %q", k, got)
		}
		w.expectAnswer(c, "closed")
	}
	w.waitForExit(0)
}

// TestKilledAfterAccept kills routers right after they accepted a connection with a request and restarts them at once: the client
// sees its connection close, and the next process serves the retry under the same id.
func TestKilledAfterAccept(t *testing.T) {
	w := newCluster(t, 1)
	for range 5 {
		w.waitForLog("serving")
		c := fake.NewClient(t, w.addr)
		seq := w.request(c, "lookup", 30000, "SELECT 1")
		w.cmd.Process.Kill()
		if got := c.NextAnswer(); strings.HasPrefix(got, "2/") {
			t.Errorf("request %d got %q", seq, got)
		}
		w.cmd.Wait()
		w.start()
		again := fake.NewClient(t, w.addr)
		w.lastRef-- // the client retries with the same id
		seq = w.request(again, "lookup", 30000, "SELECT 1")
		s := w.receive("fetch")
		s.Answer("served", "count=1", "x\t\t\n") // the attempt of the killed process or of the new one
		select {
		case other := <-w.received:
			other.Answer("served", "count=1", "x\t\t\n")
		case <-time.After(50 * time.Millisecond):
		}
		w.expectAnswer(again, resultMessage(seq, "x\t\t\n"))
	}
}

// answerRequests lets the servers answer each request at once.
func answerRequests(w *cluster) {
	for s := range w.received {
		if s.Words[0] == "fetch" {
			s.Answer("served", "count=1", "x\t\t\n")
		}
	}
}

// TestReloadThenDrain: a new configuration changes the name server and brings a complete list without one of the servers; right
// after it another server drains. Neither server may receive a request once the list is applied, under continuous traffic.
func TestReloadThenDrain(t *testing.T) {
	w := newCluster(t, 3)
	w.waitForLog("serving")
	c := fake.NewClient(t, w.addr)
	for range 6 {
		w.completeRequest(c, "lookup")
	}
	w.nameServer.SetDown(true)
	nameServer := fake.NewNameServer(t, discovery.ServiceName)
	target := func(k int) string {
		return fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"east","model":"std","state":"ready"}`, k, w.servers[k].Addr)
	}
	wholeList := fmt.Sprintf(`{"rev":3,"pool":{"rev":3,"all":true,"targets":[%s,%s]}}`, target(1), target(2))
	text := strings.Replace(w.text, w.nameServer.Addr, nameServer.Addr, 1)
	text = strings.Replace(text, `"known":{"rev":1,"notices":[`, `"known":{"rev":3,"notices":[`, 1)
	text = strings.Replace(text, `]}}]},"settings"`, `]}},`+wholeList+`]},"settings"`, 1)
	if err := os.WriteFile(w.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	entry := func(k, priority int) string {
		return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.servers[k].Addr)
	}
	nameServer.SetList(4, entry(1, 1), entry(2, 0))
	from := time.Now()
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.waitForLog(`"msg":"new configuration"`)
	w.waitForLog(`"list of engines","rev":4`)
	const listDelayLimit = 1500 * time.Millisecond
	if took := time.Since(from); took > listDelayLimit {
		t.Errorf("the list with the drain arrived after %v", took)
	}
	for range 20 {
		if s := w.completeRequest(c, "lookup"); s.Server != w.servers[2] {
			t.Error("a removed or draining server received a request")
		}
	}
}

// TestListFallsSilentTwice: the name server stops answering the router's socket, repeatedly. The router must receive the current
// list each time, complete and within 3 s.
func TestListFallsSilentTwice(t *testing.T) {
	w := newCluster(t, 2)
	w.waitForLog("serving")
	entry := func(k, priority int) string {
		return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.servers[k].Addr)
	}
	w.nameServer.AwaitQuery()
	for rev := uint32(2); rev <= 4; rev++ {
		w.nameServer.IgnoreClients()
		drains := int(rev % 2)
		w.nameServer.SetList(rev, entry(drains, 1), entry(1-drains, 0))
		from := time.Now()
		w.waitForLog(fmt.Sprintf(`"list of engines","rev":%d`, rev))
		if took := time.Since(from); took > 3*time.Second {
			t.Errorf("list %d arrived after %v", rev, took)
		}
		if s := w.completeRequest(fake.NewClient(t, w.addr), "lookup"); s.Server != w.servers[1-drains] {
			t.Error("a draining server received a request")
		}
	}
}

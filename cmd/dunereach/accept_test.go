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

// TestSignalAtAccept: connections, their calls and SIGTERM all come while the process stands still, so that it finds them in the same
// instant. Each call has an answer and no connection is reset.
func TestSignalAtAccept(t *testing.T) {
	w := newTown(t, 1)
	w.logged("serving")
	go answerAll(w)
	w.cmd.Process.Signal(syscall.SIGSTOP)
	var clients []*fake.Client
	for range 20 {
		c := fake.NewClient(t, w.addr)
		w.call(c, "lookup", 30000, "SELECT 1")
		clients = append(clients, c)
	}
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.cmd.Process.Signal(syscall.SIGCONT)
	for k, c := range clients {
		got := c.Next()
		if !strings.Contains(got, " 0={") && !strings.Contains(got, " 1={") {
			t.Errorf("client %d got %q", k, got)
		}
		w.expect(c, "closed")
	}
	w.ended(0)
}

// TestKilledAfterAccept: routers are killed right after they have accepted a connection with a call, and started again at once: the client
// sees its connection end, and the next process serves under the same id.
func TestKilledAfterAccept(t *testing.T) {
	w := newTown(t, 1)
	for range 5 {
		w.logged("serving")
		c := fake.NewClient(t, w.addr)
		seq := w.call(c, "lookup", 30000, "SELECT 1")
		w.cmd.Process.Kill()
		if got := c.Next(); strings.HasPrefix(got, "2/") {
			t.Errorf("call %d got %q", seq, got)
		}
		w.cmd.Wait()
		w.start()
		again := fake.NewClient(t, w.addr)
		w.refs-- // the client's retry under the same id
		seq = w.call(again, "lookup", 30000, "SELECT 1")
		s := w.hear("fetch")
		s.Answer("served", "count=1", "x\t\t\n") // of the process that was killed, or of this one
		select {
		case other := <-w.heard:
			other.Answer("served", "count=1", "x\t\t\n")
		case <-time.After(50 * time.Millisecond):
		}
		w.expect(again, served(seq, "x\t\t\n"))
	}
}

// answerAll has the servers answer each request at once.
func answerAll(w *town) {
	for s := range w.heard {
		if s.Words[0] == "fetch" {
			s.Answer("served", "count=1", "x\t\t\n")
		}
	}
}

// TestReloadThenDrain: a new configuration moves discovery, and brings the whole list with one server gone; right after it another
// server drains. Neither is sent anything once the list is taken, while requests go on all the time.
func TestReloadThenDrain(t *testing.T) {
	w := newTown(t, 3)
	w.logged("serving")
	c := fake.NewClient(t, w.addr)
	for range 6 {
		w.serve(c, "lookup")
	}
	w.names.Down(true)
	names := fake.NewNameServer(t, discovery.ServiceName)
	target := func(k int) string {
		return fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"east","model":"std","state":"ready"}`, k, w.engines[k].Addr)
	}
	whole := fmt.Sprintf(`{"rev":3,"pool":{"rev":3,"all":true,"targets":[%s,%s]}}`, target(1), target(2))
	text := strings.Replace(w.text, w.names.Addr, names.Addr, 1)
	text = strings.Replace(text, `"known":{"rev":1,"notices":[`, `"known":{"rev":3,"notices":[`, 1)
	text = strings.Replace(text, `]}}]},"settings"`, `]}},`+whole+`]},"settings"`, 1)
	if err := os.WriteFile(w.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	entry := func(k, priority int) string {
		return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.engines[k].Addr)
	}
	names.Set(4, entry(1, 1), entry(2, 0))
	from := time.Now()
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.logged(`"msg":"new configuration"`)
	w.logged(`"list of engines","rev":4`)
	const told = 1500 * time.Millisecond
	if took := time.Since(from); took > told {
		t.Errorf("the drain was heard of after %v", took)
	}
	for range 20 {
		if s := w.serve(c, "lookup"); s.Engine != w.engines[2] {
			t.Error("a server that is gone or drains was sent something")
		}
	}
}

// TestListFallsSilentTwice: the name server's flow is lost, and the new one again later: the list is heard of each time, whole.
func TestListFallsSilentTwice(t *testing.T) {
	w := newTown(t, 2)
	w.logged("serving")
	entry := func(k, priority int) string {
		return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.engines[k].Addr)
	}
	w.names.Asked()
	for rev := uint32(2); rev <= 4; rev++ {
		w.names.Forget()
		drains := int(rev % 2)
		w.names.Set(rev, entry(drains, 1), entry(1-drains, 0))
		from := time.Now()
		w.logged(fmt.Sprintf(`"list of engines","rev":%d`, rev))
		if took := time.Since(from); took > 3*time.Second {
			t.Errorf("list %d was heard after %v", rev, took)
		}
		if s := w.serve(fake.NewClient(t, w.addr), "lookup"); s.Engine != w.engines[1-drains] {
			t.Error("a draining server was sent something")
		}
	}
}

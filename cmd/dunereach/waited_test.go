package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/fake"
)

// TestWaitedUnread guards against a server that is told more time than the client has left, as the request lay unread with the system: on a
// connection behind a crowd, and on old and new ones while the router stood still.
func TestWaitedUnread(t *testing.T) {
	const timeout = 10 * time.Second
	for _, c := range []struct {
		name          string
		before        func(w *cluster) // before the request is sent
		after         func(w *cluster) // after it
		newConnection bool             // on a new connection
	}{
		{"behind a crowd", func(w *cluster) { w.connectCrowd(partialMessageCrowd, 40) }, func(*cluster) {}, true},
		{"new while stopped", (*cluster).suspend, resumeLater, true},
		{"open while stopped", (*cluster).suspend, resumeLater, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newClusterWithLimit(t, 1, smallDescriptorLimit)
			w.waitForLog("serving")
			client := fake.NewClient(t, w.addr)
			if !client.Health() {
				t.Fatal("not ready")
			}
			c.before(w)
			if c.newConnection {
				client = fake.NewClient(t, w.addr)
			}
			from := time.Now()
			w.request(client, "lookup", int(timeout.Milliseconds()), "SELECT 1")
			c.after(w)
			said := w.receive("fetch")
			waited := said.At.Sub(from)
			if reported := sentTimeLimit(said); waited < timeLimitSlack || reported > timeout-waited+timeLimitSlack {
				t.Errorf("the server was told %v, the client has waited %v of %v", reported, waited, timeout)
			}
			said.Answer("served", "count=1", "x\t\t\n")
			w.expectAnswer(client, resultMessage(map[bool]int32{true: 1, false: 2}[c.newConnection], "x\t\t\n"))
		})
	}
}

// suspend stops the router, and waits until it has.
func (w *cluster) suspend() {
	w.t.Helper()
	w.cmd.Process.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(fake.Patience); ; time.Sleep(time.Millisecond) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.cmd.Process.Pid))
		if err == nil && strings.Contains(string(status), ") T ") {
			return
		}
		if time.Now().After(end) {
			w.t.Fatal("it does not stop")
		}
	}
}

// resumeLater lets a stopped router stand still for a while.
func resumeLater(w *cluster) {
	time.Sleep(600 * time.Millisecond) // what is measured is a time
	w.cmd.Process.Signal(syscall.SIGCONT)
}

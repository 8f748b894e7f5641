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

// TestWaitedUnread guards against a time limit sent to a server that exceeds the time left to the client, because the request waited
// unread in the system's buffers: on a connection behind a crowd, or on old and new connections while the router was suspended.
func TestWaitedUnread(t *testing.T) {
	const timeout = 10 * time.Second
	for _, c := range []struct {
		name          string
		before        func(w *cluster) // before the request is sent
		after         func(w *cluster) // after the request is sent
		newConnection bool             // send the request on a new connection
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
			waited := said.ReceivedAt.Sub(from)
			if timeLimit := sentTimeLimit(said); waited < timeLimitSlack || timeLimit > timeout-waited+timeLimitSlack {
				t.Errorf("the server received a time limit of %v, the client has waited %v of %v", timeLimit, waited, timeout)
			}
			said.Answer("served", "count=1", "x\t\t\n")
			w.expectAnswer(client, resultMessage(map[bool]int32{true: 1, false: 2}[c.newConnection], "x\t\t\n"))
		})
	}
}

// suspend stops the router with SIGSTOP and waits until it has stopped.
func (w *cluster) suspend() {
	w.t.Helper()
	w.cmd.Process.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(fake.Timeout); ; time.Sleep(time.Millisecond) {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.cmd.Process.Pid))
		if err == nil && strings.Contains(string(status), ") T ") {
			return
		}
		if time.Now().After(end) {
			w.t.Fatal("the router does not stop")
		}
	}
}

// resumeLater keeps a suspended router stopped for a while, then resumes it.
func resumeLater(w *cluster) {
	time.Sleep(600 * time.Millisecond) // the wait that the test checks for
	w.cmd.Process.Signal(syscall.SIGCONT)
}

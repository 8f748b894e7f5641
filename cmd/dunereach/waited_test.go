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
	const allow = 10 * time.Second
	for _, c := range []struct {
		name string
		wait func(w *town) // before the request is sent
		then func(w *town) // after it
		dial bool          // on a new connection
	}{
		{"behind a crowd", func(w *town) { w.crowd(halfCrowd, 40) }, func(*town) {}, true},
		{"new while stopped", (*town).standStill, goOn, true},
		{"open while stopped", (*town).standStill, goOn, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newTownOf(t, 1, smallTable)
			w.logged("serving")
			client := fake.NewClient(t, w.addr)
			if !client.Health() {
				t.Fatal("not ready")
			}
			c.wait(w)
			if c.dial {
				client = fake.NewClient(t, w.addr)
			}
			from := time.Now()
			w.call(client, "lookup", int(allow.Milliseconds()), "SELECT 1")
			c.then(w)
			said := w.hear("fetch")
			waited := said.At.Sub(from)
			if told := limitOf(said); waited < limitSlack || told > allow-waited+limitSlack {
				t.Errorf("the server was told %v, the client has waited %v of %v", told, waited, allow)
			}
			said.Answer("served", "count=1", "x\t\t\n")
			w.expect(client, served(map[bool]int32{true: 1, false: 2}[c.dial], "x\t\t\n"))
		})
	}
}

// standStill stops the router, and waits until it has.
func (w *town) standStill() {
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

// goOn lets a stopped router stand still for a while.
func goOn(w *town) {
	time.Sleep(600 * time.Millisecond) // what is measured is a time
	w.cmd.Process.Signal(syscall.SIGCONT)
}

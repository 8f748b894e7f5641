package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/fake"
	"dunereach/internal/logs"
)

// What users saw: a request ran on a server that drained, after the grace in which sends to it have to stop.
//
// The order of events that these tests force, over real processes and sockets: a server reads nothing for a while, so that its window
// is shut; requests for it are written and stay in the router's system; the server drains; it reads again, past the grace. Until then the
// router took bytes that its system had accepted for bytes that had left, and an attempt that it had given up for one that is over.

const (
	// grace is the settings' time for sends to a server that drains, with the protocol's slack of 50 ms.
	grace = 300 * time.Millisecond
	// overWindow is more than the window of a server that does not read, and far less than what the system holds for a sender.
	overWindow = 100 << 10
	// oneConnectionLimit is the number of descriptors with which a router shares one connection to a single server among its attempts.
	oneConnectionLimit = 20
)

// stalledServer accepts connections with a small window and reads nothing until it is told to.
type stalledServer struct {
	addr       string
	resumed    chan struct{}
	requestIDs chan string // ids of whole requests, as they are read
	ended      chan struct{}
}

// newStalledServer is one that accepts a single connection.
func newStalledServer(t *testing.T) *stalledServer {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	listener, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &stalledServer{addr: listener.Addr().String(), resumed: make(chan struct{}), requestIDs: make(chan string, 100), ended: make(chan struct{})}
	go func() {
		defer close(s.ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		<-s.resumed
		s.readRequests(conn)
	}()
	return s
}

// readRequests notes whole requests until the connection ends or is quiet for a second.
func (s *stalledServer) readRequests(conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		conn.SetReadDeadline(time.Now().Add(time.Second))
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if words[0] != "fetch" {
			continue
		}
		var size int
		fmt.Sscan(words[3], &size)
		if _, err := io.CopyN(io.Discard, r, int64(size+len("\r\n"))); err != nil {
			return
		}
		s.requestIDs <- words[1]
	}
}

// resume lets the server read on and returns the ids of the requests that it gets whole from then on.
func (s *stalledServer) resume(t *testing.T) (ids []string) {
	t.Helper()
	close(s.resumed)
	select {
	case <-s.ended:
	case <-time.After(fake.Patience):
		t.Fatal("the server reads on and on")
	}
	close(s.requestIDs)
	for id := range s.requestIDs {
		ids = append(ids, id)
	}
	return ids
}

// newStalledCluster is a router whose only server is stalled, with all attempts on one connection.
func newStalledCluster(t *testing.T) (w *cluster, server *stalledServer) {
	t.Helper()
	w = prepareCluster(t, 1, oneConnectionLimit)
	server = newStalledServer(t)
	w.replaceConfig(w.servers[0].Addr, server.addr)
	w.replaceConfig(`"CpuOfKind":[8]`, `"CpuOfKind":[64]`) // room for all that a test asks
	w.extraEnv = []string{logs.LevelVariable + "=debug"}
	w.start()
	return w, server
}

// requestWritten sends a request of a size and waits until the router has written its attempt.
func (w *cluster) requestWritten(c *fake.Client, profile string, timeoutMs, size int) (seq int32, id string) {
	w.t.Helper()
	seq = w.request(c, profile, timeoutMs, "SELECT '"+strings.Repeat("x", size)+"'")
	id = fmt.Sprintf("%016x", w.lastRef)
	w.waitForLog(fmt.Sprintf(`"attempt written","request":%q`, id))
	return seq, id
}

// drainStalled has the name server tell that the only server drains, and waits until the grace is over.
func (w *cluster) drainStalled(server *stalledServer) {
	w.t.Helper()
	w.nameServer.Set(2, fmt.Sprintf("s-0.east 1 10 std 0 0 %s", server.addr))
	w.waitForLog(`"to":"draining"`)
	time.Sleep(grace)
}

// TestDrainUndelivered: what a router has written and its system has not delivered never reaches a server past the grace of its drain,
// whether the attempt is still out, was given up before, or stands before a write that blocks.
func TestDrainUndelivered(t *testing.T) {
	const shortTimeoutMs = 300 // milliseconds that a client waits
	for name, before := range map[string]func(w *cluster, c *fake.Client) string{
		"out": func(w *cluster, c *fake.Client) string {
			_, id := w.requestWritten(c, "lookup", 30000, 1)
			return id
		},
		"given up": func(w *cluster, c *fake.Client) string {
			_, id := w.requestWritten(c, "lookup", shortTimeoutMs, 1)
			w.waitForLog(fmt.Sprintf(`"request rejected","request":%q`, id))
			return id
		},
		"before a write that blocks": func(w *cluster, c *fake.Client) string {
			_, id := w.requestWritten(c, "lookup", 30000, 1)
			for range 30 { // more than the system takes for one connection
				w.requestWritten(c, "lookup", 30000, overWindow)
			}
			return id
		},
	} {
		t.Run(name, func(t *testing.T) {
			w, server := newStalledCluster(t)
			c := fake.NewClient(t, w.addr)
			w.requestWritten(c, "lookup", 30000, overWindow)
			late := before(w, c)
			w.drainStalled(server)
			for _, id := range server.resume(t) {
				if id == late {
					t.Errorf("request %s reached a draining server past the grace", id)
				}
			}
		})
	}
}

// TestLeftUndelivered: requests whose client has left while they had not arrived at their server do not arrive later.
func TestLeftUndelivered(t *testing.T) {
	w, server := newStalledCluster(t)
	c := fake.NewClient(t, w.addr)
	w.requestWritten(c, "lookup", 30000, overWindow)
	w.requestWritten(c, "lookup", 30000, 1)
	c.Leave()
	w.waitForLog(`"why":"requests undelivered"`)
	if ids := server.resume(t); len(ids) > 0 {
		t.Errorf("requests %q ran for a client that had left", ids)
	}
}

// TestEndUndelivered: what a router has given up and its system has not delivered does not arrive after the router's end.
func TestEndUndelivered(t *testing.T) {
	const shortTimeoutMs = 300 // milliseconds that a client waits
	w, server := newStalledCluster(t)
	c := fake.NewClient(t, w.addr)
	w.requestWritten(c, "lookup", shortTimeoutMs, overWindow)
	_, id := w.requestWritten(c, "lookup", shortTimeoutMs, 1)
	w.waitForLog(fmt.Sprintf(`"request rejected","request":%q`, id))
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.waitForExit(0)
	if ids := server.resume(t); len(ids) > 0 {
		t.Errorf("requests %q ran after their router's end", ids)
	}
}

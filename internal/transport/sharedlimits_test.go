package transport

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// namedSink sends the ends of several connections to one channel, with their names.
type namedSink struct {
	name string
	ends chan<- string
}

func (s namedSink) Connected()       {}
func (s namedSink) Feed([]byte)      {}
func (s namedSink) Ended(how Ending) { s.ends <- s.name + " " + how.String() }

// startAccepted returns both ends of a connection that runs over a wrapper of its socket.
func startAccepted(t *testing.T, n *Network, s Sink, over func(*net.TCPConn) net.Conn) (c *Conn, there net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	there, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { there.Close() })
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c = n.New(s, 1<<40)
	c.Start(over(in.(*net.TCPConn)))
	return c, there
}

func unwrapped(c *net.TCPConn) net.Conn { return c }

func nextEnd(t *testing.T, ends <-chan string) string {
	t.Helper()
	select {
	case end := <-ends:
		return end
	case <-time.After(20 * time.Second):
		t.Fatal("no connection ended")
		return ""
	}
}

// blockedHolder starts a connection whose writer is blocked in the middle of writing size bytes until release is called.
func blockedHolder(t *testing.T, n *Network, s Sink, size int) (release func()) {
	blocking := &blockingConn{halfSent: make(chan struct{}), unblock: make(chan struct{})}
	release = sync.OnceFunc(func() { close(blocking.unblock) })
	t.Cleanup(release)
	holder, _ := startAccepted(t, n, s, func(c *net.TCPConn) net.Conn {
		blocking.TCPConn = c
		return blocking
	})
	holder.Append(make([]byte, size))
	<-blocking.halfSent
	return release
}

// waitForNothingQueued waits until no output is counted as queued.
func waitForNothingQueued(t *testing.T, n *Network) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); n.limits.queued.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still counted as queued", n.limits.queued.Load())
		}
	}
}

// TestLargestQueueEnds guards against the end of a connection, to a client or to a server, because others do not read: when the queued
// output of all passes its limit, the connection ends that has the most.
func TestLargestQueueEnds(t *testing.T) {
	const limit, held, appended = 100 << 10, 80 << 10, 30 << 10 // bytes
	for kind, start := range map[string]func(t *testing.T, n *Network, ends chan<- string) (*Conn, net.Conn){
		"client": func(t *testing.T, n *Network, ends chan<- string) (*Conn, net.Conn) {
			return startAccepted(t, n, namedSink{"sound", ends}, unwrapped)
		},
		"server": func(t *testing.T, n *Network, _ chan<- string) (*Conn, net.Conn) {
			c, _, there := dial(t, n, 1<<40)
			return c, there
		},
	} {
		t.Run(kind, func(t *testing.T) {
			n, ends := newTestNet(t, limit), make(chan string, 4)
			release := blockedHolder(t, n, namedSink{"holder", ends}, held)
			sound, there := start(t, n, ends)
			received := make(chan error, 1)
			go func() {
				_, err := io.ReadFull(there, make([]byte, 3*appended))
				received <- err
			}()
			for range 3 {
				sound.Append(make([]byte, appended))
			}
			release()
			if err := <-received; err != nil {
				t.Errorf("the sound connection received not all: %v", err)
			}
			if end := nextEnd(t, ends); end != "holder does not read" {
				t.Errorf("%q, want the end of the holder", end)
			}
			waitForNothingQueued(t, n)
		})
	}
}

// TestOldestLingererGivesWay guards against a close without a lingering one, which can reset answers on their way, because others linger:
// the one that has lingered longest is closed.
func TestOldestLingererGivesWay(t *testing.T) {
	n, ends := newTestNet(t, 1<<30), make(chan string, 16)
	names := []string{"first", "second", "third", "fourth", "fifth"} // newTestNet lets four linger
	for _, name := range names {
		c, there := startAccepted(t, n, namedSink{name, ends}, unwrapped)
		c.Append([]byte("answer"))
		c.Finish()
		if got, err := io.ReadAll(there); string(got) != "answer" || err != nil {
			t.Errorf("%s: the peer received %q, %v", name, got, err)
		}
	}
	if end := nextEnd(t, ends); end != "first closed" {
		t.Errorf("%q, want the end of the first", end)
	}
}

// TestSlowReaderEnds guards against the end of connections that are read, or of none, while results wait for the memory that a peer which
// does not read takes.
func TestSlowReaderEnds(t *testing.T) {
	n, ends := newTestNet(t, 1<<30), make(chan string, 4)
	release := blockedHolder(t, n, namedSink{"holder", ends}, 80<<10)
	reader, there := startAccepted(t, n, namedSink{"reader", ends}, unwrapped)
	reader.Append(make([]byte, 90<<10)) // the most, but read
	if _, err := io.ReadFull(there, make([]byte, 90<<10)); err != nil {
		t.Fatal(err)
	}
	n.EndSlowReader() // the write has just begun
	select {
	case end := <-ends:
		t.Fatalf("%q, though no write has lasted", end)
	case <-time.After(2 * slowWrite):
	}
	n.EndSlowReader()
	release() // the fake's write does not end with its connection
	if end := nextEnd(t, ends); end != "holder does not read" {
		t.Errorf("%q, want the end of the holder", end)
	}
	n.EndSlowReader()
	waitForNothingQueued(t, n)
	reader.Append([]byte("x"))
	if _, err := io.ReadFull(there, make([]byte, 1)); err != nil {
		t.Errorf("the connection that is read has ended: %v", err)
	}
}

// TestDialedPauses guards against input from servers that comes faster than clients take it: while much output is queued, dialed
// connections are not read.
func TestDialedPauses(t *testing.T) {
	n := newTestNet(t, 1<<30)
	n.PauseDialedAbove(10 << 10)
	release := blockedHolder(t, n, namedSink{"holder", make(chan string, 1)}, 80<<10)
	waited := make(chan struct{})
	go func() {
		n.limits.waitForOutput(n.New(nil, 1))
		close(waited)
	}()
	select {
	case <-waited:
		t.Error("the reader did not wait")
	case <-time.After(20 * time.Millisecond):
	}
	release()
	<-waited
	waitForNothingQueued(t, n)
	from := time.Now()
	n.limits.waitForOutput(n.New(nil, 1))
	if took := time.Since(from); took > 50*time.Millisecond {
		t.Errorf("with nothing queued the reader waited %v", took)
	}
}

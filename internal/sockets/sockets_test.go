package sockets

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// sink tells a channel what its connection brought.
type sink chan string

func (s sink) Up()           { s <- "up" }
func (s sink) Feed(b []byte) { s <- "fed " + string(b) }
func (s sink) Ended(how Ending) {
	s <- how.String()
}

// owner runs a net whose entries are delivered by one goroutine, until the test ends.
func owner(t *testing.T, room int64) *Net {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	n := NewNet(ctx, &group, make(Inbox, 4), room)
	group.Go(func() error {
		for {
			select {
			case e := <-n.inbox:
				e.Deliver()
			case <-ctx.Done():
				return nil
			}
		}
	})
	t.Cleanup(func() { cancel(); group.Wait() })
	return n
}

// dial gives both ends of a connection.
func dial(t *testing.T, n *Net, limit int) (*Conn, sink, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := make(sink, 100)
	c := n.New(s, limit)
	c.Dial(l.Addr().String(), 10*time.Second)
	there, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { there.Close() })
	s.want(t, "up")
	return c, s, there
}

func (s sink) want(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s:
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("no %q", want)
	}
}

// TestStuffed: one that doesn't read neither holds the owner up nor takes memory past the bounds, its own and
// that of all together; the others go on.
func TestStuffed(t *testing.T) {
	for _, bound := range []struct {
		limit int
		room  int64
	}{{1 << 20, 1 << 40}, {1 << 40, 1 << 20}} {
		n := owner(t, bound.room)
		c, s, _ := dial(t, n, bound.limit)
		part := make([]byte, 64<<10)
		for k := 0; c.ctx.Err() == nil; k++ { // the kernel takes some megabytes
			if c.Append(part); n.used.Load() > 4<<20 {
				t.Fatalf("%d bytes wait", n.used.Load())
			}
		}
		s.want(t, "does not read")
		if used := n.used.Load(); used != 0 {
			t.Errorf("%d bytes are counted of a connection that ended", used)
		}
		other, o, there := dial(t, n, bound.limit)
		other.Append([]byte("well"))
		got := make([]byte, 4)
		io.ReadFull(there, got)
		there.Write(got)
		o.want(t, "fed well")
	}
}

// TestEnds: each way that a connection ends is told as what it is, and what was appended before Finish arrives.
func TestEnds(t *testing.T) {
	n := owner(t, 1<<30)
	c, s, there := dial(t, n, 1<<30)
	there.(*net.TCPConn).CloseWrite()
	s.want(t, "finished")
	text := bytes.Repeat([]byte("0123456789"), 1<<18)
	from := c.Append(text)
	c.Finish()
	got, err := io.ReadAll(there)
	if err != nil || !bytes.Equal(got, text) {
		t.Errorf("%d of %d bytes came, %v", len(got), len(text), err)
	}
	s.want(t, "closed")
	if !c.Begun(from) || c.Begun(int64(len(text))) {
		t.Error("what left and what did not is not told apart")
	}

	_, s, there = dial(t, n, 1<<30)
	there.(*net.TCPConn).SetLinger(0)
	there.Close()
	s.want(t, "reset")

	c, s, _ = dial(t, n, 1<<30)
	c.Bad()
	s.want(t, "can't be read")

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	s = make(sink, 1)
	n.New(s, 1).Dial(l.Addr().String(), 10*time.Second)
	s.want(t, "refused")

	c = n.New(s, 1)
	c.Drop()
	c.Dial(l.Addr().String(), 10*time.Second)
	s.want(t, "never came up")
}

package transport

import (
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// until waits for what must come about.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// undeliverable is more bytes than both systems hold.
const undeliverable = 32 << 20

// TestDelivered: a request is delivered once the other side's system has it all, not when its write has returned. What is no request
// does not count.
func TestDelivered(t *testing.T) {
	c, _, there := dial(t, owner(t, 1<<30), 1<<30)
	const before = 1000
	c.Append(make([]byte, before))
	if !c.Delivered() {
		t.Error("there is no request")
	}
	const size = 1 << 20 // the system takes it, the other side's window does not
	c.AppendRequest(make([]byte, size))
	until(t, "the system does not take it", func() bool { return c.tookAll(before + size) })
	if c.Delivered() {
		t.Error("delivered to one that reads nothing")
	}
	if _, err := io.CopyN(io.Discard, there, before+size); err != nil {
		t.Fatal(err)
	}
	until(t, "it is not delivered", c.Delivered)
	c.AppendRequest(make([]byte, undeliverable))
	until(t, "no write is begun", func() bool { return c.Begun(before + size) })
	if c.Delivered() {
		t.Error("delivered while it is written")
	}
	if _, err := io.CopyN(io.Discard, there, undeliverable); err != nil {
		t.Fatal(err)
	}
	until(t, "it is not delivered", c.Delivered)
	c.Append(make([]byte, undeliverable))
	until(t, "no write is begun", func() bool { return c.Begun(before + size + undeliverable) })
	if !c.Delivered() {
		t.Error("what follows a request counts")
	}
}

// TestDropUndelivered: a connection that is dropped before a request has arrived takes it along, and one that is dropped after it does not
// disturb what has arrived.
func TestDropUndelivered(t *testing.T) {
	for _, c := range []struct {
		size  int
		reset bool
	}{{10, false}, {undeliverable, true}} {
		conn, s, there := dial(t, owner(t, 1<<30), 1<<30)
		conn.AppendRequest(make([]byte, c.size))
		until(t, "no write is begun", func() bool { return conn.Begun(0) })
		if !c.reset {
			until(t, "it is not delivered", conn.Delivered)
		}
		conn.Drop()
		s.want(t, "closed")
		got, err := io.ReadAll(there)
		if (err != nil) != c.reset || (len(got) == c.size) == c.reset {
			t.Errorf("%d bytes of %d came, and then %v", len(got), c.size, err)
		}
	}
}

// piece is bytes that are appended in one go.
type piece struct {
	size    int
	request bool
}

// places is a connection's bytes piece by piece, beside what requests makes of them.
type places struct {
	requests
	waiting []piece
	was     int64 // bytes that writes were begun with
	last    int64 // behind the last request among those
}

func (p *places) append(n piece) {
	p.waiting = append(p.waiting, n)
	if n.request {
		p.requests.last = total(p.waiting)
	}
}

func (p *places) withdraw(k int) {
	p.requests.withdraw(total(p.waiting[:k]), p.waiting[k].size)
	p.waiting = append(p.waiting[:k], p.waiting[k+1:]...)
}

func (p *places) begin() {
	for k, n := range p.waiting {
		if n.request {
			p.last = p.was + int64(total(p.waiting[:k+1]))
		}
	}
	size := total(p.waiting)
	p.requests.begin(size)
	p.was, p.waiting = p.was+int64(size), nil
}

// TestRequestPlaces: whatever is appended, withdrawn and begun, the end of the last request that a write was begun with is known, or
// taken to be later; never earlier.
func TestRequestPlaces(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		var p places
		for range rapid.IntRange(1, 40).Draw(draw, "steps") {
			switch rapid.IntRange(0, 3).Draw(draw, "what") {
			case 0, 1:
				p.append(piece{rapid.IntRange(1, 9).Draw(draw, "size"), rapid.Bool().Draw(draw, "request")})
			case 2:
				if k := rapid.IntRange(0, len(p.waiting)).Draw(draw, "which"); k < len(p.waiting) && p.waiting[k].request {
					p.withdraw(k)
				}
			case 3:
				p.begin()
			}
			if p.begun != p.was || p.end < p.last || p.end > p.was {
				draw.Fatalf("the last request ends at %d of %d, and is taken to end at %d of %d", p.last, p.was, p.end, p.begun)
			}
		}
	})
}

// total is the size of pieces together.
func total(pieces []piece) (size int) {
	for _, p := range pieces {
		size += p.size
	}
	return size
}

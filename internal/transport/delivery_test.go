package transport

import (
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// waitUntil polls a condition and fails the test if it does not come true.
func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// undeliverable is a number of bytes larger than the buffers of both systems.
const undeliverable = 32 << 20

// TestDelivered: a request is delivered once the other side's system has all of it, not when its write has returned.
// Bytes that belong to no request do not count.
func TestDelivered(t *testing.T) {
	c, _, there := dial(t, newTestNet(t, 1<<30), 1<<30)
	const before = 1000
	c.Append(make([]byte, before))
	if !c.Delivered() {
		t.Error("not delivered without any request")
	}
	const size = 1 << 20 // the system accepts it, but the other side's window does not
	c.AppendRequest(make([]byte, size))
	waitUntil(t, "the system does not accept the request", func() bool { return c.accepted(before + size) })
	if c.Delivered() {
		t.Error("delivered although the peer reads nothing")
	}
	if _, err := io.CopyN(io.Discard, there, before+size); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the request is not delivered", c.Delivered)
	c.AppendRequest(make([]byte, undeliverable))
	waitUntil(t, "no write begins", func() bool { return c.WriteBegun(before + size) })
	if c.Delivered() {
		t.Error("delivered during the write")
	}
	if _, err := io.CopyN(io.Discard, there, undeliverable); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the request is not delivered", c.Delivered)
	c.Append(make([]byte, undeliverable))
	waitUntil(t, "no write begins", func() bool { return c.WriteBegun(before + size + undeliverable) })
	if !c.Delivered() {
		t.Error("bytes after a request count as undelivered")
	}
}

// TestDropUndelivered: a request must not arrive after its connection was dropped. Dropping a connection after the
// delivery does not affect the request.
func TestDropUndelivered(t *testing.T) {
	for _, c := range []struct {
		size  int
		reset bool
	}{{10, false}, {undeliverable, true}} {
		conn, s, there := dial(t, newTestNet(t, 1<<30), 1<<30)
		conn.AppendRequest(make([]byte, c.size))
		waitUntil(t, "no write begins", func() bool { return conn.WriteBegun(0) })
		if !c.reset {
			waitUntil(t, "the request is not delivered", conn.Delivered)
		}
		conn.Drop()
		s.want(t, "closed")
		got, err := io.ReadAll(there)
		if (err != nil) != c.reset || (len(got) == c.size) == c.reset {
			t.Errorf("%d of %d bytes arrived, then %v", len(got), c.size, err)
		}
	}
}

// appendedPiece is the bytes of one append.
type appendedPiece struct {
	size    int
	request bool
}

// requestModel is a reference model of the output piece by piece, beside the requestOffsets under test.
type requestModel struct {
	requestOffsets
	waiting      []appendedPiece
	modelBegun   int64 // bytes for which writes have begun
	modelLastEnd int64 // end of the last request among those
}

func (p *requestModel) append(n appendedPiece) {
	p.waiting = append(p.waiting, n)
	if n.request {
		p.requestOffsets.waitingEnd = totalSize(p.waiting)
	}
}

func (p *requestModel) withdraw(k int) {
	p.requestOffsets.withdraw(totalSize(p.waiting[:k]), p.waiting[k].size)
	p.waiting = append(p.waiting[:k], p.waiting[k+1:]...)
}

func (p *requestModel) writeBegun() {
	for k, n := range p.waiting {
		if n.request {
			p.modelLastEnd = p.modelBegun + int64(totalSize(p.waiting[:k+1]))
		}
	}
	size := totalSize(p.waiting)
	p.requestOffsets.writeBegun(size)
	p.modelBegun, p.waiting = p.modelBegun+int64(size), nil
}

// TestRequestOffsets: after any sequence of appends, withdrawals and writes, the tracked end of the last request for
// which a write has begun is exact or too late, never too early.
func TestRequestOffsets(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		var p requestModel
		for range rapid.IntRange(1, 40).Draw(draw, "steps") {
			switch rapid.IntRange(0, 3).Draw(draw, "what") {
			case 0, 1:
				p.append(appendedPiece{rapid.IntRange(1, 9).Draw(draw, "size"), rapid.Bool().Draw(draw, "request")})
			case 2:
				if k := rapid.IntRange(0, len(p.waiting)).Draw(draw, "which"); k < len(p.waiting) && p.waiting[k].request {
					p.withdraw(k)
				}
			case 3:
				p.writeBegun()
			}
			if p.begunBytes != p.modelBegun || p.lastEnd < p.modelLastEnd || p.lastEnd > p.modelBegun {
				draw.Fatalf("the last request ends at %d of %d, but the tracked end is %d of %d", p.modelLastEnd, p.modelBegun, p.lastEnd, p.begunBytes)
			}
		}
	})
}

// totalSize is the total size of the pieces.
func totalSize(pieces []appendedPiece) (size int) {
	for _, p := range pieces {
		size += p.size
	}
	return size
}

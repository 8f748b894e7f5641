// Package transport is the thin driver between connections and the one goroutine that owns all state: a reader
// hands over what came and waits until it was taken; a writer sends what was appended. It knows no protocol.
package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Ending is how a connection came to its end.
type Ending uint8

// The ways in which a connection ends.
const (
	Refused  Ending = iota // nobody listens there
	NeverUp                // not established in time, or not to be had
	Finished               // the other side has said its last; ours may go on
	Reset                  // cut off
	Stuffed                // it doesn't read what it is sent
	Closed                 // by this side
	Garbled                // by this side, since what came can't be read
)

func (e Ending) String() string {
	return [...]string{"refused", "never came up", "finished", "reset", "does not read", "closed", "can't be read"}[e]
}

// Sink takes what comes off a connection. All its methods are called by the owner's goroutine.
type Sink interface {
	Up()              // a connection that was dialled is there
	Feed(b []byte)    // the bytes are good for this call only
	Ended(how Ending) // the last call; Finished is followed by another, once this side has ended too
}

// Inbox is how readers reach the owner. Each connection has one entry under way at most.
type Inbox chan Entry

// Entry is a call on a sink.
type Entry struct {
	sink  Sink
	conn  *Conn // of data
	what  uint8
	data  []byte
	how   Ending
	taken chan<- struct{}
	at    time.Time // when it was ready for the owner
}

// Age is how long the entry has waited.
func (e Entry) Age() time.Duration { return time.Since(e.at) }

const (
	isUp = iota
	isData
	isEnd
)

// Deliver makes the call. Only the owner does.
func (e Entry) Deliver() {
	switch e.what {
	case isUp:
		e.sink.Up()
	case isData:
		e.conn.delivered += uint64(len(e.data))
		e.sink.Feed(e.data)
		e.taken <- struct{}{}
	case isEnd:
		e.sink.Ended(e.how)
	}
}

// Net is what connections share: who owns them, the memory for what waits to go out, and how many may linger.
type Net struct {
	ctx    context.Context // over: nobody takes entries any more
	group  *errgroup.Group
	inbox  Inbox
	room   int64
	used   atomic.Int64
	most   int64 // connections in a lingering close
	linger atomic.Int64
}

// NewNet runs connections in a group until the context ends; room is the bytes that may wait in all of them, lingering
// how many may be in a lingering close.
func NewNet(ctx context.Context, group *errgroup.Group, inbox Inbox, room, lingering int64) *Net {
	return &Net{ctx: ctx, group: group, inbox: inbox, room: room, most: lingering}
}

// Lingering is how many connections are in a lingering close.
func (n *Net) Lingering() int { return int(n.linger.Load()) }

func (n *Net) post(e Entry) {
	e.at = time.Now()
	select {
	case n.inbox <- e:
	case <-n.ctx.Done():
	}
}

// Conn is one connection.
type Conn struct {
	net      *Net
	sink     Sink
	limit    int
	kick     chan struct{}
	ctx      context.Context
	quit     context.CancelCauseFunc
	patience time.Duration // for a write
	mild     bool          // ends in a lingering close
	whole    bool          // the other side never reads on once it has said its last
	shut     atomic.Bool   // this side has said its last: what still comes is nobody's

	delivered uint64 // bytes of the other side that the owner has been given; the owner's

	mu     sync.Mutex
	out    []byte
	holes  []hole // what was withdrawn from it
	queued int64  // bytes ever appended
	begun  int64  // of those, bytes that a write was begun with
	finish bool
	deaf   bool // the other side has closed, and reads nothing: no write is begun
	dead   bool // a write has failed: nothing leaves any more, and begun is what the system had by then

	requests requests
	raw      syscall.RawConn // of the socket, nil: there is none yet
}

// hole is bytes that were withdrawn, by where they began.
type hole struct {
	from int64
	size int
}

var errClosed, errGarbled, errStuffed = errors.New("closed"), errors.New("garbled"), errors.New("stuffed")

// New is a connection that Start or Dial brings to life. More than limit bytes that don't go out end it.
func (n *Net) New(sink Sink, limit int) *Conn {
	c := &Conn{net: n, sink: sink, limit: limit, kick: make(chan struct{}, 1), patience: UsualPatience}
	c.ctx, c.quit = context.WithCancelCause(n.ctx)
	return c
}

// UsualPatience is how long a write may take. One that takes nothing for as long is as good as gone. A server that is stuck keeps a
// descriptor for that time.
const UsualPatience = 20 * time.Second

// Patience sets, before the connection is there, how long a write may take: a client may read as late as its deadline allows.
func (c *Conn) Patience(d time.Duration) { c.patience = d }

// Whole says, before the connection is there, that the other side's end is the whole connection's: no write is begun after it.
func (c *Conn) Whole() { c.whole = true }

// Start runs a connection that is up, until it or the context ends. Finish ends it in a lingering close.
func (c *Conn) Start(nc net.Conn) {
	c.mild = true
	c.attach(nc) // before the owner can ask what is on its way
	c.net.group.Go(func() error { c.run(nc, 4<<10); return nil })
}

// Dial opens a connection and runs it.
func (c *Conn) Dial(addr string, timeout time.Duration) {
	c.net.group.Go(func() error {
		d := net.Dialer{Timeout: timeout}
		nc, err := d.DialContext(c.ctx, "tcp", addr)
		if err != nil {
			c.quit(err)
			how := NeverUp
			if errors.Is(err, syscall.ECONNREFUSED) {
				how = Refused
			}
			c.net.post(Entry{sink: c.sink, what: isEnd, how: how})
			return nil
		}
		c.net.post(Entry{sink: c.sink, what: isUp})
		c.attach(nc)
		c.run(nc, 16<<10)
		return nil
	})
}

func (c *Conn) run(nc net.Conn, size int) {
	stop := context.AfterFunc(c.ctx, func() { c.discardUndelivered(nc); nc.Close() })
	defer stop()
	written := make(chan struct{})
	go func() { c.write(nc); close(written) }() // ended below
	how := c.read(nc, size)
	if how == Finished && !c.shut.Load() {
		c.mu.Lock()
		c.deaf = c.whole
		c.mu.Unlock()
		c.net.post(Entry{sink: c.sink, what: isEnd, how: Finished})
		<-written // by Finish, a write that fails, or the context
		how = Closed
	}
	c.quit(errClosed)
	<-written
	if c.shut.Load() {
		c.net.linger.Add(-1)
		how = Closed
	}
	switch context.Cause(c.ctx) {
	case errStuffed:
		how = Stuffed
	case errGarbled:
		how = Garbled
	}
	c.mu.Lock()
	c.net.used.Add(-int64(len(c.out)))
	c.out = nil
	c.mu.Unlock()
	c.net.post(Entry{sink: c.sink, what: isEnd, how: how})
}

func (c *Conn) read(nc net.Conn, size int) Ending {
	const spilt = 64 << 10 // bytes read in a lingering close: many usual calls; a flood is cut off
	buf, taken, left := make([]byte, size), make(chan struct{}, 1), spilt
	for {
		n, err := nc.Read(buf)
		if n > 0 && c.shut.Load() {
			if left -= n; left < 0 {
				return Closed
			}
		} else if n > 0 {
			c.net.post(Entry{sink: c.sink, conn: c, what: isData, data: buf[:n], taken: taken})
			select {
			case <-taken:
			case <-c.net.ctx.Done():
				return Closed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return Finished
		case c.ctx.Err() != nil || c.shut.Load():
			return Closed
		default:
			return Reset
		}
	}
}

// write sends what was appended, with no lock held while it does.
func (c *Conn) write(nc net.Conn) {
	const spared = 16 << 10 // bytes: a burst must not hold memory for the life of its connection
	var spare []byte
	for {
		select {
		case <-c.kick:
		case <-c.ctx.Done():
			return
		}
		for {
			c.mu.Lock()
			if c.deaf { // what is appended until the owner knows has not left, and can be withdrawn
				finish := c.finish
				c.mu.Unlock()
				if finish {
					c.leave(nc)
					return
				}
				break
			}
			out, finish := c.out, c.finish
			c.out, c.begun, c.holes = spare[:0], c.queued, c.holes[:0]
			c.requests.begin(len(out))
			begun := c.begun
			c.mu.Unlock()
			if spare = out; len(out) == 0 {
				if finish {
					c.leave(nc)
					return
				}
				break
			}
			nc.SetWriteDeadline(time.Now().Add(c.patience))
			taken, err := nc.Write(out)
			c.net.used.Add(-int64(len(out)))
			c.took(taken)
			if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
				c.failed(begun - int64(len(out)-taken))
				nc.Close() // the reader ends by it too
				return
			} else if err != nil {
				c.quit(errStuffed)
				return
			}
			if cap(spare) > spared {
				spare = nil
			}
		}
	}
}

// failed notes that a write met the connection's end: what the system had not taken has not left, and nothing leaves any more.
func (c *Conn) failed(left int64) {
	c.mu.Lock()
	c.begun, c.dead = left, true
	c.mu.Unlock()
}

// leave ends a connection whose last has gone out. Closed over bytes that nobody read, it would be reset, and what is
// on its way with it; so one that lingers says that it has ended and reads on for a while, for nobody. Harm: a
// descriptor is held for longer, hence the bound on how many linger.
func (c *Conn) leave(nc net.Conn) {
	const patience = 500 * time.Millisecond // ten times what the protocol allows a request that crosses a close
	tcp, ok := nc.(*net.TCPConn)
	if !c.mild || !ok {
		c.quit(errClosed)
		return
	}
	if c.net.linger.Add(1) > c.net.most {
		c.net.linger.Add(-1)
		c.quit(errClosed)
		return
	}
	c.shut.Store(true)
	tcp.SetReadDeadline(time.Now().Add(patience))
	tcp.CloseWrite()
}

// Append puts bytes behind those that are to go out, and gives back where they begin, for Begun. A connection
// that takes nothing is ended when its bound is passed, or the bound of all together.
func (c *Conn) Append(b []byte) (from int64) { return c.append(b, false) }

func (c *Conn) append(b []byte, request bool) (from int64) {
	c.mu.Lock()
	from = c.queued
	if c.ctx.Err() == nil {
		c.out = append(c.out, b...)
		c.queued += int64(len(b))
		if request {
			c.requests.last = len(c.out)
		}
		if c.net.used.Add(int64(len(b))) > c.net.room || len(c.out) > c.limit {
			c.quit(errStuffed)
		}
	}
	c.mu.Unlock()
	c.wake()
	return from
}

func (c *Conn) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Begun tells whether any byte from a place on may have left.
func (c *Conn) Begun(from int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from < c.begun
}

// Withdraw takes bytes back that were appended in one go, unless any may have left. To ask and then to act would leave
// the writer a moment between.
func (c *Conn) Withdraw(from int64, size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from < c.begun {
		return false
	}
	if c.dead { // nothing of it leaves any more
		return true
	}
	at := int(from - c.begun)
	for _, h := range c.holes {
		if h.from < from {
			at -= h.size
		}
	}
	if at+size <= len(c.out) { // else the connection is over, and nothing leaves any more
		c.out = append(c.out[:at], c.out[at+size:]...)
		c.requests.withdraw(at, size)
		c.holes = append(c.holes, hole{from, size})
		c.net.used.Add(-int64(size))
	}
	return true
}

// Finish closes the connection once all that was appended has gone out.
func (c *Conn) Finish() {
	c.mu.Lock()
	c.finish = true
	c.mu.Unlock()
	c.wake()
}

// Drop closes it at once.
func (c *Conn) Drop() { c.quit(errClosed) }

// Bad closes it at once, since what came can't be read.
func (c *Conn) Bad() { c.quit(errGarbled) }

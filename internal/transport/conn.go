// Package transport connects TCP connections with the one goroutine that owns all state. For each connection a reader
// passes input to the owner and waits until it is consumed, and a writer sends what was appended. The package knows
// no protocol.
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

// Ending is the way in which a connection ended.
type Ending uint8

// The ways in which a connection ends.
const (
	Refused        Ending = iota // nothing listens at the address
	NotConnected                 // not established in time, or no connection could be opened
	PeerFinished                 // the other side has closed its side; this side may still write
	Reset                        // reset by the other side or the network
	PeerNotReading               // the other side does not read what it is sent
	Closed                       // closed by this side
	Unreadable                   // closed by this side because of invalid input
)

func (e Ending) String() string {
	return [...]string{"refused", "never came up", "finished", "reset", "does not read", "closed", "can't be read"}[e]
}

// Sink receives the events of a connection. The owner's goroutine calls all its methods.
type Sink interface {
	Connected()       // a dialed connection is established
	Feed(b []byte)    // b is valid during this call only
	Ended(how Ending) // the last call, except for PeerFinished: another follows once this side has ended too
}

// Inbox carries the readers' entries to the owner. Each connection has at most one entry in flight.
type Inbox chan Entry

// Entry is a pending call on a sink.
type Entry struct {
	sink     Sink
	conn     *Conn // the source of data
	kind     uint8
	data     []byte
	how      Ending
	consumed chan<- struct{}
	readyAt  time.Time // when it became ready for the owner
}

// Age returns how long the entry has waited.
func (e Entry) Age() time.Duration { return time.Since(e.readyAt) }

const (
	isUp = iota
	isData
	isEnd
)

// Deliver makes the call. Only the owner may use it.
func (e Entry) Deliver() {
	switch e.kind {
	case isUp:
		e.sink.Connected()
	case isData:
		e.conn.inputDelivered += uint64(len(e.data))
		e.conn.feed(e.sink, e.data)
		e.consumed <- struct{}{}
	case isEnd:
		e.sink.Ended(e.how)
	}
}

// feed passes input to the sink. It takes the time if the reader needs it.
func (c *Conn) feed(sink Sink, data []byte) {
	if !c.timed {
		sink.Feed(data)
		return
	}
	begun := time.Now()
	sink.Feed(data)
	c.feedTook = time.Since(begun)
}

// Network is what connections share: their owner and their limits.
type Network struct {
	ctx    context.Context // once it is done entries are no longer consumed
	group  *errgroup.Group
	inbox  Inbox
	limits sharedLimits
	pacer  pacer

	promptAt time.Time // when a connection's input was last found to be read promptly; used by the owner's goroutine only
}

// NewNetwork runs connections in a group until the context ends. maxQueued is the number of output bytes that may be
// queued in all of them together; maxLingering is the limit of connections in a lingering close.
func NewNetwork(ctx context.Context, group *errgroup.Group, inbox Inbox, maxQueued int64, maxLingering int) *Network {
	return &Network{ctx: ctx, group: group, inbox: inbox,
		limits: sharedLimits{start: time.Now(), maxQueued: maxQueued, maxLingering: maxLingering, conns: map[*Conn]struct{}{}}}
}

// PauseDialedAbove makes the readers of dialed connections wait while more than the given number of output bytes are queued in all
// connections, so that what servers send does not come faster than clients take it. It must be called before any connection is made.
func (n *Network) PauseDialedAbove(queued int64) { n.limits.pauseDialedAbove = queued }

// Queued returns the number of output bytes that are queued or being written in all connections.
func (n *Network) Queued() int64 { return n.limits.queued.Load() }

// Lingering returns the number of connections in a lingering close.
func (n *Network) Lingering() int { return int(n.limits.lingering.Load()) }

func (n *Network) post(e Entry) { n.postAt(time.Now(), e) }

// postAt is post where the present time is known.
func (n *Network) postAt(now time.Time, e Entry) {
	e.readyAt = now
	select {
	case n.inbox <- e:
	case <-n.ctx.Done():
	}
}

// Conn is one connection.
type Conn struct {
	net          *Network
	sink         Sink
	maxQueued    int
	wakeWriter   chan struct{}
	ctx          context.Context
	cancel       context.CancelCauseFunc
	writeTimeout time.Duration // for one write
	lingers      bool          // Finish ends it in a lingering close
	endsWithPeer bool          // the other side reads nothing once it has closed its side
	outputClosed atomic.Bool   // this side has closed its output: further input is discarded

	queued       atomic.Int64 // bytes of output that are queued or being written
	writeBegunAt atomic.Int64 // when the write in progress began, in nanoseconds since the network's start; 0: none is in progress
	dialed       bool         // opened by Dial

	inputDelivered uint64        // input bytes delivered to the owner; used by the owner's goroutine only
	timed          bool          // the reader wants to know how long the owner takes for input; set before that is passed on
	feedTook       time.Duration // how long the owner took for the last input, if timed; set before the reader is told that it is consumed

	mu            sync.Mutex
	out           []byte
	withdrawn     []withdrawnRange // ranges withdrawn from it
	appendedBytes int64            // bytes ever appended
	begunBytes    int64            // of those, bytes for which a write has begun
	finishing     bool
	peerClosed    bool // the other side has closed and reads nothing: no further write begins
	writeFailed   bool // a write has failed: nothing leaves any more, and begunBytes is what the system had accepted by then

	requestOffsets requestOffsets
	raw            syscall.RawConn // of the socket, nil before there is one
	tcpInfo        tcpInfoQuery    // used by the owner's goroutine only
	arrivals       arrivalTimes    // used by the owner's goroutine only
}

// withdrawnRange is a range of withdrawn bytes, from where they began.
type withdrawnRange struct {
	from int64
	size int
}

var errClosed, errUnreadable, errNotReading = errors.New("closed"), errors.New("garbled"), errors.New("stuffed")

// New returns a connection that Start or Dial establishes. It ends when more than maxQueued bytes of output are queued.
func (n *Network) New(sink Sink, maxQueued int) *Conn {
	c := &Conn{net: n, sink: sink, maxQueued: maxQueued, wakeWriter: make(chan struct{}, 1), writeTimeout: DefaultWriteTimeout}
	c.ctx, c.cancel = context.WithCancelCause(n.ctx)
	return c
}

// DefaultWriteTimeout limits a write. A peer that accepts nothing for that long is treated as gone. A server that is
// stuck occupies a descriptor for that time.
const DefaultWriteTimeout = 20 * time.Second

// SetWriteTimeout sets the limit of a write. It must be called before the connection is established. A client may
// read as late as its deadline allows.
func (c *Conn) SetWriteTimeout(d time.Duration) { c.writeTimeout = d }

// EndWithPeer makes the other side's close end the whole connection: no write begins after it. It must be called
// before the connection is established.
func (c *Conn) EndWithPeer() { c.endsWithPeer = true }

// Start runs an established connection until it or the context ends. Finish ends it in a lingering close.
func (c *Conn) Start(nc net.Conn) {
	c.lingers = true
	c.attach(nc) // before the owner can ask for pending input or output
	c.net.limits.add(c)
	c.net.group.Go(func() error { c.run(nc, 4<<10); return nil })
}

// Dial opens a connection and runs it.
func (c *Conn) Dial(addr string, timeout time.Duration) {
	c.dialed = true
	c.net.limits.add(c)
	c.net.group.Go(func() error {
		d := net.Dialer{Timeout: timeout}
		nc, err := d.DialContext(c.ctx, "tcp", addr)
		if err != nil {
			c.cancel(err)
			c.net.limits.remove(c)
			how := NotConnected
			if errors.Is(err, syscall.ECONNREFUSED) {
				how = Refused
			}
			c.net.post(Entry{sink: c.sink, kind: isEnd, how: how})
			return nil
		}
		c.net.post(Entry{sink: c.sink, kind: isUp})
		c.attach(nc)
		c.run(nc, 16<<10)
		return nil
	})
}

func (c *Conn) run(nc net.Conn, size int) {
	stop := context.AfterFunc(c.ctx, func() { c.discardUndelivered(nc); nc.Close() })
	defer stop()
	written := make(chan struct{})
	go func() { c.write(nc); close(written) }() // ends below
	how := c.read(nc, size)
	if how == PeerFinished && !c.outputClosed.Load() {
		c.mu.Lock()
		c.peerClosed = c.endsWithPeer
		c.mu.Unlock()
		c.net.post(Entry{sink: c.sink, kind: isEnd, how: PeerFinished})
		<-written // ended by Finish, a failed write or the context
		how = Closed
	}
	c.cancel(errClosed)
	<-written
	if c.outputClosed.Load() {
		c.net.limits.endLinger(c)
		how = Closed
	}
	switch context.Cause(c.ctx) {
	case errNotReading:
		how = PeerNotReading
	case errUnreadable:
		how = Unreadable
	}
	c.net.limits.remove(c)
	c.net.post(Entry{sink: c.sink, kind: isEnd, how: how})
}

func (c *Conn) read(nc net.Conn, size int) Ending {
	const maxDiscarded = 64 << 10 // bytes read in a lingering close: many usual requests; a flood is cut off
	buf, consumed, left := make([]byte, size), make(chan struct{}, 1), maxDiscarded
	pace := c.net.NewPace()
	defer pace.End()
	for {
		if c.dialed {
			c.net.limits.waitForOutput(c)
		}
		n, err := nc.Read(buf)
		if n > 0 && c.outputClosed.Load() {
			if left -= n; left < 0 {
				return Closed
			}
		} else if n > 0 {
			now := time.Now()
			c.timed = pace.Input(now)
			c.net.postAt(now, Entry{sink: c.sink, conn: c, kind: isData, data: buf[:n], consumed: consumed})
			select {
			case <-consumed:
				pace.Pause(c.feedTook)
			case <-c.net.ctx.Done():
				return Closed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return PeerFinished
		case c.ctx.Err() != nil || c.outputClosed.Load():
			return Closed
		default:
			return Reset
		}
	}
}

// write sends what was appended. It holds no lock during a write.
func (c *Conn) write(nc net.Conn) {
	const maxKeptBuffer = 2 << 10 // bytes: long output must not hold memory for the rest of the connection's lifetime, of which there are hundreds
	var spare []byte
	for {
		select {
		case <-c.wakeWriter:
		case <-c.ctx.Done():
			return
		}
		for {
			c.mu.Lock()
			if c.peerClosed { // what is appended before the owner is notified has not left and can be withdrawn
				finishing := c.finishing
				c.mu.Unlock()
				if finishing {
					c.closeOutput(nc)
					return
				}
				break
			}
			out, finishing := c.out, c.finishing
			c.out, c.begunBytes, c.withdrawn = spare[:0], c.appendedBytes, c.withdrawn[:0]
			c.requestOffsets.writeBegun(len(out))
			begunBytes := c.begunBytes
			c.mu.Unlock()
			if spare = out; len(out) == 0 {
				if finishing {
					c.closeOutput(nc)
					return
				}
				break
			}
			now := time.Now()
			nc.SetWriteDeadline(now.Add(c.writeTimeout))
			c.writeBegunAt.Store(c.net.limits.sinceStart(now))
			accepted, err := nc.Write(out)
			c.writeBegunAt.Store(0)
			c.addQueued(-len(out))
			c.addAccepted(accepted)
			if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
				c.setWriteFailed(begunBytes - int64(len(out)-accepted))
				nc.Close() // this ends the reader as well
				return
			} else if err != nil {
				c.cancel(errNotReading)
				return
			}
			if cap(spare) > maxKeptBuffer {
				spare = nil
			}
		}
	}
}

// setWriteFailed records that a write met the connection's end: what the system had not accepted has not left, and
// nothing leaves any more.
func (c *Conn) setWriteFailed(left int64) {
	c.mu.Lock()
	c.begunBytes, c.writeFailed = left, true
	c.mu.Unlock()
}

// closeOutput ends a connection whose output has all been written. Closing a socket with unread input resets the
// connection and may lose output in transit. A connection that lingers therefore closes only its output and discards
// input for a while. As this holds a descriptor longer, the number of lingering connections is limited: the
// oldest gives way.
func (c *Conn) closeOutput(nc net.Conn) {
	const lingerTimeout = 500 * time.Millisecond // ten times what the protocol allows a request that crosses a close
	tcp, ok := nc.(*net.TCPConn)
	if !c.lingers || !ok {
		c.cancel(errClosed)
		return
	}
	c.net.limits.beginLinger(c)
	c.outputClosed.Store(true)
	tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	tcp.CloseWrite()
}

// Append queues bytes and returns their position in the output, for WriteBegun. The connection ends when its own
// limit of queued bytes is exceeded. When that of all connections together is, those end that have the most queued.
func (c *Conn) Append(b []byte) (from int64) { return c.append(b, false) }

func (c *Conn) append(b []byte, request bool) (from int64) {
	c.mu.Lock()
	from = c.appendedBytes
	if c.ctx.Err() == nil {
		c.out = append(c.out, b...)
		c.appendedBytes += int64(len(b))
		if request {
			c.requestOffsets.waitingEnd = len(c.out)
		}
		c.addQueued(len(b))
		if len(c.out) > c.maxQueued {
			c.cancel(errNotReading)
		}
	}
	c.mu.Unlock()
	c.net.limits.enforceQueued()
	c.wake()
	return from
}

// Queued returns the number of output bytes that are queued or being written.
func (c *Conn) Queued() int { return int(c.queued.Load()) }

func (c *Conn) wake() {
	select {
	case c.wakeWriter <- struct{}{}:
	default:
	}
}

// WriteBegun reports whether any byte from a position on may have left.
func (c *Conn) WriteBegun(from int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from < c.begunBytes
}

// Withdraw removes bytes that were appended in one call, unless any of them may have left. The check and the removal
// are one step under the lock, as the writer could act between two.
func (c *Conn) Withdraw(from int64, size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from < c.begunBytes {
		return false
	}
	if c.writeFailed { // nothing of it leaves any more
		return true
	}
	at := int(from - c.begunBytes)
	for _, h := range c.withdrawn {
		if h.from < from {
			at -= h.size
		}
	}
	if at+size <= len(c.out) { // otherwise the connection has ended and nothing leaves any more
		c.out = append(c.out[:at], c.out[at+size:]...)
		c.requestOffsets.withdraw(at, size)
		c.withdrawn = append(c.withdrawn, withdrawnRange{from, size})
		c.addQueued(-size)
	}
	return true
}

// Finish closes the connection after all appended bytes have been written.
func (c *Conn) Finish() {
	c.mu.Lock()
	c.finishing = true
	c.mu.Unlock()
	c.wake()
}

// Drop closes the connection at once.
func (c *Conn) Drop() { c.cancel(errClosed) }

// DropUnreadable closes the connection at once because of invalid input.
func (c *Conn) DropUnreadable() { c.cancel(errUnreadable) }

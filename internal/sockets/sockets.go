// Package sockets is the thin driver between connections and the one goroutine that owns all state: a reader
// hands over what came and waits until it was taken; a writer sends what was appended. It knows no protocol.
package sockets

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// Ending is how a connection came to its end.
type Ending uint8

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
	return [...]string{"refused", "never came up", "finished", "was reset", "does not read", "closed", "can't be read"}[e]
}

// Sink takes what comes off a connection. All its methods are called by the owner's goroutine.
type Sink interface {
	Up()              // a connection that was dialled is there
	Feed(b []byte)    // the bytes are good for this call only
	Ended(how Ending) // the last call, but for Finished, which may be followed by another end
}

// Inbox is how readers reach the owner. Each connection has one entry under way at most.
type Inbox chan Entry

type Entry struct {
	sink  Sink
	data  []byte
	what  uint8
	how   Ending
	taken chan<- struct{}
}

const (
	isUp = iota
	isData
	isEnd
)

// Deliver runs an entry. Only the owner calls it.
func (e Entry) Deliver() {
	switch e.what {
	case isUp:
		e.sink.Up()
	case isData:
		e.sink.Feed(e.data)
	case isEnd:
		e.sink.Ended(e.how)
	}
	if e.taken != nil {
		e.taken <- struct{}{}
	}
}

// Conn is one connection.
type Conn struct {
	sink  Sink
	inbox Inbox
	limit int
	kick  chan struct{}
	quit  context.CancelCauseFunc

	mu        sync.Mutex
	out       []byte
	queued    int64 // bytes ever appended
	begun     int64 // of those, bytes that a write was begun with
	finish    bool
	overflown bool
}

// errClosed and errGarbled say why this side ended a connection.
var errClosed, errGarbled, errStuffed = errors.New("closed"), errors.New("garbled"), errors.New("stuffed")

// New is a connection that Start or Dial brings to life. More than limit bytes that don't go out end it.
func New(sink Sink, inbox Inbox, limit int) *Conn {
	return &Conn{sink: sink, inbox: inbox, limit: limit, kick: make(chan struct{}, 1), quit: func(error) {}}
}

// Start runs a connection that is up, until it or the context ends; group owns its goroutines.
func (c *Conn) Start(ctx context.Context, group *errgroup.Group, nc net.Conn) {
	ctx, c.quit = context.WithCancelCause(ctx)
	group.Go(func() error { c.run(ctx, nc, 4<<10); return nil })
}

// Dial opens a connection.
func (c *Conn) Dial(ctx context.Context, group *errgroup.Group, addr string, timeout time.Duration) {
	ctx, c.quit = context.WithCancelCause(ctx)
	group.Go(func() error {
		d := net.Dialer{Timeout: timeout, KeepAlive: -1}
		nc, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			how := NeverUp
			if errors.Is(err, syscall.ECONNREFUSED) {
				how = Refused
			}
			c.quit(err)
			c.post(ctx, Entry{sink: c.sink, what: isEnd, how: how})
			return nil
		}
		c.post(ctx, Entry{sink: c.sink, what: isUp})
		c.run(ctx, nc, 16<<10)
		return nil
	})
}

// post hands an entry over. An owner that has ended takes none: its context is over before.
func (c *Conn) post(ctx context.Context, e Entry) {
	select {
	case c.inbox <- e:
	case <-parent(ctx):
	}
}

type parentKey struct{}

// WithOwner marks the context whose end means that nobody takes entries any more.
func WithOwner(ctx context.Context) context.Context { return context.WithValue(ctx, parentKey{}, ctx) }

func parent(ctx context.Context) <-chan struct{} {
	if p, ok := ctx.Value(parentKey{}).(context.Context); ok {
		return p.Done()
	}
	return ctx.Done()
}

func (c *Conn) run(ctx context.Context, nc net.Conn, size int) {
	if t, ok := nc.(*net.TCPConn); ok {
		t.SetLinger(-1)
	}
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	var group errgroup.Group
	group.Go(func() error { c.write(ctx, nc); return nil })
	how := c.read(ctx, nc, size)
	if how == Finished { // the other side may still read
		c.post(ctx, Entry{sink: c.sink, what: isEnd, how: Finished})
		group.Wait() // the writer ends by Finish, by a write that fails, or by the context
		how = Closed
	}
	c.quit(errClosed)
	group.Wait()
	switch context.Cause(ctx) {
	case errStuffed:
		how = Stuffed
	case errGarbled:
		how = Garbled
	}
	nc.Close()
	c.post(ctx, Entry{sink: c.sink, what: isEnd, how: how})
}

func (c *Conn) read(ctx context.Context, nc net.Conn, size int) Ending {
	buf, taken := make([]byte, size), make(chan struct{}, 1)
	for {
		n, err := nc.Read(buf)
		if n > 0 {
			c.post(ctx, Entry{sink: c.sink, what: isData, data: buf[:n], taken: taken})
			select {
			case <-taken:
			case <-parent(ctx):
				return Closed
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return Finished
		case ctx.Err() != nil:
			return Closed
		default:
			return Reset
		}
	}
}

// write sends what was appended, with no lock held while it does.
func (c *Conn) write(ctx context.Context, nc net.Conn) {
	const patience = 20 * time.Second // above every client timeout: nobody waits for what is stuck longer
	var spare []byte
	for {
		select {
		case <-c.kick:
		case <-ctx.Done():
			return
		}
		for {
			c.mu.Lock()
			out, finish := c.out, c.finish
			c.out, c.begun = spare[:0], c.queued
			c.mu.Unlock()
			if spare = out; len(out) == 0 {
				if finish {
					c.quit(errClosed)
					return
				}
				break
			}
			nc.SetWriteDeadline(time.Now().Add(patience))
			if _, err := nc.Write(out); err != nil {
				if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
					return // the reader learns it too, and what came before
				}
				c.quit(errStuffed)
				return
			}
			if cap(spare) > 64<<10 {
				spare = nil // a burst must not hold memory for the life of its connection
			}
		}
	}
}

// Append puts bytes behind those that are to go out; add appends to what it is given. It gives back where they
// begin, for Begun. A connection that takes nothing is ended when its bound is passed.
func (c *Conn) Append(add func(b []byte) []byte) (from int64) {
	c.mu.Lock()
	from = c.queued
	was := len(c.out)
	c.out = add(c.out)
	c.queued += int64(len(c.out) - was)
	over := len(c.out) > c.limit
	c.mu.Unlock()
	if over {
		c.quit(errStuffed)
	}
	select {
	case c.kick <- struct{}{}:
	default:
	}
	return from
}

// Begun tells whether any byte from a place on may have left.
func (c *Conn) Begun(from int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from < c.begun
}

// Finish closes the connection once all that was appended has gone out.
func (c *Conn) Finish() {
	c.mu.Lock()
	c.finish = true
	c.mu.Unlock()
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Drop closes it at once.
func (c *Conn) Drop() { c.quit(errClosed) }

// Bad closes it at once, since what came can't be read.
func (c *Conn) Bad() { c.quit(errGarbled) }

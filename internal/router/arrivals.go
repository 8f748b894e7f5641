package router

import (
	"cmp"
	"net"
	"slices"
	"time"

	"dunereach/internal/frontend"
	"dunereach/internal/transport"

	"go.uber.org/zap"
)

// This file accepts client connections. When file descriptors are scarce it decides which idle connection is closed to free one, and
// whether a new connection waits, has its first request rejected, or is closed unread. docs/design.md gives the reasons.

const (
	// maxArrivalWait bounds how long a new connection waits for a descriptor, in seconds. A connection that sends no request frees its
	// descriptor within 2 s.
	maxArrivalWait = 2.5
	// queuedArrivalWindow is for how long, in seconds after a connection had to wait, others may have queued behind it in the kernel.
	queuedArrivalWindow = 10
)

// arrivalState is the owner's state of arriving client connections.
type arrivalState struct {
	pending      net.Conn // waits for a descriptor; nil: none does. Later connections queue in the kernel
	pendingSince float64  // seconds
	lastWaitAt   float64  // when a connection last began to wait, in seconds
	recheck      bool     // a connection has ended or timers have run since the last check for room
	counts       clientCounts
	loggedCounts clientCounts // the counts as last logged
}

// clientCounts counts client connections since the start.
type clientCounts struct {
	arrived      uint64
	pending      uint64 // had to wait for a descriptor
	rejected     uint64 // had their first request rejected for lack of a descriptor
	closedUnread uint64 // closed without reading anything, as no descriptor was left
	closed       [frontend.CloseReasonCount]uint64
}

// nextArrival is the channel of new client connections. It is nil while an earlier connection waits for a descriptor.
func (s *service) nextArrival() <-chan net.Conn {
	if s.clientArrivals.pending != nil {
		return nil
	}
	return s.arrivals
}

// acceptClient takes a new client connection. If there is no descriptor for it, it waits when another connection will free one soon;
// otherwise it is rejected.
func (s *service) acceptClient(nc net.Conn, closing bool) {
	a := &s.clientArrivals
	a.counts.arrived++
	if s.admit(nc, closing, true) {
		return
	}
	a.pending, a.pendingSince, a.lastWaitAt = nc, s.clock.now(), s.clock.now()
	a.counts.pending++
}

// admitPending checks again whether there is a descriptor for the connection that waits.
func (s *service) admitPending(closing bool) {
	a := &s.clientArrivals
	a.recheck = false
	if a.pending != nil && s.admit(a.pending, closing, s.clock.now()-a.pendingSince < maxArrivalWait) {
		a.pending = nil
	}
}

// closePending closes the connection that waits when the router stops immediately.
func (s *service) closePending() {
	if s.clientArrivals.pending != nil {
		s.clientArrivals.pending.Close()
	}
}

// admit starts a session for a connection, rejects it or closes it. It returns false and does nothing if the connection may wait and a
// descriptor is expected to become free.
func (s *service) admit(nc net.Conn, closing, mayWait bool) (done bool) {
	limits := s.descriptorLimits()
	inUse, notClosing := s.connectionCounts()
	crowded := inUse >= limits.clients
	room := notClosing < limits.clients
	if !room && inUse < limits.clients+limits.rejecting {
		room = s.makeRoom()
	}
	full := inUse >= limits.clients+limits.rejecting
	if (full || !room) && mayWait && s.roomExpected() {
		return false
	}
	if !room {
		s.log.Warn("too many clients", zap.Int("connections", inUse))
	}
	if full { // no descriptor is left even for rejecting it
		s.clientArrivals.counts.closedUnread++
		s.log.Warn("client connection closed unread", zap.Int("connections", inUse))
		nc.Close()
		return true
	}
	c := s.startSession(nc, crowded || s.clock.now()-s.clientArrivals.lastWaitAt < queuedArrivalWindow)
	switch {
	case closing:
		c.RejectFirst(frontend.RouterStopping)
	case !room:
		s.clientArrivals.counts.rejected++
		c.RejectFirst(frontend.NoDescriptor)
	}
	return true
}

// startSession starts a client's session. mayHaveWaited means that the connection may have queued in the kernel for a while.
func (s *service) startSession(nc net.Conn, mayHaveWaited bool) *frontend.Session {
	// The results of 32 open requests take at most 1.5 MB.
	const maxOutput = 2 << 20
	c := frontend.NewSession(s, s.messageMemory, &s.scratch)
	conn := s.net.New(c, maxOutput)
	conn.SetWriteTimeout(max(transport.DefaultWriteTimeout, time.Duration(s.cfg.Settings.LongestTimeout*1e9)))
	c.Conn = conn
	s.lastSerial++
	c.Serial = s.lastSerial
	if mayHaveWaited {
		c.SetArrival(transport.ArrivalOf(nc))
	}
	s.sessions[c] = struct{}{}
	s.clientArrived(c, len(s.sessions))
	conn.Start(nc)
	return c
}

// connectionCounts counts the client connections without those in a lingering close, and how many of them are not closing.
func (s *service) connectionCounts() (inUse, notClosing int) {
	limits := s.descriptorLimits()
	inUse = len(s.sessions) - min(s.net.Lingering(), limits.lingering)
	if inUse < limits.clients {
		return inUse, inUse
	}
	for c := range s.sessions {
		if !c.Closing() {
			notClosing++
		}
	}
	return inUse, notClosing
}

// roomExpected reports whether some client connection will free its descriptor in bounded time unless it sends a request.
func (s *service) roomExpected() bool {
	for c := range s.sessions {
		if c.MayFreeDescriptor() {
			return true
		}
	}
	return false
}

// closeCandidate is a connection that can be closed to free its descriptor.
type closeCandidate struct {
	session *frontend.Session
	rank    int
}

// makeRoom closes the highest-ranked idle connection with no bytes in transit, and reports whether there was one.
func (s *service) makeRoom() bool {
	var candidates []closeCandidate
	for c := range s.sessions {
		if rank, ok := c.CloseRank(); ok {
			candidates = append(candidates, closeCandidate{c, rank})
		}
	}
	slices.SortFunc(candidates, func(a, b closeCandidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.session.Serial, b.session.Serial))
	})
	for _, best := range candidates {
		if !best.session.InTransit() {
			best.session.CloseWhenIdle(frontend.DescriptorNeeded)
			return true
		}
	}
	return false
}

// SessionClosed removes the session of a client connection that has ended.
func (s *service) SessionClosed(c *frontend.Session) {
	delete(s.sessions, c)
	s.clientArrivals.recheck = true
}

// ClientClosing counts and logs why the router closes a client connection.
func (s *service) ClientClosing(c *frontend.Session, reason frontend.CloseReason) {
	s.clientArrivals.counts.closed[reason]++
	s.Router.ClientClosing(c, reason)
}

// acceptBacklog drains the kernel's queue of accepted connections after the listener's deadline. Connections that are still queued when
// the listener is closed would be reset.
type acceptBacklog struct {
	deadline time.Time // when draining is given up; zero: it has not begun
	accepted bool      // a connection was accepted since the last deadline
}

const (
	// backlogQuietPeriod is how long the kernel's queue must stay empty to count as drained.
	backlogQuietPeriod = 5 * time.Millisecond
	// maxBacklogDrain bounds how long clients that keep connecting can delay the shutdown.
	maxBacklogDrain = time.Second
)

// drained is called when the listener's deadline has passed. It reports whether the queue is drained, and sets another deadline if not.
func (b *acceptBacklog) drained(l *net.TCPListener) bool {
	now := time.Now()
	first := b.deadline.IsZero()
	if first {
		b.deadline = now.Add(maxBacklogDrain)
	}
	if !first && !b.accepted || now.After(b.deadline) {
		return true
	}
	b.accepted = false
	l.SetDeadline(now.Add(backlogQuietPeriod))
	return false
}

// logCounts logs the connection counts if any connection had to wait, was rejected or was closed for lack of descriptors since the last
// such line. The log samples repeated messages each second, so counting the lines of single connections would give wrong totals.
func (s *service) logCounts() {
	a := &s.clientArrivals
	current, logged := &a.counts, &a.loggedCounts
	if current.pending == logged.pending && current.rejected == logged.rejected && current.closedUnread == logged.closedUnread &&
		current.closed[frontend.DescriptorNeeded] == logged.closed[frontend.DescriptorNeeded] {
		return
	}
	fields := []zap.Field{zap.Uint64("arrived", current.arrived), zap.Uint64("waited", current.pending), zap.Uint64("turned away", current.rejected),
		zap.Uint64("closed unread", current.closedUnread), zap.Int("connections", len(s.sessions))}
	for reason, n := range current.closed {
		if n > 0 {
			fields = append(fields, zap.Uint64(frontend.CloseReason(reason).String(), n))
		}
	}
	s.log.Info("clients' connections since the start", fields...)
	a.loggedCounts = *current
}

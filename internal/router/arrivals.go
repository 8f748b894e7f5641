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

// This file takes clients' connections in, and decides what becomes of them where descriptors are scarce: which connection is closed to
// make room, and whether an arrival waits for room, is turned away with an answer, or is closed. docs/design.md has the argument.

const (
	// maxArrivalWait bounds the time for which an arrival waits for room, in seconds: what gives room without asking does so in 2 s.
	maxArrivalWait = 2.5
	// queuedArrivalWindow is how long after an arrival had to wait others may have waited behind it, in seconds.
	queuedArrivalWindow = 10
)

// arrivalState is what the owner knows of clients' connections that arrive.
type arrivalState struct {
	pending      net.Conn // waits for room, nil: none does. Others wait behind it with the system
	pendingSince float64  // seconds
	lastWaitAt   float64  // when an arrival last began to wait, in seconds
	recheck      bool     // a connection has ended since
	counts       clientCounts
	loggedCounts clientCounts // the counts that the log has
}

// clientCounts counts clients' connections since the start.
type clientCounts struct {
	arrived      uint64
	pending      uint64 // waited for room
	rejected     uint64 // had their first request refused for lack of room
	closedUnread uint64 // closed with nothing read, as no descriptor was left
	closed       [frontend.CloseReasons]uint64
}

// nextArrival is where clients' connections arrive, nil while one that arrived before them waits for room.
func (s *service) nextArrival() <-chan net.Conn {
	if s.clientArrivals.pending != nil {
		return nil
	}
	return s.arrivals
}

// acceptClient takes a client's connection in. Where there is no room for it, it waits for a connection that gives room soon; where none does,
// it is turned away.
func (s *service) acceptClient(nc net.Conn, closing bool) {
	w := &s.clientArrivals
	w.counts.arrived++
	if s.admit(nc, closing, true) {
		return
	}
	w.pending, w.pendingSince, w.lastWaitAt = nc, s.clock.now(), s.clock.now()
	w.counts.pending++
}

// admitPending looks again for room for the connection that waits.
func (s *service) admitPending(closing bool) {
	w := &s.clientArrivals
	w.recheck = false
	if w.pending != nil && s.admit(w.pending, closing, s.clock.now()-w.pendingSince < maxArrivalWait) {
		w.pending = nil
	}
}

// closePending closes the connection that waits, as the router ends at once.
func (s *service) closePending() {
	if s.clientArrivals.pending != nil {
		s.clientArrivals.pending.Close()
	}
}

// admit finds a admit for a connection, turns it away or closes it. It does none of these, and returns false, where the connection may
// wait and room will come.
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
	if full { // none is left even to turn it away by
		s.clientArrivals.counts.closedUnread++
		s.log.Warn("client closed unread", zap.Int("connections", inUse))
		nc.Close()
		return true
	}
	c := s.startSession(nc, crowded || s.clock.now()-s.clientArrivals.lastWaitAt < queuedArrivalWindow)
	switch {
	case closing:
		c.TurnAway(frontend.RouterEnds)
	case !room:
		s.clientArrivals.counts.rejected++
		c.TurnAway(frontend.NoRoom)
	}
	return true
}

// startSession starts a client's session. Where arrivals had to wait, the connection may have been silent for a while.
func (s *service) startSession(nc net.Conn, mayHaveWaited bool) *frontend.Session {
	// 32 open calls have 1.5 MB of results at most.
	const maxOutput = 2 << 20
	c := frontend.NewSession(s, &s.scratch)
	conn := s.net.New(c, maxOutput)
	conn.Patience(max(transport.UsualPatience, time.Duration(s.cfg.Settings.Longest*1e9)))
	c.Line = conn
	s.lastSerial++
	c.Serial = s.lastSerial
	if mayHaveWaited {
		c.Waited(transport.ArrivalOf(nc))
	}
	s.sessions[c] = struct{}{}
	s.clientArrived(c, len(s.sessions))
	conn.Start(nc)
	return c
}

// connectionCounts is how many clients' connections there are, without those in a lingering close, and how many of them stay.
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

// roomExpected tells whether a client's connection gives room in bounded time unless its request comes.
func (s *service) roomExpected() bool {
	for c := range s.sessions {
		if c.GivesRoom() {
			return true
		}
	}
	return false
}

// closeCandidate is a connection that can be closed to make room.
type closeCandidate struct {
	session *frontend.Session
	rank    int
}

// makeRoom closes the connection that can best be spared, if one can, and nothing is on its way there.
func (s *service) makeRoom() bool {
	var candidates []closeCandidate
	for c := range s.sessions {
		if rank, ok := c.Spare(); ok {
			candidates = append(candidates, closeCandidate{c, rank})
		}
	}
	slices.SortFunc(candidates, func(a, b closeCandidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.session.Serial, b.session.Serial))
	})
	for _, best := range candidates {
		if !best.session.InTransit() {
			best.session.Last(frontend.RoomNeeded)
			return true
		}
	}
	return false
}

// Closed notes that a client's connection has ended.
func (s *service) Closed(c *frontend.Session) {
	delete(s.sessions, c)
	s.clientArrivals.recheck = true
}

// ClientClosing counts and logs why the router closes a client's connection.
func (s *service) ClientClosing(c *frontend.Session, reason frontend.CloseReason) {
	s.clientArrivals.counts.closed[reason]++
	s.Router.ClientClosing(c, reason)
}

// acceptBacklog empties the system's queue of accepted connections behind a listener's deadline: what is in it when the listener is closed
// is reset.
type acceptBacklog struct {
	deadline time.Time // it is given up then, zero: it was not begun
	accepted bool      // a connection, since the last deadline
}

const (
	// backlogQuietPeriod is how long the system's queue has to stay empty.
	backlogQuietPeriod = 5 * time.Millisecond
	// maxBacklogDrain bounds the time in which clients that keep on coming hold up the router's end.
	maxBacklogDrain = time.Second
)

// drained is called where the listener's deadline has passed. It tells whether the queue is drained, or sets another deadline.
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

// logCounts writes a line on clients' connections where any of them had to wait or to go for lack of room since the last line. The log
// keeps only some lines of a kind each second, so lines on single connections can't be counted.
func (s *service) logCounts() {
	w := &s.clientArrivals
	current, logged := &w.counts, &w.loggedCounts
	if current.pending == logged.pending && current.rejected == logged.rejected && current.closedUnread == logged.closedUnread &&
		current.closed[frontend.RoomNeeded] == logged.closed[frontend.RoomNeeded] {
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
	w.loggedCounts = *current
}

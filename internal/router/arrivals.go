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
	// holdAtMost bounds the time for which an arrival waits for room, in seconds: what gives room without asking does so in 2 s.
	holdAtMost = 2.5
	// crowdedFor is how long after an arrival had to wait others may have waited behind it, in seconds.
	crowdedFor = 10
)

// arrivalState is what the owner knows of clients' connections that arrive.
type arrivalState struct {
	held      net.Conn // waits for room, nil: none does. Others wait behind it with the system
	heldSince float64  // seconds
	heldAt    float64  // when an arrival last began to wait, in seconds
	retry     bool     // a connection has ended since
	counts    clientCounts
	told      clientCounts // the counts that the log has
}

// clientCounts counts clients' connections since the start.
type clientCounts struct {
	arrived      uint64
	held         uint64 // waited for room
	turnedAway   uint64 // had their first request refused for lack of room
	closedUnread uint64 // closed with nothing read, as no descriptor was left
	closed       [frontend.CloseReasons]uint64
}

// accepting is where clients' connections arrive, nil while one that arrived before them waits for room.
func (s *service) accepting() <-chan net.Conn {
	if s.waiting.held != nil {
		return nil
	}
	return s.arrivals
}

// arrive takes a client's connection in. Where there is no room for it, it waits for a connection that gives room soon; where none does,
// it is turned away.
func (s *service) arrive(nc net.Conn, closing bool) {
	w := &s.waiting
	w.counts.arrived++
	if s.place(nc, closing, true) {
		return
	}
	w.held, w.heldSince, w.heldAt = nc, s.clock.now(), s.clock.now()
	w.counts.held++
}

// arriveHeld looks again for room for the connection that waits.
func (s *service) arriveHeld(closing bool) {
	w := &s.waiting
	w.retry = false
	if w.held != nil && s.place(w.held, closing, s.clock.now()-w.heldSince < holdAtMost) {
		w.held = nil
	}
}

// dropHeld closes the connection that waits, as the router ends at once.
func (s *service) dropHeld() {
	if s.waiting.held != nil {
		s.waiting.held.Close()
	}
}

// place finds a place for a connection, turns it away or closes it. It does none of these, and returns false, where the connection may
// wait and room will come.
func (s *service) place(nc net.Conn, closing, mayWait bool) (done bool) {
	most := s.split()
	taken, staying := s.occupied()
	crowded := taken >= most.clients
	room := staying < most.clients
	if !room && taken < most.clients+most.turnedOff {
		room = s.makeRoom()
	}
	full := taken >= most.clients+most.turnedOff
	if (full || !room) && mayWait && s.roomSoon() {
		return false
	}
	if !room {
		s.log.Warn("too many clients", zap.Int("connections", taken))
	}
	if full { // none is left even to turn it away by
		s.waiting.counts.closedUnread++
		s.log.Warn("client closed unread", zap.Int("connections", taken))
		nc.Close()
		return true
	}
	c := s.open(nc, crowded || s.clock.now()-s.waiting.heldAt < crowdedFor)
	switch {
	case closing:
		c.TurnAway(frontend.RouterEnds)
	case !room:
		s.waiting.counts.turnedAway++
		c.TurnAway(frontend.NoRoom)
	}
	return true
}

// open starts a client's session. Where arrivals had to wait, the connection may have been silent for a while.
func (s *service) open(nc net.Conn, mayHaveWaited bool) *frontend.Session {
	// 32 open calls have 1.5 MB of results at most.
	const limit = 2 << 20
	c := frontend.NewSession(s, &s.scratch)
	line := s.net.New(c, limit)
	line.Patience(max(transport.UsualPatience, time.Duration(s.cfg.Settings.Longest*1e9)))
	c.Line = line
	s.arrived++
	c.Serial = s.arrived
	if mayHaveWaited {
		c.Waited(transport.ArrivalOf(nc))
	}
	s.sessions[c] = struct{}{}
	s.clientArrived(c, len(s.sessions))
	line.Start(nc)
	return c
}

// occupied is how many clients' connections there are, without those in a lingering close, and how many of them stay.
func (s *service) occupied() (taken, staying int) {
	most := s.split()
	taken = len(s.sessions) - min(s.net.Lingering(), most.lingering)
	if taken < most.clients {
		return taken, taken
	}
	for c := range s.sessions {
		if !c.Closing() {
			staying++
		}
	}
	return taken, staying
}

// roomSoon tells whether a client's connection gives room in bounded time unless its request comes.
func (s *service) roomSoon() bool {
	for c := range s.sessions {
		if c.GivesRoom() {
			return true
		}
	}
	return false
}

// spare is a connection that can be closed to make room.
type spare struct {
	session *frontend.Session
	rank    int
}

// makeRoom closes the connection that can best be spared, if one can, and nothing is on its way there.
func (s *service) makeRoom() bool {
	var spares []spare
	for c := range s.sessions {
		if rank, ok := c.Spare(); ok {
			spares = append(spares, spare{c, rank})
		}
	}
	slices.SortFunc(spares, func(a, b spare) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.session.Serial, b.session.Serial))
	})
	for _, best := range spares {
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
	s.waiting.retry = true
}

// ClientClosing counts and logs why the router closes a client's connection.
func (s *service) ClientClosing(c *frontend.Session, why frontend.CloseReason) {
	s.waiting.counts.closed[why]++
	s.Router.ClientClosing(c, why)
}

// acceptBacklog empties the system's queue of accepted connections behind a listener's deadline: what is in it when the listener is closed
// is reset.
type acceptBacklog struct {
	until time.Time // it is given up then, zero: it was not begun
	came  bool      // a connection, since the last deadline
}

const (
	// backlogStep is how long the system's queue has to stay empty.
	backlogStep = 5 * time.Millisecond
	// backlogAtMost bounds the time in which clients that keep on coming hold up the router's end.
	backlogAtMost = time.Second
)

// empty is called where the listener's deadline has passed. It tells whether the queue is empty, or sets another deadline.
func (b *acceptBacklog) empty(l *net.TCPListener) bool {
	now := time.Now()
	begins := b.until.IsZero()
	if begins {
		b.until = now.Add(backlogAtMost)
	}
	if !begins && !b.came || now.After(b.until) {
		return true
	}
	b.came = false
	l.SetDeadline(now.Add(backlogStep))
	return false
}

// logCounts writes a line on clients' connections where any of them had to wait or to go for lack of room since the last line. The log
// keeps only some lines of a kind each second, so lines on single connections can't be counted.
func (s *service) logCounts() {
	w := &s.waiting
	is, was := &w.counts, &w.told
	if is.held == was.held && is.turnedAway == was.turnedAway && is.closedUnread == was.closedUnread &&
		is.closed[frontend.RoomNeeded] == was.closed[frontend.RoomNeeded] {
		return
	}
	fields := []zap.Field{zap.Uint64("arrived", is.arrived), zap.Uint64("waited", is.held), zap.Uint64("turned away", is.turnedAway),
		zap.Uint64("closed unread", is.closedUnread), zap.Int("connections", len(s.sessions))}
	for why, n := range is.closed {
		if n > 0 {
			fields = append(fields, zap.Uint64(frontend.CloseReason(why).String(), n))
		}
	}
	s.log.Info("clients' connections since the start", fields...)
	w.told = *is
}

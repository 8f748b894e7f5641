package frontend

import (
	"time"

	"dunereach/internal/transport"
)

// This file judges connections that ask nothing: when they are closed, and which can be closed to make room for others. One whose request
// is on its way is never closed: new, with input that has not been read, with half a message that may become whole, or with requests open.

// TickEvery is the time between two calls of Tick.
const TickEvery = 100 * time.Millisecond

// All are counted in ticks.
const (
	messageTicks      = 20 // a client sends a message in one go; one that sends half of it, or none at all, is owed a close in 3 s
	extraPartialTicks = 5  // further ticks for a message that has begun and still comes
	firstRequestTicks = 3  // a new connection is opened for a call, which comes with it: the network's delay and some
	idleTicks         = 50 // clients close idle connections after 4 s; what stays longer was forgotten
	neverAskedRank    = 1 << 20
)

// Waited counts, before anything is fed, what the connection has brought before the router took it in, and for how long it has been silent.
func (s *Session) Waited(arrival transport.Arrival) {
	s.quietTicks = int(min(arrival.Silent/TickEvery, messageTicks))
	s.partialTicks = s.quietTicks
	s.earlyBytes, s.earlyAge = arrival.Bytes, arrival.Silent
}

// messageAge is for how long a message that is read now has been here at least: with the system before the connection was taken in, or
// while the owner was behind.
func (s *Session) messageAge() time.Duration {
	switch {
	case s.earlyBytes > 0:
		return s.earlyAge
	case s.handler.Behind():
		return s.Line.InputAge()
	}
	return 0
}

// Tick closes the connection of one that doesn't ask, or no more.
func (s *Session) Tick() {
	if s.quietTicks++; s.partialBytes > 0 {
		s.partialTicks++
	}
	switch {
	case s.messageOverdue():
		s.Last(NothingWhole)
	case len(s.open) == 0 && s.quietTicks >= idleTicks && !s.Line.InputPending():
		s.Last(IdleLong)
	}
	if s.rejectFirst && s.quietTicks >= firstRequestTicks && !s.Line.InputPending() {
		s.rejectFirst = false
		s.closeIfIdle()
	}
}

// messageOverdue tells whether a whole message should have come by now. Input that was not fed yet may be the rest of it.
func (s *Session) messageOverdue() bool {
	partial := s.partialBytes > 0 && s.partialTicks >= messageTicks
	if !partial && (s.messageReceived || s.quietTicks < messageTicks) {
		return false
	}
	return partial && s.partialTicks >= messageTicks+extraPartialTicks || !s.Line.InputPending()
}

// Spare tells whether the connection can be closed to make room for another, and how well: those that never asked, though they had time
// to, go first, then those that have been quiet for longest. InTransit has the last word.
func (s *Session) Spare() (rank int, ok bool) {
	if rank = s.quietTicks; !s.messageReceived {
		rank += neverAskedRank
	}
	requestExpected := s.partialBytes > 0 || !s.messageReceived && s.quietTicks < firstRequestTicks
	return rank, s.idle() && !requestExpected
}

// InTransit tells whether bytes are on their way, in either direction. It costs system calls.
func (s *Session) InTransit() bool { return s.Line.InputPending() || s.Line.OutputPending() }

// GivesRoom tells whether the connection is closing, or becomes one that can be spared within wholeBy unless its request comes.
func (s *Session) GivesRoom() bool { return s.closing || s.idle() }

// Closing tells whether the connection is on its way to its end.
func (s *Session) Closing() bool { return s.closing }

// idle tells whether no request is open, and none is owed an answer.
func (s *Session) idle() bool { return len(s.open) == 0 && !s.closeWhenIdle && !s.closing }

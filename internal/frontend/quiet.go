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
	wholeBy   = 20 // a client sends a message in one go; one that sends half of it, or none at all, is owed a close in 3 s
	restOfIt  = 5  // further ticks for a message that has begun and still comes
	askBy     = 3  // a new connection is opened for a call, which comes with it: the network's delay and some
	idleFor   = 50 // clients close idle connections after 4 s; what stays longer was forgotten
	rankQuiet = 1 << 20
)

// Waited counts, before anything is fed, what the connection has brought before the router took it in, and for how long it has been silent.
func (s *Session) Waited(arrival transport.Arrival) {
	s.quiet = int(min(arrival.Silent/TickEvery, wholeBy))
	s.begun = s.quiet
	s.early, s.earlyFor = arrival.Bytes, arrival.Silent
}

// waitedFor is for how long a message that is read now has been here at least: with the system before the connection was taken in, or
// while the owner was behind.
func (s *Session) waitedFor() time.Duration {
	switch {
	case s.early > 0:
		return s.earlyFor
	case s.desk.Behind():
		return s.Line.InputAge()
	}
	return 0
}

// Tick closes the connection of one that doesn't ask, or no more.
func (s *Session) Tick() {
	if s.quiet++; s.kept > 0 {
		s.begun++
	}
	switch {
	case s.overdue():
		s.Last(NothingWhole)
	case len(s.open) == 0 && s.quiet >= idleFor && !s.Line.InputPending():
		s.Last(IdleLong)
	}
	if s.turned && s.quiet >= askBy && !s.Line.InputPending() {
		s.turned = false
		s.rest()
	}
}

// overdue tells whether a whole message should have come by now. Input that was not fed yet may be the rest of it.
func (s *Session) overdue() bool {
	half := s.kept > 0 && s.begun >= wholeBy
	if !half && (s.asked || s.quiet < wholeBy) {
		return false
	}
	return half && s.begun >= wholeBy+restOfIt || !s.Line.InputPending()
}

// Spare tells whether the connection can be closed to make room for another, and how well: those that never asked, though they had time
// to, go first, then those that have been quiet for longest. InTransit has the last word.
func (s *Session) Spare() (rank int, ok bool) {
	if rank = s.quiet; !s.asked {
		rank += rankQuiet
	}
	onItsWay := s.kept > 0 || !s.asked && s.quiet < askBy
	return rank, s.resting() && !onItsWay
}

// InTransit tells whether bytes are on their way, in either direction. It costs system calls.
func (s *Session) InTransit() bool { return s.Line.InputPending() || s.Line.OutputPending() }

// GivesRoom tells whether the connection is closing, or becomes one that can be spared within wholeBy unless its request comes.
func (s *Session) GivesRoom() bool { return s.closed || s.resting() }

// Closing tells whether the connection is on its way to its end.
func (s *Session) Closing() bool { return s.closed }

// resting tells whether no request is open, and none is owed an answer.
func (s *Session) resting() bool { return len(s.open) == 0 && !s.last && !s.closed }

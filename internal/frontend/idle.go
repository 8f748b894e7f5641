package frontend

import (
	"time"

	"dunereach/internal/transport"
)

// This file decides when connections that send no requests are closed, and which of them can be closed to free a descriptor. A connection
// is not closed if a request may be on its way: if it is new, has unread input, has an incomplete message that may still be completed, or
// has open requests.

// TickEvery is the time between two calls of Tick.
const TickEvery = 100 * time.Millisecond

// Times are in ticks.
const (
	// Clients send a message in one go. A connection that stays silent or sends only part of a message must be closed within 3 s.
	messageTicks      = 20
	extraPartialTicks = 5       // further time for a message that has begun and whose bytes still arrive
	firstRequestTicks = 3       // clients open a connection for a request and send it at once: the network's delay and a margin
	closeInputTicks   = 5       // for how long unread input can delay a close that was decided
	maxCloseTicks     = 20      // for how long an incomplete message can delay it
	idleTicks         = 50      // clients close idle connections after 4 s; one that stays longer was forgotten
	neverAskedRank    = 1 << 20 // added to the rank of a connection that never sent a message
)

// SetArrival records how many bytes arrived before the session began and how long the connection has been silent. It precedes any Feed.
func (s *Session) SetArrival(arrival transport.Arrival) {
	s.quietTicks = int(min(arrival.SilentFor/TickEvery, messageTicks))
	s.partialTicks = s.quietTicks
	s.input.earlyBytes, s.input.earlyAge = arrival.Bytes, arrival.SilentFor
}

// Tick closes a connection that has sent no request for too long.
func (s *Session) Tick() {
	if s.quietTicks++; s.partialBytes > 0 {
		s.partialTicks++
	}
	if s.closeWhenIdle || s.closing {
		s.closeTicks++
	}
	s.noticeDeparture()
	switch {
	case s.messageOverdue():
		s.CloseWhenIdle(NoCompleteMessage)
	case len(s.open) == 0 && s.quietTicks >= idleTicks && !s.Conn.InputPending():
		s.CloseWhenIdle(Idle)
	}
	if s.rejectFirst && s.quietTicks >= firstRequestTicks && !s.Conn.InputPending() {
		s.rejectFirst = false
	}
	s.closeIfIdle()
}

// inputExpected reports whether a request may be on its way on a connection that is to be closed: in input that was not fed yet, or as an
// incomplete message that is not overdue. Clients that keep sending can delay a close only for a limited time.
func (s *Session) inputExpected() bool {
	switch {
	case s.halfClosed || s.closeTicks >= maxCloseTicks:
		return false
	case s.partialBytes > 0:
		return !s.messageOverdue()
	}
	return s.closeTicks < closeInputTicks && s.Conn.InputPending()
}

// messageOverdue reports whether a complete message should have arrived by now. Input that was not fed yet may be the rest of it.
func (s *Session) messageOverdue() bool {
	partial := s.partialBytes > 0 && s.partialTicks >= messageTicks
	if !partial && (s.messageReceived || s.quietTicks < messageTicks) {
		return false
	}
	return partial && s.partialTicks >= messageTicks+extraPartialTicks || !s.Conn.InputPending()
}

// CloseRank reports whether the connection can be closed to free its descriptor, and its rank. Connections that had time to send a message
// but never did rank highest, then those that have been quiet for longest. The caller must check InTransit before it closes one.
func (s *Session) CloseRank() (rank int, ok bool) {
	if rank = s.quietTicks; !s.messageReceived {
		rank += neverAskedRank
	}
	requestExpected := s.partialBytes > 0 || !s.messageReceived && s.quietTicks < firstRequestTicks
	return rank, s.idle() && !requestExpected
}

// InTransit reports whether bytes are in transit in either direction. It makes system calls.
func (s *Session) InTransit() bool { return s.Conn.InputPending() || s.Conn.OutputPending() }

// MayFreeDescriptor reports whether the connection is closing, or can be closed within messageTicks unless it sends a request.
func (s *Session) MayFreeDescriptor() bool { return s.Closing() || s.idle() }

// Closing reports whether the connection closes as soon as the input that is on its way has been read.
func (s *Session) Closing() bool {
	return s.closing || s.closeWhenIdle && !s.rejectFirst && len(s.open) == 0
}

// idle reports whether no request is open and the connection is not closing.
func (s *Session) idle() bool { return len(s.open) == 0 && !s.closeWhenIdle && !s.closing }

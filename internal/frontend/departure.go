package frontend

import (
	"maps"
	"slices"
	"time"
)

// This file learns from the system that a client has closed its connection, behind earlier input that is unread.

// staleInput is how long input may have been unread for its requests to be passed on though their client has closed its side since. An
// attempt may begin up to 0.1 s after its client has gone.
const staleInput = 50 * time.Millisecond

// leave ends the requests of a client whose connection is gone, though input of it is unread.
func (s *Session) leave() {
	s.input.gone = true
	s.abandonRequests()
	s.Conn.Drop()
}

// noticeDeparture asks whether the client of open requests has closed its connection, behind input that is unread.
func (s *Session) noticeDeparture() {
	if len(s.open) == 0 || s.halfClosed || s.input.gone {
		return
	}
	switch input := s.Conn.InputState(); {
	case input.Gone:
		s.leave()
	case input.Finished && input.Pending && !s.input.halfClosed:
		s.input.halfClosed = true
		s.reportHalfClosed()
	}
}

// reportHalfClosed reports for all open requests that the client has closed its side.
func (s *Session) reportHalfClosed() {
	for _, seq := range slices.Sorted(maps.Keys(s.open)) {
		if id, open := s.open[seq]; open {
			s.handler.HalfClosed(id)
		}
	}
}

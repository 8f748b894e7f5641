package frontend

import (
	"time"

	"dunereach/internal/transport"
)

// This file learns from the system for how long a request has waited unread.

// inputState is what a session knows of its connection's input.
type inputState struct {
	state      transport.InputState // while the present input is fed
	known      bool                 // state has been asked for
	gone       bool                 // the client has left: what is fed from now on is discarded
	halfClosed bool                 // the handler knows for all open requests that the client has closed its side
	earlyBytes int                  // bytes that arrived before the session began and are yet to be fed
	earlyAge   time.Duration        // how long the last of the early bytes had been unread
}

// inputState returns the state of the connection's input. It asks the system once for each input.
func (s *Session) inputState() transport.InputState {
	if !s.input.known {
		s.input.state, s.input.known = s.Conn.LateInputState(), true
	}
	return s.input.state
}

// messageAge is the minimum time for which the message read now has been unread.
func (s *Session) messageAge(input transport.InputState) time.Duration {
	if s.input.earlyBytes > 0 {
		return max(s.input.earlyAge, input.Age)
	}
	return input.Age
}

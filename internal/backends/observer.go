package backends

import "dunereach/admission"

// Observer is notified, for the log, of what the pool does on its own. The pool calls its methods from within its own
// methods, so they must not call the pool.
type Observer interface {
	// ServerChanged reports a server's new state, how many of its attempts were withdrawn before any byte had left,
	// and how many continue.
	ServerChanged(server uint32, from, to admission.State, withdrawn, running int)
	// ConnectionClosing reports that a connection accepts no more attempts and closes, and how many attempts are
	// outstanding on it.
	ConnectionClosing(server uint32, why CloseReason, out int)
	// AttemptWriting reports that an attempt's bytes are handed to its connection.
	AttemptWriting(j *Attempt)
}

// CloseReason is why this side closes a connection to a server.
type CloseReason uint8

// The reasons for closing a connection to a server.
const (
	ServerLeft      CloseReason = iota // the server drains, is gone or has another address
	Undelivered                        // requests have not arrived there and must not arrive any more
	IdleTooLong                        // closed before the server does so, which closes idle connections
	RoomNeeded                         // another attempt needs the descriptor
	Unreadable                         // the input is invalid or stopped in the middle of a message
	AttemptTimedOut                    // an attempt timed out there, so the connection may be dead
	IDsSpent                           // too many request IDs can no longer be used there
	ServerClosed                       // the server closed its side
)

func (r CloseReason) String() string {
	return [...]string{"server left", "requests undelivered", "idle", "room needed", "unreadable", "attempt timed out",
		"ids spent", "server closed"}[r]
}

// SetObserver sets the observer, which is notified from now on.
func (p *Pool) SetObserver(o Observer) { p.observer = o }

// noObserver is the observer of a pool without one.
type noObserver struct{}

func (noObserver) ServerChanged(uint32, admission.State, admission.State, int, int) {}
func (noObserver) ConnectionClosing(uint32, CloseReason, int)                       {}
func (noObserver) AttemptWriting(*Attempt)                                          {}

// retireFor makes a connection accept no more attempts. It reports the first reason, and Undelivered also after
// another one.
func (c *conn) retireFor(why CloseReason) {
	if !c.retired || why == Undelivered {
		c.retired = true
		c.pool.observer.ConnectionClosing(c.server, why, len(c.outstanding))
	}
}

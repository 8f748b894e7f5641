package backends

import "dunereach/admission"

// Observer is told what the pool does of its own accord, for the log. Its methods are called from within the pool's and must not call
// the pool.
type Observer interface {
	// ServerChanged reports a server's new state, how many attempts there were withdrawn before any byte had left, and how many
	// go on.
	ServerChanged(engine uint32, from, to admission.State, withdrawn, running int)
	// Closing reports that a connection takes no more attempts and closes, and how many attempts are out on it.
	Closing(engine uint32, why CloseReason, out int)
	// Writing reports that an attempt's bytes are handed to its connection.
	Writing(j *Job)
}

// CloseReason is why this side closes a connection to a server.
type CloseReason uint8

// The reasons for closing a connection to a server.
const (
	ServerLeft   CloseReason = iota // the server drains or is gone, or has another address
	Undelivered                     // requests have not arrived there, and must not any more
	IdleLong                        // ahead of the server, which closes idle connections
	RoomNeeded                      // another attempt needs the descriptor
	Unreadable                      // what came can't be read, or stopped short
	AttemptLate                     // an attempt timed out there: the connection may be dead
	IDsSpent                        // too many ids can't be used there any more
	ServerClosed                    // the server has closed its side
)

func (r CloseReason) String() string {
	return [...]string{"server left", "requests undelivered", "idle", "room needed", "unreadable", "attempt timed out",
		"ids spent", "server closed"}[r]
}

// Observe has an observer told from now on.
func (p *Pool) Observe(o Observer) { p.observer = o }

// silence is the observer of a pool that nobody observes.
type silence struct{}

func (silence) ServerChanged(uint32, admission.State, admission.State, int, int) {}
func (silence) Closing(uint32, CloseReason, int)                                 {}
func (silence) Writing(*Job)                                                     {}

// retireFor has a connection take no more attempts. The first reason is reported, and that requests were undelivered.
func (c *conn) retireFor(why CloseReason) {
	if !c.retired || why == Undelivered {
		c.retired = true
		c.pool.observer.Closing(c.engine, why, len(c.out))
	}
}

package router

import "dunereach/internal/transport"

// This file keeps attempts back while the owner's goroutine is behind its connections. A client that has closed its connection or
// cancelled its request may have done so in input that is still unread, and no attempt may begin for it then.

const (
	// behindAfter is the age of unread input, in seconds, from which the owner counts as behind. The module wakes it every 0.05 s,
	// and an attempt may begin up to 0.1 s after its client has gone.
	behindAfter = 0.07
	// settleFor is how long attempts are held after the last sign of being behind, in seconds: readers hand over what lay unread
	// piece by piece within milliseconds.
	settleFor = 0.02
	// heldAtMost bounds the time for which attempts are held, in seconds, where the owner stays behind.
	heldAtMost = 0.06
)

// backlog is what the owner knows of its own delay. Times are the owner's, in seconds.
type backlog struct {
	watched bool    // delays are looked for
	held    bool    // attempts are held
	since   float64 // when they began to be held
	sign    float64 // the last sign of being behind
}

// Behind tells whether the owner is behind its connections: input may have lain unread for a while.
func (r *Router) Behind() bool { return r.backlog.held }

// WatchBacklog has the router hold attempts whenever its owner has been delayed. The owner has to call Tick at least every 0.05 s.
func (r *Router) WatchBacklog() { r.backlog.watched = true }

// delayed notes that input has waited for so many seconds.
func (r *Router) delayed(now, seconds float64) {
	b := &r.backlog
	if !b.watched || seconds < behindAfter {
		return
	}
	b.sign = now
	if !b.held {
		b.held, b.since = true, now
		r.pool.Hold()
	}
}

// entryDelayed notes how long an entry has waited for the owner.
func (r *Router) entryDelayed(e transport.Entry) { r.delayed(r.now, e.Age().Seconds()) }

// settle releases the held attempts once the owner has caught up, or after a bounded time. It returns when it has to be called
// again, where that is before next.
func (r *Router) settle(next float64) float64 {
	b := &r.backlog
	if !b.held {
		return next
	}
	until := min(b.sign+settleFor, b.since+heldAtMost)
	if r.now < until {
		return min(next, until)
	}
	b.held = false
	r.pool.Release()
	r.pool.Settle()
	return next
}

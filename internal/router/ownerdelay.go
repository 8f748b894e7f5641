package router

import "dunereach/internal/transport"

// This file keeps attempts back while the owner's goroutine is behind its connections. A client that has closed its connection or
// cancelled its request may have done so in input that is still unread, and no attempt may begin for it then.

const (
	// delayThreshold is the age of unread input, in seconds, from which the owner counts as behind. The module wakes it every 0.05 s,
	// and an attempt may begin up to 0.1 s after its client has gone.
	delayThreshold = 0.07
	// settlePeriod is how long attempts are held after the last sign of being behind, in seconds: readers hand over what lay unread
	// piece by piece within milliseconds.
	settlePeriod = 0.02
	// maxHold bounds the time for which attempts are held, in seconds, where the owner stays behind.
	maxHold = 0.06
)

// ownerDelay is what the owner knows of its own delay. Times are the owner's, in seconds.
type ownerDelay struct {
	enabled      bool    // delays are looked for
	holding      bool    // attempts are held
	holdingSince float64 // when they began to be held
	lastDelayAt  float64 // the last sign of being behind
}

// Behind tells whether the owner is behind its connections: input may have lain unread for a while.
func (r *Router) Behind() bool { return r.ownerDelay.holding }

// WatchBacklog has the router hold attempts whenever its owner has been delayed. The owner has to call Tick at least every 0.05 s.
func (r *Router) WatchBacklog() { r.ownerDelay.enabled = true }

// noteDelay notes that input has waited for so many seconds.
func (r *Router) noteDelay(now, seconds float64) {
	d := &r.ownerDelay
	if !d.enabled || seconds < delayThreshold {
		return
	}
	d.lastDelayAt = now
	if !d.holding {
		d.holding, d.holdingSince = true, now
		r.pool.Hold()
	}
}

// noteEntryDelay notes how long an entry has waited for the owner.
func (r *Router) noteEntryDelay(e transport.Entry) { r.noteDelay(r.now, e.Age().Seconds()) }

// releaseHeld releases the held attempts once the owner has caught up, or after a bounded time. It returns when it has to be called
// again, where that is before next.
func (r *Router) releaseHeld(next float64) float64 {
	d := &r.ownerDelay
	if !d.holding {
		return next
	}
	until := min(d.lastDelayAt+settlePeriod, d.holdingSince+maxHold)
	if r.now < until {
		return min(next, until)
	}
	d.holding = false
	r.pool.Release()
	r.pool.Settle()
	return next
}

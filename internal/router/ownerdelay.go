package router

import "dunereach/internal/transport"

// This file holds attempts back while the owner's goroutine is delayed and input is unread. That input may say that a client has closed
// its connection or cancelled its request, and then no attempt may begin for it.

const (
	// delayThreshold is the age of unread input, in seconds, from which the owner counts as delayed. The admission controller wakes the
	// owner every 0.05 s, and an attempt may begin up to 0.1 s after its client has gone.
	delayThreshold = 0.07
	// settlePeriod is how long attempts are held after the last delay, in seconds. Readers pass on the unread input in pieces, within
	// milliseconds.
	settlePeriod = 0.02
	// maxHold bounds how long attempts are held, in seconds, if the owner stays delayed.
	maxHold = 0.06
)

// ownerDelay is the state of delay detection. Times are the owner's clock, in seconds.
type ownerDelay struct {
	enabled      bool    // delays are detected
	holding      bool    // attempts are held back
	holdingSince float64 // when holding began
	lastDelayAt  float64 // when the owner was last found delayed
}

// DetectOwnerDelay makes the router hold attempts whenever its owner has been delayed. The owner must call Tick at least every 0.05 s.
func (r *Router) DetectOwnerDelay() { r.ownerDelay.enabled = true }

// noteDelay records that input has waited unread for the given seconds.
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

// noteEntryDelay records how long an inbox entry has waited for the owner.
func (r *Router) noteEntryDelay(e transport.Entry) { r.noteDelay(r.now, e.Age().Seconds()) }

// releaseHeld releases the held attempts once the owner has caught up, or after maxHold. It returns the time of its next call if that is
// before next, else next.
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
	r.pool.ReportEnds()
	return next
}

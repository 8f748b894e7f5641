package router

import "math"

// This file estimates how long an answer takes to leave while the process has too little time: about as long as input was unread lately. The
// answer has to be with the client when its time is over, so requests get that much less.

const (
	// lagDecay is the time in which the estimate falls to a third, in seconds.
	lagDecay = 0.5
	// maxLag bounds the estimate, in seconds, and maxLagShare as a part of the time that a client allows.
	maxLag, maxLagShare = 0.1, 0.1
	// leastLag is the smallest estimate that counts, in seconds: the system counts the age of input in steps of up to 4 ms.
	leastLag = 0.005
)

// readLag is the estimate.
type readLag struct {
	seconds float64
	at      float64 // as of which time
}

// note records that input of a request was unread for the given seconds though nothing of its own connection lay before it.
func (l *readLag) note(now, seconds float64) {
	l.seconds, l.at = max(min(seconds, maxLag), l.current(now)), now
}

// current returns the estimate, in seconds.
func (l *readLag) current(now float64) float64 {
	lag := l.seconds * math.Exp((l.at-now)/lagDecay)
	if lag < leastLag {
		return 0
	}
	return lag
}

// timeLeft returns the time that remains of what a client allows, in seconds, for the answer to leave the router. waited is for how long the
// request was unread.
func (l *readLag) timeLeft(now, allowed, waited float64) float64 {
	return allowed - waited - min(l.current(now), maxLagShare*allowed)
}

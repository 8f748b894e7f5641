package router

import "go.uber.org/zap"

// stallAfter is how long, in seconds, nothing may be sent to any server while clients wait for requests that have no attempt out. Trials
// of suspected servers, pauses and reconnections all come round well within it.
const stallAfter = 3

// stall finds a router that serves nobody: it is ready, has servers and waiting clients, and begins no attempt.
type stall struct {
	attemptsBegun uint64 // begun when it was last looked at
	since         float64
	logged        bool // the log says so
}

// detectStall is called every second. It says once that nothing is sent, and once that something is again.
func (r *Router) detectStall(readyServers int) {
	s := &r.stall
	waitingRequests := r.waitingRequests()
	progressed := r.attemptsBegun != s.attemptsBegun
	if progressed && s.logged {
		s.logged = false
		r.log.Info("attempts are begun again")
	}
	if progressed || waitingRequests == 0 || readyServers == 0 || !r.listReceived {
		s.attemptsBegun, s.since = r.attemptsBegun, r.now
		return
	}
	if s.logged || r.now-s.since < stallAfter {
		return
	}
	s.logged = true
	r.log.Warn("clients wait and nothing is sent", zap.Int("waiting", waitingRequests), zap.Int("in hand", len(r.requests)),
		zap.Int("servers", readyServers), zap.Int("connections", r.pool.Connections()), zap.Bool("behind", r.ownerDelay.holding),
		zap.Float64("seconds", r.now-s.since))
}

// waitingRequests counts the requests that a client waits for and that have no attempt out.
func (r *Router) waitingRequests() (n int) {
	for _, c := range r.requests {
		if !c.done() && !c.attempt.Out() {
			n++
		}
	}
	return n
}

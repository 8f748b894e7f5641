package router

import "go.uber.org/zap"

// stallAfter is for how long, in seconds, no attempt may begin while clients wait for requests that have no attempt out. Probes of
// suspected servers, pauses and reconnections all come well within this time.
const stallAfter = 3

// stall is the state of stall detection. A router is stalled if it is ready, has servers and waiting clients, and begins no attempt.
type stall struct {
	attemptsBegun  uint64  // number of attempts begun as of the last check
	lastProgressAt float64 // when the router was last found not stalled
	logged         bool    // the stall has been logged
}

// detectStall is called every second. It logs once that the router is stalled, and once that attempts begin again.
func (r *Router) detectStall(readyServers int) {
	s := &r.stall
	waitingRequests := r.waitingRequests()
	progressed := r.attemptsBegun != s.attemptsBegun
	if progressed && s.logged {
		s.logged = false
		r.log.Info("attempts begin again")
	}
	if progressed || waitingRequests == 0 || readyServers == 0 || !r.listReceived {
		s.attemptsBegun, s.lastProgressAt = r.attemptsBegun, r.now
		return
	}
	if s.logged || r.now-s.lastProgressAt < stallAfter {
		return
	}
	s.logged = true
	r.log.Warn("no attempts begin while clients wait", zap.Int("waiting", waitingRequests), zap.Int("in hand", len(r.requests)),
		zap.Int("servers", readyServers), zap.Int("connections", r.pool.Connections()), zap.Bool("behind", r.ownerDelay.holding),
		zap.Float64("seconds", r.now-s.lastProgressAt))
}

// waitingRequests counts the requests that a client waits for and that have no attempt out.
func (r *Router) waitingRequests() (n int) {
	for _, req := range r.requests {
		if !req.done() && !req.attempt.Outstanding() {
			n++
		}
	}
	return n
}

package router

import "go.uber.org/zap"

// stallAfter is how long, in seconds, nothing may be sent to any server while clients wait for requests that have no attempt out. Trials
// of suspected servers, pauses and reconnections all come round well within it.
const stallAfter = 3

// stall finds a router that serves nobody: it is ready, has servers and waiting clients, and begins no attempt.
type stall struct {
	attempts uint64 // begun when it was last looked at
	since    float64
	said     bool // the log says so
}

// watchStall is called every second. It says once that nothing is sent, and once that something is again.
func (r *Router) watchStall(readyServers int) {
	s := &r.stall
	waiting := r.waiting()
	sends := r.attempts != s.attempts
	if sends && s.said {
		s.said = false
		r.log.Info("attempts are begun again")
	}
	if sends || waiting == 0 || readyServers == 0 || !r.listed {
		s.attempts, s.since = r.attempts, r.now
		return
	}
	if s.said || r.now-s.since < stallAfter {
		return
	}
	s.said = true
	r.log.Warn("clients wait and nothing is sent", zap.Int("waiting", waiting), zap.Int("in hand", len(r.cmds)),
		zap.Int("servers", readyServers), zap.Int("connections", r.pool.Connections()), zap.Bool("behind", r.backlog.held),
		zap.Float64("seconds", r.now-s.since))
}

// waiting counts the requests that a client waits for and that have no attempt out.
func (r *Router) waiting() (n int) {
	for _, c := range r.cmds {
		if !c.over() && !c.job.Out() {
			n++
		}
	}
	return n
}

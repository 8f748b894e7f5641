package router

import (
	"dunereach/admission"
	"dunereach/internal/backends"
	"dunereach/internal/frontend"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// This file writes the log lines that follow a request by its id through the router, and those on the state of servers and their
// connections. Lines on what ends otherwise than well are at level info; those on every attempt are at level debug, and cost nothing
// while that is off.

// ServerChanged logs a server's new state and what became of the attempts there.
func (r *Router) ServerChanged(engine uint32, from, to admission.State, withdrawn, running int) {
	r.log.Info("server changed", zap.String("server", r.names(engine)), zap.Stringer("from", from), zap.Stringer("to", to),
		zap.Int("withdrawn", withdrawn), zap.Int("running", running))
}

// Closing logs why the router closes a connection to a server.
func (r *Router) Closing(engine uint32, why backends.CloseReason, out int) {
	if line := r.log.Check(zap.InfoLevel, "connection closing"); line != nil {
		line.Write(zap.String("server", r.names(engine)), zap.Stringer("why", why), zap.Int("attempts", out))
	}
}

// ClientClosing logs why the router closes a client's connection.
func (r *Router) ClientClosing(c *frontend.Session, why frontend.CloseReason) {
	if line := r.log.Check(zap.InfoLevel, "client closing"); line != nil {
		line.Write(zap.Uint64("client", c.Serial), zap.Stringer("why", why))
	}
}

// clientArrived logs that a client's connection was taken in.
func (r *Router) clientArrived(c *frontend.Session, connections int) {
	if line := r.log.Check(zap.DebugLevel, "client arrived"); line != nil {
		line.Write(zap.Uint64("client", c.Serial), zap.Int("connections", connections))
	}
}

// Writing logs that an attempt leaves.
func (r *Router) Writing(j *backends.Job) {
	if line := r.log.Check(zap.DebugLevel, "attempt written"); line != nil {
		r.attemptLine(line, j, zap.Float64("waited", r.now-j.At))
	}
}

// attemptBegun logs an attempt as the module decided it; one that follows another is a retry.
func (r *Router) attemptBegun(c *command) {
	j := &c.job
	if line := r.log.Check(zap.DebugLevel, "attempt begun"); line != nil {
		r.attemptLine(line, j)
	}
	if j.Number == 0 {
		return
	}
	if line := r.log.Check(zap.InfoLevel, "request retried"); line != nil {
		r.attemptLine(line, j, zap.Stringer("after", c.lastEnd), zap.Float64("age", r.now-c.taken))
	}
}

// attemptEnded logs how an attempt ended, where it brought no result.
func (r *Router) attemptEnded(c *command, end admission.End) {
	level := zap.InfoLevel
	if end == admission.Answered {
		level = zap.DebugLevel
	}
	if line := r.log.Check(level, "attempt ended"); line != nil {
		j := &c.job
		r.attemptLine(line, j, zap.Stringer("how", end), zap.Bool("unsent", j.Unsent), zap.Float64("after", r.now-j.At))
	}
}

// attemptLine writes a line on an attempt.
func (r *Router) attemptLine(line *zapcore.CheckedEntry, j *backends.Job, more ...zap.Field) {
	fields := append([]zap.Field{zap.ByteString("request", j.Ref[:]), zap.Int("attempt", j.Number),
		zap.String("server", r.names(j.Engine))}, more...)
	line.Write(fields...)
}

// notServed logs that a request got no result, and where it stood.
func (r *Router) notServed(c *command, message string) {
	line := r.log.Check(zap.InfoLevel, message)
	if line == nil {
		return
	}
	line.Write(zap.ByteString("request", c.job.Ref[:]), zap.String("profile", c.job.Profile), zap.String("why", r.whyNotServed(c)),
		zap.Int("attempts", c.job.Number+1), zap.Float64("age", r.now-c.taken), zap.Float64("left", c.dueBy-r.now))
}

// whyNotServed is the stage at which the module gave a request up.
func (r *Router) whyNotServed(c *command) string {
	switch {
	case c.job.Out():
		return "its attempt has not ended in time"
	case c.job.Number >= 0:
		return "its last attempt: " + c.lastEnd.String()
	case r.now > c.taken:
		return "no server in time"
	}
	return "refused on arrival"
}

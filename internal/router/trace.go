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
	r.log.Info("server changed", zap.String("server", r.serverName(engine)), zap.Stringer("from", from), zap.Stringer("to", to),
		zap.Int("withdrawn", withdrawn), zap.Int("running", running))
}

// Closing logs why the router closes a connection to a server.
func (r *Router) Closing(engine uint32, reason backends.CloseReason, attempts int) {
	if entry := r.log.Check(zap.InfoLevel, "connection closing"); entry != nil {
		entry.Write(zap.String("server", r.serverName(engine)), zap.Stringer("why", reason), zap.Int("attempts", attempts))
	}
}

// ClientClosing logs why the router closes a client's connection.
func (r *Router) ClientClosing(c *frontend.Session, reason frontend.CloseReason) {
	if entry := r.log.Check(zap.InfoLevel, "client closing"); entry != nil {
		entry.Write(zap.Uint64("client", c.Serial), zap.Stringer("why", reason))
	}
}

// clientArrived logs that a client's connection was taken in.
func (r *Router) clientArrived(c *frontend.Session, connections int) {
	if entry := r.log.Check(zap.DebugLevel, "client arrived"); entry != nil {
		entry.Write(zap.Uint64("client", c.Serial), zap.Int("connections", connections))
	}
}

// Writing logs that an attempt leaves.
func (r *Router) Writing(j *backends.Job) {
	if entry := r.log.Check(zap.DebugLevel, "attempt written"); entry != nil {
		r.writeAttempt(entry, j, zap.Float64("waited", r.now-j.At))
	}
}

// attemptBegun logs an attempt as the module decided it; one that follows another is a retry.
func (r *Router) attemptBegun(c *request) {
	j := &c.attempt
	if entry := r.log.Check(zap.DebugLevel, "attempt begun"); entry != nil {
		r.writeAttempt(entry, j)
	}
	if j.Number == 0 {
		return
	}
	if entry := r.log.Check(zap.InfoLevel, "request retried"); entry != nil {
		r.writeAttempt(entry, j, zap.Stringer("after", c.lastEnd), zap.Float64("age", r.now-c.arrivedAt))
	}
}

// attemptEnded logs how an attempt ended, where it brought no result.
func (r *Router) attemptEnded(c *request, end admission.End) {
	level := zap.InfoLevel
	if end == admission.Answered {
		level = zap.DebugLevel
	}
	if entry := r.log.Check(level, "attempt ended"); entry != nil {
		j := &c.attempt
		r.writeAttempt(entry, j, zap.Stringer("how", end), zap.Bool("unsent", j.Unsent), zap.Float64("after", r.now-j.At))
	}
}

// writeAttempt writes a line on an attempt.
func (r *Router) writeAttempt(entry *zapcore.CheckedEntry, j *backends.Job, extra ...zap.Field) {
	fields := append([]zap.Field{zap.ByteString("request", j.Ref[:]), zap.Int("attempt", j.Number),
		zap.String("server", r.serverName(j.Engine))}, extra...)
	entry.Write(fields...)
}

// logNotServed logs that a request got no result, and where it stood.
func (r *Router) logNotServed(c *request, message string) {
	entry := r.log.Check(zap.InfoLevel, message)
	if entry == nil {
		return
	}
	entry.Write(zap.ByteString("request", c.attempt.Ref[:]), zap.String("profile", c.attempt.Profile), zap.String("why", r.notServedReason(c)),
		zap.Int("attempts", c.attempt.Number+1), zap.Float64("age", r.now-c.arrivedAt), zap.Float64("left", c.deadline-r.now))
}

// notServedReason is the stage at which the module gave a request up.
func (r *Router) notServedReason(c *request) string {
	switch {
	case c.attempt.Out():
		return "its attempt has not ended in time"
	case c.attempt.Number >= 0:
		return "its last attempt: " + c.lastEnd.String()
	case r.now > c.arrivedAt:
		return "no server in time"
	}
	return "refused on arrival"
}

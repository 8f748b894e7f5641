package router

import (
	"dunereach/admission"
	"dunereach/internal/backends"
	"dunereach/internal/frontend"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// This file writes the log lines that trace a request by its id through the router, and those on the state of servers and their
// connections. Failures, rejections and retries are logged at level info; lines on every attempt are at level debug and cost nothing
// while that level is off.

// ServerChanged logs a server's new state, and how many attempts there were withdrawn and how many still run.
func (r *Router) ServerChanged(server uint32, from, to admission.State, withdrawn, running int) {
	r.log.Info("server changed", zap.String("server", r.serverName(server)), zap.Stringer("from", from), zap.Stringer("to", to),
		zap.Int("withdrawn", withdrawn), zap.Int("running", running))
}

// ConnectionClosing logs why the router closes a connection to a server.
func (r *Router) ConnectionClosing(server uint32, reason backends.CloseReason, attempts int) {
	if entry := r.log.Check(zap.InfoLevel, "connection closing"); entry != nil {
		entry.Write(zap.String("server", r.serverName(server)), zap.Stringer("why", reason), zap.Int("attempts", attempts))
	}
}

// ClientClosing logs why the router closes a client connection.
func (r *Router) ClientClosing(c *frontend.Session, reason frontend.CloseReason) {
	if entry := r.log.Check(zap.InfoLevel, "client closing"); entry != nil {
		entry.Write(zap.Uint64("client", c.Serial), zap.Stringer("why", reason))
	}
}

// clientArrived logs a new client connection.
func (r *Router) clientArrived(c *frontend.Session, connections int) {
	if entry := r.log.Check(zap.DebugLevel, "client arrived"); entry != nil {
		entry.Write(zap.Uint64("client", c.Serial), zap.Int("connections", connections))
	}
}

// AttemptWriting logs that an attempt is being written to its connection.
func (r *Router) AttemptWriting(j *backends.Attempt) {
	if entry := r.log.Check(zap.DebugLevel, "attempt written"); entry != nil {
		r.writeAttempt(entry, j, zap.Float64("waited", r.now-j.SentAt))
	}
}

// attemptBegun logs an attempt when the controller has decided on it. An attempt after the first is a retry.
func (r *Router) attemptBegun(req *request) {
	j := &req.attempt
	if entry := r.log.Check(zap.DebugLevel, "attempt begun"); entry != nil {
		r.writeAttempt(entry, j)
	}
	if j.AttemptNumber == 0 {
		return
	}
	if entry := r.log.Check(zap.InfoLevel, "request retried"); entry != nil {
		r.writeAttempt(entry, j, zap.Stringer("after", req.lastEnd), zap.Float64("age", r.now-req.arrivedAt))
	}
}

// attemptEnded logs how an attempt ended, at level info if it brought no result.
func (r *Router) attemptEnded(req *request, end admission.End) {
	level := zap.InfoLevel
	if end == admission.Completed {
		level = zap.DebugLevel
	}
	if entry := r.log.Check(level, "attempt ended"); entry != nil {
		j := &req.attempt
		r.writeAttempt(entry, j, zap.Stringer("how", end), zap.Bool("unsent", j.NeverSent), zap.Float64("after", r.now-j.SentAt))
	}
}

// writeAttempt writes a log line on an attempt.
func (r *Router) writeAttempt(entry *zapcore.CheckedEntry, j *backends.Attempt, extra ...zap.Field) {
	fields := append([]zap.Field{zap.ByteString("request", j.Ref[:]), zap.Int("attempt", j.AttemptNumber),
		zap.String("server", r.serverName(j.Server))}, extra...)
	entry.Write(fields...)
}

// logNotServed logs that a request got no result, and why.
func (r *Router) logNotServed(req *request, message string) {
	entry := r.log.Check(zap.InfoLevel, message)
	if entry == nil {
		return
	}
	entry.Write(zap.ByteString("request", req.attempt.Ref[:]), zap.String("profile", req.attempt.Profile), zap.String("why", r.notServedReason(req)),
		zap.Int("attempts", req.attempt.AttemptNumber+1), zap.Float64("age", r.now-req.arrivedAt), zap.Float64("left", req.deadline-r.now))
}

// notServedReason describes the stage at which the controller gave a request up.
func (r *Router) notServedReason(req *request) string {
	switch {
	case req.attempt.Outstanding():
		return "attempt did not end in time"
	case req.attempt.AttemptNumber >= 0:
		return "last attempt: " + req.lastEnd.String()
	case r.now > req.arrivedAt:
		return "no server available in time"
	}
	return "rejected on arrival"
}

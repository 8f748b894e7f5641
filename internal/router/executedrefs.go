package router

import (
	"dunereach/admission"
	"dunereach/internal/backends"
)

// This file remembers the ids of requests that may have run and must not run again, after their clients have left: a client may come again
// with the same id.

const (
	// executedFor is for how long an id is remembered, in seconds: longer than a client waits, or comes again.
	executedFor = 60
	// maxExecuted bounds the number of ids that are remembered. Beyond it the oldest is forgotten.
	maxExecuted = 4096
)

// executedRefs holds ids for a time.
type executedRefs struct {
	until map[backends.Ref]float64 // in seconds
	order []backends.Ref           // a ring of all ids in until, once it is full
	next  int                      // position of the oldest in the ring
}

// add remembers an id from now on.
func (e *executedRefs) add(ref backends.Ref, now float64) {
	if e.until == nil {
		e.until = map[backends.Ref]float64{}
	}
	_, known := e.until[ref]
	e.until[ref] = now + executedFor
	switch {
	case known:
	case len(e.order) < maxExecuted:
		e.order = append(e.order, ref)
	default:
		delete(e.until, e.order[e.next])
		e.order[e.next] = ref
		e.next = (e.next + 1) % maxExecuted
	}
}

// contains reports whether an id is remembered.
func (e *executedRefs) contains(ref backends.Ref, now float64) bool {
	until, ok := e.until[ref]
	return ok && now < until
}

// refInUse reports whether a request with an id is in progress, or may have run and must not run again.
func (r *Router) refInUse(ref backends.Ref) bool {
	if _, active := r.activeRefs[ref]; active {
		r.pool.ReportEnds() // its attempt may have ended within the same input
		if _, active = r.activeRefs[ref]; active {
			return true
		}
	}
	return r.executedRefs.contains(ref, r.now)
}

// mayHaveRun reports whether an attempt that has ended may have run.
func mayHaveRun(j *backends.Attempt, end admission.End) bool {
	switch end {
	case admission.Rejected, admission.Unreachable, admission.Withdrawn:
		return false
	}
	return !j.NeverSent
}

// rememberIfLeft remembers the id of a request whose client has left, if it may have run and must not run again. A client that has its answer
// knows what has become of the request.
func (r *Router) rememberIfLeft(req *request) {
	if req.clientLeft && req.mayHaveRun && !r.mayRepeat(req) {
		r.executedRefs.add(req.attempt.Ref, r.now)
	}
}

// mayRepeat reports whether a request may run again.
func (r *Router) mayRepeat(req *request) bool {
	profile := r.profiles[req.attempt.Profile]
	return r.set.Admission.Profiles[profile].Effect == admission.Idempotent
}

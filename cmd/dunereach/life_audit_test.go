package main

import (
	"fmt"
	"testing"
	"time"
)

// This file checks the records of clients and servers about the run of one router process. It shares no code with the router.

// outcome is the result of a request as its client sees it.
type outcome uint8

const (
	neverAnswered    outcome = iota // no answer until the end of the record
	answered                        // a result, a rejection or a failure
	connectionClosed                // the connection was closed without an answer
	clientLeft                      // the client closed its connection or cancelled
)

// requestRecord is one request of a client.
type requestRecord struct {
	ref               string
	class             string
	timeout           time.Duration
	sent              time.Time
	ended             time.Time // time of the answer, of the close, or when the client left
	outcome           outcome
	answers           int
	firstOnConnection bool // the first request of its connection
}

// attemptRecord is one attempt as it reached a server.
type attemptRecord struct {
	ref       string
	at        time.Time
	timeLimit time.Duration // as sent to the server
}

// runRecord is the run of one router process.
type runRecord struct {
	terminatedAt time.Time     // time of SIGTERM; zero: none was sent
	killedAt     time.Time     // time of SIGKILL; zero: the process exited by itself
	suspendedFor time.Duration // total time in SIGSTOP
	crowded      bool          // clients without requests held more descriptors than the share of all clients
	requests     []*requestRecord
	attempts     []attemptRecord
}

const (
	answerSlack     = 500 * time.Millisecond // past the client timeout: an answer this late has no benefit, but is not lost
	socketSlack     = 50 * time.Millisecond  // added to each time limit on sockets
	closeRaceSlack  = 50 * time.Millisecond  // a request that crosses the close of an idle connection is retried by the client
	clientLeftSlack = 100 * time.Millisecond // an attempt may begin this long after its client left
	timeLimitSlack  = 150 * time.Millisecond // by which the limit sent to a server may exceed the time left to the client
	machineSlack    = 300 * time.Millisecond // for a busy machine, as test clients and fake servers are delayed too
)

// violations describes each violated rule, with the request that violated it.
func (l *runRecord) violations() (found []string) {
	requestByRef := map[string]*requestRecord{}
	for _, r := range l.requests {
		requestByRef[r.ref] = r
		if text := l.requestViolation(r); text != "" {
			found = append(found, fmt.Sprintf("request %s (%s): %s", r.ref, r.class, text))
		}
	}
	attemptCount := map[string]int{}
	for _, a := range l.attempts {
		r := requestByRef[a.ref]
		if r == nil {
			found = append(found, fmt.Sprintf("attempt of %s: no client sent it", a.ref))
			continue
		}
		if attemptCount[a.ref]++; r.class == "order" && attemptCount[a.ref] == 2 {
			found = append(found, fmt.Sprintf("request %s: a non-idempotent request was sent twice", a.ref))
		}
		if text := l.attemptViolation(r, a); text != "" {
			found = append(found, fmt.Sprintf("attempt of %s: %s", a.ref, text))
		}
	}
	return found
}

// requestViolation returns the rule that the outcome of a request violates, or "".
func (l *runRecord) requestViolation(r *requestRecord) string {
	took := r.ended.Sub(r.sent)
	endedByKill := !l.killedAt.IsZero() && !r.ended.Before(l.killedAt)
	switch {
	case r.answers > 1:
		return fmt.Sprintf("%d answers", r.answers)
	case r.outcome == answered && took > r.timeout+answerSlack+socketSlack+machineSlack+l.suspendedFor && !l.mayBeClosedUnread(r):
		return fmt.Sprintf("answered after %v of %v", took, r.timeout)
	case r.outcome == answered || r.outcome == clientLeft || l.mayBeClosedUnread(r):
		return ""
	case endedByKill && l.terminatedAt.IsZero():
		return "" // killed without SIGTERM
	case r.outcome == connectionClosed && !r.firstOnConnection && took <= closeRaceSlack+l.suspendedFor:
		return ""
	case r.outcome == connectionClosed:
		return fmt.Sprintf("its connection closed after %v without an answer, %s", took, l.sendTime(r))
	}
	return "never answered, " + l.sendTime(r)
}

// mayBeClosedUnread reports whether a request may stay unanswered: with a crowd, the router may close new connections before it
// reads from them.
func (l *runRecord) mayBeClosedUnread(r *requestRecord) bool { return l.crowded && r.firstOnConnection }

// sendTime describes when a request was sent relative to the SIGTERM of the run.
func (l *runRecord) sendTime(r *requestRecord) string {
	if l.terminatedAt.IsZero() {
		return "without SIGTERM"
	}
	return fmt.Sprintf("sent %v after SIGTERM", r.sent.Sub(l.terminatedAt))
}

// attemptViolation returns the rule that an attempt violates, or "".
func (l *runRecord) attemptViolation(r *requestRecord, a attemptRecord) string {
	if late := a.at.Sub(r.ended); r.outcome == clientLeft && late > clientLeftSlack+machineSlack+l.suspendedFor {
		return fmt.Sprintf("%v after its client had left", late)
	}
	if left := r.timeout - a.at.Sub(r.sent); a.timeLimit > left+timeLimitSlack+machineSlack+l.suspendedFor {
		return fmt.Sprintf("the server received a time limit of %v, its client has %v left", a.timeLimit, left)
	}
	return ""
}

// TestLifeAudit checks a violation of each rule, and the nearest cases that the rule allows.
func TestLifeAudit(t *testing.T) {
	zero := time.Unix(1000, 0)
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	request := func(o outcome, sent, ended int) *requestRecord {
		return &requestRecord{ref: "a", class: "lookup", timeout: time.Second, sent: at(sent), ended: at(ended), outcome: o}
	}
	with := func(r *requestRecord, change func(*requestRecord)) *requestRecord { change(r); return r }
	attempt := func(ms, timeLimit int) attemptRecord {
		return attemptRecord{ref: "a", at: at(ms), timeLimit: time.Duration(timeLimit) * time.Millisecond}
	}
	for _, c := range []struct {
		name   string
		run    runRecord
		broken bool
	}{
		{"in time", runRecord{requests: []*requestRecord{request(answered, 0, 1400)}}, false},
		{"late", runRecord{requests: []*requestRecord{request(answered, 0, 2000)}}, true},
		{"late because of a suspension", runRecord{suspendedFor: 300 * time.Millisecond, requests: []*requestRecord{request(answered, 0, 2000)}}, false},
		{"never", runRecord{requests: []*requestRecord{request(neverAnswered, 0, 4000)}}, true},
		{"two answers", runRecord{requests: []*requestRecord{with(request(answered, 0, 10), func(r *requestRecord) { r.answers = 2 })}}, true},
		{"closed", runRecord{requests: []*requestRecord{request(connectionClosed, 0, 200)}}, true},
		{"crosses a connection close", runRecord{requests: []*requestRecord{request(connectionClosed, 0, 20)}}, false},
		{"closed when new", runRecord{requests: []*requestRecord{with(request(connectionClosed, 0, 20), func(r *requestRecord) { r.firstOnConnection = true })}}, true},
		{"closed when new behind a crowd", runRecord{crowded: true,
			requests: []*requestRecord{with(request(connectionClosed, 0, 20), func(r *requestRecord) { r.firstOnConnection = true })}}, false},
		{"killed outright", runRecord{killedAt: at(100), requests: []*requestRecord{request(connectionClosed, 0, 101)}}, false},
		{"killed after SIGTERM", runRecord{terminatedAt: at(0), killedAt: at(1700), requests: []*requestRecord{request(connectionClosed, 900, 1701)}}, true},
		{"sent twice", runRecord{requests: []*requestRecord{with(request(answered, 0, 10), func(r *requestRecord) { r.class = "order" })},
			attempts: []attemptRecord{attempt(1, 900), attempt(2, 900)}}, true},
		{"retried", runRecord{requests: []*requestRecord{request(answered, 0, 10)}, attempts: []attemptRecord{attempt(1, 900), attempt(2, 900)}}, false},
		{"attempt after the client left", runRecord{requests: []*requestRecord{request(clientLeft, 0, 10)}, attempts: []attemptRecord{attempt(450, 500)}}, true},
		{"attempt while the client leaves", runRecord{requests: []*requestRecord{request(clientLeft, 0, 10)}, attempts: []attemptRecord{attempt(100, 900)}}, false},
		{"time limit too long", runRecord{requests: []*requestRecord{request(answered, 0, 900)}, attempts: []attemptRecord{attempt(500, 1000)}}, true},
		{"nobody's", runRecord{attempts: []attemptRecord{attempt(1, 1)}}, true},
	} {
		if broken := c.run.violations(); len(broken) > 0 != c.broken {
			t.Errorf("%s: %v", c.name, broken)
		}
	}
}

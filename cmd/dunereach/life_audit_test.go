package main

import (
	"fmt"
	"testing"
	"time"
)

// This file judges what clients and servers recorded of one router process, its life. It shares no code with the router.

// outcome is what a client saw of a request.
type outcome uint8

const (
	unanswered outcome = iota // nothing, up to the end of the record
	answered                  // a result, a refusal or a failure
	closedOn                  // the connection ended first
	clientLeft                // the client closed its connection or cancelled
)

// requestRecord is one request of a client.
type requestRecord struct {
	ref     string
	class   string
	allow   time.Duration
	sent    time.Time
	ended   time.Time // the answer, the connection's end, or when the client left
	outcome outcome
	answers int
	fresh   bool // the first on its connection
}

// attemptRecord is one request as it reached a server.
type attemptRecord struct {
	ref   string
	at    time.Time
	limit time.Duration // that the server was told
}

// lifeRecord is one router process.
type lifeRecord struct {
	asked    time.Time     // to end, zero: it was not
	killed   time.Time     // zero: it ended by itself
	stopped  time.Duration // in all, by SIGSTOP
	crowded  bool          // clients that ask nothing took more than clients' share of the descriptors
	requests []*requestRecord
	attempts []attemptRecord
}

const (
	answerSlack  = 500 * time.Millisecond // past a client's time, where an answer earns nothing and is not lost
	socketSlack  = 50 * time.Millisecond  // on sockets each time limit is longer by this
	crossing     = 50 * time.Millisecond  // a request that crosses the close of a resting connection is sent again
	goneSlack    = 100 * time.Millisecond // an attempt may begin so late after its client has gone
	limitSlack   = 150 * time.Millisecond // of what a server is told over what the client has left
	machineSlack = 300 * time.Millisecond // for a busy machine on both ends, as stand-ins are not the router
)

// audit names each rule that a life broke, with the request.
func (l *lifeRecord) audit() (broken []string) {
	of := map[string]*requestRecord{}
	for _, r := range l.requests {
		of[r.ref] = r
		if text := l.judge(r); text != "" {
			broken = append(broken, fmt.Sprintf("request %s (%s): %s", r.ref, r.class, text))
		}
	}
	ran := map[string]int{}
	for _, a := range l.attempts {
		r := of[a.ref]
		if r == nil {
			broken = append(broken, fmt.Sprintf("attempt of %s: no client sent it", a.ref))
			continue
		}
		if ran[a.ref]++; r.class == "order" && ran[a.ref] == 2 {
			broken = append(broken, fmt.Sprintf("request %s: an unsafe one was sent twice", a.ref))
		}
		if text := l.judgeAttempt(r, a); text != "" {
			broken = append(broken, fmt.Sprintf("attempt of %s: %s", a.ref, text))
		}
	}
	return broken
}

// judge says which rule a request's end breaks, "": none.
func (l *lifeRecord) judge(r *requestRecord) string {
	took := r.ended.Sub(r.sent)
	byKill := !l.killed.IsZero() && !r.ended.Before(l.killed)
	switch {
	case r.answers > 1:
		return fmt.Sprintf("%d answers", r.answers)
	case r.outcome == answered && took > r.allow+answerSlack+socketSlack+machineSlack+l.stopped && !l.excused(r):
		return fmt.Sprintf("answered after %v of %v", took, r.allow)
	case r.outcome == answered || r.outcome == clientLeft || l.excused(r):
		return ""
	case byKill && l.asked.IsZero():
		return "" // killed outright
	case r.outcome == closedOn && !r.fresh && took <= crossing+l.stopped:
		return ""
	case r.outcome == closedOn:
		return fmt.Sprintf("its connection ended after %v with no answer, %s", took, l.when(r))
	}
	return "never answered, " + l.when(r)
}

// excused tells whether the page frees a request of its answer: behind a crowd new connections may be shut unread.
func (l *lifeRecord) excused(r *requestRecord) bool { return l.crowded && r.fresh }

// when places a request in the life's end.
func (l *lifeRecord) when(r *requestRecord) string {
	if l.asked.IsZero() {
		return "not asked to end"
	}
	return fmt.Sprintf("sent %v after SIGTERM", r.sent.Sub(l.asked))
}

// judgeAttempt says which rule an attempt breaks, "": none.
func (l *lifeRecord) judgeAttempt(r *requestRecord, a attemptRecord) string {
	if late := a.at.Sub(r.ended); r.outcome == clientLeft && late > goneSlack+machineSlack+l.stopped {
		return fmt.Sprintf("%v after its client had gone", late)
	}
	if left := r.allow - a.at.Sub(r.sent); a.limit > left+limitSlack+machineSlack+l.stopped {
		return fmt.Sprintf("the server was told %v, its client has %v left", a.limit, left)
	}
	return ""
}

// TestLifeAudit plants a break of each rule, and what each rule allows beside it.
func TestLifeAudit(t *testing.T) {
	zero := time.Unix(1000, 0)
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	request := func(o outcome, sent, ended int) *requestRecord {
		return &requestRecord{ref: "a", class: "lookup", allow: time.Second, sent: at(sent), ended: at(ended), outcome: o}
	}
	with := func(r *requestRecord, change func(*requestRecord)) *requestRecord { change(r); return r }
	attempt := func(ms, limit int) attemptRecord {
		return attemptRecord{ref: "a", at: at(ms), limit: time.Duration(limit) * time.Millisecond}
	}
	for _, c := range []struct {
		name   string
		life   lifeRecord
		broken bool
	}{
		{"in time", lifeRecord{requests: []*requestRecord{request(answered, 0, 1400)}}, false},
		{"late", lifeRecord{requests: []*requestRecord{request(answered, 0, 2000)}}, true},
		{"late by a stop", lifeRecord{stopped: 300 * time.Millisecond, requests: []*requestRecord{request(answered, 0, 2000)}}, false},
		{"never", lifeRecord{requests: []*requestRecord{request(unanswered, 0, 4000)}}, true},
		{"two answers", lifeRecord{requests: []*requestRecord{with(request(answered, 0, 10), func(r *requestRecord) { r.answers = 2 })}}, true},
		{"closed", lifeRecord{requests: []*requestRecord{request(closedOn, 0, 200)}}, true},
		{"crosses a close", lifeRecord{requests: []*requestRecord{request(closedOn, 0, 20)}}, false},
		{"closed when new", lifeRecord{requests: []*requestRecord{with(request(closedOn, 0, 20), func(r *requestRecord) { r.fresh = true })}}, true},
		{"closed when new behind a crowd", lifeRecord{crowded: true,
			requests: []*requestRecord{with(request(closedOn, 0, 20), func(r *requestRecord) { r.fresh = true })}}, false},
		{"killed outright", lifeRecord{killed: at(100), requests: []*requestRecord{request(closedOn, 0, 101)}}, false},
		{"killed after SIGTERM", lifeRecord{asked: at(0), killed: at(1700), requests: []*requestRecord{request(closedOn, 900, 1701)}}, true},
		{"sent twice", lifeRecord{requests: []*requestRecord{with(request(answered, 0, 10), func(r *requestRecord) { r.class = "order" })},
			attempts: []attemptRecord{attempt(1, 900), attempt(2, 900)}}, true},
		{"retried", lifeRecord{requests: []*requestRecord{request(answered, 0, 10)}, attempts: []attemptRecord{attempt(1, 900), attempt(2, 900)}}, false},
		{"for one that left", lifeRecord{requests: []*requestRecord{request(clientLeft, 0, 10)}, attempts: []attemptRecord{attempt(450, 500)}}, true},
		{"as one leaves", lifeRecord{requests: []*requestRecord{request(clientLeft, 0, 10)}, attempts: []attemptRecord{attempt(100, 900)}}, false},
		{"told too long", lifeRecord{requests: []*requestRecord{request(answered, 0, 900)}, attempts: []attemptRecord{attempt(500, 1000)}}, true},
		{"nobody's", lifeRecord{attempts: []attemptRecord{attempt(1, 1)}}, true},
	} {
		if broken := c.life.audit(); len(broken) > 0 != c.broken {
			t.Errorf("%s: %v", c.name, broken)
		}
	}
}

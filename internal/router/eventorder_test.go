package router

import (
	"slices"
	"strings"
	"testing"
	"time"

	"dunereach/internal/fake"
	"dunereach/internal/frontend"
	"dunereach/internal/transport"
)

// connectionRun is one client connection, whose owner is the test. Input that a reader has read is kept here until the test takes it.
type connectionRun struct {
	*harness
	c            *fake.Client
	events       []string         // the events so far, for messages
	calls        int              // requests sent
	clientEnd    string           // how the client ended its side: half-close, reset or not yet
	closeDecided bool             // the router has decided to close the connection
	callUnread   bool             // a request is unread behind the input that was read
	clientInput  *transport.Entry // read from the client's connection, not yet taken
	inputIsEnd   bool             // that input is the end of the connection
	serverInput  *transport.Entry // read from the server's connection, not yet taken
	running      []fake.Said      // the attempts that run
	taken        int
	open         int      // requests taken that have no answer yet
	finished     bool     // the router has closed its side
	sessionEnded bool     // the session has ended
	got          []string // replies that the client got
}

// newConnectionRun creates a connection on which nothing has arrived yet.
func newConnectionRun(t *testing.T) *connectionRun {
	h := newHarness(t, 100, 1)
	h.listServer(0)
	go h.accept(h.listener)
	warmUp := h.client()
	h.acceptClient(<-h.arrivals, false)
	for _, ref := range []string{"e", "f"} { // opens as many connections to the server as there will be requests
		h.call(warmUp, ref)
		h.deliver(2)
	}
	for range 2 {
		(<-h.received).Answer("served", "count=1", "x\t\t\n")
		h.deliver(1)
		warmUp.Next()
	}
	warmUp.Leave()
	h.deliver(2)
	c := h.client()
	h.acceptClient(<-h.arrivals, false)
	return &connectionRun{harness: h, c: c}
}

// nextInput waits for the input that follows from the last event.
func (l *connectionRun) nextInput() *transport.Entry {
	l.t.Helper()
	select {
	case e := <-l.inbox:
		return &e
	case <-time.After(fake.Patience):
		l.t.Fatalf("nothing came, after %q", l.events)
		return nil
	}
}

// possibleEvents returns the events that can happen next. A reset happens only while the reader reads: if a write met the reset first, two
// ends would be reported, at uncontrolled times.
func (l *connectionRun) possibleEvents() (events []string) {
	for name, can := range map[string]bool{
		"call": l.calls < 2 && l.clientEnd == "", "take": l.clientInput != nil, "half-close": l.calls > 0 && l.clientEnd == "",
		"reset": l.calls > 0 && l.clientEnd == "" && l.clientInput == nil, "decide": !l.closeDecided, "answer": len(l.running) > 0 && l.serverInput == nil,
		"pass": l.serverInput != nil,
	} {
		if can {
			events = append(events, name)
		}
	}
	slices.Sort(events)
	return events
}

// apply makes an event happen.
func (l *connectionRun) apply(event string) {
	l.t.Helper()
	l.events = append(l.events, event)
	switch event {
	case "call":
		l.calls++
		if l.call(l.c, string(rune('0'+l.calls))); l.clientInput != nil {
			l.callUnread = true
		} else if !l.finished {
			l.clientInput = l.nextInput()
		}
	case "half-close", "reset":
		if l.clientEnd = event; event == "reset" {
			l.c.Reset()
		} else {
			l.c.HalfClose()
		}
		if l.clientInput == nil {
			l.readEnd()
		}
	case "decide":
		l.closeDecided = true
		for s := range l.sessions {
			s.Last(frontend.RouterEnds)
		}
	case "take":
		l.takeInput()
	case "answer":
		l.running[0].Answer("served", "count=1", "x\t\t\n")
		l.running, l.serverInput = l.running[1:], l.nextInput()
	case "pass":
		l.Deliver(l.clock.now(), *l.serverInput)
		l.serverInput = nil
		if l.open--; l.clientEnd != "reset" { // after a reset nothing more is received
			l.got = append(l.got, l.c.Next())
		}
	}
	if !l.sessionEnded && !l.finished && l.open == 0 && (l.closeDecided || l.clientEnd == "half-close" && l.inputIsEnd && l.clientInput == nil) {
		l.finished = true
		for l.clientEnd != "reset" && (len(l.got) == 0 || strings.HasPrefix(l.got[len(l.got)-1], "2/")) {
			l.got = append(l.got, l.c.Next())
		}
	}
}

// readEnd waits until the reader has read the end of the connection.
func (l *connectionRun) readEnd() {
	if l.clientInput, l.inputIsEnd = l.nextInput(), true; l.finished {
		l.takeInput()
	}
}

// takeInput delivers the client's input to the router.
func (l *connectionRun) takeInput() {
	e, before := *l.clientInput, l.Owed()
	l.clientInput = nil
	l.Deliver(l.clock.now(), e)
	if l.inputIsEnd {
		l.sessionEnded = len(l.sessions) == 0
		return
	}
	if l.closeDecided && l.open > 0 && l.clientEnd != "reset" { // rejected
		l.got = append(l.got, l.c.Next())
	}
	for range l.Owed() - before {
		l.taken++
		l.open++
		l.running = append(l.running, <-l.received)
	}
	if l.callUnread {
		if l.callUnread = false; !l.finished {
			l.clientInput = l.nextInput()
			return
		}
	}
	if l.clientEnd != "" {
		l.readEnd()
	}
}

// TestOrders runs a connection through all orders in which requests, the end by either side and answers can arrive and be taken. Each
// request that was taken has one complete answer, unless its client reset the connection. Others were not sent to a server.
func TestOrders(t *testing.T) {
	runs := 0
	for pending := [][]string{nil}; len(pending) > 0; runs++ {
		events := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		t.Run("life", func(t *testing.T) { // a subtest, so that what it opens is closed at its end
			l := newConnectionRun(t)
			for _, event := range events {
				l.apply(event)
			}
			for possibleEvents := l.possibleEvents(); len(possibleEvents) > 0; possibleEvents = l.possibleEvents() {
				for _, other := range possibleEvents[1:] {
					pending = append(pending, append(slices.Clone(l.events), other))
				}
				l.apply(possibleEvents[0])
			}
			l.check(strings.Join(l.events, ", "))
		})
		if t.Failed() {
			break
		}
	}
	t.Log(runs, "lives")
}

// check checks the result of a run.
func (l *connectionRun) check(order string) {
	l.t.Helper()
	if l.Owed() != 0 || len(l.requests) != 0 || len(l.received) != 0 && !strings.Contains(order, "reset") {
		l.t.Errorf("%s: %d requests unanswered, %d in progress, %d messages sent to servers", order, l.Owed(), len(l.requests), len(l.received))
	}
	if l.clientEnd == "reset" {
		return
	}
	served, last := 0, l.got[len(l.got)-1]
	for _, got := range l.got {
		if strings.Contains(got, " 0={") {
			served++
		}
	}
	if served != l.taken || len(l.got)-1 > l.calls || last != "closed" {
		l.t.Errorf("%s: %d requests sent, %d taken, the client got %q", order, l.calls, l.taken, l.got)
	}
}

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

// connectionRun is one client's connection with the test as its owner: what a reader has read waits here until it is taken.
type connectionRun struct {
	*harness
	c            *fake.Client
	events       []string         // what has happened, for the report
	calls        int              // sent
	clientEnd    string           // how the client ended its side
	closeDecided bool             // the close is decided
	callUnread   bool             // a call lies unread behind what is read
	clientInput  *transport.Entry // read off the client's connection, and yet to be taken
	inputIsEnd   bool             // what is read is the connection's end
	serverInput  *transport.Entry // the same of the engine's
	running      []fake.Said      // what runs
	taken        int
	open         int      // taken with no answer yet
	finished     bool     // the router has said its last there
	sessionEnded bool     // nothing more comes
	got          []string // by the client
}

// newConnectionRun is a connection that nothing has come on yet.
func newConnectionRun(t *testing.T) *connectionRun {
	h := newHarness(t, 100, 1)
	h.listServer(0)
	go h.accept(h.listener)
	warmUp := h.client()
	h.acceptClient(<-h.arrivals, false)
	for _, ref := range []string{"e", "f"} { // as many connections to the engine as there are calls to come
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

// nextInput is what comes off the one connection that something has just been done to.
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

// possibleEvents is what can happen next. A reset comes while its reader reads: a write that met it first would make two ends of it, at a
// time of their own.
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
		if l.open--; l.clientEnd != "reset" { // what is on its way must not meet the reset
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

// readEnd: the reader comes to the connection's readEnd.
func (l *connectionRun) readEnd() {
	if l.clientInput, l.inputIsEnd = l.nextInput(), true; l.finished {
		l.takeInput()
	}
}

func (l *connectionRun) takeInput() {
	e, before := *l.clientInput, l.Owed()
	l.clientInput = nil
	l.Deliver(l.clock.now(), e)
	if l.inputIsEnd {
		l.sessionEnded = len(l.sessions) == 0
		return
	}
	if l.closeDecided && l.open > 0 && l.clientEnd != "reset" { // shed
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

// TestOrders: a connection's life in all orders in which calls, its end by either side and answers can come and be taken.
// What was taken has one whole answer, unless its client reset the connection; what was not was not sent on.
func TestOrders(t *testing.T) {
	runs := 0
	for pending := [][]string{nil}; len(pending) > 0; runs++ {
		events := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		t.Run("life", func(t *testing.T) { // what it opens is closed with it
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

func (l *connectionRun) check(order string) {
	l.t.Helper()
	if l.Owed() != 0 || len(l.requests) != 0 || len(l.received) != 0 && !strings.Contains(order, "reset") {
		l.t.Errorf("%s: %d are owed, %d in hand, %d things said to engines", order, l.Owed(), len(l.requests), len(l.received))
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
		l.t.Errorf("%s: %d calls, %d taken, the client got %q", order, l.calls, l.taken, l.got)
	}
}

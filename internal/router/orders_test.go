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

// life is one client's connection with the test as its owner: what a reader has read waits here until it is taken.
type life struct {
	*hall
	c      *fake.Client
	so     []string         // what has happened, for the report
	calls  int              // sent
	ended  string           // how the client ended its side
	last   bool             // the close is decided
	behind bool             // a call lies unread behind what is read
	client *transport.Entry // read off the client's connection, and yet to be taken
	isEnd  bool             // what is read is the connection's end
	engine *transport.Entry // the same of the engine's
	fetch  []fake.Said      // what runs
	taken  int
	open   int      // taken with no answer yet
	shut   bool     // the router has said its last there
	gone   bool     // nothing more comes
	got    []string // by the client
}

// newLife is a connection that nothing has come on yet.
func newLife(t *testing.T) *life {
	h := newHall(t, 100, 1)
	h.ready(0)
	go h.accept(h.listener)
	warm := h.client()
	h.arrive(<-h.arrivals, false)
	for _, ref := range []string{"e", "f"} { // as many connections to the engine as there are calls to come
		h.call(warm, ref)
		h.deliver(2)
	}
	for range 2 {
		(<-h.heard).Answer("served", "count=1", "x\t\t\n")
		h.deliver(1)
		warm.Next()
	}
	warm.Leave()
	h.deliver(2)
	c := h.client()
	h.arrive(<-h.arrivals, false)
	return &life{hall: h, c: c}
}

// next is what comes off the one connection that something has just been done to.
func (l *life) next() *transport.Entry {
	l.t.Helper()
	select {
	case e := <-l.inbox:
		return &e
	case <-time.After(fake.Patience):
		l.t.Fatalf("nothing came, after %q", l.so)
		return nil
	}
}

// may is what can happen next. A reset comes while its reader reads: a write that met it first would make two ends of it, at a
// time of their own.
func (l *life) may() (what []string) {
	for name, can := range map[string]bool{
		"call": l.calls < 2 && l.ended == "", "take": l.client != nil, "half-close": l.calls > 0 && l.ended == "",
		"reset": l.calls > 0 && l.ended == "" && l.client == nil, "decide": !l.last, "answer": len(l.fetch) > 0 && l.engine == nil,
		"pass": l.engine != nil,
	} {
		if can {
			what = append(what, name)
		}
	}
	slices.Sort(what)
	return what
}

func (l *life) do(what string) {
	l.t.Helper()
	l.so = append(l.so, what)
	switch what {
	case "call":
		l.calls++
		if l.call(l.c, string(rune('0'+l.calls))); l.client != nil {
			l.behind = true
		} else if !l.shut {
			l.client = l.next()
		}
	case "half-close", "reset":
		if l.ended = what; what == "reset" {
			l.c.Reset()
		} else {
			l.c.HalfClose()
		}
		if l.client == nil {
			l.end()
		}
	case "decide":
		l.last = true
		for s := range l.sessions {
			s.Last(frontend.RouterEnds)
		}
	case "take":
		l.take()
	case "answer":
		l.fetch[0].Answer("served", "count=1", "x\t\t\n")
		l.fetch, l.engine = l.fetch[1:], l.next()
	case "pass":
		l.Deliver(l.clock.now(), *l.engine)
		l.engine = nil
		if l.open--; l.ended != "reset" { // what is on its way must not meet the reset
			l.got = append(l.got, l.c.Next())
		}
	}
	if !l.gone && !l.shut && l.open == 0 && (l.last || l.ended == "half-close" && l.isEnd && l.client == nil) {
		l.shut = true
		for l.ended != "reset" && (len(l.got) == 0 || strings.HasPrefix(l.got[len(l.got)-1], "2/")) {
			l.got = append(l.got, l.c.Next())
		}
	}
}

// end: the reader comes to the connection's end.
func (l *life) end() {
	if l.client, l.isEnd = l.next(), true; l.shut {
		l.take()
	}
}

func (l *life) take() {
	e, owed := *l.client, l.Owed()
	l.client = nil
	l.Deliver(l.clock.now(), e)
	if l.isEnd {
		l.gone = len(l.sessions) == 0
		return
	}
	if l.last && l.open > 0 && l.ended != "reset" { // shed
		l.got = append(l.got, l.c.Next())
	}
	for range l.Owed() - owed {
		l.taken++
		l.open++
		l.fetch = append(l.fetch, <-l.heard)
	}
	if l.behind {
		if l.behind = false; !l.shut {
			l.client = l.next()
			return
		}
	}
	if l.ended != "" {
		l.end()
	}
}

// TestOrders: a connection's life in all orders in which calls, its end by either side and answers can come and be taken.
// What was taken has one whole answer, unless its client reset the connection; what was not was not sent on.
func TestOrders(t *testing.T) {
	lives := 0
	for left := [][]string{nil}; len(left) > 0; lives++ {
		so := left[len(left)-1]
		left = left[:len(left)-1]
		t.Run("life", func(t *testing.T) { // what it opens is closed with it
			l := newLife(t)
			for _, what := range so {
				l.do(what)
			}
			for may := l.may(); len(may) > 0; may = l.may() {
				for _, other := range may[1:] {
					left = append(left, append(slices.Clone(l.so), other))
				}
				l.do(may[0])
			}
			l.check(strings.Join(l.so, ", "))
		})
		if t.Failed() {
			break
		}
	}
	t.Log(lives, "lives")
}

func (l *life) check(so string) {
	l.t.Helper()
	if l.Owed() != 0 || len(l.cmds) != 0 || len(l.heard) != 0 && !strings.Contains(so, "reset") {
		l.t.Errorf("%s: %d are owed, %d in hand, %d things said to engines", so, l.Owed(), len(l.cmds), len(l.heard))
	}
	if l.ended == "reset" {
		return
	}
	served, last := 0, l.got[len(l.got)-1]
	for _, got := range l.got {
		if strings.Contains(got, " 0={") {
			served++
		}
	}
	if served != l.taken || len(l.got)-1 > l.calls || last != "closed" {
		l.t.Errorf("%s: %d calls, %d taken, the client got %q", so, l.calls, l.taken, l.got)
	}
}

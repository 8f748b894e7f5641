package main

import (
	"fmt"
	"strings"
	"testing"

	"dunereach/internal/fake"
)

// TestToken: the idempotency token of a client is passed to servers unchanged with each attempt. A token with characters that the
// protocol does not allow is rejected.
func TestToken(t *testing.T) {
	w := newCluster(t, 2)
	c := fake.NewClient(t, w.addr)
	call := func(token string) int32 {
		w.lastRef++
		return c.Call("SELECT 1", "service", "lookup", "project", "acme", "allow", "30000", "ref", fmt.Sprintf("%016x", w.lastRef), "replay", token)
	}
	seq := call("f67149c9:8847")
	first := w.receive("fetch")
	first.Reset()
	again := w.receive("fetch")
	for _, s := range []fake.Message{first, again} {
		if !strings.HasSuffix(s.Words[2], ",token=f67149c9:8847") {
			t.Errorf("a server received %q", s.Words)
		}
	}
	again.Answer("served", "count=1", "x\t\t\n")
	w.expectAnswer(c, resultMessage(seq, "x\t\t\n"))
	for _, bad := range []string{"a,ms=1", "a b", "a\r\nabort", "a=b", strings.Repeat("x", 129)} {
		call(bad)
		if got := c.NextAnswer(); !strings.Contains(got, "replay can't be used") {
			t.Errorf("%q: %s", bad, got)
		}
	}
	if s := w.completeRequest(c, "lookup"); strings.Contains(s.Words[2], "token") {
		t.Errorf("a request without a token was sent with %q", s.Words)
	}
}

// TestOrdered: in an ordered profile, requests with the same key run one at a time in the order of arrival, also across
// connections. Requests with another key, without a key, or of another profile do not wait for them.
func TestOrdered(t *testing.T) {
	w := newCluster(t, 2)
	a, b := fake.NewClient(t, w.addr), fake.NewClient(t, w.addr)
	call := func(c *fake.Client, profile, statement string, key ...string) int32 {
		w.lastRef++
		return c.Call(statement, append([]string{"service", profile, "project", "acme", "allow", "30000", "ref",
			fmt.Sprintf("%016x", w.lastRef)}, key...)...)
	}
	one := call(a, "ledger", "SELECT 1", "lookup", "000616d7ae5218ff")
	first := w.receive("fetch")
	two := call(b, "ledger", "SELECT 2", "lookup", "000616d7ae5218ff")
	for k, free := range [][]string{{"ledger", "lookup", "000616d7ae5218fe"}, {"ledger"}, {"lookup", "lookup", "000616d7ae5218ff"}} {
		seq := call(b, free[0], fmt.Sprintf("SELECT %d", 3+k), free[1:]...)
		s := w.receive("fetch")
		if want := fmt.Sprintf("SELECT %d", 3+k); s.Body != want {
			t.Fatalf("a server received %q, want %q", s.Body, want)
		}
		s.Answer("served", "count=1", "x\t\t\n")
		w.expectAnswer(b, resultMessage(seq, "x\t\t\n"))
	}
	first.Answer("served", "count=1", "x\t\t\n")
	w.expectAnswer(a, resultMessage(one, "x\t\t\n"))
	second := w.receive("fetch")
	if second.Body != "SELECT 2" {
		t.Errorf("a server received %q", second.Body)
	}
	second.Answer("served", "count=1", "y\t\t\n")
	w.expectAnswer(b, resultMessage(two, "y\t\t\n"))
}

// TestRepeated: a client's retry under a new id, while the first request is open or after it failed, is a request of its own with
// one answer. The same id on another connection fails while the first request is open, does not disturb it, and can be used again
// after it.
func TestRepeated(t *testing.T) {
	w := newCluster(t, 2)
	a, b := fake.NewClient(t, w.addr), fake.NewClient(t, w.addr)
	call := func(c *fake.Client, ref string) int32 {
		return c.Call("UPDATE sales_3.x", "service", "order", "project", "acme", "allow", "30000", "ref", strings.Repeat(ref, 16))
	}
	one := call(a, "a")
	first := w.receive("fetch")
	w.expectAnswer(b, fmt.Sprintf(`2/%d call{ 2={ 1=[ ] } }`, call(b, "a")))
	two := call(b, "b")
	again := w.receive("fetch")
	again.Answer("served", "count=1", "2\t\t\n")
	w.expectAnswer(b, resultMessage(two, "2\t\t\n"))
	first.Answer("served", "count=1", "1\t\t\n")
	w.expectAnswer(a, resultMessage(one, "1\t\t\n"))
	three := call(b, "a")
	w.receive("fetch").Reset() // the request may have run
	w.expectAnswer(b, fmt.Sprintf(`2/%d call{ 2={ 1=[ ] } }`, three))
	four := call(b, "a")
	w.receive("fetch").Answer("served", "count=1", "4\t\t\n")
	w.expectAnswer(b, resultMessage(four, "4\t\t\n"))
	if !a.Health() || !b.Health() { // no further answer precedes this one
		t.Error("not ready")
	}
	if len(w.received) > 0 {
		t.Errorf("a server received %q", (<-w.received).Words)
	}
}

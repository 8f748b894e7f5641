package main

import (
	"fmt"
	"strings"
	"testing"

	"dunereach/internal/standin"
)

// TestToken: what a client sends for a repeat to be known by goes on to engines with each send, unchanged; one that could
// not stand there is refused.
func TestToken(t *testing.T) {
	w := newTown(t, 2)
	c := standin.NewClient(t, w.addr)
	call := func(token string) int32 {
		w.refs++
		return c.Call("SELECT 1", "service", "lookup", "project", "acme", "allow", "30000", "ref", fmt.Sprintf("%016x", w.refs), "replay", token)
	}
	seq := call("f67149c9:8847")
	first := w.hear("fetch")
	first.Die()
	again := w.hear("fetch")
	for _, s := range []standin.Said{first, again} {
		if !strings.HasSuffix(s.Words[2], ",token=f67149c9:8847") {
			t.Errorf("an engine was sent %q", s.Words)
		}
	}
	again.Answer("served", "count=1", "x\t\t\n")
	w.expect(c, served(seq, "x\t\t\n"))
	for _, bad := range []string{"a,ms=1", "a b", "a\r\nabort", "a=b", strings.Repeat("x", 129)} {
		call(bad)
		if got := c.Next(); !strings.Contains(got, "replay can't be used") {
			t.Errorf("%q: %s", bad, got)
		}
	}
	if s := w.serve(c, "lookup"); strings.Contains(s.Words[2], "token") {
		t.Errorf("one without was sent with %q", s.Words)
	}
}

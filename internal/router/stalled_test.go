package router

import (
	"testing"

	"dunereach/admission"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// watchStallFor20s runs stall detection every second for 20 s on a router with one client's request, and returns it with its log.
func watchStallFor20s(servers int, noServerKnown bool) (*testRouter, *observer.ObservedLogs) {
	core, lines := observer.New(zap.InfoLevel)
	s := newTestRouter(9)
	s.log = zap.New(core)
	if noServerKnown { // the controller knows no ready server, whatever the list says
		s.Members(0, admission.Full, nil, func() {})
	}
	s.call(1, 60, "SELECT 1")
	for now := range 20 {
		s.at(float64(now))
		s.detectStall(servers)
	}
	return s, lines
}

// TestStallIsSaid: a router that is ready, has servers and a waiting client and sends nothing logs it once. It logs nothing if no server is
// ready or an attempt is out.
func TestStallIsSaid(t *testing.T) {
	for _, c := range []struct {
		name          string
		servers       int
		noServerKnown bool
		lines         int
	}{{"nothing is sent", 1, true, 1}, {"no server is ready", 0, true, 0}, {"an attempt is out", 1, false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			s, lines := watchStallFor20s(c.servers, c.noServerKnown)
			if n := lines.FilterMessage("no attempts begin while clients wait").Len(); n != c.lines {
				t.Errorf("%d lines, want %d", n, c.lines)
			}
			if !c.noServerKnown || c.servers == 0 {
				return
			}
			s.Members(20, admission.Full, s.list, func() {})
			s.at(21)
			s.detectStall(c.servers)
			s.detectStall(c.servers)
			if n := lines.FilterMessage("attempts begin again").Len(); n != 1 {
				t.Errorf("the end of the stall was logged %d times", n)
			}
		})
	}
}

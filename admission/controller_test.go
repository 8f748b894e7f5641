package admission

import (
	"testing"

	"dunereach/internal/script"
	"dunereach/waittime"
)

// TestTraces runs every script of testdata and compares the controller's actions with the recorded ones. Equal events
// must give equal actions, so each script runs twice.
func TestTraces(t *testing.T) { script.Compare(t, playScript, playScript) }

// TestTurnover guards against leaks: the entries of servers that are gone are reused, and no state of finished requests
// remains.
func TestTurnover(t *testing.T) {
	h := &nopHost{}
	b := New(defaults(), 0, h)
	for k := range 1000 {
		now, id := float64(k), uint32(k+1)
		b.UpdateServers(now, Full, []Entry{{Server: id, State: Ready}})
		b.Request(now, Request{ID: id, TimeLeft: 4, Cost: 0.1})
		b.Outcome(now, Outcome{ID: id, Server: h.server, End: Completed, Latency: 0.1, Work: 0.1, Final: true})
	}
	if len(b.servers) > 2 || len(b.index) > 2 || len(b.requests.states) > 1 || len(b.requests.at) > 0 {
		t.Errorf("%d servers under %d ids, %d requests", len(b.servers), len(b.index), len(b.requests.states))
	}
}

// nopHost ignores all actions and records the server of the latest attempt.
type nopHost struct{ server uint32 }

func (h *nopHost) Send(_, server uint32, _, _ float64)                         { h.server = server }
func (h *nopHost) Withdraw(uint32, int)                                        {}
func (h *nopHost) Reject(uint32, float64)                                      {}
func (h *nopHost) Fail(uint32)                                                 {}
func (h *nopHost) Cancel(uint32, int)                                          {}
func (h *nopHost) Probe(uint32)                                                {}
func (h *nopHost) Priority(uint32, int, float64)                               {}
func (h *nopHost) Wake(float64, uint64)                                        {}
func (h *nopHost) SendToPeer(int, []byte)                                      {}
func (h *nopHost) Watch(bool)                                                  {}
func (h *nopHost) Log(string)                                                  {}
func (h *nopHost) ReportEstimate(uint32, waittime.TimeKind, waittime.Estimate) {}

// TestOrdinaryPathAllocatesNothing checks requests that are registered, admitted, sent and answered, also with teams
// and estimates.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	for _, on := range []bool{false, true} {
		set := defaults()
		if on {
			set.Teams, set.Waits = teamTree(t, 10), waittime.New(len(set.Profiles), 1)
		}
		checkNoAllocations(t, set)
	}
}

func checkNoAllocations(t *testing.T, set Settings) {
	t.Helper()
	h := &nopHost{}
	b := New(set, 0, h)
	b.UpdateServers(0, Full, []Entry{{Server: 1, State: Ready}, {Server: 2, State: Ready}})
	now, id := 0.0, uint32(0)
	serveOne := func() {
		now, id = now+0.01, id+1
		b.Request(now, Request{ID: id, TimeLeft: 4, Cost: 0.1, Team: int(id) % 10, RequestKey: 7})
		b.Outcome(now+0.005, Outcome{ID: id, Server: h.server, End: Completed, Latency: 0.1, Work: 0.1, Final: true})
	}
	for range 100 {
		serveOne()
	}
	if n := testing.AllocsPerRun(1000, serveOne); n != 0 {
		t.Errorf("%v allocations for a request", n)
	}
}

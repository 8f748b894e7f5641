package router

import (
	"fmt"
	"net/netip"
	"sort"
	"testing"

	"dunereach/admission"
	"dunereach/internal/backends"
	"dunereach/internal/fake"
	"dunereach/internal/frontend"
	"dunereach/internal/settings"
	"dunereach/internal/transport"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// fakeConn is a fake connection for both sides that keeps the last bytes written.
type fakeConn struct {
	last   []byte
	queued int // bytes that the peer has not taken
}

func (w *fakeConn) Append(b []byte) int64        { w.last = append(w.last[:0], b...); return 0 }
func (w *fakeConn) WriteBegun(int64) bool        { return true }
func (w *fakeConn) AppendRequest(b []byte) int64 { return w.Append(b) }
func (w *fakeConn) Delivered() bool              { return true }
func (w *fakeConn) BegunOutput() int64           { return 0 }
func (w *fakeConn) Acknowledged(int64) bool      { return true }
func (w *fakeConn) Withdraw(int64, int) bool {
	return false
}
func (w *fakeConn) Finish()            {}
func (w *fakeConn) Queued() int        { return w.queued }
func (w *fakeConn) InputPending() bool { return false }
func (w *fakeConn) LateInputState() transport.InputState {
	return transport.InputState{}
}
func (w *fakeConn) InputState() transport.InputState {
	return transport.InputState{}
}
func (w *fakeConn) OutputPending() bool { return false }
func (w *fakeConn) Drop()               {}
func (w *fakeConn) DropUnreadable()     {}

// testRouter is a router with one server and one client on fake connections.
type testRouter struct {
	*Router
	client  *frontend.Session
	answers fakeConn
	server  fakeConn
	sink    transport.Sink
	scratch []byte
	request frontend.Request
	list    []admission.Entry
	lastRef int
}

func (s *testRouter) SessionClosed(*frontend.Session) {}

func newTestRouter(open int) *testRouter {
	set := settings.Settings{Profiles: []string{"lookup"}, MaxOpenRequests: open, LongestTimeout: 30, Admission: admission.Settings{Routers: 1, Tick: 0.005,
		KindCores: []float64{8}, MaxPause: 0.5, Profiles: []admission.Profile{{Target: 20, Benefit: 1, Threads: 1}}}}
	s := &testRouter{Router: New(set, 100, zap.NewNop(), func(uint32) string { return "" })}
	pool := backends.New(s.Router, backends.Limits{StreamsPerConn: 100, MaxConns: 10, IdleTimeout: 30}, func(_ netip.AddrPort, k transport.Sink) backends.Connection {
		s.sink = k
		return &s.server
	})
	s.Start(0, pool)
	s.list = []admission.Entry{{Server: 1, State: admission.Ready}}
	s.Members(0, admission.Cached, s.list, func() { pool.UpdateServers(s.list, func(uint32) netip.AddrPort { return netip.AddrPort{} }) })
	s.client = frontend.NewSession(s, s.messageMemory, &s.scratch)
	s.client.Conn = &s.answers
	return s
}

// call makes the client send a request and returns the reply. It bypasses the decoding of frames, which package frontend tests.
func (s *testRouter) call(seq int32, allow float64, statement string) string {
	s.lastRef++
	s.request = frontend.Request{Profile: []byte("lookup"), Timeout: allow, Statement: []byte(statement)}
	copy(s.request.Ref[:], fmt.Sprintf("%016x", s.lastRef))
	s.answers.last = s.answers.last[:0]
	s.HandleRequest(s.client, seq, &s.request)
	s.pool.ReportEnds()
	return s.reply()
}

// reply returns what the client was sent last.
func (s *testRouter) reply() string {
	if len(s.answers.last) == 0 {
		return "nothing"
	}
	return fake.Format(s.answers.last[4:])
}

// TestBounds: a request beyond the settings' limit or the memory for statements is rejected before it reaches the controller. A request
// that ends makes room for another. None is kept for longer than any client waits.
func TestBounds(t *testing.T) {
	s := newTestRouter(2)
	rejected := func(seq int) string { return fmt.Sprintf("2/%d call{ 1={ 1=[ cooldown=500 ] } }", seq) }
	got := []string{s.call(1, 9, "SELECT 1"), s.call(2, 1e9, "SELECT 1"), s.call(3, 9, "SELECT 1")}
	s.ClientLeft(1)
	got = append(got, s.call(4, 9, string(make([]byte, 101))), s.call(5, 9, "SELECT 1"))
	if diff := cmp.Diff([]string{"nothing", "nothing", rejected(3), rejected(4), "nothing"}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	s.Tick(31)
	if s.Unanswered() != 0 || len(s.requests) != 0 || s.statementBytes != 0 {
		t.Errorf("%d unanswered, %d in progress with %d bytes after the longest wait", s.Unanswered(), len(s.requests), s.statementBytes)
	}
}

// TestStatementsOfOthers guards against rejections on one connection because the long statements of another fill the memory for all.
func TestStatementsOfOthers(t *testing.T) {
	const short = "SELECT 1"
	s := newTestRouter(9)
	long := string(make([]byte, 30))
	rejected := func(seq int) string { return fmt.Sprintf("2/%d call{ 1={ 1=[ cooldown=500 ] } }", seq) }
	got := []string{s.call(1, 9, long), s.call(2, 9, long), s.call(3, 9, long)} // of 100 bytes
	greedy := s.client
	s.client = frontend.NewSession(s, s.messageMemory, &s.scratch)
	s.client.Conn = &s.answers
	got = append(got, s.call(1, 9, short), s.call(2, 9, short), s.call(3, 9, short))
	s.client = greedy
	got = append(got, s.call(4, 9, short))
	s.ClientLeft(1)
	got = append(got, s.call(5, 9, short))
	want := []string{"nothing", rejected(2), rejected(3), "nothing", "nothing", "nothing", "nothing", "nothing"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestDuplicateID: while a client waits for a request, another request with the same id fails. Once the client has left, the id is free.
func TestDuplicateID(t *testing.T) {
	s := newTestRouter(9)
	callWithSameID := func(seq int32) string {
		s.lastRef = 0
		return s.call(seq, 9, fmt.Sprint("SELECT ", seq))
	}
	got := []string{callWithSameID(1), callWithSameID(2)}
	s.ClientLeft(1)
	got = append(got, callWithSameID(3))
	if diff := cmp.Diff([]string{"nothing", "2/2 call{ 2={ 1=[ ] } }", "nothing"}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestResultForDepartedClient: a result for a client that has left is dropped, and the controller learns of the outcome.
func TestResultForDepartedClient(t *testing.T) {
	s := newTestRouter(9)
	s.call(1, 9, "SELECT 1")
	s.sink.Connected()
	s.ClientLeft(1)
	s.sink.Feed([]byte("0000000000000001 served count=1,ticks=5 5\r\na\tb\t\n\r\n"))
	if got := s.reply(); got != "nothing" || len(s.requests) != 0 {
		t.Errorf("the client that left got %s; %d in progress", got, len(s.requests))
	}
}

// TestCancelledAttemptEndsFirst: the end of an attempt that the controller cancels when its client leaves is reported before the request is
// recycled for another.
func TestCancelledAttemptEndsFirst(t *testing.T) {
	s := newTestRouter(9)
	s.set.Admission.Cancels = true
	s.Start(0, s.pool)
	s.Members(0, admission.Full, s.list, func() {})
	s.call(1, 9, "SELECT 1")
	s.sink.Connected()
	s.ClientLeft(1)
	if len(s.requests) != 1 || string(s.server.last) != "abort 0000000000000001\r\n" {
		t.Errorf("%d in progress, the server was sent %q", len(s.requests), s.server.last)
	}
	if s.pool.ReportEnds(); len(s.requests) != 0 {
		t.Error("still in progress")
	}
}

// TestNoGarbage: a request that is served normally allocates nothing, once recycled requests are available.
func TestNoGarbage(t *testing.T) {
	s := newTestRouter(9)
	s.call(1, 9, "SELECT 1")
	s.sink.Connected()
	seq := int32(1)
	answer := []byte("0000000000000001 served count=1,ticks=5 5\r\na\tb\t\n\r\n")
	cycle := func() {
		s.sink.Feed(answer)
		seq++
		s.HandleRequest(s.client, seq, &s.request)
		s.pool.ReportEnds()
	}
	for range 1000 {
		cycle()
	}
	if n := testing.AllocsPerRun(1000, cycle); n > 0 {
		t.Errorf("%v allocations per request", n)
	}
}

// TestTimers: timers run in order of time, whatever the order in which they were set.
func TestTimers(t *testing.T) {
	var h timers
	var want, got []float64
	for k := range 100 {
		at := float64(k * 37 % 101)
		want = append(want, at)
		h.push(timer{at: at})
	}
	sort.Float64s(want)
	for range want {
		got = append(got, h.pop().at)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

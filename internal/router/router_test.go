package router

import (
	"fmt"
	"net/netip"
	"sort"
	"testing"
	"time"

	"dunereach/admission"
	"dunereach/internal/backends"
	"dunereach/internal/fake"
	"dunereach/internal/frontend"
	"dunereach/internal/settings"
	"dunereach/internal/transport"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

// wire stands in for connections on both sides, and keeps what was written last.
type wire struct{ last []byte }

func (w *wire) Append(b []byte) int64        { w.last = append(w.last[:0], b...); return 0 }
func (w *wire) Begun(int64) bool             { return true }
func (w *wire) AppendRequest(b []byte) int64 { return w.Append(b) }
func (w *wire) Delivered() bool              { return true }
func (w *wire) Withdraw(int64, int) bool {
	return false
}
func (w *wire) Finish()                 {}
func (w *wire) InputPending() bool      { return false }
func (w *wire) InputAge() time.Duration { return 0 }
func (w *wire) OutputPending() bool     { return false }
func (w *wire) Drop()                   {}
func (w *wire) Bad()                    {}

type stage struct {
	*Router
	client  *frontend.Session
	answers wire
	engine  wire
	sink    transport.Sink
	scratch []byte
	ask     frontend.Ask
	list    []admission.Entry
	refs    int
}

func (s *stage) Closed(*frontend.Session) {}

func newStage(open int) *stage {
	set := settings.Settings{Profiles: []string{"lookup"}, Open: open, Longest: 30, Brain: admission.Settings{Routers: 1, Tick: 0.005,
		KindCores: []float64{8}, MaxPause: 0.5, Profiles: []admission.Profile{{Target: 20, Benefit: 1, Threads: 1}}}}
	s := &stage{Router: New(set, 100, zap.NewNop(), func(uint32) string { return "" })}
	pool := backends.New(s.Router, backends.Limits{Streams: 100, Conns: 10, Idle: 30}, func(_ netip.AddrPort, k transport.Sink) backends.Line {
		s.sink = k
		return &s.engine
	})
	s.Start(0, pool)
	s.list = []admission.Entry{{Engine: 1, State: admission.Ready}}
	s.Members(0, admission.Cached, s.list, func() { pool.Members(s.list, func(uint32) netip.AddrPort { return netip.AddrPort{} }) })
	s.client = frontend.NewSession(s, &s.scratch)
	s.client.Line = &s.answers
	return s
}

// take has the client call; the session is told by hand, as frames are the front's business.
func (s *stage) take(seq int32, allow float64, statement string) string {
	s.refs++
	s.ask = frontend.Ask{Profile: []byte("lookup"), Allow: allow, Statement: []byte(statement)}
	copy(s.ask.Ref[:], fmt.Sprintf("%016x", s.refs))
	s.answers.last = s.answers.last[:0]
	s.Take(s.client, seq, &s.ask)
	s.pool.Settle()
	return s.answered()
}

func (s *stage) answered() string {
	if len(s.answers.last) == 0 {
		return "nothing"
	}
	return fake.Show(s.answers.last[4:])
}

// TestBounds: what passes the settings' bound or the memory for statements is shed before the module has it; a
// command that ends makes room; none is kept for longer than any client waits.
func TestBounds(t *testing.T) {
	s := newStage(2)
	shed := func(seq int) string { return fmt.Sprintf("2/%d call{ 1={ 1=[ cooldown=500 ] } }", seq) }
	got := []string{s.take(1, 9, "SELECT 1"), s.take(2, 1e9, "SELECT 1"), s.take(3, 9, "SELECT 1")}
	s.Left(1)
	got = append(got, s.take(4, 9, string(make([]byte, 101))), s.take(5, 9, "SELECT 1"))
	if diff := cmp.Diff([]string{"nothing", "nothing", shed(3), shed(4), "nothing"}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	s.Tick(31)
	if s.Owed() != 0 || len(s.cmds) != 0 || s.held != 0 {
		t.Errorf("%d owed, %d in hand with %d bytes after the longest wait", s.Owed(), len(s.cmds), s.held)
	}
}

// TestInHand: while a client waits under an id, nobody else's command has it; once it has left, it may come again.
func TestInHand(t *testing.T) {
	s := newStage(9)
	again := func(seq int32) string {
		s.refs = 0
		return s.take(seq, 9, fmt.Sprint("SELECT ", seq))
	}
	got := []string{again(1), again(2)}
	s.Left(1)
	got = append(got, again(3))
	if diff := cmp.Diff([]string{"nothing", "2/2 call{ 2={ 1=[ ] } }", "nothing"}, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

// TestUnwanted: an answer for a client that has left goes nowhere, and the module hears that it came.
func TestUnwanted(t *testing.T) {
	s := newStage(9)
	s.take(1, 9, "SELECT 1")
	s.sink.Up()
	s.Left(1)
	s.sink.Feed([]byte("0000000000000001 served count=1,ticks=5 5\r\na\tb\t\n\r\n"))
	if got := s.answered(); got != "nothing" || len(s.cmds) != 0 {
		t.Errorf("the client that left got %s; %d in hand", got, len(s.cmds))
	}
}

// TestCancelled: a send that the module takes back as its client leaves is told to have ended before its place is
// another command's.
func TestCancelled(t *testing.T) {
	s := newStage(9)
	s.set.Brain.Cancels = true
	s.Start(0, s.pool)
	s.Members(0, admission.Full, s.list, func() {})
	s.take(1, 9, "SELECT 1")
	s.sink.Up()
	s.Left(1)
	if len(s.cmds) != 1 || string(s.engine.last) != "abort 0000000000000001\r\n" {
		t.Errorf("%d in hand, the engine was sent %q", len(s.cmds), s.engine.last)
	}
	if s.pool.Settle(); len(s.cmds) != 0 {
		t.Error("still in hand")
	}
}

// TestNoGarbage: a command that runs its ordinary course allocates nothing once places are there.
func TestNoGarbage(t *testing.T) {
	s := newStage(9)
	s.take(1, 9, "SELECT 1")
	s.sink.Up()
	seq := int32(1)
	answer := []byte("0000000000000001 served count=1,ticks=5 5\r\na\tb\t\n\r\n")
	course := func() {
		s.sink.Feed(answer)
		seq++
		s.Take(s.client, seq, &s.ask)
		s.pool.Settle()
	}
	for range 1000 {
		course()
	}
	if n := testing.AllocsPerRun(1000, course); n > 0 {
		t.Errorf("%v allocations a command", n)
	}
}

// TestTimers: they run in order of time, whatever order they came in.
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

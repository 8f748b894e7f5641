package backends

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"dunereach/admission"
	"dunereach/internal/script"
	"dunereach/internal/transport"
)

// harness acts as the pool's owner and creates its connections.
type harness struct {
	say       script.Printf
	pool      *Pool
	attempts  map[uint32]*Attempt
	fakeConns []*fakeConn

	resultMemory int // bytes for results; 0: no limit
}

// fakeConn is a fake connection. While it is stalled no appended bytes leave.
type fakeConn struct {
	harness           *harness
	number            int
	sink              transport.Sink
	appended, begun   int64
	written           int64
	lastRequestEnd    int64 // end of the last request for which a write has begun
	waitingRequestEnd int64 // end of the last request for which no write has begun, 0: none
	stalled, ended    bool
}

func (w *fakeConn) Append(b []byte) int64 {
	from := w.appended
	if w.appended += int64(len(b)); !w.stalled {
		w.begun, w.written = w.appended, w.appended
	}
	w.harness.say("line %d writes %q", w.number, b)
	return from
}
func (w *fakeConn) WriteBegun(from int64) bool { return from < w.begun }
func (w *fakeConn) AppendRequest(b []byte) int64 {
	from := w.Append(b)
	if w.waitingRequestEnd = w.appended; !w.stalled {
		w.beginWrite()
	}
	return from
}

// beginWrite begins a write of all waiting bytes.
func (w *fakeConn) beginWrite() {
	w.begun, w.lastRequestEnd, w.waitingRequestEnd = w.appended, max(w.lastRequestEnd, w.waitingRequestEnd), 0
}
func (w *fakeConn) Delivered() bool                  { return w.lastRequestEnd <= w.written }
func (w *fakeConn) BegunOutput() int64               { return w.begun }
func (w *fakeConn) Acknowledged(position int64) bool { return position <= w.written }
func (w *fakeConn) Withdraw(from int64, size int) bool {
	if from >= w.begun {
		w.harness.say("line %d has %d bytes taken back", w.number, size)
		if w.waitingRequestEnd == from+int64(size) {
			w.waitingRequestEnd = 0
		}
	}
	return from >= w.begun
}
func (w *fakeConn) Finish()         { w.end("finishes") }
func (w *fakeConn) Drop()           { w.end("is dropped") }
func (w *fakeConn) DropUnreadable() { w.end("is dropped, unreadable") }
func (w *fakeConn) end(how string) {
	if !w.ended {
		w.ended = true
		w.harness.say("line %d %s", w.number, how)
	}
}

var ends = [...]string{"answered", "errored", "turned away", "timed out", "unreachable", "cut", "cancelled", "moot"}

func (y *harness) AttemptEnded(j *Attempt, end admission.End) {
	text := make([]string, len(j.Pages))
	for k, p := range j.Pages {
		text[k] = string(p)
	}
	y.say("%d/%d %s %q work %g memory %g", j.ID, j.AttemptNumber, ends[end], strings.Join(text, ""), j.Work, j.Memory)
}
func (y *harness) AttemptProgressed(j *Attempt, kind admission.ProgressKind, value float64) {
	y.say("%d/%d note %d %g", j.ID, j.AttemptNumber, kind, value)
}

// ResultFits reports whether a result fits into what is left of the script's memory.
func (y *harness) ResultFits(j *Attempt, bytes int) bool {
	return y.resultMemory == 0 || y.pool.ReservedBytes()+bytes <= y.resultMemory
}
func (y *harness) ResultReserved(*Attempt, int)             {}
func (y *harness) ConnLost(id uint32, how transport.Ending) { y.say("engine %d lost: %v", id, how) }

func play(byteByByte bool) func(*testing.T, script.Printf) func([]string) {
	return func(t *testing.T, say script.Printf) func([]string) {
		y := &harness{say: say, attempts: map[uint32]*Attempt{}}
		y.pool = New(y, Limits{StreamsPerConn: 2, MaxConns: 4, IdleTimeout: 30, StallTimeout: 0.25}, func(a netip.AddrPort, sink transport.Sink) Connection {
			w := &fakeConn{harness: y, number: len(y.fakeConns) + 1, sink: sink}
			y.fakeConns = append(y.fakeConns, w)
			say("line %d dials %v", w.number, a)
			return w
		})
		return func(w []string) { y.playLine(t, w, byteByByte) }
	}
}

func parseID(t *testing.T, s string) uint32 {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return uint32(n)
}

func (y *harness) playLine(t *testing.T, w []string, byteByByte bool) {
	now, err := strconv.ParseFloat(w[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	y.pool.SetTime(now)
	defer y.pool.ReportEnds()
	switch w[1] {
	case "list": // server=state or server=state@start; the address is made from the number
		var list []admission.Entry
		for _, e := range w[2:] {
			n, state, _ := strings.Cut(e, "=")
			state, start, _ := strings.Cut(state, "@")
			startedAt, _ := strconv.ParseFloat(start, 64)
			list = append(list, admission.Entry{Server: parseID(t, n), ReadyAt: startedAt,
				State: map[string]admission.State{"ready": admission.Ready, "drains": admission.Draining}[state]})
		}
		y.pool.UpdateServers(list, func(n uint32) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 4100)
		})
	case "send": // id server deadline
		j := y.attempts[parseID(t, w[2])]
		if j == nil {
			j = &Attempt{ID: parseID(t, w[2]), AttemptNumber: -1, Profile: "report", Statement: []byte("SELECT 1"), Priority: 1}
			copy(j.Ref[:], "00000000000000"+w[2])
			y.attempts[j.ID] = j
		}
		j.AttemptNumber++
		j.Server, j.SentAt = parseID(t, w[3]), now
		j.Deadline, _ = strconv.ParseFloat(w[4], 64)
		y.pool.Send(j)
	case "give-up":
		y.pool.Abandon(y.attempts[parseID(t, w[2])], admission.TimedOut)
	case "unwanted":
		y.attempts[parseID(t, w[2])].ResultUnwanted = true
	case "renice":
		j := y.attempts[parseID(t, w[2])]
		j.Priority = int(parseID(t, w[3]))
		y.pool.SetPriority(j)
	case "unstick":
		y.pool.DropStalled()
	case "memory": // bytes for results
		y.resultMemory = int(parseID(t, w[2]))
		y.pool.FetchWaiting()
	case "tidy":
		y.pool.CloseIdle()
	case "up":
		y.fakeConns[parseID(t, w[2])-1].sink.Connected()
	case "stalled":
		l := y.fakeConns[parseID(t, w[2])-1]
		if l.stalled = len(w) < 4 || w[3] == "yes"; !l.stalled {
			l.beginWrite()
			l.written = l.appended
		}
	case "begun": // begins a write of all waiting bytes that does not end
		l := y.fakeConns[parseID(t, w[2])-1]
		l.beginWrite()
	case "withdraw":
		y.pool.Withdraw(y.attempts[parseID(t, w[2])])
	case "leave-by":
		y.attempts[parseID(t, w[2])].LeaveBy, _ = strconv.ParseFloat(w[3], 64)
	case "says": // line, words in which "@7" becomes the full ID, and "|" an end of line
		text := strings.NewReplacer("@", "00000000000000", "|", "\r\n", "~", "\t", ";", "\n").Replace(strings.Join(w[3:], " "))
		for size := len(text); len(text) > 0; text = text[size:] {
			if byteByByte {
				size = 1
			}
			y.fakeConns[parseID(t, w[2])-1].sink.Feed([]byte(text[:size]))
		}
	case "ends":
		how := map[string]transport.Ending{"refused": transport.Refused, "never-up": transport.NotConnected,
			"finished": transport.PeerFinished, "reset": transport.Reset, "closed": transport.Closed}
		y.fakeConns[parseID(t, w[2])-1].sink.Ended(how[w[3]])
	default:
		t.Fatalf("%q", w)
	}
}

// TestTurnover guards against a leak: however many servers come and go, some at the same address, the pool keeps
// nothing of them.
func TestTurnover(t *testing.T) {
	y := &harness{say: func(string, ...any) {}, attempts: map[uint32]*Attempt{}}
	y.pool = New(y, Limits{StreamsPerConn: 2, MaxConns: 4, IdleTimeout: 30}, func(_ netip.AddrPort, sink transport.Sink) Connection {
		y.fakeConns = append(y.fakeConns, &fakeConn{harness: y, sink: sink})
		return y.fakeConns[len(y.fakeConns)-1]
	})
	for k := range 1000 {
		n := uint32(k + 1)
		y.pool.UpdateServers([]admission.Entry{{Server: n, State: admission.Ready}}, func(uint32) netip.AddrPort { return netip.AddrPort{} })
		j := &Attempt{ID: n, Server: n, Deadline: 9, Profile: "report"}
		copy(j.Ref[:], "0000000000000000")
		y.pool.Send(j)
		y.fakeConns[k].sink.Connected()
		y.fakeConns[k].sink.Feed([]byte("0000000000000000 served count=1 5\r\na\tb\t\n\r\n"))
		if k > 0 {
			y.fakeConns[k-1].sink.Ended(transport.Closed)
		}
	}
	if len(y.pool.servers) != 1 || len(y.pool.conns) != 1 || len(y.pool.endedAttempts) != 0 || len(y.pool.sparePages) > 1 {
		t.Errorf("%d servers, %d connections, %d unreported ends, %d page buffers", len(y.pool.servers), len(y.pool.conns), len(y.pool.endedAttempts), len(y.pool.sparePages))
	}
}

// TestScripts plays each script with the servers' messages in one piece and byte by byte.
func TestScripts(t *testing.T) { script.Run(t, play(false), play(true)) }

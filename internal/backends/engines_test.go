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

// yard plays the pool's owner and the connections.
type yard struct {
	say   script.Say
	pool  *Pool
	jobs  map[uint32]*Job
	lines []*wire
}

// wire stands in for a connection. While it is stalled nothing that is appended leaves.
type wire struct {
	yard          *yard
	n             int
	sink          transport.Sink
	queued, begun int64
	written       int64
	request       int64 // where the last request ends that a write was begun with
	waiting       int64 // where the last request ends that none was begun with, 0: there is none
	stalled, over bool
}

func (w *wire) Append(b []byte) int64 {
	from := w.queued
	if w.queued += int64(len(b)); !w.stalled {
		w.begun, w.written = w.queued, w.queued
	}
	w.yard.say("line %d writes %q", w.n, b)
	return from
}
func (w *wire) Begun(from int64) bool { return from < w.begun }
func (w *wire) AppendRequest(b []byte) int64 {
	from := w.Append(b)
	if w.waiting = w.queued; !w.stalled {
		w.begin()
	}
	return from
}

// begin notes a write of all that waits.
func (w *wire) begin() {
	w.begun, w.request, w.waiting = w.queued, max(w.request, w.waiting), 0
}
func (w *wire) Delivered() bool { return w.request <= w.written }
func (w *wire) Withdraw(from int64, size int) bool {
	if from >= w.begun {
		w.yard.say("line %d has %d bytes taken back", w.n, size)
		if w.waiting == from+int64(size) {
			w.waiting = 0
		}
	}
	return from >= w.begun
}
func (w *wire) Finish() { w.end("finishes") }
func (w *wire) Drop()   { w.end("is dropped") }
func (w *wire) Bad()    { w.end("is dropped, unreadable") }
func (w *wire) end(how string) {
	if !w.over {
		w.over = true
		w.yard.say("line %d %s", w.n, how)
	}
}

var ends = [...]string{"answered", "errored", "turned away", "timed out", "unreachable", "cut", "cancelled", "moot"}

func (y *yard) Ended(j *Job, end admission.End) {
	text := make([]string, len(j.Pages))
	for k, p := range j.Pages {
		text[k] = string(p)
	}
	y.say("%d/%d %s %q work %g memory %g", j.ID, j.Number, ends[end], strings.Join(text, ""), j.Work, j.Memory)
}
func (y *yard) Noted(j *Job, kind admission.NoteKind, value float64) {
	y.say("%d/%d note %d %g", j.ID, j.Number, kind, value)
}
func (y *yard) Lost(engine uint32, how transport.Ending) { y.say("engine %d lost: %v", engine, how) }

func start(pieces bool) func(*testing.T, script.Say) func([]string) {
	return func(t *testing.T, say script.Say) func([]string) {
		y := &yard{say: say, jobs: map[uint32]*Job{}}
		y.pool = New(y, Limits{Streams: 2, Conns: 4, Idle: 30, Stall: 0.25}, func(a netip.AddrPort, sink transport.Sink) Line {
			w := &wire{yard: y, n: len(y.lines) + 1, sink: sink}
			y.lines = append(y.lines, w)
			say("line %d dials %v", w.n, a)
			return w
		})
		return func(w []string) { y.step(t, w, pieces) }
	}
}

func number(t *testing.T, s string) uint32 {
	n, err := strconv.ParseUint(s, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return uint32(n)
}

func (y *yard) step(t *testing.T, w []string, pieces bool) {
	now, err := strconv.ParseFloat(w[0], 64)
	if err != nil {
		t.Fatal(err)
	}
	y.pool.At(now)
	defer y.pool.Settle()
	switch w[1] {
	case "list": // engine=state, at the address that its number tells
		var list []admission.Entry
		for _, e := range w[2:] {
			n, state, _ := strings.Cut(e, "=")
			list = append(list, admission.Entry{Engine: number(t, n),
				State: map[string]admission.State{"ready": admission.Ready, "drains": admission.Draining}[state]})
		}
		y.pool.Members(list, func(n uint32) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 4100)
		})
	case "send": // id engine until
		j := y.jobs[number(t, w[2])]
		if j == nil {
			j = &Job{ID: number(t, w[2]), Number: -1, Profile: "report", Statement: []byte("SELECT 1"), Level: 1}
			copy(j.Ref[:], "00000000000000"+w[2])
			y.jobs[j.ID] = j
		}
		j.Number++
		j.Engine, j.At = number(t, w[3]), now
		j.Until, _ = strconv.ParseFloat(w[4], 64)
		y.pool.Send(j)
	case "give-up":
		y.pool.GiveUp(y.jobs[number(t, w[2])], admission.TimedOut)
	case "unwanted":
		y.jobs[number(t, w[2])].Unwanted = true
	case "renice":
		j := y.jobs[number(t, w[2])]
		j.Level = int(number(t, w[3]))
		y.pool.Renice(j)
	case "unstick":
		y.pool.Unstick()
	case "tidy":
		y.pool.Tidy()
	case "up":
		y.lines[number(t, w[2])-1].sink.Up()
	case "stalled":
		l := y.lines[number(t, w[2])-1]
		if l.stalled = len(w) < 4 || w[3] == "yes"; !l.stalled {
			l.begin()
			l.written = l.queued
		}
	case "begun": // a write of all that waits, which does not end
		l := y.lines[number(t, w[2])-1]
		l.begin()
	case "withdraw":
		y.pool.Withdraw(y.jobs[number(t, w[2])])
	case "leave-by":
		y.jobs[number(t, w[2])].LeaveBy, _ = strconv.ParseFloat(w[3], 64)
	case "says": // line, words with ID of which "@7" is written out, and | for a line's end
		text := strings.NewReplacer("@", "00000000000000", "|", "\r\n", "~", "\t", ";", "\n").Replace(strings.Join(w[3:], " "))
		for size := len(text); len(text) > 0; text = text[size:] {
			if pieces {
				size = 1
			}
			y.lines[number(t, w[2])-1].sink.Feed([]byte(text[:size]))
		}
	case "ends":
		how := map[string]transport.Ending{"refused": transport.Refused, "never-up": transport.NeverUp,
			"finished": transport.Finished, "reset": transport.Reset, "closed": transport.Closed}
		y.lines[number(t, w[2])-1].sink.Ended(how[w[3]])
	default:
		t.Fatalf("%q", w)
	}
}

// TestTurnover: however many engines have come and gone, some at the same address, nothing of them stays.
func TestTurnover(t *testing.T) {
	y := &yard{say: func(string, ...any) {}, jobs: map[uint32]*Job{}}
	y.pool = New(y, Limits{Streams: 2, Conns: 4, Idle: 30}, func(_ netip.AddrPort, sink transport.Sink) Line {
		y.lines = append(y.lines, &wire{yard: y, sink: sink})
		return y.lines[len(y.lines)-1]
	})
	for k := range 1000 {
		n := uint32(k + 1)
		y.pool.Members([]admission.Entry{{Engine: n, State: admission.Ready}}, func(uint32) netip.AddrPort { return netip.AddrPort{} })
		j := &Job{ID: n, Engine: n, Until: 9, Profile: "report"}
		copy(j.Ref[:], "0000000000000000")
		y.pool.Send(j)
		y.lines[k].sink.Up()
		y.lines[k].sink.Feed([]byte("0000000000000000 served count=1 5\r\na\tb\t\n\r\n"))
		if k > 0 {
			y.lines[k-1].sink.Ended(transport.Closed)
		}
	}
	if len(y.pool.engines) != 1 || len(y.pool.conns) != 1 || len(y.pool.later) != 0 || len(y.pool.spare) > 1 {
		t.Errorf("%d engines, %d connections, %d to be told, %d pages", len(y.pool.engines), len(y.pool.conns), len(y.pool.later), len(y.pool.spare))
	}
}

// TestScripts plays each script with what engines say in one piece, and byte by byte.
func TestScripts(t *testing.T) { script.Play(t, start(false), start(true)) }

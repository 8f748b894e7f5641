package frontend

import (
	"encoding/hex"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"dunereach/internal/fake"
	"dunereach/internal/script"
	"dunereach/internal/thrift"
	"dunereach/internal/transport"
)

// testHandler accepts every request, numbered from 1, and is the session's connection too.
type testHandler struct {
	say          script.Say
	s            *Session
	lastID       uint32
	ready        bool
	partialBytes int
}

func (d *testHandler) Take(s Caller, seq int32, request *Ask) {
	d.lastID++
	s.Hold(seq, d.lastID)
	d.say("takes %d: call %d ref %s profile %s tenant %s allow %g effort %g memory %g, %q", d.lastID, seq, request.Ref, request.Profile,
		request.Tenant, request.Allow, request.Effort, request.Memory, request.Statement)
}
func (d *testHandler) Left(id uint32)                               { d.say("%d left", id) }
func (d *testHandler) HalfClosed(id uint32)                         { d.say("%d half-closed", id) }
func (d *testHandler) Ready() bool                                  { return d.ready }
func (d *testHandler) Room(n int) bool                              { d.partialBytes += n; return d.partialBytes < 200 }
func (d *testHandler) Bad(text string)                              { d.say("bad: %s", text) }
func (d *testHandler) Closed(*Session)                              { d.say("closed") }
func (d *testHandler) ClientClosing(_ *Session, reason CloseReason) { d.say("closing: %v", reason) }
func (d *testHandler) Finish()                                      { d.say("finishes") }
func (d *testHandler) InputPending() bool                           { return false }
func (d *testHandler) InputAge() time.Duration                      { return 0 }
func (d *testHandler) Behind() bool                                 { return false }
func (d *testHandler) OutputPending() bool                          { return false }
func (d *testHandler) Append(b []byte) int64 {
	d.say("answers %s", fake.Show(b[4:]))
	return 0
}

// start returns a player of scripts that feeds frames in one piece, or byte by byte if pieces is set.
func start(pieces bool) func(*testing.T, script.Say) func([]string) {
	return func(t *testing.T, say script.Say) func([]string) {
		d := &testHandler{say: say, ready: true}
		var scratch []byte
		d.s = NewSession(d, &scratch)
		d.s.Line = d
		return func(w []string) { d.step(t, w, pieces) }
	}
}

// step plays one line of a script.
func (d *testHandler) step(t *testing.T, w []string, pieces bool) {
	number := int32(0)
	if len(w) > 1 {
		n, _ := strconv.Atoi(w[1])
		number = int32(n)
	}
	var frame []byte
	switch w[0] {
	case "call": // seq name=value... body; a word # stands for an unknown field
		body, err := url.PathUnescape(w[len(w)-1])
		if err != nil {
			t.Fatal(err)
		}
		frame = thrift.Begin(nil, thrift.Call, "call", number)
		frame = thrift.AppendBytes(thrift.AppendField(frame, thrift.String, 2), body) // the statement before the fields: their order is free
		var pairs []string
		for _, p := range w[2 : len(w)-1] {
			if p == "#" {
				frame = thrift.AppendField(frame, thrift.List, 9)
				frame = append(frame, byte(thrift.Struct), 0, 0, 0, 1, byte(thrift.Double), 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 0)
				continue
			}
			k, v, _ := strings.Cut(p, "=")
			pairs = append(pairs, k, v)
		}
		frame = thrift.End(thrift.AppendPairs(thrift.AppendField(frame, thrift.Map, 1), pairs...))
	case "cancel":
		frame = thrift.Begin(nil, thrift.Oneway, "cancel", 0)
		frame = thrift.End(append(thrift.AppendField(frame, thrift.I32, 1), 0, 0, 0, byte(number)))
	case "health", "unknown":
		frame = thrift.End(thrift.AppendBool(thrift.AppendField(thrift.Begin(nil, thrift.Call, w[0], number), thrift.Bool, 1), true))
	case "raw":
		b, err := hex.DecodeString(strings.Join(w[1:], ""))
		if err != nil {
			t.Fatal(err)
		}
		frame = b
	case "again": // a new connection
		d.s = NewSession(d, d.s.scratch)
		d.s.Line = d
	case "ready":
		d.ready = w[1] == "yes"
	case "answered":
		d.s.Answered(number, [][]byte{[]byte("a\tb\n"), []byte("c\td\n")}, nil)
	case "shed":
		d.s.Shed(number, 0.25, nil)
	case "shed-now":
		d.s.Shed(number, 0, nil)
	case "failed":
		d.s.Failed(number)
	case "idle":
		for range number {
			d.s.Tick()
		}
	case "spare":
		rank, ok := d.s.Spare()
		d.say("can be spared: %v, %d", ok, rank)
	case "waited": // milliseconds
		d.s.Waited(transport.Arrival{Silent: time.Duration(number) * time.Millisecond})
	case "last":
		d.s.Last(RouterEnds)
	case "turn-away":
		d.s.TurnAway(NoRoom)
	case "ends":
		d.s.Ended(map[string]transport.Ending{"finished": transport.Finished, "reset": transport.Reset, "closed": transport.Closed}[w[1]])
	default:
		t.Fatalf("%q", w)
	}
	for size := len(frame); len(frame) > 0; frame = frame[size:] {
		if pieces {
			size = 1
		}
		d.s.Feed(frame[:size])
	}
}

// TestScripts plays each script with frames fed in one piece, and byte by byte.
func TestScripts(t *testing.T) { script.Play(t, start(false), start(true)) }

// FuzzFeed guards against input that makes a session panic or read beyond the input.
func FuzzFeed(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x10\x80\x01\x00\x01\x00\x00\x00\x04call\x00\x00\x00\x01\x00"))
	f.Add([]byte("\x00\x00\x00\x1b\x80\x01\x00\x01\x00\x00\x00\x04call\x00\x00\x00\x01\x0f\x00\x01\x0f\xff\xff\xff\xff\x0f\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d := &testHandler{say: func(string, ...any) {}}
		var scratch []byte
		d.s = NewSession(d, &scratch)
		d.s.Line = d
		d.s.Feed(b)
	})
}

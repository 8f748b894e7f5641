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

// testMessageMemory is the memory for incomplete messages, in bytes.
const testMessageMemory = 199

// testHandler accepts every request, numbered from 1, and is the session's connection too.
type testHandler struct {
	say    script.Printf
	s      *Session
	lastID uint32
	ready  bool

	inputPending bool
	input        transport.InputState
}

func (h *testHandler) HandleRequest(s Caller, seq int32, request *Request) {
	h.lastID++
	s.Register(seq, h.lastID)
	h.say("takes %d: call %d ref %s profile %s tenant %s allow %g effort %g memory %g, %q", h.lastID, seq, request.Ref, request.Profile,
		request.Tenant, request.Timeout, request.CostEstimate, request.Memory, request.Statement)
}
func (h *testHandler) ClientLeft(id uint32)                         { h.say("%d left", id) }
func (h *testHandler) HalfClosed(id uint32)                         { h.say("%d half-closed", id) }
func (h *testHandler) Ready() bool                                  { return h.ready }
func (h *testHandler) MessageDiscarded(int)                         { h.say("discards the incomplete message") }
func (h *testHandler) RejectDiscarded(s Caller, seq int32)          { s.Rejected(seq, 0.5, nil) }
func (h *testHandler) BadMessage(text string)                       { h.say("bad: %s", text) }
func (h *testHandler) SessionClosed(*Session)                       { h.say("closed") }
func (h *testHandler) ClientClosing(_ *Session, reason CloseReason) { h.say("closing: %v", reason) }
func (h *testHandler) Finish()                                      { h.say("finishes") }
func (h *testHandler) Queued() int                                  { return 0 }
func (h *testHandler) InputPending() bool                           { return h.inputPending }
func (h *testHandler) InputState() transport.InputState             { return h.input }
func (h *testHandler) LateInputState() transport.InputState         { return h.input }
func (h *testHandler) Drop()                                        { h.say("drops") }
func (h *testHandler) OutputPending() bool                          { return false }
func (h *testHandler) Append(b []byte) int64 {
	h.say("answers %s", fake.Format(b[4:]))
	return 0
}

// start returns a player of scripts that feeds frames in one piece, or byte by byte if pieces is set.
func start(pieces bool) func(*testing.T, script.Printf) func([]string) {
	return func(t *testing.T, say script.Printf) func([]string) {
		h := &testHandler{say: say, ready: true}
		var scratch []byte
		h.s = NewSession(h, NewMessageMemory(testMessageMemory), &scratch)
		h.s.Conn = h
		return func(w []string) { h.step(t, w, pieces) }
	}
}

// step plays one line of a script.
func (h *testHandler) step(t *testing.T, w []string, pieces bool) {
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
		frame = thrift.BeginMessage(nil, thrift.Call, "call", number)
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
		frame = thrift.EndMessage(thrift.AppendStringMap(thrift.AppendField(frame, thrift.Map, 1), pairs...))
	case "cancel":
		frame = thrift.BeginMessage(nil, thrift.Oneway, "cancel", 0)
		frame = thrift.EndMessage(append(thrift.AppendField(frame, thrift.I32, 1), 0, 0, 0, byte(number)))
	case "health", "unknown":
		frame = thrift.EndMessage(thrift.AppendBool(thrift.AppendField(thrift.BeginMessage(nil, thrift.Call, w[0], number), thrift.Bool, 1), true))
	case "raw":
		b, err := hex.DecodeString(strings.Join(w[1:], ""))
		if err != nil {
			t.Fatal(err)
		}
		frame = b
	case "again": // a new connection
		h.s = NewSession(h, h.s.memory, h.s.scratch)
		h.s.Conn = h
	case "ready":
		h.ready = w[1] == "yes"
	case "answered":
		h.s.Completed(number, [][]byte{[]byte("a\tb\n"), []byte("c\td\n")}, nil)
	case "shed":
		h.s.Rejected(number, 0.25, nil)
	case "shed-now":
		h.s.Rejected(number, 0, nil)
	case "failed":
		h.s.Failed(number)
	case "idle":
		for range number {
			h.s.Tick()
		}
	case "spare":
		rank, ok := h.s.CloseRank()
		h.say("can be spared: %v, %d", ok, rank)
	case "waited": // milliseconds
		h.s.SetArrival(transport.Arrival{SilentFor: time.Duration(number) * time.Millisecond})
	case "pending":
		h.inputPending = w[1] == "yes"
	case "last":
		h.s.CloseWhenIdle(RouterStopping)
	case "turn-away":
		h.s.RejectFirst(NoDescriptor)
	case "ends":
		h.s.Ended(map[string]transport.Ending{"finished": transport.PeerFinished, "reset": transport.Reset, "closed": transport.Closed}[w[1]])
	default:
		t.Fatalf("%q", w)
	}
	for size := len(frame); len(frame) > 0; frame = frame[size:] {
		if pieces {
			size = 1
		}
		h.s.Feed(frame[:size])
	}
}

// TestScripts plays each script with frames fed in one piece, and byte by byte.
func TestScripts(t *testing.T) { script.Run(t, start(false), start(true)) }

// FuzzFeed guards against input that makes a session panic or read beyond the input.
func FuzzFeed(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x10\x80\x01\x00\x01\x00\x00\x00\x04call\x00\x00\x00\x01\x00"))
	f.Add([]byte("\x00\x00\x00\x1b\x80\x01\x00\x01\x00\x00\x00\x04call\x00\x00\x00\x01\x0f\x00\x01\x0f\xff\xff\xff\xff\x0f\x00\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		h := &testHandler{say: func(string, ...any) {}}
		var scratch []byte
		h.s = NewSession(h, NewMessageMemory(testMessageMemory), &scratch)
		h.s.Conn = h
		h.s.Feed(b)
	})
}

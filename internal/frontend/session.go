// Package frontend is the service that clients call: it reads calls off one connection's bytes, hands commands to
// the desk and writes the answers. It knows no socket but what takes its bytes.
package frontend

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"dunereach/internal/thrift"
	"dunereach/internal/transport"
)

// Ask is what a client wants, as it came. Its bytes are good for the call that gets it only.
type Ask struct {
	Ref                   [16]byte
	Profile, Tenant, Team []byte  // Team: as the call has it, where the operators' file lets it say so
	Allow, Effort, Memory float64 // seconds, seconds, MB
	Statement             []byte
	Key                   []byte  // commands of ordered profiles with the same run one after the other
	Token                 []byte  // of a uniqued command: by it engines know a repeat
	Waited                float64 // seconds for which it has been here unread: its client has waited as long
	seenFields            uint    // fields that came, by their place in the table
}

// Caller is who asked, by the number that its protocol gives the call. A command that it holds gets one answer.
type Caller interface {
	Hold(seq int32, id uint32)
	Answered(seq int32, pages [][]byte, waitInfo *Told)
	Shed(seq int32, pause float64, waitInfo *Told)
	Failed(seq int32)
}

// Told is what goes along with an answer or a refusal where the operators' file says so; seconds.
type Told struct {
	P50, P90 float64 // until the answer, as told on arrival; of a refusal, until it would be let in
	Waited   float64 // before the first send
}

// Desk takes what clients want. A command that a caller holds gets one of its answers, unless it has Left.
type Desk interface {
	Take(c Caller, seq int32, a *Ask)
	Left(id uint32)
	HalfClosed(id uint32) // its client has said its last, and may have left or still read
	Ready() bool
	Behind() bool        // what is fed may have been here for a while
	Room(bytes int) bool // takes memory for what is not whole yet, or gives it back; false: there is no more
	Bad(how string)
	ClientClosing(s *Session, reason CloseReason) // a connection takes no more calls, and closes
	Closed(s *Session)
}

// Line is where a session's bytes go.
type Line interface {
	Append(b []byte) int64
	Finish()
	InputPending() bool      // bytes have come that were not fed yet
	InputAge() time.Duration // of the newest bytes
	OutputPending() bool     // bytes that were appended have not all arrived
}

// Session is one client's connection.
type Session struct {
	Line            Line
	Serial          uint64 // of its arrival: an older connection has a lower one
	handler         Desk
	frames          thrift.Frames
	scratch         *[]byte
	open            map[int32]uint32 // commands by the sequence number of their call
	partialBytes    int              // bytes of an unfinished frame
	partialTicks    int              // ticks that the frame has been unfinished for; of the first one, with those before the session
	quietTicks      int              // ticks since the last whole message or answer
	messageReceived bool             // a whole message has come
	halfClosed      bool             // the client has said its last
	closeWhenIdle   bool             // takes no more commands, and closes once nothing is open
	earlyBytes      int              // bytes that came before the session began and are yet to be fed, and for how long the last of them had been here
	earlyAge        time.Duration
	rejectFirst     bool        // was turned away on arrival: its first message is still owed an answer
	closing         bool        // what comes now crosses the close, and is nobody's
	reason          CloseReason // the first reason to close it
}

// NewSession is a session at a desk. The scratch is where answers are put together, one after the other.
func NewSession(handler Desk, scratch *[]byte) *Session {
	return &Session{handler: handler, scratch: scratch, open: map[int32]uint32{}}
}

// Up is called once the connection is established. Nothing is to be done then.
func (s *Session) Up() {}

// Feed takes bytes as they come. Once the close is decided nothing more is taken: its answer would never leave.
func (s *Session) Feed(b []byte) {
	if s.closing {
		return
	}
	err := s.frames.Feed(b, s.frame)
	s.earlyBytes = max(s.earlyBytes-len(b), 0)
	before := s.partialBytes
	if s.partialBytes = s.frames.Kept(); !s.handler.Room(s.partialBytes-before) && err == nil {
		err = errPartialLimit
	}
	if err != nil && !s.closing { // nothing behind it can be read; what was answered before still goes out
		s.handler.Bad(err.Error())
		s.abandonRequests()
		s.noteReason(Unreadable)
		s.finish()
	}
}

// abandonRequests: nobody waits for what is open here.
func (s *Session) abandonRequests() {
	s.handler.Room(-s.partialBytes)
	s.partialBytes, s.frames = 0, thrift.Frames{}
	for _, seq := range slices.Sorted(maps.Keys(s.open)) { // in order: equal input must act alike
		id := s.open[seq]
		delete(s.open, seq)
		s.handler.Left(id)
	}
}

// noteReason keeps the first reason to close the connection.
func (s *Session) noteReason(reason CloseReason) {
	if s.reason == Kept {
		s.reason = reason
	}
}

func (s *Session) finish() {
	if !s.closing {
		s.closing = true
		s.handler.ClientClosing(s, s.reason)
		s.Line.Finish()
	}
}

// Ended takes the end of a connection: a client that has closed its side may still read, one whose connection is gone has left.
func (s *Session) Ended(how transport.Ending) {
	if how == transport.Finished {
		s.halfClosed = true
		s.noteReason(ClientClosed)
		for _, seq := range slices.Sorted(maps.Keys(s.open)) {
			if id, open := s.open[seq]; open {
				s.handler.HalfClosed(id)
			}
		}
		s.closeIfIdle()
		return
	}
	s.closing = true
	s.abandonRequests()
	s.handler.Closed(s)
}

// Last closes the connection as soon as nothing is open on it. What a client asks until then is shed: it would keep the
// connection open for as long as it likes.
func (s *Session) Last(reason CloseReason) {
	s.closeWhenIdle = true
	s.noteReason(reason)
	s.closeIfIdle()
}

// TurnAway sheds the first that comes, and closes the connection. Closed at once, it would be reset under a call that
// is on its way.
func (s *Session) TurnAway(reason CloseReason) {
	s.closeWhenIdle, s.rejectFirst = true, true
	s.noteReason(reason)
}

func (s *Session) closeIfIdle() {
	if (s.halfClosed || s.closeWhenIdle && !s.rejectFirst) && len(s.open) == 0 {
		s.finish()
	}
}

const maxOpen = 32 // calls on one connection, the protocol's

// Hold notes that a call's command is in hand.
func (s *Session) Hold(seq int32, id uint32) { s.open[seq] = id }

var (
	errProtocol     = errors.New("message is not of the strict binary protocol")
	errDuplicateSeq = errors.New("sequence number is open already")
	errPartialLimit = errors.New("too many unfinished messages")
)

func (s *Session) frame(frame []byte) error {
	r := thrift.NewReader(frame)
	kind, name, seq := r.Message()
	if r.Bad || kind != thrift.Call && kind != thrift.Oneway {
		return errProtocol
	}
	if s.closing { // by the message before it
		return nil
	}
	s.messageReceived, s.rejectFirst, s.quietTicks, s.partialTicks = true, false, 0, 0
	switch string(name) {
	case "call":
		if _, duplicate := s.open[seq]; duplicate {
			return errDuplicateSeq
		}
		if s.closeWhenIdle {
			s.Shed(seq, 0, nil)
			return nil
		}
		if len(s.open) >= maxOpen {
			s.writeException(string(name), seq, thrift.ProtocolError, "too many open calls")
			return nil
		}
		var a Ask
		if fault := a.read(&r); fault != "" {
			s.writeException(string(name), seq, thrift.ProtocolError, fault)
			return nil
		}
		a.Waited = s.messageAge().Seconds()
		s.handler.Take(s, seq, &a)
	case "cancel":
		if target, ok := readCancel(&r); ok {
			if id, ok := s.open[target]; ok {
				delete(s.open, target)
				s.handler.Left(id)
				s.closeIfIdle()
			}
		}
	case "health":
		s.reply("health", seq, nil, s.handler.Ready())
	default:
		if kind == thrift.Call {
			s.writeException(string(name), seq, thrift.UnknownMethod, "unknown method")
		}
	}
	s.closeIfIdle()
	return nil
}

func readCancel(r *thrift.Reader) (seq int32, ok bool) {
	for {
		t, id := r.Field()
		switch {
		case t == thrift.Stop:
			return seq, ok && !r.Bad
		case t == thrift.I32 && id == 1:
			seq, ok = r.I32(), true
		default:
			r.Skip(t)
		}
	}
}

// read takes the arguments of a call; bad says what is wrong with them.
func (a *Ask) read(r *thrift.Reader) (fault string) {
	var present struct{ fields, body bool }
	for {
		t, id := r.Field()
		if t == thrift.Stop {
			break
		}
		switch {
		case t == thrift.Map && id == 1:
			present.fields = true
			k, v, n := r.Pairs()
			if n > 0 && (k != thrift.String || v != thrift.String) {
				return "fields are no map of strings"
			}
			for ; n > 0; n-- {
				if name, value := r.Bytes(), r.Bytes(); !r.Bad && !a.setField(string(name), value) {
					return "field " + string(name) + " can't be used"
				}
			}
		case t == thrift.String && id == 2:
			present.body, a.Statement = true, r.Bytes()
		default:
			r.Skip(t)
		}
	}
	switch {
	case r.Bad:
		return "arguments can't be read"
	case !present.body || !present.fields || a.Ref == [16]byte{} || a.Allow == 0 || a.Profile == nil:
		return "a field is missing"
	case len(bytes.TrimSpace(a.Statement)) == 0 || bytes.IndexByte(a.Statement, 0) >= 0 || !utf8.Valid(a.Statement):
		return "the statement is no text"
	}
	return ""
}

const maxToken = 128 // bytes: four times what clients send

// setField takes one in; none can stand there twice.
func (a *Ask) setField(name string, value []byte) (ok bool) {
	ok = true
	if k := slices.Index(fields[:], name); k >= 0 {
		if a.seenFields&(1<<k) != 0 {
			return false
		}
		a.seenFields |= 1 << k
	}
	switch name {
	case "service":
		a.Profile = value
	case "project":
		a.Tenant = value
	case "team":
		a.Team = value
	case "ref":
		ok = len(value) == len(a.Ref)
		for _, c := range value { // it goes on to engines as a word of a line
			ok = ok && (c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'f')
		}
		copy(a.Ref[:], value)
	case "allow":
		a.Allow, ok = parseNumber(value, 1000)
	case "replay":
		a.Token, ok = value, len(value) <= maxToken
		for _, c := range value { // it goes on to engines as the value of a field
			ok = ok && c > ' ' && c < 0x7f && c != ',' && c != '='
		}
	case "lookup":
		a.Key = value
	case "effort":
		a.Effort, ok = parseNumber(value, 1000)
		ok = ok && a.Effort < 1e6 // work of days on one core is no estimate
	case "memory":
		a.Memory, ok = parseNumber(value, 1)
	}
	return ok
}

var fields = [...]string{"service", "project", "ref", "allow", "effort", "memory", "replay", "lookup"}

// parseNumber reads a plain decimal figure: no sign before it, no infinity, nothing that only some readers take.
func parseNumber(b []byte, unit float64) (float64, bool) {
	for k, c := range b {
		if c < '0' && c != '.' && (k == 0 || b[k-1]|0x20 != 'e') || c > '9' && (c|0x20 != 'e' || k == 0) {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v / unit, err == nil && v >= 0 && v < 1e12
}

// Answered passes a whole result on: the pages as they came.
func (s *Session) Answered(seq int32, pages [][]byte, waitInfo *Told) {
	delete(s.open, seq)
	s.reply("call", seq, pages, true, waitInfo.pairs()...)
	s.closeIfIdle()
}

func (s *Session) reply(name string, seq int32, pages [][]byte, good bool, pairs ...string) {
	size := 0
	for _, p := range pages {
		size += len(p)
	}
	b := thrift.Begin(*s.scratch, thrift.Reply, name, seq)
	b = thrift.AppendField(b, thrift.Struct, 0)
	b = thrift.AppendSize(thrift.AppendField(b, thrift.String, 1), size)
	for _, p := range pages {
		b = append(b, p...)
	}
	b = thrift.AppendPairs(thrift.AppendField(b, thrift.Map, 2), pairs...)
	b = thrift.AppendBool(thrift.AppendField(b, thrift.Bool, 3), good)
	s.write(thrift.End(append(b, byte(thrift.Stop))))
}

// Shed refuses: a retry is harmless, best after the pause.
func (s *Session) Shed(seq int32, pause float64, waitInfo *Told) {
	pairs := waitInfo.pairs()
	if pause > 0 {
		pairs = append(pairs, "cooldown", millis(pause))
	}
	s.replyException(seq, 1, pairs...)
}

func millis(seconds float64) string { return strconv.Itoa(int(seconds*1000 + 0.5)) }

// pairs as they stand in a message; nil has none.
func (t *Told) pairs() []string {
	if t == nil {
		return nil
	}
	return []string{"wait_p50", millis(t.P50), "wait_p90", millis(t.P90), "waited", millis(t.Waited)}
}

// Failed promises nothing.
func (s *Session) Failed(seq int32) { s.replyException(seq, 2) }

func (s *Session) replyException(seq int32, field uint16, pairs ...string) {
	delete(s.open, seq)
	b := thrift.Begin(*s.scratch, thrift.Reply, "call", seq)
	b = thrift.AppendField(b, thrift.Struct, field)
	b = thrift.AppendPairs(thrift.AppendField(b, thrift.Map, 1), pairs...)
	s.write(thrift.End(append(b, byte(thrift.Stop))))
	s.closeIfIdle()
}

func (s *Session) writeException(name string, seq int32, kind int32, text string) {
	s.write(thrift.Except(*s.scratch, name, seq, kind, text))
}

func (s *Session) write(b []byte) {
	*s.scratch = b
	s.quietTicks = 0
	s.Line.Append(b)
}

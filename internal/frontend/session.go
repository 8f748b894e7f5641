// Package frontend implements the client protocol. A Session decodes the messages of one client connection, passes requests to a
// RequestHandler and encodes the answers. It does no I/O: bytes go through the interface Conn.
package frontend

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"

	"dunereach/internal/thrift"
	"dunereach/internal/transport"
)

// Request is a client's request as received. Its byte slices are valid only during the call that it is passed to.
type Request struct {
	Ref                           [16]byte
	Profile, Tenant, Team         []byte  // Team: as the request names it, if the operator's file allows that
	Timeout, CostEstimate, Memory float64 // in seconds, seconds and MB
	Statement                     []byte
	Key                           []byte  // requests of ordered profiles with the same key run one after the other
	Token                         []byte  // of a request that is idempotent by key: servers recognise a repeat by it
	Waited                        float64 // seconds for which it was unread; its client has waited as long
	ReadLag                       float64 // seconds for which the newest input of its connection was unread
	seenFields                    uint    // fields received so far, as bits by their index in fields
}

// Caller is the client of a request. seq is the sequence number of the request on its connection. Each registered request gets one answer.
type Caller interface {
	Register(seq int32, id uint32)
	Completed(seq int32, pages [][]byte, waitInfo *WaitInfo)
	Rejected(seq int32, pause float64, waitInfo *WaitInfo)
	Failed(seq int32)
	AddStatementBytes(bytes int)
	StatementBytes() int      // size of the statements of its connection's requests
	AddResultBytes(bytes int) // counts memory as reserved for results to its connection, or as released if negative
	ResultBytes() int         // memory for results to its connection: reserved, and queued for writing
}

// WaitInfo is sent with an answer or a rejection if the operator's file enables it. All values are in seconds.
type WaitInfo struct {
	P50, P90 float64 // estimated time until the answer, as of the arrival; with a rejection, until the request would be admitted
	Waited   float64 // time before the first attempt
}

// RequestHandler handles the requests of clients. A request that a caller has registered gets one answer, unless Left is called for it.
type RequestHandler interface {
	HandleRequest(c Caller, seq int32, a *Request)
	ClientLeft(id uint32) // its client no longer waits
	HalfClosed(id uint32) // its client has closed its sending side: it may have left or may still read
	Ready() bool
	MessageDiscarded(bytes int)          // an incomplete message was discarded to free memory
	RejectDiscarded(c Caller, seq int32) // rejects a request whose message was discarded
	BadMessage(text string)
	ClientClosing(s *Session, reason CloseReason) // a connection takes no more requests, and closes
	SessionClosed(s *Session)
}

// Conn is the connection that a session writes to.
type Conn interface {
	Append(b []byte) int64
	Queued() int // bytes that are queued or being written
	Finish()
	Drop()              // closes it at once
	InputPending() bool // bytes have arrived that were not fed yet
	InputState() transport.InputState
	LateInputState() transport.InputState // of input that is being fed, zero if it was read promptly
	OutputPending() bool                  // some of the appended bytes have not reached the peer
}

// Session is the protocol state of one client connection.
type Session struct {
	Conn            Conn
	Serial          uint64 // arrival number: an older connection has a lower one
	handler         RequestHandler
	memory          *MessageMemory
	frames          thrift.FrameSplitter
	scratch         *[]byte
	open            map[int32]uint32 // ids of the open requests by sequence number
	statementBytes  int              // size of the statements of its requests, as the handler counts them
	resultBytes     int              // memory reserved for results of its requests
	partialBytes    int              // bytes of an incomplete frame; memory.resize sets it
	discarded       bool             // the incomplete frame was discarded
	partialTicks    int              // ticks for which the frame has been incomplete; for the first frame, including those before the session
	quietTicks      int              // ticks since the last complete message or answer
	messageReceived bool             // a complete message has been received
	halfClosed      bool             // the client has closed its sending side
	closeWhenIdle   bool             // takes no more requests, and closes once none is open
	rejectFirst     bool             // the first request, still expected, is to be rejected
	closeTicks      int              // ticks since the close was decided
	feeding         bool             // Feed runs: further messages may follow in the same input
	input           inputState       // of the connection
	closing         bool             // the connection closes once all output is written
	ended           bool             // the connection has ended
	reason          CloseReason      // the first reason for closing it, or Unreadable
}

// NewSession creates a session. Answers are built in scratch, one at a time. Sessions of one owner may share memory and scratch.
func NewSession(handler RequestHandler, memory *MessageMemory, scratch *[]byte) *Session {
	return &Session{handler: handler, memory: memory, scratch: scratch, open: map[int32]uint32{}}
}

// Connected is called when the connection is established. There is nothing to do.
func (s *Session) Connected() {}

// Feed processes received bytes. After an unreadable message it discards them. On a connection that is being closed for another reason
// requests are rejected for as long as an answer can still leave.
func (s *Session) Feed(b []byte) {
	if s.reason == Unreadable || s.ended || s.input.gone {
		return
	}
	s.feeding, s.input.known = true, false
	err := s.frames.Feed(b, s.frame)
	s.feeding = false
	s.input.earlyBytes = max(s.input.earlyBytes-len(b), 0)
	switch {
	case s.input.gone:
		s.releaseMessage()
		return
	case err != nil:
		s.endUnreadable(err)
		return
	}
	s.memory.resize(s, s.frames.Buffered())
	s.memory.reclaim()
	s.closeIfIdle()
}

// endUnreadable closes a connection on which nothing more can be read. Earlier answers are still sent.
func (s *Session) endUnreadable(err error) {
	s.handler.BadMessage(err.Error())
	s.abandonRequests()
	s.reason = Unreadable
	s.finish()
}

// abandonRequests reports for all open requests that the client no longer waits.
func (s *Session) abandonRequests() {
	s.releaseMessage()
	for _, seq := range slices.Sorted(maps.Keys(s.open)) { // sorted, so that equal input has the same effect
		id := s.open[seq]
		delete(s.open, seq)
		s.handler.ClientLeft(id)
	}
}

// noteReason records the reason for closing the connection, if it is the first.
func (s *Session) noteReason(reason CloseReason) {
	if s.reason == NotClosed {
		s.reason = reason
	}
}

// finish closes the connection after the answers written so far.
func (s *Session) finish() {
	if !s.closing {
		s.closing = true
		s.handler.ClientClosing(s, s.reason)
		s.Conn.Finish()
	}
}

// Ended handles the end of a connection. A client that has closed its side may still read; one whose connection is gone has left.
func (s *Session) Ended(how transport.Ending) {
	if how == transport.PeerFinished {
		s.halfClosed = true
		s.noteReason(ClientClosed)
		s.reportHalfClosed()
		s.closeIfIdle()
		return
	}
	if how == transport.PeerNotReading {
		s.noteReason(NotReading)
		s.handler.ClientClosing(s, NotReading)
	}
	s.closing, s.ended = true, true
	s.abandonRequests()
	s.handler.SessionClosed(s)
}

// CloseWhenIdle closes the connection as soon as no request is open on it. Requests that arrive until then are rejected: otherwise a client
// could keep the connection open for as long as it likes.
func (s *Session) CloseWhenIdle(reason CloseReason) {
	s.closeWhenIdle = true
	s.noteReason(reason)
	s.closeIfIdle()
}

// RejectFirst rejects the first request that arrives and those behind it, and closes the connection. If it were closed immediately, a
// request on its way would cause a reset.
func (s *Session) RejectFirst(reason CloseReason) {
	s.closeWhenIdle, s.rejectFirst = true, true
	s.noteReason(reason)
}

// closeIfIdle closes the connection if that is due, no request is open and none is on its way. Tick calls it again.
func (s *Session) closeIfIdle() {
	due := s.halfClosed || s.closeWhenIdle && !s.rejectFirst
	if due && !s.closing && !s.feeding && len(s.open) == 0 && !s.inputExpected() {
		s.finish()
	}
}

const maxOpen = 32 // open requests on one connection, as the protocol specifies

// AddStatementBytes counts bytes of a statement as held by the connection's requests, or as freed if bytes is negative.
func (s *Session) AddStatementBytes(bytes int) { s.statementBytes += bytes }

// StatementBytes returns the size of the statements that the connection's requests hold.
func (s *Session) StatementBytes() int { return s.statementBytes }

// AddResultBytes counts memory as reserved for results of the connection's requests, or as released if bytes is negative.
func (s *Session) AddResultBytes(bytes int) { s.resultBytes += bytes }

// ResultBytes returns the memory that results take on their way to the client: reserved for those that are being fetched, and queued.
func (s *Session) ResultBytes() int { return s.resultBytes + s.Conn.Queued() }

// Register records the id of an open request.
func (s *Session) Register(seq int32, id uint32) { s.open[seq] = id }

var (
	errProtocol     = errors.New("message is not of the strict binary protocol")
	errDuplicateSeq = errors.New("sequence number is open already")
)

// frame handles one message. Of a discarded message it gets the header alone.
func (s *Session) frame(frame []byte) error {
	if s.input.gone {
		return nil
	}
	discarded := s.discarded
	s.discarded = false
	r := thrift.NewReader(frame)
	kind, name, seq := r.MessageHeader()
	if r.Failed || kind != thrift.Call && kind != thrift.Oneway {
		return errProtocol
	}
	s.messageReceived, s.rejectFirst, s.quietTicks, s.partialTicks = true, false, 0, 0
	switch string(name) {
	case "call":
		return s.handleCall(&r, seq, discarded)
	case "cancel":
		if target, ok := readCancel(&r); ok {
			s.cancel(target)
		}
	case "health":
		s.reply("health", seq, nil, s.handler.Ready())
	default:
		if kind == thrift.Call {
			s.writeException(string(name), seq, thrift.UnknownMethod, "unknown method")
		}
	}
	return nil
}

// handleCall handles a request. Of a discarded one the header has been read, and there is nothing else.
func (s *Session) handleCall(r *thrift.Reader, seq int32, discarded bool) error {
	if _, duplicate := s.open[seq]; duplicate {
		return errDuplicateSeq
	}
	input := s.inputState()
	switch {
	case input.Gone:
		s.leave()
		return nil
	case s.closeWhenIdle || s.closing || input.Finished && input.Age >= staleInput:
		s.Rejected(seq, 0, nil)
		return nil
	case len(s.open) >= maxOpen:
		s.writeException("call", seq, thrift.ProtocolError, "too many open calls")
		return nil
	case discarded:
		s.handler.RejectDiscarded(s, seq)
		return nil
	}
	var a Request
	if fault := a.read(r); fault != "" {
		s.writeException("call", seq, thrift.ProtocolError, fault)
		return nil
	}
	a.Waited, a.ReadLag = s.messageAge(input).Seconds(), input.Idle.Seconds()
	s.handler.HandleRequest(s, seq, &a)
	return nil
}

// cancel ends an open request for which its client no longer waits.
func (s *Session) cancel(seq int32) {
	if id, open := s.open[seq]; open {
		delete(s.open, seq)
		s.handler.ClientLeft(id)
	}
}

// readCancel reads the arguments of a cancel message: the sequence number of the request to cancel.
func readCancel(r *thrift.Reader) (seq int32, ok bool) {
	for {
		t, id := r.FieldHeader()
		switch {
		case t == thrift.Stop:
			return seq, ok && !r.Failed
		case t == thrift.I32 && id == 1:
			seq, ok = r.I32(), true
		default:
			r.Skip(t)
		}
	}
}

// read reads the arguments of a request; fault describes what is wrong with them.
func (a *Request) read(r *thrift.Reader) (fault string) {
	var present struct{ fields, body bool }
	for {
		t, id := r.FieldHeader()
		if t == thrift.Stop {
			break
		}
		switch {
		case t == thrift.Map && id == 1:
			present.fields = true
			k, v, n := r.MapHeader()
			if n > 0 && (k != thrift.String || v != thrift.String) {
				return "fields are no map of strings"
			}
			for ; n > 0; n-- {
				if name, value := r.Bytes(), r.Bytes(); !r.Failed && !a.setField(string(name), value) {
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
	case r.Failed:
		return "arguments can't be read"
	case !present.body || !present.fields || a.Ref == [16]byte{} || a.Timeout == 0 || a.Profile == nil:
		return "a field is missing"
	case len(bytes.TrimSpace(a.Statement)) == 0 || bytes.IndexByte(a.Statement, 0) >= 0 || !utf8.Valid(a.Statement):
		return "the statement is no text"
	}
	return ""
}

const maxToken = 128 // bytes; four times what clients send

// setField sets one field. It returns false if the value is invalid or a field of the table fields is repeated.
func (a *Request) setField(name string, value []byte) (ok bool) {
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
		for _, c := range value { // servers get it as a word of a line
			ok = ok && (c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'f')
		}
		copy(a.Ref[:], value)
	case "allow":
		a.Timeout, ok = parseNumber(value, 1000)
	case "replay":
		a.Token, ok = value, len(value) <= maxToken
		for _, c := range value { // servers get it as the value of a field
			ok = ok && c > ' ' && c < 0x7f && c != ',' && c != '='
		}
	case "lookup":
		a.Key = value
	case "effort":
		a.CostEstimate, ok = parseNumber(value, 1000)
		ok = ok && a.CostEstimate < 1e6 // days of work on one core are no credible estimate
	case "memory":
		a.Memory, ok = parseNumber(value, 1)
	}
	return ok
}

// fields are the names of the fields that may not be repeated.
var fields = [...]string{"service", "project", "ref", "allow", "effort", "memory", "replay", "lookup"}

// parseNumber parses a plain decimal number without a sign. It rejects infinities and forms that only some parsers accept.
func parseNumber(b []byte, unit float64) (float64, bool) {
	for k, c := range b {
		if c < '0' && c != '.' && (k == 0 || b[k-1]|0x20 != 'e') || c > '9' && (c|0x20 != 'e' || k == 0) {
			return 0, false
		}
	}
	v, err := strconv.ParseFloat(string(b), 64)
	return v / unit, err == nil && v >= 0 && v < 1e12
}

// Completed sends a complete result: the pages as received from the server.
func (s *Session) Completed(seq int32, pages [][]byte, waitInfo *WaitInfo) {
	delete(s.open, seq)
	s.reply("call", seq, pages, true, waitInfo.pairs()...)
	s.closeIfIdle()
}

// reply writes the answer to a call or health message.
func (s *Session) reply(name string, seq int32, pages [][]byte, good bool, pairs ...string) {
	size := 0
	for _, p := range pages {
		size += len(p)
	}
	b := thrift.BeginMessage(*s.scratch, thrift.Reply, name, seq)
	b = thrift.AppendField(b, thrift.Struct, 0)
	b = thrift.AppendStringLength(thrift.AppendField(b, thrift.String, 1), size)
	for _, p := range pages {
		b = append(b, p...)
	}
	b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 2), pairs...)
	b = thrift.AppendBool(thrift.AppendField(b, thrift.Bool, 3), good)
	s.write(thrift.EndMessage(append(b, byte(thrift.Stop))))
}

// Rejected rejects a request: the client may retry it safely, best after the pause.
func (s *Session) Rejected(seq int32, pause float64, waitInfo *WaitInfo) {
	pairs := waitInfo.pairs()
	if pause > 0 {
		pairs = append(pairs, "cooldown", millis(pause))
	}
	s.replyException(seq, 1, pairs...)
}

// millis formats seconds as whole milliseconds.
func millis(seconds float64) string { return strconv.Itoa(int(seconds*1000 + 0.5)) }

// pairs returns the fields of the message as names and values; nil has none.
func (t *WaitInfo) pairs() []string {
	if t == nil {
		return nil
	}
	return []string{"wait_p50", millis(t.P50), "wait_p90", millis(t.P90), "waited", millis(t.Waited)}
}

// Failed reports a failure. It says nothing about whether the request has run.
func (s *Session) Failed(seq int32) { s.replyException(seq, 2) }

// replyException writes one of the exceptions that the protocol declares: field 1 for a rejection, 2 for a failure.
func (s *Session) replyException(seq int32, field uint16, pairs ...string) {
	delete(s.open, seq)
	b := thrift.BeginMessage(*s.scratch, thrift.Reply, "call", seq)
	b = thrift.AppendField(b, thrift.Struct, field)
	b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), pairs...)
	s.write(thrift.EndMessage(append(b, byte(thrift.Stop))))
	s.closeIfIdle()
}

// writeException writes an exception of the RPC layer, for a message that can't be handled.
func (s *Session) writeException(name string, seq int32, kind int32, text string) {
	s.write(thrift.ExceptionFrame(*s.scratch, name, seq, kind, text))
}

func (s *Session) write(b []byte) {
	*s.scratch = b
	s.quietTicks = 0
	s.Conn.Append(b)
}

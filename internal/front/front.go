// Package front is the service that clients call: it reads calls off one connection's bytes, hands commands to
// the desk and writes the answers. It knows no socket but what takes its bytes.
package front

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"dunereach/internal/sockets"
	"dunereach/internal/thrift"
)

// Ask is what a client wants, as it came. Its bytes are good for the call that gets it only.
type Ask struct {
	Ref                   [16]byte
	Profile, Tenant       []byte
	Allow, Effort, Memory float64 // seconds, seconds, MB
	Statement             []byte
}

// Caller is who asked, by the number that its protocol gives the call. A command that it holds gets one answer.
type Caller interface {
	Hold(seq int32, id uint32)
	Answered(seq int32, pages [][]byte)
	Shed(seq int32, pause float64)
	Failed(seq int32)
}

// Desk takes what clients want. A command that a caller holds gets one of its answers, unless it has Left.
type Desk interface {
	Take(c Caller, seq int32, a *Ask)
	Left(id uint32)
	Ready() bool
	Bad(how string)
	Closed(s *Session)
}

// Line is where a session's bytes go.
type Line interface {
	Append(b []byte) int64
	Finish()
	Bad()
}

// Session is one client's connection.
type Session struct {
	Line    Line
	desk    Desk
	frames  thrift.Frames
	scratch *[]byte
	open    map[int32]uint32 // commands by the sequence number of their call
	idle    int              // ticks since anything came
	half    bool             // the client has said its last
	last    bool             // closes once nothing is open
	broken  bool             // what came can't be read
}

// NewSession is a session at a desk. The scratch is where answers are put together, one after the other.
func NewSession(desk Desk, scratch *[]byte) *Session {
	return &Session{desk: desk, scratch: scratch, open: map[int32]uint32{}}
}

func (s *Session) Up() {}

// Feed takes bytes as they come.
func (s *Session) Feed(b []byte) {
	if s.broken { // what was on its way when the connection was given up
		return
	}
	s.idle = 0
	if err := s.frames.Feed(b, s.frame); err != nil {
		s.broken = true
		s.desk.Bad(err.Error())
		s.Line.Bad()
	}
}

// Ended: a client that has closed its side may still read; one whose connection is gone has left.
func (s *Session) Ended(how sockets.Ending) {
	if how == sockets.Finished {
		s.half = true
		s.rest()
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(s.open)) { // in order: equal input must act alike
		id := s.open[seq]
		delete(s.open, seq)
		s.desk.Left(id)
	}
	s.desk.Closed(s)
}

// Last closes the connection as soon as nothing is open on it.
func (s *Session) Last() {
	s.last = true
	s.rest()
}

// Idle counts a tick, and closes the connection after so many on which nothing came and nothing was open.
func (s *Session) Idle(ticks int) {
	if s.idle++; s.idle >= ticks {
		s.Last()
	}
}

func (s *Session) rest() {
	if (s.half || s.last) && len(s.open) == 0 {
		s.Line.Finish()
	}
}

// Hold notes that a call's command is in hand.
func (s *Session) Hold(seq int32, id uint32) { s.open[seq] = id }

var (
	errHead  = errors.New("message is not of the strict binary protocol")
	errTwice = errors.New("sequence number is open already")
)

func (s *Session) frame(frame []byte) error {
	r := thrift.NewReader(frame)
	kind, name, seq := r.Message()
	if r.Bad || kind != thrift.Call && kind != thrift.Oneway {
		return errHead
	}
	switch string(name) {
	case "call":
		if _, twice := s.open[seq]; twice {
			return errTwice
		}
		var a Ask
		if bad := a.read(&r); bad != "" {
			s.except(string(name), seq, thrift.ProtocolError, bad)
			return nil
		}
		s.desk.Take(s, seq, &a)
	case "cancel":
		if of, ok := readCancel(&r); ok {
			if id, ok := s.open[of]; ok {
				delete(s.open, of)
				s.desk.Left(id)
				s.rest()
			}
		}
	case "health":
		s.reply("health", seq, nil, s.desk.Ready())
	default:
		if kind == thrift.Call {
			s.except(string(name), seq, thrift.UnknownMethod, "unknown method")
		}
	}
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
func (a *Ask) read(r *thrift.Reader) (bad string) {
	var have struct{ fields, body bool }
	for {
		t, id := r.Field()
		if t == thrift.Stop {
			break
		}
		switch {
		case t == thrift.Map && id == 1:
			have.fields = true
			k, v, n := r.Pairs()
			if n > 0 && (k != thrift.String || v != thrift.String) {
				return "fields are no map of strings"
			}
			for ; n > 0; n-- {
				if name, value := r.Bytes(), r.Bytes(); !r.Bad && !a.field(string(name), value) {
					return "field " + string(name) + " can't be used"
				}
			}
		case t == thrift.String && id == 2:
			have.body, a.Statement = true, r.Bytes()
		default:
			r.Skip(t)
		}
	}
	switch {
	case r.Bad:
		return "arguments can't be read"
	case !have.body || !have.fields || a.Ref == [16]byte{} || a.Allow == 0 || a.Profile == nil:
		return "a field is missing"
	}
	return ""
}

func (a *Ask) field(name string, value []byte) (ok bool) {
	ok = true
	switch name {
	case "service":
		a.Profile = value
	case "project":
		a.Tenant = value
	case "ref":
		ok = len(value) == len(a.Ref)
		for _, c := range value { // it goes on to engines as a word of a line
			ok = ok && c > ' ' && c < 0x7f
		}
		copy(a.Ref[:], value)
	case "allow":
		a.Allow, ok = number(value, 1000)
	case "effort":
		a.Effort, ok = number(value, 1000)
	case "memory":
		a.Memory, ok = number(value, 1)
	}
	return ok
}

func number(b []byte, unit float64) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v / unit, err == nil && v >= 0 && v < 1e12
}

// Answered passes a whole result on: the pages as they came.
func (s *Session) Answered(seq int32, pages [][]byte) {
	delete(s.open, seq)
	s.reply("call", seq, pages, true)
	s.rest()
}

func (s *Session) reply(name string, seq int32, pages [][]byte, good bool) {
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
	b = thrift.AppendPairs(thrift.AppendField(b, thrift.Map, 2))
	b = thrift.AppendBool(thrift.AppendField(b, thrift.Bool, 3), good)
	s.write(thrift.End(append(b, byte(thrift.Stop))))
}

// Shed refuses: a retry is harmless, best after the pause.
func (s *Session) Shed(seq int32, pause float64) {
	if pause > 0 {
		s.exception(seq, 1, "cooldown", strconv.Itoa(int(pause*1000+0.5)))
	} else {
		s.exception(seq, 1)
	}
}

// Failed promises nothing.
func (s *Session) Failed(seq int32) { s.exception(seq, 2) }

func (s *Session) exception(seq int32, field uint16, pairs ...string) {
	delete(s.open, seq)
	b := thrift.Begin(*s.scratch, thrift.Reply, "call", seq)
	b = thrift.AppendField(b, thrift.Struct, field)
	b = thrift.AppendPairs(thrift.AppendField(b, thrift.Map, 1), pairs...)
	s.write(thrift.End(append(b, byte(thrift.Stop))))
	s.rest()
}

func (s *Session) except(name string, seq int32, kind int32, text string) {
	s.write(thrift.Except(*s.scratch, name, seq, kind, text))
}

func (s *Session) write(b []byte) {
	*s.scratch = b
	s.Line.Append(b)
}

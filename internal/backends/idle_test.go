package backends

import (
	"net/netip"
	"testing"

	"dunereach/admission"
	"dunereach/internal/transport"
)

// endRecorder records how attempts end.
type endRecorder struct{ ends []admission.End }

func (e *endRecorder) AttemptEnded(_ *Attempt, end admission.End)                  { e.ends = append(e.ends, end) }
func (e *endRecorder) AttemptProgressed(*Attempt, admission.ProgressKind, float64) {}
func (e *endRecorder) ConnLost(uint32, transport.Ending)                           {}
func (e *endRecorder) ResultFits(*Attempt, int) bool                               { return true }
func (e *endRecorder) ResultReserved(*Attempt, int)                                {}

// idleConn accepts all calls and records Finish.
type idleConn struct{ finished bool }

func (l *idleConn) Append([]byte) int64        { return 0 }
func (l *idleConn) WriteBegun(int64) bool      { return true }
func (l *idleConn) AppendRequest([]byte) int64 { return 0 }
func (l *idleConn) Delivered() bool            { return true }
func (l *idleConn) BegunOutput() int64         { return 0 }
func (l *idleConn) Acknowledged(int64) bool    { return true }
func (l *idleConn) Withdraw(int64, int) bool   { return false }
func (l *idleConn) Finish()                    { l.finished = true }
func (l *idleConn) Drop()                      {}
func (l *idleConn) DropUnreadable()            {}

// TestIdleConnectionMakesRoom: idle connections to one server use up the limit. The one idle longest must close for
// an attempt to a server without a connection, which would otherwise count as unreachable. Without an idle connection
// the attempt ends as unreachable.
func TestIdleConnectionMakesRoom(t *testing.T) {
	recorder := &endRecorder{}
	var lines []*idleConn
	var sinks []transport.Sink
	p := New(recorder, Limits{StreamsPerConn: 1, MaxConns: 4, IdleTimeout: 30}, func(_ netip.AddrPort, s transport.Sink) Connection {
		lines, sinks = append(lines, &idleConn{}), append(sinks, s)
		return lines[len(lines)-1]
	})
	list := []admission.Entry{{Server: 1, State: admission.Ready}}
	address := func(uint32) netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:4100") }
	p.UpdateServers(list, address)
	send := func(now float64, id, server uint32) *Attempt {
		p.SetTime(now)
		j := &Attempt{ID: id, Server: server, Deadline: 100}
		copy(j.Ref[:], "000000000000000"+string(rune('0'+id)))
		p.Send(j)
		if n := len(lines); sinks[n-1].(*conn).up == false {
			sinks[n-1].Connected()
		}
		p.ReportEnds()
		return j
	}
	for id := uint32(1); id <= 4; id++ {
		send(float64(id), id, 1)
	}
	for k, s := range sinks {
		p.SetTime(10 - float64(k))
		s.Feed([]byte("000000000000000" + string(rune('1'+k)) + " served count=1 0\r\n\r\n"))
	}
	list = append(list, admission.Entry{Server: 2, State: admission.Ready})
	p.UpdateServers(list, address)
	if j := send(20, 5, 2); !j.Outstanding() || len(lines) != 5 || !lines[3].finished || lines[0].finished {
		t.Fatalf("outstanding %v, %d connections, ends %v", j.Outstanding(), len(lines), recorder.ends)
	}
	for id := uint32(6); id <= 8; id++ {
		send(21, id, 1)
	}
	if j := send(22, 9, 2); j.Outstanding() || recorder.ends[len(recorder.ends)-1] != admission.Unreachable {
		t.Errorf("without an idle connection: outstanding %v, ends %v", j.Outstanding(), recorder.ends)
	}
}

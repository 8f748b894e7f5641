package backends

import (
	"net/netip"
	"testing"

	"dunereach/admission"
	"dunereach/internal/transport"
)

// noted notes how attempts end.
type noted struct{ all []admission.End }

func (e *noted) Ended(_ *Job, end admission.End)         { e.all = append(e.all, end) }
func (e *noted) Noted(*Job, admission.NoteKind, float64) {}
func (e *noted) Lost(uint32, transport.Ending)           {}

// quietLine takes all and notes whether it was finished.
type quietLine struct{ finished bool }

func (l *quietLine) Append([]byte) int64        { return 0 }
func (l *quietLine) Begun(int64) bool           { return true }
func (l *quietLine) AppendRequest([]byte) int64 { return 0 }
func (l *quietLine) Delivered() bool            { return true }
func (l *quietLine) Withdraw(int64, int) bool   { return false }
func (l *quietLine) Finish()                    { l.finished = true }
func (l *quietLine) Drop()                      {}
func (l *quietLine) Bad()                       {}

// TestRestingMakesRoom: where resting connections to one server take all, the one that has rested longest makes room for an attempt to a
// server that has none, which would count as unreachable; with nothing resting the attempt ends so.
func TestRestingMakesRoom(t *testing.T) {
	told := &noted{}
	var lines []*quietLine
	var sinks []transport.Sink
	p := New(told, Limits{Streams: 1, Conns: 4, Idle: 30}, func(_ netip.AddrPort, s transport.Sink) Line {
		lines, sinks = append(lines, &quietLine{}), append(sinks, s)
		return lines[len(lines)-1]
	})
	list := []admission.Entry{{Engine: 1, State: admission.Ready}}
	address := func(uint32) netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:4100") }
	p.Members(list, address)
	send := func(now float64, id, server uint32) *Job {
		p.At(now)
		j := &Job{ID: id, Engine: server, Until: 100}
		copy(j.Ref[:], "000000000000000"+string(rune('0'+id)))
		p.Send(j)
		if n := len(lines); sinks[n-1].(*conn).up == false {
			sinks[n-1].Up()
		}
		p.Settle()
		return j
	}
	for id := uint32(1); id <= 4; id++ {
		send(float64(id), id, 1)
	}
	for k, s := range sinks {
		p.At(10 - float64(k))
		s.Feed([]byte("000000000000000" + string(rune('1'+k)) + " served count=1 0\r\n\r\n"))
	}
	list = append(list, admission.Entry{Engine: 2, State: admission.Ready})
	p.Members(list, address)
	if j := send(20, 5, 2); !j.Out() || len(lines) != 5 || !lines[3].finished || lines[0].finished {
		t.Fatalf("out %v, %d connections, ended %v", j.Out(), len(lines), told.all)
	}
	for id := uint32(6); id <= 8; id++ {
		send(21, id, 1)
	}
	if j := send(22, 9, 2); j.Out() || told.all[len(told.all)-1] != admission.Unreachable {
		t.Errorf("with nothing resting: out %v, ended %v", j.Out(), told.all)
	}
}

package admission

import (
	"testing"

	"dunereach/internal/script"
	"dunereach/waittime"
)

// TestTraces plays every script of testdata and compares what the module does with what is kept there. Equal
// events must give equal actions, so each is played twice.
func TestTraces(t *testing.T) { script.Compare(t, play, play) }

// TestTurnover: places of engines that are gone are used again, and nothing of commands that are over stays.
func TestTurnover(t *testing.T) {
	h := &deafHost{}
	b := New(defaults(), 0, h)
	for k := range 1000 {
		now, id := float64(k), uint32(k+1)
		b.Members(now, Full, []Entry{{Engine: id, State: Ready}})
		b.Command(now, Command{ID: id, TimeLeft: 4, Cost: 0.1})
		b.Outcome(now, Outcome{ID: id, Engine: h.engine, End: Answered, Lag: 0.1, Work: 0.1, Over: true})
	}
	if len(b.servers) > 2 || len(b.index) > 2 || len(b.requests.states) > 1 || len(b.requests.at) > 0 {
		t.Errorf("%d engines under %d ids, %d commands", len(b.servers), len(b.index), len(b.requests.states))
	}
}

type deafHost struct{ engine uint32 }

func (h *deafHost) Send(_, engine uint32, _, _ float64)           { h.engine = engine }
func (h *deafHost) Withdraw(uint32, int)                          {}
func (h *deafHost) Shed(uint32, float64)                          {}
func (h *deafHost) Fail(uint32)                                   {}
func (h *deafHost) Cancel(uint32, int)                            {}
func (h *deafHost) Probe(uint32)                                  {}
func (h *deafHost) Priority(uint32, int, float64)                 {}
func (h *deafHost) Wake(float64, uint64)                          {}
func (h *deafHost) Tell(int, []byte)                              {}
func (h *deafHost) Watch(bool)                                    {}
func (h *deafHost) Log(string)                                    {}
func (h *deafHost) Told(uint32, waittime.Kind, waittime.Estimate) {}

// TestOrdinaryPathAllocatesNothing plays commands that are taken, admitted, sent and answered, also with teams and waits.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	for _, on := range []bool{false, true} {
		set := defaults()
		if on {
			set.Teams, set.Waits = tree(t, 10), waittime.New(len(set.Profiles), 1)
		}
		allocatesNothing(t, set)
	}
}

func allocatesNothing(t *testing.T, set Settings) {
	t.Helper()
	h := &deafHost{}
	b := New(set, 0, h)
	b.Members(0, Full, []Entry{{Engine: 1, State: Ready}, {Engine: 2, State: Ready}})
	now, id := 0.0, uint32(0)
	one := func() {
		now, id = now+0.01, id+1
		b.Command(now, Command{ID: id, TimeLeft: 4, Cost: 0.1, Team: int(id) % 10, Mark: 7})
		b.Outcome(now+0.005, Outcome{ID: id, Engine: h.engine, End: Answered, Lag: 0.1, Work: 0.1, Over: true})
	}
	for range 100 {
		one()
	}
	if n := testing.AllocsPerRun(1000, one); n != 0 {
		t.Errorf("%v allocations for a command", n)
	}
}

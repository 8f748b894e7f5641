package transport

import (
	"testing"
	"time"
)

// pauses returns how long a goroutine pauses that finds input at once, or only after a wait, a number of times in a row.
func pauses(p *Pace, inputs int, waited, cost time.Duration) (total time.Duration) {
	for range inputs {
		p.Input(p.readyAt.Add(waited))
		begun := time.Now()
		p.Pause(cost)
		total += time.Since(begun)
	}
	return total
}

// TestEndlessInputPauses guards against a connection whose input never ends and that takes the time of the others: together such connections
// leave a part of the time free. Connections that wait for input in between are never paused.
func TestEndlessInputPauses(t *testing.T) {
	n := newTestNet(t, 1<<30)
	const inputs, cost = 40, 500 * time.Microsecond
	usual := n.NewPace()
	if took := pauses(usual, inputs, time.Millisecond, cost); took > 20*time.Millisecond || usual.streaming {
		t.Errorf("a connection that waits for its input is paused, %v in all", took)
	}
	if took := pauses(n.NewPace(), usualReads, 0, cost); took > 10*time.Millisecond {
		t.Errorf("%d inputs in a row are paused, %v in all", usualReads, took)
	}
	for connections := 1; connections <= 3; connections++ { // those before stay
		p := n.NewPace()
		paced := inputs - usualReads
		free := time.Duration(float64(paced) * float64(cost) * (float64(connections)/pacedShare - 1))
		if took := pauses(p, inputs, 0, cost); took < free-minPause {
			t.Errorf("of %d connections one pauses for %v, to leave time free it must for %v", connections, took, free)
		}
		if got := n.pacer.streaming.Load(); got != int64(connections) {
			t.Errorf("%d connections are counted, want %d", got, connections)
		}
		defer func() {
			p.End()
			if got := n.pacer.streaming.Load(); got != int64(connections-1) {
				t.Errorf("%d connections are counted at the end, want %d", got, connections-1)
			}
		}()
	}
}

// TestOnePreemptedRead guards against endless input that is not paced any more after a read that was preempted.
func TestOnePreemptedRead(t *testing.T) {
	p := newTestNet(t, 1<<30).NewPace()
	defer p.End()
	pauses(p, maxReads, 0, 0)
	pauses(p, 1, time.Second, 0)
	if paced := p.Input(p.readyAt); !paced {
		t.Error("the connection is not paced after one late read")
	}
	if pauses(p, 4, time.Second, 0); p.streaming {
		t.Error("the connection is paced, though its input has ended")
	}
}

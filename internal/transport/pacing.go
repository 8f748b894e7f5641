package transport

import (
	"runtime"
	"sync/atomic"
	"time"
)

// This file keeps connections whose input never ends from taking the time of the others. While a goroutine always has input to pass on, the
// runtime neither runs the goroutines of other connections for up to its time slice nor asks the system whether they have input. So such
// connections are read more slowly, in turns that leave a part of the time free.

const (
	// immediateRead is the longest time of a read for which the input had already come.
	immediateRead = 50 * time.Microsecond
	// usualReads is how many reads in a row may find input at once: a usual client's 32 short requests, or a result's pages.
	usualReads = 4
	// maxReads is how many reads in a row are counted.
	maxReads = 32
	// pacedShare is the part of the time that all connections whose input never ends get together.
	pacedShare = 0.6
	// minPause is the shortest pause, as timers are no finer while the process is idle.
	minPause = time.Millisecond
	// lateWake is how late a pause ends while the process has no time left.
	lateWake = 2 * time.Millisecond
	// maxPause bounds a pause, as the end of the connection is not noticed during it.
	maxPause = 50 * time.Millisecond
)

// pacer paces the connections of a network.
type pacer struct {
	streaming atomic.Int64 // connections whose input does not end at present
}

// Pace is the state of pacing of a goroutine that waits for input: a connection's reader, or one that accepts connections.
type Pace struct {
	pacer     *pacer
	readyAt   time.Time     // when the goroutine was ready for the present input
	reads     int           // reads in a row that found input at once, fewer for each that did not
	streaming bool          // counted in the pacer
	debt      time.Duration // by which it is to pause, once that is minPause
}

// NewPace returns the state of pacing for a further goroutine, which must call End when it ends.
func (n *Network) NewPace() *Pace { return &Pace{pacer: &n.pacer, readyAt: time.Now()} }

// Input is called when input has been read. It reports whether the goroutine will pause, so that the time for processing the input must be
// known.
func (p *Pace) Input(now time.Time) (paced bool) {
	if now.Sub(p.readyAt) <= immediateRead {
		p.reads = min(p.reads+1, maxReads)
	} else if p.reads /= 4; p.reads <= usualReads { // one read may have been preempted
		p.End()
	}
	return p.reads > usualReads
}

// Pause is called when the input has been processed. It waits if input does not end; cost is how long its processing took.
func (p *Pace) Pause(cost time.Duration) {
	if p.reads > usualReads {
		p.wait(cost)
	}
	p.readyAt = time.Now()
}

// wait waits until the connections whose input does not end have had no more than their part of the time.
func (p *Pace) wait(cost time.Duration) {
	if !p.streaming {
		p.streaming = true
		p.pacer.streaming.Add(1)
	}
	turn := float64(cost) * float64(p.pacer.streaming.Load()) / pacedShare // from this input to the connection's next
	if p.debt += time.Duration(turn) - cost; p.debt < minPause {
		runtime.Gosched()
		return
	}
	begun, pause := time.Now(), min(p.debt, maxPause)
	time.Sleep(pause)
	p.debt = 0
	if late := time.Since(begun) - pause; late > lateWake { // there is no time left even so: all wait for as long
		p.debt = min(2*late, maxPause)
	}
}

// End records that the connection's input has ended for now, or that the connection has.
func (p *Pace) End() {
	if p.streaming {
		p.pacer.streaming.Add(-1)
	}
	p.reads, p.streaming, p.debt = 0, false, 0
}

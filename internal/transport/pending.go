package transport

import (
	"net"
	"syscall"
	"time"
)

// This file reports the bytes in transit on a connection. Closing a connection with input that the owner has not
// received loses a request; closing it with output in transit may lose a response.

// InputState is what the system knows of a connection's input. It is zero if the system does not tell.
type InputState struct {
	Pending  bool          // bytes have come that were not delivered to the owner: the system or the reader holds them
	Age      time.Duration // for how long, at least, the bytes that were delivered last had come
	Idle     time.Duration // time since the newest bytes came
	Finished bool          // the other side has closed its side, behind all that has come
	Gone     bool          // the connection has been reset
}

// InputState returns the state of the input. Only the owner may call it. It makes a system call.
func (c *Conn) InputState() InputState {
	c.mu.Lock()
	c.tcpInfo.raw = c.raw
	c.mu.Unlock()
	info, ok := c.tcpInfo.query()
	if !ok {
		return InputState{}
	}
	now := time.Since(c.net.limits.start)
	c.arrivals.note(now, info.Bytes_received, c.inputDelivered)
	idle := time.Duration(info.Last_data_recv) * time.Millisecond
	return InputState{
		Pending:  info.Bytes_received > c.inputDelivered,
		Age:      max(idle, c.arrivals.age(now)),
		Idle:     idle,
		Finished: info.State == tcpCloseWait,
		Gone:     info.State == tcpClose,
	}
}

const (
	// promptWindow is for how long input counts as read promptly on all connections after that of one was.
	promptWindow = 2 * time.Millisecond
	// promptAge is the greatest age of input that was read promptly; the system counts in steps of up to 4 ms.
	promptAge = 4 * time.Millisecond
)

// LateInputState is InputState for input that may have been unread for a while. It is zero, without a system call, where another connection's
// input was read promptly just before. Only the owner may call it, while input is delivered.
func (c *Conn) LateInputState() InputState {
	now := time.Now()
	if !c.timed && now.Sub(c.net.promptAt) < promptWindow {
		return InputState{}
	}
	state := c.InputState()
	if state.Idle <= promptAge && !c.timed {
		c.net.promptAt = now
	}
	return state
}

// arrivalTimes tells when input came that is delivered much later.
type arrivalTimes struct {
	samples  []arrivalSample // of input that was not delivered yet, in order; bounded by maxArrivalSamples
	interval time.Duration   // between two samples
}

// arrivalSample tells that a number of bytes had come at a time.
type arrivalSample struct {
	at       time.Duration // since the network's start
	received uint64        // bytes
}

const (
	arrivalSampleInterval = 5 * time.Millisecond
	maxArrivalSamples     = 64
)

// note records that a number of bytes have come, of which some were delivered.
func (a *arrivalTimes) note(now time.Duration, received, delivered uint64) {
	passed := 0
	for passed < len(a.samples) && a.samples[passed].received < delivered {
		passed++
	}
	a.samples = append(a.samples[:0], a.samples[passed:]...)
	n := len(a.samples)
	if n == 0 {
		a.interval = arrivalSampleInterval
	}
	if n == 0 && received == delivered || n > 0 && now-a.samples[n-1].at < a.interval {
		return
	}
	if a.samples = append(a.samples, arrivalSample{now, received}); len(a.samples) < maxArrivalSamples {
		return
	}
	for k := range maxArrivalSamples / 2 { // fewer are enough for what waits for so long
		a.samples[k] = a.samples[2*k+1]
	}
	a.samples, a.interval = a.samples[:maxArrivalSamples/2], 2*a.interval
}

// age returns for how long the bytes that were delivered last had come at least.
func (a *arrivalTimes) age(now time.Duration) time.Duration {
	if len(a.samples) == 0 {
		return 0
	}
	return now - a.samples[0].at
}

// States of a TCP connection, as Linux numbers them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// InputPending reports whether bytes have come that were not delivered to the owner: they are in the system's receive
// buffer, or the reader holds them. Only the owner may call it. The other side's close counts as a byte. It is false
// if the system does not tell.
func (c *Conn) InputPending() bool { return c.InputState().Pending }

// OutputPending reports whether the other side's system has not acknowledged all appended bytes yet.
func (c *Conn) OutputPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.requestOffsets
	return len(c.out) > 0 || r.acceptedBytes < r.begunBytes || unacknowledged(c.raw) > 0
}

// Arrival describes the input of a connection that has not been read yet.
type Arrival struct {
	SilentFor time.Duration // time since the newest bytes came, or since the handshake if none have
	Bytes     int           // number of bytes that have come
}

// ArrivalOf inspects a connection that has not been read yet. The time in the system's accept queue is included. The
// result is zero if the system does not tell.
func ArrivalOf(connection net.Conn) Arrival {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return Arrival{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Arrival{}
	}
	query := tcpInfoQuery{raw: raw}
	info, ok := query.query()
	if !ok {
		return Arrival{}
	}
	return Arrival{time.Duration(info.Last_ack_recv) * time.Millisecond, int(info.Bytes_received)}
}

package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestPendingInputAndOutput: input is pending from its arrival until it is delivered to the owner, also while the
// reader holds it. Output is pending until the other side's system has it.
func TestPendingInputAndOutput(t *testing.T) {
	_, c, s, there, deliver := acceptedConn(t, 4)
	if c.InputPending() || c.OutputPending() {
		t.Error("input or output is pending before anything was sent")
	}
	there.Write([]byte("x"))
	waitUntil(t, "input is not pending", c.InputPending)
	deliver()
	s.want(t, "fed x")
	if c.InputPending() {
		t.Error("input is pending after its delivery to the owner")
	}
	c.Append(make([]byte, undeliverable))
	if !c.OutputPending() {
		t.Error("output is not pending")
	}
	if _, err := io.CopyN(io.Discard, there, undeliverable); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "output is pending", func() bool { return !c.OutputPending() })
}

// TestArrivalOf: silence counts from the handshake, also before the connection is accepted.
func TestArrivalOf(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	from := time.Now()
	there, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer there.Close()
	const wait = 120 * time.Millisecond
	time.Sleep(wait)
	here, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	const step = 20 * time.Millisecond // resolution of the system's clock for it
	if silent := ArrivalOf(here).SilentFor; silent < wait-step || silent > time.Since(from)+step {
		t.Errorf("silent for %v after %v", silent, time.Since(from))
	}
	there.Write([]byte("x"))
	waitUntil(t, "input does not end the silence", func() bool { return ArrivalOf(here).SilentFor < wait-step })
	if got := ArrivalOf(here).Bytes; got != 1 {
		t.Errorf("%d bytes have arrived, want 1", got)
	}
	if here, _ := net.Pipe(); ArrivalOf(here).SilentFor != 0 {
		t.Error("a connection that is no socket has a silent time")
	}
}

// TestAgeBehindBacklog guards against a request that counts as new because newer input of its connection lies unread behind it: its age is
// known within a fifth, and never too high.
func TestAgeBehindBacklog(t *testing.T) {
	var a arrivalTimes
	const second = time.Second
	for at := range 20 * 60 { // in 20 s a thousand bytes come every 1/60 s, and half of them are delivered
		now := time.Duration(at) * second / 60
		a.note(now, uint64(at*1000), uint64(at*500))
		if got, want := a.age(now), now/2; at > 10 && (got > want+time.Microsecond || got < want*8/10) {
			t.Fatalf("after %v: bytes that came %v before have an age of %v", now, want, got)
		}
		if len(a.samples) > maxArrivalSamples {
			t.Fatalf("%d samples", len(a.samples))
		}
	}
	if a.note(20*second, 1200000, 1200000); a.age(20*second) != 0 {
		t.Errorf("with nothing unread the age is %v", a.age(20*second))
	}
}

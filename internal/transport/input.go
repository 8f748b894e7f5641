package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file tells what is on its way on a connection. One that is closed over input that the owner has not been given loses a request;
// one that is closed while its output is on its way may lose an answer.

// InputPending tells whether bytes of the other side have come that the owner has not been given: they lie in the system's receive
// buffer, or the reader holds them. Only the owner may ask. The end of the other side counts as a byte. Where the system can't tell
// there is none.
func (c *Conn) InputPending() bool {
	c.mu.Lock()
	raw := c.raw
	c.mu.Unlock()
	if raw == nil {
		return false
	}
	info := tcpInfo(raw)
	return info != nil && info.Bytes_received > c.delivered
}

// InputAge is for how long the newest bytes of the other side have been here, 0 where the system can't tell.
func (c *Conn) InputAge() time.Duration {
	c.mu.Lock()
	raw := c.raw
	c.mu.Unlock()
	if raw == nil {
		return 0
	}
	info := tcpInfo(raw)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// OutputPending tells whether the other side's system has yet to acknowledge some of what was appended.
func (c *Conn) OutputPending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.requests
	return len(c.out) > 0 || r.taken < r.begun || unacknowledged(c.raw) > 0
}

// Arrival is what a connection has brought before it is accepted.
type Arrival struct {
	Silent time.Duration // nothing has come for so long, counted from the handshake where nothing ever has
	Bytes  int           // that have come
}

// ArrivalOf looks at a connection that nothing was read from. It includes the time in the system's queue of accepted connections. Where
// the system can't tell it is zero.
func ArrivalOf(connection net.Conn) Arrival {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return Arrival{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Arrival{}
	}
	info := tcpInfo(raw)
	if info == nil {
		return Arrival{}
	}
	return Arrival{time.Duration(info.Last_ack_recv) * time.Millisecond, int(info.Bytes_received)}
}

// tcpInfo is what the system knows of a connection, nil where it can't tell.
func tcpInfo(raw syscall.RawConn) (info *unix.TCPInfo) {
	err := raw.Control(func(descriptor uintptr) {
		if known, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = known
		}
	})
	if err != nil {
		return nil
	}
	return info
}

package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file reports the bytes in transit on a connection. Closing a connection with input that the owner has not
// received loses a request; closing it with output in transit may lose a response.

// InputPending reports whether bytes have come that were not delivered to the owner: they are in the system's receive
// buffer, or the reader holds them. Only the owner may call it. The other side's close counts as a byte. It is false
// if the system does not tell.
func (c *Conn) InputPending() bool {
	c.mu.Lock()
	raw := c.raw
	c.mu.Unlock()
	if raw == nil {
		return false
	}
	info := tcpInfo(raw)
	return info != nil && info.Bytes_received > c.inputDelivered
}

// InputAge returns the time since the newest bytes came, 0 if the system does not tell.
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
	info := tcpInfo(raw)
	if info == nil {
		return Arrival{}
	}
	return Arrival{time.Duration(info.Last_ack_recv) * time.Millisecond, int(info.Bytes_received)}
}

// tcpInfo returns the system's data on a connection, nil if there is none.
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

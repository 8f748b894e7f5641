package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// This file tracks the delivery of requests beyond the system's buffers. Bytes that the system has accepted may not
// have left yet: while the other side's window is closed, or packets are lost, the system holds them and sends them
// as soon as it can, also after an ordinary close. So a request that must not arrive any more may still arrive after
// its write has returned, and after its connection was closed.

// requestOffsets holds positions of a connection's requests in its output. Positions count the bytes really written,
// without withdrawn ones.
type requestOffsets struct {
	waitingEnd    int   // end of the last request for which no write has begun, in the queued bytes; 0: there is none
	begunBytes    int64 // bytes for which writes have begun
	acceptedBytes int64 // of those, bytes that the system has accepted
	lastEnd       int64 // end of the last request for which a write has begun
	deliveredEnd  int64 // end of the last request known to be delivered
}

// writeBegun records that a write of all queued bytes has begun.
func (r *requestOffsets) writeBegun(size int) {
	if r.waitingEnd > 0 {
		r.lastEnd, r.waitingEnd = r.begunBytes+int64(r.waitingEnd), 0
	}
	r.begunBytes += int64(size)
}

// withdraw records that a request was removed from the queued bytes. If it was the last request, what precedes it
// counts as one.
func (r *requestOffsets) withdraw(at, size int) {
	if r.waitingEnd >= at+size {
		r.waitingEnd -= size
	}
}

// AppendRequest is Append for a request, on which the other side acts once it has all bytes. Delivered covers these
// bytes.
func (c *Conn) AppendRequest(b []byte) (from int64) { return c.append(b, true) }

// Delivered reports whether the other side's system has acknowledged all requests for which a write has begun. During
// a write this may not be known yet, and counts as not delivered.
func (c *Conn) Delivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.requestOffsets
	if r.lastEnd <= r.deliveredEnd {
		return true
	}
	if r.lastEnd > r.acceptedBytes-int64(unacknowledged(c.raw)) {
		return false
	}
	r.deliveredEnd = r.lastEnd
	return true
}

// BegunOutput returns the position up to which writes have begun, for Acknowledged.
func (c *Conn) BegunOutput() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestOffsets.begunBytes
}

// Acknowledged reports whether the other side's system has acknowledged all output up to a position. During a write this
// may not be known yet, and counts as not acknowledged.
func (c *Conn) Acknowledged(position int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return position <= c.requestOffsets.acceptedBytes-int64(unacknowledged(c.raw))
}

// attach keeps the raw connection, by which Delivered asks the system.
func (c *Conn) attach(nc net.Conn) {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	c.mu.Lock()
	c.raw = raw
	c.mu.Unlock()
}

// addAccepted records bytes that the system has accepted.
func (c *Conn) addAccepted(size int) {
	c.mu.Lock()
	c.requestOffsets.acceptedBytes += int64(size)
	c.mu.Unlock()
}

// discardUndelivered makes the system drop the undelivered bytes of requests when the connection is closed; otherwise
// it would go on sending them. Clients' connections have no requests.
func (c *Conn) discardUndelivered(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok && !c.Delivered() {
		tcp.SetLinger(0)
	}
}

// unacknowledged returns how many bytes the system holds that the other side has not acknowledged, 0 if the system
// does not tell.
func unacknowledged(raw syscall.RawConn) (size int) {
	if raw == nil {
		return 0
	}
	err := raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			size = n
		}
	})
	if err != nil {
		return 0
	}
	return size
}

package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// This file follows requests past the system's buffers. Bytes that the system has taken may have left or not: while the other side's window is
// shut, or packets are lost, it holds them and sends them as soon as it can, also after a usual close. So a request that must not arrive any
// more is not over when its write has returned, nor when its connection is closed.

// requests is where a connection's requests stand among its bytes. Places count what was really written, without what was withdrawn.
type requests struct {
	last  int   // behind the last one of those that no write was begun with, 0: there is none
	begun int64 // bytes that writes were begun with
	taken int64 // of those, bytes that the system has taken
	end   int64 // behind the last one of those that a write was begun with
	came  int64 // behind the last one that is known to be the other side's
}

// begin notes that a write is begun with all that waits.
func (r *requests) begin(size int) {
	if r.last > 0 {
		r.end, r.last = r.begun+int64(r.last), 0
	}
	r.begun += int64(size)
}

// withdraw notes that a request was taken out of what waits. Where it was the last, what is before it counts as one.
func (r *requests) withdraw(at, size int) {
	if r.last >= at+size {
		r.last -= size
	}
}

// AppendRequest is Append for bytes that the other side acts on once it has them all, and that Delivered is about.
func (c *Conn) AppendRequest(b []byte) (from int64) { return c.append(b, true) }

// Delivered tells whether all requests that a write was begun with are the other side's: its system has acknowledged them. While a write
// goes on it may not be known, and counts as not.
func (c *Conn) Delivered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.requests
	if r.end <= r.came {
		return true
	}
	if r.end > r.taken-int64(unacknowledged(c.raw)) {
		return false
	}
	r.came = r.end
	return true
}

// attach keeps what Delivered asks the system by.
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

// took notes bytes that the system has taken.
func (c *Conn) took(size int) {
	c.mu.Lock()
	c.requests.taken += int64(size)
	c.mu.Unlock()
}

// discardUndelivered has the system drop what it still holds of requests as the connection is closed: closed otherwise, it would go on
// sending them. Clients' connections have none.
func (c *Conn) discardUndelivered(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok && !c.Delivered() {
		tcp.SetLinger(0)
	}
}

// unacknowledged is how many bytes the system holds that the other side has not acknowledged, 0 where it can't tell.
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

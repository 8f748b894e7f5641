package transport

import (
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// tcpInfoQuery asks the system for its data on a connection. It keeps the buffer, so that a query allocates nothing. It must not be used by
// several goroutines at once.
type tcpInfoQuery struct {
	raw   syscall.RawConn // nil: there is no socket
	call  func(descriptor uintptr)
	info  unix.TCPInfo
	errno syscall.Errno
}

// query returns the system's data; ok is false if there is none.
func (q *tcpInfoQuery) query() (info *unix.TCPInfo, ok bool) {
	if q.raw == nil {
		return nil, false
	}
	if q.call == nil {
		q.call = q.getsockopt
	}
	if err := q.raw.Control(q.call); err != nil || q.errno != 0 {
		return nil, false
	}
	return &q.info, true
}

func (q *tcpInfoQuery) getsockopt(descriptor uintptr) {
	size := uint32(unix.SizeofTCPInfo)
	_, _, q.errno = unix.Syscall6(unix.SYS_GETSOCKOPT, descriptor, unix.IPPROTO_TCP, unix.TCP_INFO,
		uintptr(unsafe.Pointer(&q.info)), uintptr(unsafe.Pointer(&size)), 0)
}

package router

import (
	"math"
	"syscall"
)

// split is how the descriptors of the process are divided. What clients and servers take together leaves the reserve free.
type split struct {
	clients   int // connections of clients, past which resting ones are closed to make room
	turnedOff int // further ones that are closing, or are only told to come again
	servers   int // connections to servers
	lingering int // clients' connections in a lingering close, beside the others
}

// reserve is what neither clients nor servers may take: standard streams (3), the runtime's poller (2), the listener (1), sockets to the
// name server (the one in use, the one before it, and a new one), the configuration (1), and accepted connections that wait for a place:
// the owner's and the listener's (2).
const reserve = 12

// divide splits a number of descriptors. Usual clients keep to a third of them, so a third is theirs however few there are.
func divide(descriptors int) split {
	free := max(descriptors-reserve, 0)
	var s split
	s.clients = max(free/2, descriptors/3, 1)
	s.turnedOff = s.clients / 8
	s.lingering = max(descriptors/16, 1)
	s.servers = max(min(free/3, free-s.clients-s.turnedOff-s.lingering), 1)
	return s
}

// split is how this process's descriptors are divided.
func (s *service) split() split {
	if s.parts.clients == 0 {
		s.parts = divide(s.descriptors())
	}
	return s.parts
}

// descriptors is how many the router may hold: the settings' number, or fewer where the system gives fewer.
func (s *service) descriptors() int {
	const unnamed = 16384 // where the settings name no number
	most := unnamed
	if n := s.cfg.Limits.Sockets; n > 0 {
		most = n
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		most = min(most, int(limit.Cur))
	}
	return most
}

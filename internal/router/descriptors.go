package router

import (
	"math"
	"syscall"
)

// descriptorLimits is how the descriptors of the process are divided. What clients and servers take together leaves the reserve free.
type descriptorLimits struct {
	clients   int // connections of clients, past which resting ones are closed to make room
	rejecting int // further ones that are closing, or are only told to come again
	servers   int // connections to servers
	lingering int // clients' connections in a lingering close, beside the others
}

// reservedDescriptors is what neither clients nor servers may take: standard streams (3), the runtime's poller (2), the listener (1), sockets to the
// name server (the one in use, the one before it, and a new one), the configuration (1), and accepted connections that wait for a place:
// the owner's and the listener's (2).
const reservedDescriptors = 12

// divideDescriptors splits a number of descriptors. Usual clients keep to a third of them, so a third is theirs however few there are.
func divideDescriptors(descriptors int) descriptorLimits {
	free := max(descriptors-reservedDescriptors, 0)
	var s descriptorLimits
	s.clients = max(free/2, descriptors/3, 1)
	s.rejecting = s.clients / 8
	s.lingering = max(descriptors/16, 1)
	s.servers = max(min(free/3, free-s.clients-s.rejecting-s.lingering), 1)
	return s
}

// descriptorLimits is how this process's descriptors are divided.
func (s *service) descriptorLimits() descriptorLimits {
	if s.limits.clients == 0 {
		s.limits = divideDescriptors(s.maxDescriptors())
	}
	return s.limits
}

// maxDescriptors is how many the router may hold: the settings' number, or fewer where the system gives fewer.
func (s *service) maxDescriptors() int {
	const defaultMax = 16384 // where the settings name no number
	count := defaultMax
	if n := s.cfg.Limits.Sockets; n > 0 {
		count = n
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < math.MaxInt32 {
		count = min(count, int(limit.Cur))
	}
	return count
}

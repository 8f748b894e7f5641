package router

import (
	"math"
	"syscall"
)

// descriptorLimits divides the file descriptors of the process. Clients and servers together leave the reserved ones free.
type descriptorLimits struct {
	clients   int // client connections; beyond that, idle ones are closed to make room
	rejecting int // client connections beyond that which are closing or have their first request rejected
	servers   int // connections to servers
	lingering int // client connections in a lingering close, not counted in the others
}

// reservedDescriptors are not available to clients or servers: standard streams (3), the runtime's poller (2), the listener (1), sockets
// to the name server (maxQuerySockets, 3), the configuration (1), and accepted connections that wait for a
// descriptor, one with the owner and one with the listener (2).
const reservedDescriptors = 12

// divideDescriptors divides a number of descriptors. Normal clients use up to a third, so they always get a third, however few there are.
func divideDescriptors(descriptors int) descriptorLimits {
	free := max(descriptors-reservedDescriptors, 0)
	var limits descriptorLimits
	limits.clients = max(free/2, descriptors/3, 1)
	limits.rejecting = limits.clients / 8
	limits.lingering = max(descriptors/16, 1)
	limits.servers = max(min(free/3, free-limits.clients-limits.rejecting-limits.lingering), 1)
	return limits
}

// descriptorLimits returns the division of this process's descriptors, computed on first use.
func (s *service) descriptorLimits() descriptorLimits {
	if s.limits.clients == 0 {
		s.limits = divideDescriptors(s.maxDescriptors())
	}
	return s.limits
}

// maxDescriptors is how many descriptors the router may use: the number in the settings, or the system's limit if that is lower.
func (s *service) maxDescriptors() int {
	const defaultMax = 16384 // used when the settings give no number
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

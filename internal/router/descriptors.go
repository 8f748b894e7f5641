package router

import (
	"math"
	"net"
	"syscall"
	"time"

	"dunereach/internal/frontend"
	"dunereach/internal/transport"

	"go.uber.org/zap"
)

// split is how the descriptors of the process are divided. What clients and servers take together leaves the reserve free.
type split struct {
	clients   int // connections of clients, past which resting ones are closed to make room
	turnedOff int // further ones that are only told to come again
	servers   int // connections to servers
	lingering int // of the clients', those in a lingering close
}

// reserve is what neither clients nor servers may take: standard streams (3), the runtime's poller (2), the listener (1), sockets to the
// name server (the one in use, the one before it, and a new one), the configuration (1), and an accepted connection on its way (1),
// with one to spare.
const reserve = 12

// divide splits a number of descriptors. Usual clients keep to a third of them, so a third is theirs however few there are.
func divide(descriptors int) split {
	free := max(descriptors-reserve, 0)
	var s split
	s.clients = max(free/2, descriptors/3, 1)
	s.turnedOff = s.clients / 8
	s.servers = max(min(free/3, free-s.clients-s.turnedOff), 1)
	s.lingering = max(descriptors/16, 1)
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

// arrive takes a client's connection in, or turns it away where there is no room for it.
func (s *service) arrive(nc net.Conn, closing bool) {
	most := s.split()
	full := len(s.sessions) >= most.clients && !s.letGo()
	if full {
		s.log.Warn("too many clients", zap.Int("connections", len(s.sessions)))
	}
	if len(s.sessions) >= most.clients+most.turnedOff { // none is left even to turn it away by
		nc.Close()
		return
	}
	// 32 open calls have 1.5 MB of results at most.
	const limit = 2 << 20
	c := frontend.NewSession(s, &s.scratch)
	line := s.net.New(c, limit)
	line.Patience(max(transport.UsualPatience, time.Duration(s.cfg.Settings.Longest*1e9)))
	c.Line = line
	s.arrived++
	c.Serial = s.arrived
	s.sessions[c] = struct{}{}
	line.Start(nc)
	switch {
	case closing:
		c.TurnAway(frontend.RouterEnds)
	case full:
		c.TurnAway(frontend.NoRoom)
	}
}

// letGo closes the connection that can best be spared.
func (s *service) letGo() bool {
	var spare *frontend.Session
	best := -1
	for c := range s.sessions {
		if rank, ok := c.Spare(); ok && (rank > best || rank == best && c.Serial < spare.Serial) {
			spare, best = c, rank
		}
	}
	if spare != nil {
		spare.Last(frontend.RoomNeeded)
	}
	return spare != nil
}

package router

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"dunereach/admission"
	"dunereach/internal/discovery"

	"go.uber.org/zap"
)

// This file asks the name server for the list of servers and takes its answers in.

// datagram is what came from a name server, and on which socket.
type datagram struct {
	from *net.UDPConn
	text []byte
}

// hear hands on datagrams of a name server until its socket is closed.
func (s *service) hear(ask *net.UDPConn) error {
	for {
		buf := make([]byte, 9000) // answers hold 8,000 at most
		n, err := ask.Read(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			select { // an unreachable server shows here; asking goes on
			case <-time.After(20 * time.Millisecond):
				continue
			case <-s.ctx.Done():
				return nil
			}
		}
		select {
		case s.answers <- datagram{ask, buf[:n]}:
		case <-s.ctx.Done():
			return nil
		}
	}
}

// askBy opens a socket for questions to a name server.
func (s *service) askBy(addr netip.AddrPort) error {
	ask, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err == nil {
		s.ask, s.askedAt = ask, s.clock.now()
		s.group.Go(func() error { return s.hear(ask) })
	}
	return err
}

// askAnew asks on a new socket where nothing has come for some questions: what is lost on the way of one may be lost for good.
// The one before stays for answers that are slow.
func (s *service) askAnew() {
	const unheard = 1.0 // seconds, ten questions: not all by chance, and short against the time in which news counts as told
	now := s.clock.now()
	if now-max(s.heardAt, s.askedAt) < unheard {
		return
	}
	was, older := s.ask, s.askedBy
	if s.askedAt = now; s.askBy(s.cfg.NameServer) == nil {
		s.askedBy = was
		hush(older)
	}
}

func (s *service) hushAll() { hush(s.ask, s.askedBy) }

// hush closes sockets, those that are there.
func hush(sockets ...*net.UDPConn) {
	for _, c := range sockets {
		if c != nil {
			c.Close()
		}
	}
}

// question asks for the list of engines.
func (s *service) question() {
	s.waits = true
	s.ask.Write(s.list.Question(nil))
}

// oddAnswers is answers of the name server in a row with the same fault.
type oddAnswers struct {
	fault string
	count int
}

// logOdd writes a line where answers begin to be odd, or odd in another way, and one where they are good again.
func (s *service) logOdd(err error) {
	was := s.odd
	switch {
	case err != nil && err.Error() == was.fault:
		s.odd.count++
		return
	case err != nil:
		s.odd = oddAnswers{err.Error(), 1}
		s.log.Warn("list of engines", zap.Error(err), zap.Uint32("rev", s.list.Rev()))
	case was.count > 0:
		s.odd = oddAnswers{}
		s.log.Info("the name server's answers are good again", zap.String("were", was.fault), zap.Int("answers", was.count))
	}
}

func (s *service) answer(msg []byte) {
	was := s.list.Rev()
	fresh, err := s.list.Answer(msg)
	s.logOdd(err)
	if errors.As(err, &discovery.Unread{}) {
		return
	}
	s.waits = s.list.Unsettled()
	if s.heardAt = s.clock.now(); s.deaf {
		s.deaf = false
		s.log.Info("the name server answers again")
	}
	if fresh || s.list.Rev() != was {
		s.serial = s.list.Rev()
		s.log.Info("list of engines", zap.Uint32("rev", s.list.Rev()), zap.Int("engines", len(s.list.List())))
	}
	if fresh {
		s.members(admission.Full)
	}
}

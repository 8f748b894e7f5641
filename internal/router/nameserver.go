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
	from    *net.UDPConn
	payload []byte
}

// readAnswers hands on datagrams of a name server until its socket is closed.
func (s *service) readAnswers(socket *net.UDPConn) error {
	for {
		buf := make([]byte, 9000) // answers hold 8,000 at most
		n, err := socket.Read(buf)
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
		case s.answers <- datagram{socket, buf[:n]}:
		case <-s.ctx.Done():
			return nil
		}
	}
}

// openQuerySocket opens a socket for questions to a name server.
func (s *service) openQuerySocket(addr netip.AddrPort) error {
	querySocket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err == nil {
		s.querySocket, s.querySocketOpenedAt = querySocket, s.clock.now()
		s.group.Go(func() error { return s.readAnswers(querySocket) })
	}
	return err
}

// reopenIfSilent asks on a new socket where nothing has come for some questions: what is lost on the way of one may be lost for good.
// The one before stays for answers that are slow.
func (s *service) reopenIfSilent() {
	const maxSilence = 1.0 // seconds, ten questions: not all by chance, and short against the time in which news counts as told
	now := s.clock.now()
	if now-max(s.lastAnswerAt, s.querySocketOpenedAt) < maxSilence {
		return
	}
	previous, older := s.querySocket, s.previousSocket
	if s.querySocketOpenedAt = now; s.openQuerySocket(s.cfg.NameServer) == nil {
		s.previousSocket = previous
		closeSockets(older)
	}
}

func (s *service) closeQuerySockets() { closeSockets(s.querySocket, s.previousSocket) }

// closeSockets closes sockets, those that are there.
func closeSockets(sockets ...*net.UDPConn) {
	for _, c := range sockets {
		if c != nil {
			c.Close()
		}
	}
}

// sendQuestion asks for the list of engines.
func (s *service) sendQuestion() {
	s.answerPending = true
	s.querySocket.Write(s.list.Question(nil))
}

// repeatedFault is answers of the name server in a row with the same fault.
type repeatedFault struct {
	text  string
	count int
}

// logAnswerFault writes a line where answers begin to be odd, or odd in another way, and one where they are good again.
func (s *service) logAnswerFault(err error) {
	previous := s.answerFault
	switch {
	case err != nil && err.Error() == previous.text:
		s.answerFault.count++
		return
	case err != nil:
		s.answerFault = repeatedFault{err.Error(), 1}
		s.log.Warn("list of engines", zap.Error(err), zap.Uint32("rev", s.list.Rev()))
	case previous.count > 0:
		s.answerFault = repeatedFault{}
		s.log.Info("the name server's answers are good again", zap.String("were", previous.text), zap.Int("answers", previous.count))
	}
}

func (s *service) handleAnswer(msg []byte) {
	previousRev := s.list.Rev()
	updated, err := s.list.Answer(msg)
	s.logAnswerFault(err)
	if errors.As(err, &discovery.Unread{}) {
		return
	}
	s.answerPending = s.list.Unsettled()
	if s.lastAnswerAt = s.clock.now(); s.nameServerSilent {
		s.nameServerSilent = false
		s.log.Info("the name server answers again")
	}
	if updated || s.list.Rev() != previousRev {
		s.listSerial = s.list.Rev()
		s.log.Info("list of engines", zap.Uint32("rev", s.list.Rev()), zap.Int("engines", len(s.list.List())))
	}
	if updated {
		s.publishList(admission.Full)
	}
}

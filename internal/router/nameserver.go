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

// This file queries the name server for the list of servers and handles its answers.

// datagram is a message from a name server and the socket that it came on.
type datagram struct {
	from    *net.UDPConn
	payload []byte
}

// readAnswers passes datagrams of a name server to the owner until the socket is closed.
func (s *service) readAnswers(socket *net.UDPConn) error {
	for {
		buf := make([]byte, 9000) // answers have at most 8,000 bytes
		n, err := socket.Read(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			select { // an unreachable name server gives an error here; queries continue
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

// openQuerySocket opens a socket for queries to a name server.
func (s *service) openQuerySocket(addr netip.AddrPort) error {
	querySocket, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err == nil {
		s.querySocket, s.querySocketOpenedAt = querySocket, s.clock.now()
		s.group.Go(func() error { return s.readAnswers(querySocket) })
	}
	return err
}

// reopenIfSilent opens a new query socket when several queries in a row had no answer: the network may drop all packets of a flow for
// good. The previous socket stays open for slow answers.
func (s *service) reopenIfSilent() {
	// Seconds, ten queries: too many to be lost by chance, and shorter than the time after which an event counts as known.
	const maxSilence = 1.0
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

// closeSockets closes the sockets that are not nil.
func closeSockets(sockets ...*net.UDPConn) {
	for _, c := range sockets {
		if c != nil {
			c.Close()
		}
	}
}

// sendQuestion queries the list of servers.
func (s *service) sendQuestion() {
	s.answerPending = true
	s.querySocket.Write(s.list.AppendQuery(nil))
}

// repeatedFault counts consecutive answers of the name server with the same fault.
type repeatedFault struct {
	text  string
	count int
}

// logAnswerFault logs when answers begin to be invalid or have another fault than before, and when they are valid again.
func (s *service) logAnswerFault(err error) {
	previous := s.answerFault
	switch {
	case err != nil && err.Error() == previous.text:
		s.answerFault.count++
		return
	case err != nil:
		s.answerFault = repeatedFault{err.Error(), 1}
		s.log.Warn("list of engines", zap.Error(err), zap.Uint32("rev", s.list.Revision()))
	case previous.count > 0:
		s.answerFault = repeatedFault{}
		s.log.Info("the name server's answers are good again", zap.String("were", previous.text), zap.Int("answers", previous.count))
	}
}

// handleAnswer processes an answer of the name server and publishes the list if it has changed.
func (s *service) handleAnswer(msg []byte) {
	previousRev := s.list.Revision()
	updated, err := s.list.HandleAnswer(msg)
	s.logAnswerFault(err)
	if errors.As(err, &discovery.UnreadableAnswer{}) {
		return
	}
	s.answerPending = s.list.Unconfirmed()
	if s.lastAnswerAt = s.clock.now(); s.nameServerSilent {
		s.nameServerSilent = false
		s.log.Info("the name server answers again")
	}
	if updated || s.list.Revision() != previousRev {
		s.listSerial = s.list.Revision()
		s.log.Info("list of engines", zap.Uint32("rev", s.list.Revision()), zap.Int("engines", len(s.list.List())))
	}
	if updated {
		s.publishList(admission.Full)
	}
}

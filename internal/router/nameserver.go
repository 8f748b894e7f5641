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
func (s *service) openQuerySocket(sockets *querySockets, addr netip.AddrPort) error {
	return sockets.open(s.clock.now(), addr, func(conn *net.UDPConn) {
		s.group.Go(func() error { return s.readAnswers(conn) })
	})
}

// reopenIfSilent opens a new query socket when several queries in a row had no answer.
func (s *service) reopenIfSilent() {
	now := s.clock.now()
	if !s.querySockets.silent(now) {
		return
	}
	s.querySockets.makeRoom(now)
	if err := s.openQuerySocket(&s.querySockets, s.cfg.NameServer); err != nil {
		s.log.Warn("can't open another socket to the name server", zap.Error(err))
	}
}

// useNameServer queries another name server from now on. Answers of the previous one are ignored.
func (s *service) useNameServer(addr netip.AddrPort) error {
	s.querySockets.makeRoom(s.clock.now()) // for the new socket, while the previous ones are open
	var sockets querySockets
	if err := s.openQuerySocket(&sockets, addr); err != nil {
		return err
	}
	s.querySockets.close()
	s.cfg.NameServer, s.querySockets = addr, sockets
	return nil
}

// sendQuestion queries the list of servers.
func (s *service) sendQuestion() {
	s.answerPending = true
	s.querySockets.next(s.clock.now()).Write(s.list.AppendQuery(nil))
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

// handleAnswer processes an answer of the name server and publishes the list if it has changed. An answer on a socket that is closed is
// ignored: it may be of a previous name server.
func (s *service) handleAnswer(msg datagram) {
	socket := s.querySockets.find(msg.from)
	if socket == nil {
		return
	}
	previousRev := s.list.Revision()
	updated, err := s.list.HandleAnswer(msg.payload)
	s.logAnswerFault(err)
	if errors.As(err, &discovery.UnreadableAnswer{}) {
		return
	}
	s.answerPending = s.list.Unconfirmed()
	socket.lastAnswerAt = s.clock.now()
	if s.lastAnswerAt = socket.lastAnswerAt; s.nameServerSilent {
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

package router

import (
	"net"
	"net/netip"
	"slices"
)

// This file holds the sockets to the name server. The network may drop all packets of a flow for good, so a silent name server is queried
// on new sockets. It may also be slow, so the socket on which it answered last stays open for as long as an answer can still be used.

const (
	// maxQuerySockets bounds the sockets to a name server.
	maxQuerySockets = 3
	// maxSilence is for how long, in seconds, a socket may have no answer before another is opened: ten queries, too many to be lost by
	// chance, and shorter than the time after which an event counts as known.
	maxSilence = 1.0
	// answerMemory is for how long, in seconds, an answer to a query may come. The list's follower remembers the queries of that time.
	answerMemory = 12.0
)

// querySocket is a socket to a name server.
type querySocket struct {
	conn         *net.UDPConn
	openedAt     float64 // seconds
	lastAnswerAt float64 // seconds; 0: none
}

// lastSignAt is when the socket last had an answer, or was opened.
func (q *querySocket) lastSignAt() float64 { return max(q.lastAnswerAt, q.openedAt) }

// querySockets are the sockets to one name server, the newest last.
type querySockets struct {
	sockets []*querySocket
	sent    int // queries sent
}

// open adds a socket. start runs its reader.
func (q *querySockets) open(now float64, addr netip.AddrPort, start func(*net.UDPConn)) error {
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	q.sockets = append(q.sockets, &querySocket{conn: conn, openedAt: now})
	start(conn)
	return nil
}

// retained returns the socket that is kept for slow answers: the one that had an answer last, or the oldest if none had.
func (q *querySockets) retained() *querySocket {
	best := q.sockets[0]
	for _, s := range q.sockets[1:] {
		if s.lastAnswerAt > best.lastAnswerAt {
			best = s
		}
	}
	return best
}

func (q *querySockets) newest() *querySocket { return q.sockets[len(q.sockets)-1] }

// silent reports whether no socket, including the newest, has had a sign of life for maxSilence.
func (q *querySockets) silent(now float64) bool {
	for _, s := range q.sockets {
		if now-s.lastSignAt() < maxSilence {
			return false
		}
	}
	return true
}

// makeRoom closes a socket if there are as many as there may be: the retained one once no answer can come on it any more, else the oldest
// of the others.
func (q *querySockets) makeRoom(now float64) {
	if len(q.sockets) < maxQuerySockets {
		return
	}
	retained := q.retained()
	expired := now-retained.lastSignAt() >= answerMemory
	k := slices.IndexFunc(q.sockets, func(s *querySocket) bool { return (s == retained) == expired })
	q.sockets[k].conn.Close()
	q.sockets = slices.Delete(q.sockets, k, k+1)
}

// next returns the socket for the next query: the one that had an answer last, and while all are silent in turn the newest.
func (q *querySockets) next(now float64) *net.UDPConn {
	q.sent++
	retained := q.retained()
	if now-retained.lastAnswerAt >= maxSilence && q.sent%2 == 0 {
		return q.newest().conn
	}
	return retained.conn
}

// find returns the open socket of a connection, nil if it is not open any more.
func (q *querySockets) find(conn *net.UDPConn) *querySocket {
	for _, s := range q.sockets {
		if s.conn == conn {
			return s
		}
	}
	return nil
}

// close closes all sockets.
func (q *querySockets) close() {
	for _, s := range q.sockets {
		s.conn.Close()
	}
	q.sockets = nil
}

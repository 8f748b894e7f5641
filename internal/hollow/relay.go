package hollow

import (
	"io"
	"net"
	"sync"
)

// relay is a TCP proxy in front of one coordinator for the requests of the other coordinators. It identifies callers by the source
// address of their connections.
type relay struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	cut    map[string]bool // by the caller's source address
	pairs  map[*relayPair]bool
	closed bool
}

// relayPair is a caller's connection and the matching connection to the coordinator.
type relayPair struct {
	caller   string
	conns    [2]net.Conn
	lostData bool // data was dropped
}

func newRelay(listen, target string) (*relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, cut: map[string]bool{}, pairs: map[*relayPair]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(conn net.Conn) {
	caller, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	upstream, err := net.DialTimeout("tcp", r.target, connectTimeout)
	if err != nil {
		conn.(*net.TCPConn).SetLinger(0) // reset the connection: the caller sees a failure as with a refused connection
		conn.Close()
		return
	}
	p := &relayPair{caller: caller, conns: [2]net.Conn{conn, upstream}}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		p.close()
		return
	}
	r.pairs[p] = true
	r.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(p, conn, upstream) })
	copies.Go(func() { r.copy(p, upstream, conn) })
	copies.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (r *relay) copy(p *relayPair, from io.Reader, to io.Writer) {
	defer p.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.dropsTraffic(p) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// dropsTraffic reports whether the caller is cut off now, and if so marks the pair as having lost data.
func (r *relay) dropsTraffic(p *relayPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := r.cut[p.caller]
	p.lostData = p.lostData || dropped
	return dropped
}

// cutFrom drops all data to and from these callers.
func (r *relay) cutFrom(callers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, caller := range callers {
		r.cut[caller] = true
	}
}

// heal restores all links and closes the connections that lost data.
func (r *relay) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cut)
	for p := range r.pairs {
		if p.lostData {
			p.close()
		}
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
}

func (p *relayPair) close() {
	for _, conn := range p.conns {
		conn.Close()
	}
}

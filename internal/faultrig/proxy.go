// Package faultrig starts several real processes of this program on separate loopback addresses, injects faults between
// them, and checks their behaviour from outside.
package faultrig

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to one process. It identifies callers by their source address, and can cut, hold, slow or
// reset each direction of each link separately.
type proxy struct {
	listener   net.Listener
	target     string
	processAt  func(ip string) string
	targetName string // name of the process that it forwards to

	mu        sync.Mutex
	direction map[[2]string]*direction
	conns     map[*proxiedConn]bool
	closed    bool
}

// direction is the state of one direction between two processes.
type direction struct {
	mode    mode
	until   time.Time
	delay   time.Duration
	changed chan struct{} // closed when the state changes
}

// mode is the fault in a direction.
type mode int

const (
	open    mode = iota
	cut          // bytes are dropped; connections that lost bytes are reset when the fault ends
	hold         // bytes are delayed until the fault ends
	trickle      // one byte at a time
)

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	caller               string
	fromCaller, toTarget net.Conn
	stale                bool // bytes were dropped on it
}

// newProxy listens on an address and forwards to a target.
func newProxy(listen, target, targetName string, processAt func(ip string) string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, targetName: targetName, processAt: processAt, direction: map[[2]string]*direction{}, conns: map[*proxiedConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		go p.forward(c, p.processAt(host))
	}
}

// directionOf returns the state of a direction. The caller holds the lock.
func (p *proxy) directionOf(from, to string) *direction {
	key := [2]string{from, to}
	if p.direction[key] == nil {
		p.direction[key] = &direction{changed: make(chan struct{})}
	}
	return p.direction[key]
}

// set sets the state of a direction.
func (p *proxy) set(from, to string, m mode, until time.Time, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.directionOf(from, to)
	s.mode, s.until, s.delay = m, until, delay
	close(s.changed)
	s.changed = make(chan struct{})
}

// heal ends the faults in all directions, and resets connections that lost bytes, as their own timeouts would.
func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.direction {
		s.mode, s.delay = open, 0
		close(s.changed)
		s.changed = make(chan struct{})
	}
	for c := range p.conns {
		if c.stale {
			c.reset()
		}
	}
}

// close stops listening and resets all connections.
func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		c.reset()
	}
	for _, s := range p.direction {
		s.mode = open
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (c *proxiedConn) reset() {
	for _, x := range []net.Conn{c.fromCaller, c.toTarget} {
		if t, ok := x.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
}

// forward connects to the target and copies both directions until they end.
func (p *proxy) forward(fromCaller net.Conn, caller string) {
	if !p.waitOpen(caller, p.targetName, nil) { // a connection attempt whose packets are dropped never succeeds
		fromCaller.Close()
		return
	}
	toTarget, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		fromCaller.(*net.TCPConn).SetLinger(0)
		fromCaller.Close()
		return
	}
	c := &proxiedConn{caller: caller, fromCaller: fromCaller, toTarget: toTarget}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		c.reset()
		return
	}
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(c, fromCaller, toTarget, caller, p.targetName) })
	both.Go(func() { p.copy(c, toTarget, fromCaller, p.targetName, caller) })
	both.Wait()
	fromCaller.Close()
	toTarget.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// waitOpen waits until a direction is open. It returns false if the bytes to send are lost.
func (p *proxy) waitOpen(from, to string, c *proxiedConn) bool {
	for {
		p.mu.Lock()
		s := p.directionOf(from, to)
		m, changed, wait := s.mode, s.changed, time.Until(s.until)
		if m == hold && wait <= 0 {
			m = open
		}
		if m == cut && c != nil {
			c.stale = true
		}
		closed := p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case m == open || m == trickle:
			return true
		case m == hold:
			select {
			case <-time.After(wait):
			case <-changed:
			}
		default:
			<-changed
			if c == nil {
				return false
			}
		}
	}
}

// write delivers bytes from sender to receiver with the current delay and speed of the direction.
func (p *proxy) write(to net.Conn, text []byte, sender, receiver string) error {
	p.mu.Lock()
	s := p.directionOf(sender, receiver)
	delay, slow := s.delay, s.mode == trickle
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if !slow {
		_, err := to.Write(text)
		return err
	}
	for k := range text {
		time.Sleep(5 * time.Millisecond)
		if _, err := to.Write(text[k : k+1]); err != nil {
			return err
		}
	}
	return nil
}

// copy copies one direction of a connection.
func (p *proxy) copy(c *proxiedConn, from, to net.Conn, sender, receiver string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.waitOpen(sender, receiver, c) {
				return
			}
			if p.write(to, buf[:n], sender, receiver) != nil {
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok && err == io.EOF {
				t.CloseWrite()
			}
			return
		}
	}
}

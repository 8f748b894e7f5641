// Package faultrig starts several real processes of this program on loopback addresses of their own, puts faults between them, and
// looks from outside at what they did.
package faultrig

import (
	"io"
	"net"
	"sync"
	"time"
)

// links stand before one process: whoever calls it is known by the address that the call comes from, and each direction of each
// link can be cut, held, slowed or reset by itself.
type links struct {
	listener net.Listener
	target   string
	who      func(ip string) string
	name     string // of the target

	mu    sync.Mutex
	state map[[2]string]*state
	conns map[*pair]bool
	done  bool
}

// state of one direction between two processes.
type state struct {
	mode  mode
	until time.Time
	delay time.Duration
	wake  chan struct{} // closed when it changes
}

type mode int

const (
	open    mode = iota
	cut          // nothing gets through; connections that lost something are reset when it ends
	hold         // nothing gets through for now; all of it does later
	trickle      // a byte at a time
)

type pair struct {
	who   string
	a, b  net.Conn
	stale bool // bytes were lost on it
}

func newLinks(listen, target, name string, who func(ip string) string) (*links, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &links{listener: l, target: target, name: name, who: who, state: map[[2]string]*state{}, conns: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

func (p *links) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		go p.join(c, p.who(host))
	}
}

// of the state of a direction.
func (p *links) of(from, to string) *state {
	key := [2]string{from, to}
	if p.state[key] == nil {
		p.state[key] = &state{wake: make(chan struct{})}
	}
	return p.state[key]
}

// set a direction's state.
func (p *links) set(from, to string, m mode, until time.Time, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.of(from, to)
	s.mode, s.until, s.delay = m, until, delay
	close(s.wake)
	s.wake = make(chan struct{})
}

// heal all directions; connections that lost bytes end, as they would by their own time-outs.
func (p *links) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.state {
		s.mode, s.delay = open, 0
		close(s.wake)
		s.wake = make(chan struct{})
	}
	for c := range p.conns {
		if c.stale {
			c.reset()
		}
	}
}

func (p *links) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = true
	for c := range p.conns {
		c.reset()
	}
	for _, s := range p.state {
		s.mode = open
		close(s.wake)
		s.wake = make(chan struct{})
	}
}

func (c *pair) reset() {
	for _, x := range []net.Conn{c.a, c.b} {
		if t, ok := x.(*net.TCPConn); ok {
			t.SetLinger(0)
			t.Close()
		}
	}
}

func (p *links) join(a net.Conn, who string) {
	if !p.pass(who, p.name, nil) { // a call that is lost on its way never gets an answer
		a.Close()
		return
	}
	b, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		a.(*net.TCPConn).SetLinger(0)
		a.Close()
		return
	}
	c := &pair{who: who, a: a, b: b}
	p.mu.Lock()
	if p.done {
		p.mu.Unlock()
		c.reset()
		return
	}
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(c, a, b, who, p.name) })
	both.Go(func() { p.copy(c, b, a, p.name, who) })
	both.Wait()
	a.Close()
	b.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pass waits until a direction is open; false: what came is lost.
func (p *links) pass(from, to string, c *pair) bool {
	for {
		p.mu.Lock()
		s := p.of(from, to)
		m, wake, wait := s.mode, s.wake, time.Until(s.until)
		if m == hold && wait <= 0 {
			m = open
		}
		if m == cut && c != nil {
			c.stale = true
		}
		done := p.done
		p.mu.Unlock()
		switch {
		case done:
			return false
		case m == open || m == trickle:
			return true
		case m == hold:
			select {
			case <-time.After(wait):
			case <-wake:
			}
		default:
			<-wake
			if c == nil {
				return false
			}
		}
	}
}

// write gives a process what came for it, as late and as slowly as its direction is now.
func (p *links) write(to net.Conn, text []byte, a, b string) error {
	p.mu.Lock()
	s := p.of(a, b)
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

func (p *links) copy(c *pair, from, to net.Conn, a, b string) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.pass(a, b, c) {
				return
			}
			if p.write(to, buf[:n], a, b) != nil {
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

package rig

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"dunereach/internal/fake"
)

// NameServer answers queries for the list of engines by DNS over UDP.
type NameServer struct {
	Addr   string
	run    *Run
	mu     sync.Mutex
	serial uint32
	list   []string
	delay  float64 // seconds from a query to its answer
	told   func(serial uint32)
}

// NewNameServer starts a name server that tells these engines under number 1.
func (r *Run) NewNameServer(engines ...*Engine) *NameServer {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		r.Exit(NotRun, "name server: %v", err)
	}
	n := &NameServer{Addr: c.LocalAddr().String(), run: r}
	n.SetList(1, engines...)
	go func() {
		buffer := make([]byte, 512)
		for {
			size, from, err := c.ReadFrom(buffer)
			if err != nil {
				return
			}
			if size < 2 {
				continue
			}
			id := binary.BigEndian.Uint16(buffer)
			n.mu.Lock()
			delay := n.delay
			n.mu.Unlock()
			answer := func() {
				n.mu.Lock()
				serial, list, told := n.serial, n.list, n.told
				n.mu.Unlock()
				c.WriteTo(fake.ListAnswer(id, serial, "_data._tcp.farm.lan", list...), from)
				if told != nil {
					told(serial)
				}
			}
			if delay > 0 {
				time.AfterFunc(time.Duration(delay*1e9), answer)
			} else {
				answer()
			}
		}
	}()
	r.OnEnd(func() { c.Close() })
	return n
}

// SetList sets the list and its number.
func (n *NameServer) SetList(serial uint32, engines ...*Engine) {
	var list []string
	for _, e := range engines {
		priority := 0
		if e.Draining {
			priority = 1
		}
		list = append(list, fmt.Sprintf("%s.%s %d 40 %s 0 0 %s", e.Name, e.Zone, priority, e.Kind, e.Addr))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial, n.list = serial, list
}

// SetDelay sets the time from a query to its answer, in seconds.
func (n *NameServer) SetDelay(seconds float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = seconds
}

// OnTold sets a function that is called after each answer, with the number of the list in it.
func (n *NameServer) OnTold(f func(serial uint32)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told = f
}

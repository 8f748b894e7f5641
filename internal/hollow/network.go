package hollow

import (
	"context"
	"net"
	"sync"
	"time"

	"dunereach/internal/coordserver"
)

// connectTimeout limits a connection attempt; real routers use the same limit.
const connectTimeout = 500 * time.Millisecond

// link is the path, in both directions, between the routers of a region and a coordinator.
type link struct{ region, address string }

// Network carries the requests of hollow routers to coordinators. Links can be cut: a cut link drops data in both directions, and the
// connections that lost data are closed when the link is healed.
type Network struct {
	route map[string]string // published address of a coordinator to its listening address

	mu    sync.Mutex
	cut   map[link]bool
	conns map[*linkConn]struct{}
}

// NewNetwork returns a network with all links up. Addresses that are missing in route are dialed unchanged.
func NewNetwork(route map[string]string) *Network {
	return &Network{route: route, cut: map[link]bool{}, conns: map[*linkConn]struct{}{}}
}

// Dial returns the function that opens connections for the routers of a region.
func (n *Network) Dial(region string) coordserver.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		path := link{region, address}
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		if n.isCut(path) { // no answer arrives: the attempt times out
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if listening, ok := n.route[address]; ok {
			address = listening
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.add(conn, path), nil
	}
}

func (n *Network) isCut(path link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[path]
}

func (n *Network) add(conn net.Conn, path link) net.Conn {
	c := &linkConn{Conn: conn, network: n, path: path}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

// Cut cuts the links between the routers of a region and the coordinators with these addresses.
func (n *Network) Cut(region string, addresses []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range addresses {
		n.cut[link{region, address}] = true
	}
}

// Heal restores all links and closes the connections that lost data.
func (n *Network) Heal() {
	n.mu.Lock()
	var lostData []*linkConn
	for c := range n.conns {
		if c.lostData {
			lostData = append(lostData, c)
		}
	}
	clear(n.cut)
	n.mu.Unlock()
	for _, c := range lostData {
		c.Close()
	}
}

// linkConn is a connection over one link.
type linkConn struct {
	net.Conn
	network  *Network
	path     link
	lostData bool // data was dropped; guarded by the network's mutex
}

// dropsTraffic reports whether the link is cut now, and if so marks the connection as having lost data.
func (c *linkConn) dropsTraffic() bool {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	dropped := c.network.cut[c.path]
	c.lostData = c.lostData || dropped
	return dropped
}

func (c *linkConn) Write(b []byte) (int, error) {
	if c.dropsTraffic() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropsTraffic() {
			return n, err
		}
	}
}

func (c *linkConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

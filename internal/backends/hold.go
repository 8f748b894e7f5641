package backends

// Hold keeps attempts from being written until Release: each waits as for a connection that is not up, and can be withdrawn.
func (p *Pool) Hold() { p.held = true }

// Release writes the attempts that waited, on the connections that are up.
func (p *Pool) Release() {
	p.held = false
	for _, c := range p.conns {
		if c.up {
			c.writeWaiting()
		}
	}
}

// writeWaiting writes the attempts that waited for the connection, unless all are held.
func (c *conn) writeWaiting() {
	if c.pool.held {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, j := range waiting {
		c.write(j)
	}
}

// Connections is how many connections there are, those that are not up yet among them.
func (p *Pool) Connections() int { return len(p.conns) }

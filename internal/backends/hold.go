package backends

// Hold keeps attempts from being written until Release. Meanwhile they wait as for a connection that is not
// established, and can be withdrawn.
func (p *Pool) Hold() { p.writesHeld = true }

// Release writes the waiting attempts on the established connections.
func (p *Pool) Release() {
	p.writesHeld = false
	for _, c := range p.conns {
		if c.up {
			c.writeWaiting()
		}
	}
}

// writeWaiting writes the attempts that wait for the connection, unless all writes are held.
func (c *conn) writeWaiting() {
	if c.pool.writesHeld {
		return
	}
	waiting := c.waiting
	c.waiting = nil
	for _, j := range waiting {
		c.writeAttempt(j)
	}
}

// Connections returns the number of connections, including those not established yet.
func (p *Pool) Connections() int { return len(p.conns) }

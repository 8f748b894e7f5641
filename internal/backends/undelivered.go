package backends

import "dunereach/admission"

// This file ends connections on which something does not go on: requests that have to have arrived, answers, pages.

// UnstickEvery is how often Unstick is to be called, in seconds.
const UnstickEvery = 0.1

// Unstick drops connections whose requests have to arrive by now and have not: they would arrive some time later. Whether the attempts are
// still out does not matter: bytes of one that was given up arrive as well. And it drops those on which an answer has stopped short, or a
// page does not come. An attempt whose bytes may not leave any more when it is called next is withdrawn.
func (p *Pool) Unstick() {
	for _, c := range p.conns {
		late := c.expire()
		if p.limits.Stall > 0 && !c.broken && c.stopped(p.now-p.limits.Stall) {
			c.bad()
		}
		if c.stuckAt > 0 && p.now >= c.stuckAt {
			c.stuckAt, late = 0, true
		}
		if late && !c.line.Delivered() {
			c.retireFor(Undelivered)
			c.line.Drop()
		} else {
			c.recall()
		}
	}
}

// expire withdraws attempts whose time to leave is over. It tells whether one has left in time and has to have arrived.
func (c *conn) expire() (left bool) {
	for _, j := range c.jobs() {
		if j.LeaveBy == 0 || c.pool.now+UnstickEvery < j.LeaveBy {
			continue
		}
		if c.withdraw(j) {
			c.pool.endLater(j, admission.Moot)
			continue
		}
		j.LeaveBy, left = 0, true
	}
	return left
}

// recall drops a connection whose requests nobody waits for, where they have not arrived from one call to the next: a system may take some
// hundredths of a second to acknowledge. The attempts end as cancelled, since it is not the server's doing.
func (c *conn) recall() {
	const longEnough = 0.9 * UnstickEvery
	now := c.pool.now
	switch {
	case !c.unwanted() || c.line.Delivered():
		c.unwantedAt = 0
	case c.unwantedAt == 0:
		c.unwantedAt = now
	case now-c.unwantedAt >= longEnough:
		c.retireFor(Undelivered)
		c.line.Drop()
		for _, j := range c.jobs() {
			c.pool.endLater(j, admission.Cancelled)
		}
	}
}

// unwanted tells whether the clients of all attempts that are out here have left, or closed their sides.
func (c *conn) unwanted() bool {
	for _, j := range c.out {
		if !j.sent || !j.Unwanted && !j.recalled {
			return false
		}
	}
	return len(c.out) > 0
}

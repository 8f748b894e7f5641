package backends

import "dunereach/admission"

// This file ends connections on which requests, messages or pages stop making progress.

// DropStalledInterval is how often DropStalled is to be called, in seconds.
const DropStalledInterval = 0.1

// DropStalled drops connections whose requests should have been delivered by now and are not, since they would arrive
// some time later. This holds also if the attempts are no longer outstanding, as the bytes of an abandoned attempt
// arrive as well. It also drops connections on which a message is incomplete, or a page does not come, for too long.
// It withdraws attempts whose bytes may not leave any more at the time of its next call.
func (p *Pool) DropStalled() {
	for _, c := range p.conns {
		undelivered := c.withdrawExpired()
		if p.limits.StallTimeout > 0 && !c.unreadable && c.stalledSince(p.now-p.limits.StallTimeout) {
			c.closeUnreadable()
		}
		if c.dropUndeliveredAt > 0 && p.now >= c.dropUndeliveredAt {
			c.dropUndeliveredAt, undelivered = 0, true
		}
		if undelivered && !c.socket.Delivered() {
			c.retireFor(Undelivered)
			c.socket.Drop()
		} else {
			c.dropUnwanted()
		}
	}
}

// withdrawExpired withdraws attempts whose time to leave is over. It reports whether any has left in time, and must
// therefore have arrived.
func (c *conn) withdrawExpired() (haveLeft bool) {
	for _, j := range c.sortedAttempts() {
		if j.LeaveBy == 0 || c.pool.now+DropStalledInterval < j.LeaveBy {
			continue
		}
		if c.withdraw(j) {
			c.pool.endLater(j, admission.Withdrawn)
			continue
		}
		j.LeaveBy, haveLeft = 0, true
	}
	return haveLeft
}

// noteUnwanted records that no client waits for an attempt whose bytes may have left. If they have not arrived within a
// short time, they must not arrive any more.
func (c *conn) noteUnwanted(j *Attempt) {
	if j.unwantedNoted {
		return
	}
	j.unwantedNoted = true
	if c.unwantedEnd = c.socket.BegunOutput(); c.unwantedSince == 0 {
		c.unwantedSince = c.pool.now
	}
}

// dropUnwanted drops a connection on which bytes of an attempt that no client waits for have not arrived for a while: a
// system may take some hundredths of a second to acknowledge them. Those attempts end as cancelled, since the server
// did not cause it. Other attempts on the connection end with it: the path has been stuck for as long.
func (c *conn) dropUnwanted() {
	const minUnwanted = 0.9 * DropStalledInterval
	for _, j := range c.outstanding {
		if j.written && (j.ResultUnwanted || j.withdrawalRequested) {
			c.noteUnwanted(j)
		}
	}
	switch now := c.pool.now; {
	case c.unwantedSince == 0:
	case c.socket.Acknowledged(c.unwantedEnd):
		c.unwantedSince = 0
	case now-c.unwantedSince >= minUnwanted:
		c.unwantedSince = 0
		c.retireFor(Undelivered)
		c.socket.Drop()
		for _, j := range c.sortedAttempts() {
			if j.unwantedNoted {
				c.pool.endLater(j, admission.Cancelled)
			}
		}
	}
}

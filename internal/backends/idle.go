package backends

// closeLongestIdle closes the connection that has been idle longest, to make room for an attempt that found no
// connection. It reports whether another connection may be opened. A closing connection still counts, but a few may
// close at the same time.
func (p *Pool) closeLongestIdle() bool {
	const maxClosing = 4 // of the descriptors held in reserve; a connection without outstanding attempts closes at once
	if len(p.conns) >= p.limits.MaxConns+maxClosing {
		return false
	}
	var longest *conn
	for _, c := range p.conns {
		if c.up && !c.retired && len(c.outstanding) == 0 && (longest == nil || c.usedAt < longest.usedAt) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	longest.retireFor(RoomNeeded)
	longest.finishIfIdle()
	return true
}

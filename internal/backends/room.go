package backends

// makeRoom closes the connection that has rested longest, so that an attempt for which there is none can have one. It reports whether
// another may be opened: one that is closing still counts, but for a few that may go together.
func (p *Pool) makeRoom() bool {
	const together = 4 // of the descriptors held back; a connection with nothing out closes at once
	if len(p.conns) >= p.limits.Conns+together {
		return false
	}
	var longest *conn
	for _, c := range p.conns {
		if c.up && !c.retired && len(c.out) == 0 && (longest == nil || c.usedAt < longest.usedAt) {
			longest = c
		}
	}
	if longest == nil {
		return false
	}
	longest.retireFor(RoomNeeded)
	longest.rest()
	return true
}

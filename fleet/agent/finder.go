package agent

// Finder chooses the coordinator to ask: the last known leader, otherwise one after another.
type Finder struct {
	addrs      []string
	current    int
	leaderHint string
}

// NewFinder returns a finder over the coordinators' addresses, at least one. first is the index to begin with, which spreads
// routers over coordinators.
func NewFinder(addrs []string, first int) *Finder {
	return &Finder{addrs: addrs, current: first % len(addrs)}
}

// Target returns the address to ask now.
func (f *Finder) Target() string {
	if f.leaderHint != "" {
		return f.leaderHint
	}
	return f.addrs[f.current]
}

// Redirect reports that the coordinator asked is not the leader, and the leader's address, "": unknown.
func (f *Finder) Redirect(asked, leader string) {
	if leader != "" && leader != asked {
		f.leaderHint = leader
		return
	}
	f.Failed(asked)
}

// Failed reports that the coordinator asked did not answer.
func (f *Finder) Failed(asked string) {
	if f.leaderHint != "" {
		if f.leaderHint == asked {
			f.leaderHint = ""
		}
		return
	}
	if f.addrs[f.current] == asked {
		f.current = (f.current + 1) % len(f.addrs)
	}
}

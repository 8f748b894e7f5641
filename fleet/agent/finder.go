package agent

// Finder knows which keeper to ask: the one that led last, else one after another.
type Finder struct {
	addrs []string
	at    int
	hint  string
}

// NewFinder over keepers' addresses, one at least, beginning with the one of that number: so that routers spread.
func NewFinder(addrs []string, first int) *Finder {
	return &Finder{addrs: addrs, at: first % len(addrs)}
}

// Target to ask now.
func (f *Finder) Target() string {
	if f.hint != "" {
		return f.hint
	}
	return f.addrs[f.at]
}

// Elsewhere takes the word of the one asked that another leads, "": it doesn't know who.
func (f *Finder) Elsewhere(asked, leader string) {
	if leader != "" && leader != asked {
		f.hint = leader
		return
	}
	f.Failed(asked)
}

// Failed notes that the coordinator asked did not answer.
func (f *Finder) Failed(asked string) {
	if f.hint != "" {
		if f.hint == asked {
			f.hint = ""
		}
		return
	}
	if f.addrs[f.at] == asked {
		f.at = (f.at + 1) % len(f.addrs)
	}
}

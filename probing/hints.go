// Package probing decides what a router does with the result of another router's probe of a suspected server.
//
// One router, the owner of the probing task, probes for all; what it finds is a hint. A hint only moves the time of the probes that
// this router itself makes of a server that it itself suspects: nothing that a faulty owner says makes a server suspected, or
// trusted without a probe. Times are seconds on the caller's clock.
package probing

// Finding is the result of an owner's probe of one start of a server.
type Finding struct {
	Server  uint32  `json:"engine"`
	Start   float64 `json:"start"`
	Healthy bool    `json:"well"` // it answered the last probe
}

// Bounds on the effect of hints.
const (
	findingLifetime = 4.0 // seconds: an owner renews a finding each second, so that three may be lost
	maxPostponement = 8.0 // seconds that own probes are postponed in a row: the delay that a false finding can cause after a recovery
	maxFindings     = 256 // starts of servers that are remembered
)

// Basis is why a router's own probe of a suspected server was due.
type Basis uint8

// The reasons for a probe.
const (
	NoFinding       Basis = iota // nobody has reported on the server: the router's own time counts
	StaleFinding                 // the last finding is too old to count
	DistrustedOwner              // a probe of this router has contradicted the owner
	FoundHealthy                 // the owner reports that it answers
	PostponedLong                // findings have postponed the probe for as long as they may
)

func (b Basis) String() string {
	return [...]string{"no finding", "a stale finding", "a distrusted owner", "found healthy", "postponed long enough"}[b]
}

// serverStart names one start of a server.
type serverStart struct {
	server uint32
	start  float64
}

// finding is what is remembered of the findings on one start of a server.
type finding struct {
	fence           uint64
	healthy         bool
	foundAt         float64 // on this process's clock, at the latest
	distrustedFence uint64  // highest fence whose finding an own probe has contradicted
	postponedSince  float64 // since when own probes are postponed; 0: they are not
	probeUsed       bool    // the early probe that a healthy finding allows has been made
	basis           Basis   // of the next probe
}

// Hints remembers findings. It is not safe for concurrent use.
type Hints struct{ findings map[serverStart]*finding }

// NewHints returns an empty memory.
func NewHints() *Hints { return &Hints{findings: map[serverStart]*finding{}} }

// Receive remembers a finding that an owner published under a fence. age is in seconds, counted from before the finding was
// requested.
func (b *Hints) Receive(now float64, fence uint64, f Finding, age float64) {
	if !(age >= 0) || age > findingLifetime {
		return
	}
	k := serverStart{f.Server, f.Start}
	h := b.findings[k]
	if h == nil {
		if len(b.findings) >= maxFindings {
			b.forget(now)
		}
		if len(b.findings) >= maxFindings {
			return
		}
		h = &finding{}
		b.findings[k] = h
	}
	if fence < h.fence || fence <= h.distrustedFence {
		return
	}
	if fence > h.fence || f.Healthy != h.healthy {
		h.probeUsed = false
	}
	h.fence, h.healthy, h.foundAt = fence, f.Healthy, now-age
}

// forget drops findings that have no effect any more.
func (b *Hints) forget(now float64) {
	for k, h := range b.findings {
		if now-h.foundAt > maxPostponement {
			delete(b.findings, k)
		}
	}
}

// NextProbe returns the time of this router's next probe of a server that it suspects. own is the time without hints.
func (b *Hints) NextProbe(now float64, engine uint32, start, own float64) float64 {
	h := b.findings[serverStart{engine, start}]
	switch {
	case h == nil:
		return own
	case now-h.foundAt > findingLifetime:
		h.basis = StaleFinding
		return own
	case h.fence <= h.distrustedFence:
		h.basis = DistrustedOwner
		return own
	case h.healthy:
		h.basis = FoundHealthy
		if h.postponedSince = 0; h.probeUsed {
			return own
		}
		return min(own, now)
	case now < own:
		return own // not yet due, with or without the finding
	}
	h.basis = PostponedLong
	if h.postponedSince == 0 {
		h.postponedSince = own
	}
	return max(own, min(h.postponedSince+maxPostponement, now+findingLifetime))
}

// Probed reports the result of a probe by this router, and returns why it was due. A success that contradicts the owner's finding ends
// the trust in that owner's findings on this start of the server.
func (b *Hints) Probed(now float64, engine uint32, start float64, well bool) Basis {
	h := b.findings[serverStart{engine, start}]
	if h == nil {
		return NoFinding
	}
	h.postponedSince, h.probeUsed = 0, true
	if now-h.foundAt <= findingLifetime && well != h.healthy && !h.healthy {
		h.distrustedFence = max(h.distrustedFence, h.fence) // the server answers, though the owner reported that it does not
	}
	return h.basis
}

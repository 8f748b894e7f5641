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
	earlyProbeUsed  bool    // the early probe that a healthy finding allows has been made
	basis           Basis   // of the next probe
}

// Hints remembers findings. It is not safe for concurrent use.
type Hints struct{ findings map[serverStart]*finding }

// NewHints returns an empty memory.
func NewHints() *Hints { return &Hints{findings: map[serverStart]*finding{}} }

// Receive remembers a finding that an owner published under a fence. age is in seconds, counted from before the finding was
// requested.
func (h *Hints) Receive(now float64, fence uint64, received Finding, age float64) {
	if !(age >= 0) || age > findingLifetime {
		return
	}
	k := serverStart{received.Server, received.Start}
	known := h.findings[k]
	if known == nil {
		if len(h.findings) >= maxFindings {
			h.dropExpired(now)
		}
		if len(h.findings) >= maxFindings {
			return
		}
		known = &finding{}
		h.findings[k] = known
	}
	if fence < known.fence || fence <= known.distrustedFence {
		return
	}
	if fence > known.fence || received.Healthy != known.healthy {
		known.earlyProbeUsed = false
	}
	known.fence, known.healthy, known.foundAt = fence, received.Healthy, now-age
}

// dropExpired drops findings that have no effect any more.
func (h *Hints) dropExpired(now float64) {
	for k, known := range h.findings {
		if now-known.foundAt > maxPostponement {
			delete(h.findings, k)
		}
	}
}

// NextProbe returns the time of this router's next probe of a server that it suspects. own is the time without hints.
func (h *Hints) NextProbe(now float64, server uint32, start, ownTime float64) float64 {
	known := h.findings[serverStart{server, start}]
	switch {
	case known == nil:
		return ownTime
	case now-known.foundAt > findingLifetime:
		known.basis = StaleFinding
		return ownTime
	case known.fence <= known.distrustedFence:
		known.basis = DistrustedOwner
		return ownTime
	case known.healthy:
		known.basis = FoundHealthy
		if known.postponedSince = 0; known.earlyProbeUsed {
			return ownTime
		}
		return min(ownTime, now)
	case now < ownTime:
		return ownTime // not yet due, with or without the finding
	}
	known.basis = PostponedLong
	if known.postponedSince == 0 {
		known.postponedSince = ownTime
	}
	return max(ownTime, min(known.postponedSince+maxPostponement, now+findingLifetime))
}

// Probed reports the result of a probe by this router, and returns why it was due. A success that contradicts the owner's finding ends
// the trust in that owner's findings on this start of the server.
func (h *Hints) Probed(now float64, server uint32, start float64, answered bool) Basis {
	known := h.findings[serverStart{server, start}]
	if known == nil {
		return NoFinding
	}
	known.postponedSince, known.earlyProbeUsed = 0, true
	if now-known.foundAt <= findingLifetime && answered != known.healthy && !known.healthy {
		known.distrustedFence = max(known.distrustedFence, known.fence) // the server answers, though the owner reported that it does not
	}
	return known.basis
}

// Package probing decides how a router uses the result of another router's probe of a suspected server.
//
// One router, the owner of the probing task, probes on behalf of all routers; its findings are hints. A hint only moves
// the time of the probes that this router itself makes of a server that it itself suspects. A faulty owner can
// therefore not make this router suspect a server, nor trust one without a probe. Times are seconds on the caller's
// clock.
package probing

// Finding is the result of the owner's last probe of one start of a server.
type Finding struct {
	Server  uint32  `json:"engine"`
	Start   float64 `json:"start"`
	Healthy bool    `json:"well"` // the server answered the probe
}

// Bounds on the effect of hints.
const (
	findingLifetime = 4.0 // seconds: an owner renews a finding every second, so that three in a row may be lost
	maxPostponement = 8.0 // seconds: longest postponement of own probes, so false findings delay a recovery by this much
	maxFindings     = 256 // starts of servers for which findings are stored
)

// ProbeReason is the reason why a router's own probe of a suspected server was due.
type ProbeReason uint8

// The reasons for a probe.
const (
	NoFinding        ProbeReason = iota // there is no finding on the server, so the router's own time applied
	StaleFinding                        // the last finding has expired
	DistrustedOwner                     // a probe by this router has contradicted the owner
	FoundHealthy                        // the owner reports that the server answers
	PostponedToLimit                    // findings have postponed the probe for the maximum time
)

func (b ProbeReason) String() string {
	return [...]string{"no finding", "a stale finding", "a distrusted owner", "found healthy", "postponed long enough"}[b]
}

// serverStart identifies one start of a server.
type serverStart struct {
	server uint32
	start  float64
}

// finding is the state of the findings on one start of a server.
type finding struct {
	fence           uint64      // of the last finding
	healthy         bool        // result of the last finding
	foundAt         float64     // latest possible time of the last finding, on this process's clock
	distrustedFence uint64      // highest fence whose finding an own probe has contradicted
	postponedSince  float64     // time from which own probes are postponed; 0: they are not
	earlyProbeUsed  bool        // the early probe that a healthy finding allows has been made
	reason          ProbeReason // reason for the next probe
}

// Hints stores the findings that a router has received. It is not safe for concurrent use.
type Hints struct{ findings map[serverStart]*finding }

// NewHints returns Hints without findings.
func NewHints() *Hints { return &Hints{findings: map[serverStart]*finding{}} }

// Receive stores a finding that an owner published under a fence. age is the finding's age in seconds, counted from
// before it was requested.
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

// dropExpired drops findings that no longer have an effect.
func (h *Hints) dropExpired(now float64) {
	for k, known := range h.findings {
		if now-known.foundAt > maxPostponement {
			delete(h.findings, k)
		}
	}
}

// NextProbe returns the time of this router's next probe of a server that it suspects. ownTime is the time of this
// probe without findings.
func (h *Hints) NextProbe(now float64, server uint32, start, ownTime float64) float64 {
	known := h.findings[serverStart{server, start}]
	switch {
	case known == nil:
		return ownTime
	case now-known.foundAt > findingLifetime:
		known.reason = StaleFinding
		return ownTime
	case known.fence <= known.distrustedFence:
		known.reason = DistrustedOwner
		return ownTime
	case known.healthy:
		known.reason = FoundHealthy
		if known.postponedSince = 0; known.earlyProbeUsed {
			return ownTime
		}
		return min(ownTime, now)
	case now < ownTime:
		return ownTime // the probe is not yet due even without the finding
	}
	known.reason = PostponedToLimit
	if known.postponedSince == 0 {
		known.postponedSince = ownTime
	}
	return max(ownTime, min(known.postponedSince+maxPostponement, now+findingLifetime))
}

// ProbeEnded processes the result of a probe by this router, and returns why the probe was due. If the server answered
// although the owner reported that it does not, this owner's findings on this start of the server are no longer
// trusted.
func (h *Hints) ProbeEnded(now float64, server uint32, start float64, answered bool) ProbeReason {
	known := h.findings[serverStart{server, start}]
	if known == nil {
		return NoFinding
	}
	known.postponedSince, known.earlyProbeUsed = 0, true
	if now-known.foundAt <= findingLifetime && answered != known.healthy && !known.healthy {
		known.distrustedFence = max(known.distrustedFence, known.fence)
	}
	return known.reason
}

package expect

// This file checks one hold of an expectation, at each event and at the end.

import (
	"cmp"
	"fmt"
	"math"

	"dunereach/emulator/cluster"
)

// hold is one hold of an expectation with its results so far.
type hold struct {
	Hold
	path              string
	when, that        program
	then              program
	tested, satisfied int
	minSlack          float64 // smallest time to spare, in seconds
	openSince         map[uint64]float64
	firstViolation    string
}

// observe checks the hold at an event. It returns how the event violates the hold, "" if it does not.
func (h *hold) observe(m *cluster.Observation, values map[string]any) (violation string, err error) {
	isOn := func(name string) bool { return m.Kind.String() == name }
	switch {
	case h.Never != nil && isOn(h.Never.On):
		return h.checkRule(values, false, "the condition is met")
	case h.Always != nil && isOn(h.Always.On):
		return h.checkRule(values, true, "the condition is not met")
	case h.AtLeast != nil && isOn(h.AtLeast.On):
		matches, err := h.when.matches(values)
		if !matches || err != nil {
			return "", err
		}
		h.tested++
		if matches, err = h.that.matches(values); matches {
			h.satisfied++
		} else if h.firstViolation == "" {
			h.firstViolation = fmt.Sprintf("first event that did not meet the condition at %.3f s", m.Now)
		}
		return "", err
	case h.Within != nil && m.Request != nil:
		client := m.Request.RequestKey<<8 | uint64(m.Request.ClientRequest&0xff)
		if isOn(h.Within.Then) {
			if from, ok := h.openSince[client]; ok {
				matches, err := h.then.matches(values)
				if err != nil {
					return "", err
				}
				if took := m.Now - from; matches {
					delete(h.openSince, client)
					if h.minSlack = min(h.minSlack, h.Within.Seconds-took); took <= h.Within.Seconds {
						h.satisfied++
					} else if violation := h.lateViolation(took); violation != "" {
						return violation, nil
					}
				}
			}
		}
		if isOn(h.Within.On) {
			matches, err := h.when.matches(values)
			if matches {
				h.tested++
				h.openSince[client] = m.Now
			}
			return "", err
		}
		if m.Kind == cluster.RequestFinished { // the request has ended: the awaited event can no longer occur
			if from, ok := h.openSince[client]; ok {
				delete(h.openSince, client)
				return h.lateViolation(m.Now - from), nil
			}
		}
	}
	return "", nil
}

// lateViolation returns the violation by an event that came late, "" if the hold tolerates a share of them.
func (h *hold) lateViolation(took float64) string {
	if h.Within.Share == 0 || h.Within.Share == 1 {
		return fmt.Sprintf("%.3f s, at most %v s allowed", took, h.Within.Seconds)
	}
	return ""
}

// checkRule checks that the rule evaluates to want at events that meet its condition.
func (h *hold) checkRule(values map[string]any, want bool, violation string) (string, error) {
	matches, err := h.when.matches(values)
	if !matches || err != nil {
		return "", err
	}
	h.tested++
	if matches, err = h.that.matches(values); err != nil || matches == want {
		return "", err
	}
	return violation, nil
}

// finalViolation checks the holds on shares, which can only be checked at the end.
func (h *hold) finalViolation() string {
	share := 0.0
	switch {
	case h.AtLeast != nil:
		share = h.AtLeast.Share
	case h.Within != nil:
		share = cmp.Or(h.Within.Share, 1)
		h.tested -= len(h.openSince) // requests that have not ended are not counted
	}
	if h.tested > 0 && float64(h.satisfied) < share*float64(h.tested) && (h.AtLeast != nil || h.Within != nil) {
		return fmt.Sprintf("%d of %d events, %.4f, less than %v", h.satisfied, h.tested, float64(h.satisfied)/float64(h.tested), share)
	}
	return ""
}

// margin returns the share above the required share or the smallest time to spare; 1 if neither applies.
func (h *hold) margin() float64 {
	switch {
	case h.tested == 0:
		return 1
	case h.AtLeast != nil:
		return float64(h.satisfied)/float64(h.tested) - h.AtLeast.Share
	case h.Within != nil && h.Within.Share > 0 && h.Within.Share < 1:
		return float64(h.satisfied)/float64(h.tested) - h.Within.Share
	case h.Within != nil && !math.IsInf(h.minSlack, 1):
		return h.minSlack
	}
	return 1
}

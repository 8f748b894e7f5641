package expect

// This file judges one condition of an expectation, moment by moment and at the end.

import (
	"cmp"
	"fmt"
	"math"

	"dunereach/emulator/cluster"
)

// hold is one condition with what has been seen of it.
type hold struct {
	Hold
	place      string
	when, that program
	then       program
	n, good    int
	least      float64 // seconds to spare
	open       map[uint64]float64
	worst      string
}

// see takes a moment in; why tells how it broke the hold.
func (h *hold) see(m *cluster.Moment, values map[string]any) (why string, err error) {
	on := func(name string) bool { return m.On.String() == name }
	switch {
	case h.Never != nil && on(h.Never.On):
		return h.rule(values, false, "it is so")
	case h.Always != nil && on(h.Always.On):
		return h.rule(values, true, "it is not so")
	case h.AtLeast != nil && on(h.AtLeast.On):
		is, err := h.when.is(values)
		if !is || err != nil {
			return "", err
		}
		h.n++
		if is, err = h.that.is(values); is {
			h.good++
		} else if h.worst == "" {
			h.worst = fmt.Sprintf("the first that was not so at %.3f s", m.Now)
		}
		return "", err
	case h.Within != nil && m.Try != nil:
		client := m.Try.Mark<<8 | uint64(m.Try.Number&0xff)
		if on(h.Within.Then) {
			if from, ok := h.open[client]; ok {
				is, err := h.then.is(values)
				if err != nil {
					return "", err
				}
				if took := m.Now - from; is {
					delete(h.open, client)
					if h.least = min(h.least, h.Within.Seconds-took); took <= h.Within.Seconds {
						h.good++
					} else if why := h.late(took); why != "" {
						return why, nil
					}
				}
			}
		}
		if on(h.Within.On) {
			is, err := h.when.is(values)
			if is {
				h.n++
				h.open[client] = m.Now
			}
			return "", err
		}
		if m.On == cluster.Final { // nothing comes of it any more
			if from, ok := h.open[client]; ok {
				delete(h.open, client)
				return h.late(m.Now - from), nil
			}
		}
	}
	return "", nil
}

func (h *hold) late(took float64) string {
	if h.Within.Share == 0 || h.Within.Share == 1 {
		return fmt.Sprintf("%.3f s, of %v at most", took, h.Within.Seconds)
	}
	return ""
}

func (h *hold) rule(values map[string]any, want bool, why string) (string, error) {
	is, err := h.when.is(values)
	if !is || err != nil {
		return "", err
	}
	h.n++
	if is, err = h.that.is(values); err != nil || is == want {
		return "", err
	}
	return why, nil
}

// over judges what only shows at the end.
func (h *hold) over() string {
	share := 0.0
	switch {
	case h.AtLeast != nil:
		share = h.AtLeast.Share
	case h.Within != nil:
		share = cmp.Or(h.Within.Share, 1)
		h.n -= len(h.open) // still under way
	}
	if h.n > 0 && float64(h.good) < share*float64(h.n) && (h.AtLeast != nil || h.Within != nil) {
		return fmt.Sprintf("%d of %d, %.4f, under %v", h.good, h.n, float64(h.good)/float64(h.n), share)
	}
	return ""
}

func (h *hold) margin() float64 {
	switch {
	case h.n == 0:
		return 1
	case h.AtLeast != nil:
		return float64(h.good)/float64(h.n) - h.AtLeast.Share
	case h.Within != nil && h.Within.Share > 0 && h.Within.Share < 1:
		return float64(h.good)/float64(h.n) - h.Within.Share
	case h.Within != nil && !math.IsInf(h.least, 1):
		return h.least
	}
	return 1
}

package allocation

import (
	"errors"
	"math"
)

// Holder is a member's account of one quota. It is not safe for concurrent use.
type Holder struct {
	terms             Terms
	fence             uint64 // highest received
	round             uint64 // last announced under it
	relinquishedUntil float64
	sent              [16]sentTag // the latest, by tag
	tag               uint64
	appliedTag        uint64 // of the last grant that counts
	share             float64
	until             float64
}

// sentTag is when the relinquishment of a tag was sent.
type sentTag struct {
	tag uint64
	at  float64
}

// NewHolder returns the account of a process that began at the given time. clean: no earlier process of its name can have
// relinquished anything; else the equal share is not used until that would be over.
func NewHolder(t Terms, began float64, clean bool) *Holder {
	h := &Holder{terms: t, relinquishedUntil: math.Inf(-1), until: math.Inf(-1)}
	if !clean {
		h.relinquishedUntil = began + t.Longest()
	}
	return h
}

// Why a grant does not count.
var (
	ErrStaleFence  = errors.New("a deal under an old fence")
	ErrExpired     = errors.New("a deal whose life is over")
	ErrUnsolicited = errors.New("a deal that answers no pledge of this process")
	ErrBadShare    = errors.New("a deal whose part is none")
)

// Receive takes an owner's grant, or returns why it does not count. A higher fence is a new owner's, who grants only when no grant
// of the last one is in use.
func (h *Holder) Receive(now float64, d Grant) error {
	switch {
	case d.Fence < h.fence:
		return ErrStaleFence
	case d.Fence > h.fence:
		h.fence, h.round = d.Fence, 0
	}
	h.round = max(h.round, d.Round)
	if d.Tag == 0 {
		return nil
	}
	a := h.sent[d.Tag%uint64(len(h.sent))]
	switch {
	case a.tag != d.Tag:
		return ErrUnsolicited
	case !(d.Share >= 0 && d.Share <= 1) || !(d.Lifetime >= 0):
		return ErrBadShare
	case d.Tag <= h.appliedTag:
		return nil // a newer grant counts
	}
	until := a.at + h.terms.shortest(min(d.Lifetime, h.terms.GrantLifetime))
	if until <= now {
		return ErrExpired
	}
	h.appliedTag, h.share, h.until = d.Tag, d.Share, until
	return nil
}

// Relinquish gives the equal share up and returns the message that says so; ok is false where no round was announced. The share
// counts as relinquished from now on, whether or not the message arrives.
func (h *Holder) Relinquish(now, need, least float64) (p Relinquishment, ok bool) {
	if h.round == 0 {
		return p, false
	}
	h.tag++
	h.sent[h.tag%uint64(len(h.sent))] = sentTag{h.tag, now}
	h.relinquishedUntil = max(h.relinquishedUntil, now+h.terms.RelinquishFor)
	return Relinquishment{Fence: h.fence, Round: h.round, Tag: h.tag, Need: need, Least: least, Members: h.terms.Members, Duration: h.terms.RelinquishFor}, true
}

// Share returns the share that may be used now. ok is false where nothing is relinquished: the equal share.
func (h *Holder) Share(now float64) (part float64, ok bool) {
	switch {
	case now < h.until:
		return h.share, true
	case now < h.relinquishedUntil:
		return 0, true
	}
	return 0, false
}

// RelinquishUntil gives the equal share up until then at least: another process of this name may have relinquished it.
func (h *Holder) RelinquishUntil(until float64) {
	h.relinquishedUntil = max(h.relinquishedUntil, until)
}

// RelinquishedUntil returns until when the equal share is relinquished.
func (h *Holder) RelinquishedUntil() float64 { return h.relinquishedUntil }

// Terms sets the terms that the coordinators use.
func (h *Holder) Terms(t Terms) { h.terms = t }

// Round returns the last round announced under the highest fence, or 0.
func (h *Holder) Round() uint64 { return h.round }

// Until returns when the last granted share ends.
func (h *Holder) Until() float64 { return h.until }

// Fence returns the highest fence received.
func (h *Holder) Fence() uint64 { return h.fence }

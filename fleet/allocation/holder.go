package allocation

import (
	"errors"
	"math"
)

// Holder is a member's account of one quota. It is not safe for concurrent use.
type Holder struct {
	terms             Terms
	highestFence      uint64 // highest received
	lastRound         uint64 // last announced under it
	relinquishedUntil float64
	sentTags          [16]sentTag // the latest, by tag
	lastTag           uint64
	appliedTag        uint64 // of the last grant that counts
	share             float64
	shareUntil        float64
}

// sentTag is when the relinquishment of a tag was sent.
type sentTag struct {
	tag uint64
	at  float64
}

// NewHolder returns the account of a process that began at the given time. clean: no earlier process of its name can have
// relinquished anything; else the equal share is not used until that would be over.
func NewHolder(t Terms, startedAt float64, cleanStart bool) *Holder {
	h := &Holder{terms: t, relinquishedUntil: math.Inf(-1), shareUntil: math.Inf(-1)}
	if !cleanStart {
		h.relinquishedUntil = startedAt + t.Longest()
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
func (h *Holder) Receive(now float64, grant Grant) error {
	switch {
	case grant.Fence < h.highestFence:
		return ErrStaleFence
	case grant.Fence > h.highestFence:
		h.highestFence, h.lastRound = grant.Fence, 0
	}
	h.lastRound = max(h.lastRound, grant.Round)
	if grant.Tag == 0 {
		return nil
	}
	sent := h.sentTags[grant.Tag%uint64(len(h.sentTags))]
	switch {
	case sent.tag != grant.Tag:
		return ErrUnsolicited
	case !(grant.Share >= 0 && grant.Share <= 1) || !(grant.Lifetime >= 0):
		return ErrBadShare
	case grant.Tag <= h.appliedTag:
		return nil // a newer grant counts
	}
	shareUntil := sent.at + h.terms.shortest(min(grant.Lifetime, h.terms.GrantLifetime))
	if shareUntil <= now {
		return ErrExpired
	}
	h.appliedTag, h.share, h.shareUntil = grant.Tag, grant.Share, shareUntil
	return nil
}

// Relinquish gives the equal share up and returns the message that says so; ok is false where no round was announced. The share
// counts as relinquished from now on, whether or not the message arrives.
func (h *Holder) Relinquish(now, need, least float64) (msg Relinquishment, ok bool) {
	if h.lastRound == 0 {
		return msg, false
	}
	h.lastTag++
	h.sentTags[h.lastTag%uint64(len(h.sentTags))] = sentTag{h.lastTag, now}
	h.relinquishedUntil = max(h.relinquishedUntil, now+h.terms.RelinquishFor)
	return Relinquishment{Fence: h.highestFence, Round: h.lastRound, Tag: h.lastTag, Need: need, Least: least, Members: h.terms.Members, Duration: h.terms.RelinquishFor}, true
}

// Share returns the share that may be used now. ok is false where nothing is relinquished: the equal share.
func (h *Holder) Share(now float64) (fraction float64, ok bool) {
	switch {
	case now < h.shareUntil:
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
func (h *Holder) Round() uint64 { return h.lastRound }

// Until returns when the last granted share ends.
func (h *Holder) Until() float64 { return h.shareUntil }

// Fence returns the highest fence received.
func (h *Holder) Fence() uint64 { return h.highestFence }

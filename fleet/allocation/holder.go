package allocation

import (
	"errors"
	"math"
)

// Holder tracks a member's share of one quota. It is not safe for concurrent use.
type Holder struct {
	terms             Terms
	highestFence      uint64 // highest fence received
	lastRound         uint64 // last round announced under highestFence
	relinquishedUntil float64
	sentTags          [16]sentTag // the latest relinquishments; the index is the tag modulo the length
	lastTag           uint64
	appliedTag        uint64 // tag of the last accepted grant
	share             float64
	shareUntil        float64
}

// sentTag is the tag of a relinquishment and the time at which it was sent.
type sentTag struct {
	tag uint64
	at  float64
}

// NewHolder returns the state of a process that started at startedAt. cleanStart means that no earlier process of the same name can
// have relinquished anything. Otherwise the equal share is not used until any such relinquishment has expired.
func NewHolder(t Terms, startedAt float64, cleanStart bool) *Holder {
	h := &Holder{terms: t, relinquishedUntil: math.Inf(-1), shareUntil: math.Inf(-1)}
	if !cleanStart {
		h.relinquishedUntil = startedAt + t.LongestRelinquishment()
	}
	return h
}

// Reasons for which Receive ignores a grant.
var (
	ErrStaleFence  = errors.New("the grant has a stale fence")
	ErrExpired     = errors.New("the grant has expired")
	ErrUnsolicited = errors.New("the grant answers no relinquishment of this process")
	ErrBadShare    = errors.New("the share or the lifetime of the grant is invalid")
)

// Receive applies an owner's grant, or returns the reason for which it is ignored. A higher fence belongs to a new owner, which makes
// grants only after all grants of the previous owner have expired.
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
		return nil // a newer grant has been applied
	}
	shareUntil := sent.at + h.terms.shortest(min(grant.Lifetime, h.terms.GrantLifetime))
	if shareUntil <= now {
		return ErrExpired
	}
	h.appliedTag, h.share, h.shareUntil = grant.Tag, grant.Share, shareUntil
	return nil
}

// Relinquish gives up the equal share and returns the message to send to the owner. ok is false if no round was announced. The share
// is relinquished from now on, whether or not the message arrives.
func (h *Holder) Relinquish(now, need, least float64) (msg Relinquishment, ok bool) {
	if h.lastRound == 0 {
		return msg, false
	}
	h.lastTag++
	h.sentTags[h.lastTag%uint64(len(h.sentTags))] = sentTag{h.lastTag, now}
	h.relinquishedUntil = max(h.relinquishedUntil, now+h.terms.RelinquishDuration)
	return Relinquishment{Fence: h.highestFence, Round: h.lastRound, Tag: h.lastTag, Need: need, MinUseful: least, Members: h.terms.Members, Duration: h.terms.RelinquishDuration}, true
}

// Share returns the share that may be used now. ok is false if the equal share is not relinquished; the member then uses that one.
func (h *Holder) Share(now float64) (fraction float64, ok bool) {
	switch {
	case now < h.shareUntil:
		return h.share, true
	case now < h.relinquishedUntil:
		return 0, true
	}
	return 0, false
}

// ExtendRelinquishment relinquishes the equal share at least until the given time, since another process of this name may have
// relinquished it.
func (h *Holder) ExtendRelinquishment(until float64) {
	h.relinquishedUntil = max(h.relinquishedUntil, until)
}

// RelinquishedUntil returns the time until which the equal share is relinquished.
func (h *Holder) RelinquishedUntil() float64 { return h.relinquishedUntil }

// SetTerms sets the terms that the coordinators use.
func (h *Holder) SetTerms(t Terms) { h.terms = t }

// LastRound returns the last round announced under the highest fence, or 0.
func (h *Holder) LastRound() uint64 { return h.lastRound }

// ShareUntil returns the time at which the last granted share expires.
func (h *Holder) ShareUntil() float64 { return h.shareUntil }

// HighestFence returns the highest fence received.
func (h *Holder) HighestFence() uint64 { return h.highestFence }

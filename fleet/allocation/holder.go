package allocation

import (
	"errors"
	"math"
)

// Holder is a member's account of one whole. One owner's goroutine has it.
type Holder struct {
	terms   Terms
	fence   uint64 // highest heard
	round   uint64 // last heard under it
	pledged float64
	asks    [16]ask // of late, by tag
	tag     uint64
	taken   uint64 // tag of the last deal that counts
	part    float64
	until   float64
}

type ask struct {
	tag  uint64
	sent float64
}

// NewHolder of a process that began at that time. clean: no earlier process of its name can have pledged; else it lays its equal
// part down until what that one may have pledged is over.
func NewHolder(t Terms, began float64, clean bool) *Holder {
	h := &Holder{terms: t, pledged: math.Inf(-1), until: math.Inf(-1)}
	if !clean {
		h.pledged = began + t.Longest()
	}
	return h
}

// Why a deal does not count.
var (
	ErrOld     = errors.New("a deal under an old fence")
	ErrLate    = errors.New("a deal whose life is over")
	ErrUnasked = errors.New("a deal that answers no pledge of this process")
	ErrPart    = errors.New("a deal whose part is none")
)

// Hear takes an owner's word. Under a higher fence it is a new owner's, who deals only when nothing of the last one's lives.
func (h *Holder) Hear(now float64, d Deal) error {
	switch {
	case d.Fence < h.fence:
		return ErrOld
	case d.Fence > h.fence:
		h.fence, h.round = d.Fence, 0
	}
	h.round = max(h.round, d.Round)
	if d.Tag == 0 {
		return nil
	}
	a := h.asks[d.Tag%uint64(len(h.asks))]
	switch {
	case a.tag != d.Tag:
		return ErrUnasked
	case !(d.Part >= 0 && d.Part <= 1) || !(d.Life >= 0):
		return ErrPart
	case d.Tag <= h.taken:
		return nil // a newer one counts
	}
	until := a.sent + h.terms.least(min(d.Life, h.terms.Life))
	if until <= now {
		return ErrLate
	}
	h.taken, h.part, h.until = d.Tag, d.Part, until
	return nil
}

// Pledge lays the equal part down and gives the word for it; ok is false where no round was heard of. The part counts as laid
// down from now on, whatever becomes of the word.
func (h *Holder) Pledge(now, need, least float64) (p Pledge, ok bool) {
	if h.round == 0 {
		return p, false
	}
	h.tag++
	h.asks[h.tag%uint64(len(h.asks))] = ask{h.tag, now}
	h.pledged = max(h.pledged, now+h.terms.Pledge)
	return Pledge{Fence: h.fence, Round: h.round, Tag: h.tag, Need: need, Least: least, Members: h.terms.Members, Lays: h.terms.Pledge}, true
}

// Part of the whole that may be used now. ok is false where nothing was pledged: the equal part.
func (h *Holder) Part(now float64) (part float64, ok bool) {
	switch {
	case now < h.until:
		return h.part, true
	case now < h.pledged:
		return 0, true
	}
	return 0, false
}

// Stay lays the equal part down until then at least: another process of this name may have pledged until now.
func (h *Holder) Stay(until float64) { h.pledged = max(h.pledged, until) }

// Pledged is until when the equal part is laid down.
func (h *Holder) Pledged() float64 { return h.pledged }

// Terms as the keepers have them.
func (h *Holder) Terms(t Terms) { h.terms = t }

// Round that was last heard of under the highest fence, 0: none.
func (h *Holder) Round() uint64 { return h.round }

// Until is when the part that was dealt last may be used no more.
func (h *Holder) Until() float64 { return h.until }

// Fence is the highest that was heard.
func (h *Holder) Fence() uint64 { return h.fence }

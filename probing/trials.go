// Package probing decides what a router makes of another's finding on an engine. One router tries a suspected engine for all;
// what it finds is a hint. A hint only moves the time of the trials that this router makes itself of an engine that it doubts
// itself: nothing a lying or mistaken owner says makes an engine doubted, or trusted without a trial.
package probing

// Finding is what an owner found of one start of an engine.
type Finding struct {
	Engine uint32  `json:"engine"`
	Start  float64 `json:"start"`
	Well   bool    `json:"well"` // it answered of late; else it does not
}

// Bounds on what hints do.
const (
	fresh   = 4.0 // seconds that a finding counts, from when it was found: an owner renews it each second
	longest = 8.0 // seconds that own trials are put off in a row: what a lie can cost after a recovery
	most    = 256 // engines that are remembered
)

type key struct {
	engine uint32
	start  float64
}

type heard struct {
	fence  uint64
	well   bool
	at     float64 // when it was found, on this process's clock, at the latest
	lied   uint64  // highest fence whose findings an own trial has shown wrong
	putOff float64 // since when own trials are being put off, 0: they are not
	spent  bool    // the trial that "well" allows has been made
}

// Book is one router's memory of findings.
type Book struct{ by map[key]*heard }

func NewBook() *Book { return &Book{by: map[key]*heard{}} }

// Hear takes a finding under a fence, with its age when it was sent for.
func (b *Book) Hear(now float64, fence uint64, f Finding, age float64) {
	if !(age >= 0) || age > fresh {
		return
	}
	k := key{f.Engine, f.Start}
	h := b.by[k]
	if h == nil {
		if len(b.by) >= most {
			b.forget(now)
		}
		if len(b.by) >= most {
			return
		}
		h = &heard{}
		b.by[k] = h
	}
	if fence < h.fence || fence <= h.lied {
		return
	}
	if fence > h.fence || f.Well != h.well {
		h.spent = false
	}
	h.fence, h.well, h.at = fence, f.Well, now-age
}

func (b *Book) forget(now float64) {
	for k, h := range b.by {
		if now-h.at > longest {
			delete(b.by, k)
		}
	}
}

// At moves the time of this router's next trial of an engine that it doubts.
func (b *Book) At(now float64, engine uint32, start, own float64) float64 {
	h := b.by[key{engine, start}]
	if h == nil || now-h.at > fresh || h.fence <= h.lied {
		return own
	}
	if h.well {
		if h.putOff = 0; h.spent {
			return own
		}
		return min(own, now)
	}
	if now < own {
		return own // not due anyway
	}
	if h.putOff == 0 {
		h.putOff = own
	}
	return max(own, min(h.putOff+longest, now+fresh))
}

// Tried tells how a trial of this router's own went. One that contradicts what is said to be found ends the trust in that owner
// on this engine's start.
func (b *Book) Tried(now float64, engine uint32, start float64, well bool) {
	h := b.by[key{engine, start}]
	if h == nil {
		return
	}
	h.putOff, h.spent = 0, true
	if now-h.at <= fresh && well != h.well && !h.well {
		h.lied = max(h.lied, h.fence) // it answers, though it is said not to
	}
}

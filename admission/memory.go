package admission

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"dunereach/warmstart"
)

// This file gives what the module has learned to a process that comes after it, and takes what an earlier one knew. It decides
// nothing: what is believed, and with what weight, package memory has decided. Without Settings.Memory nothing changes.

// Fingerprints of profiles: what was learned under other settings says nothing.
func Fingerprints(profiles []Profile) (all []uint64) {
	for _, p := range profiles {
		h := fnv.New64a()
		put := func(x uint64) { h.Write(binary.LittleEndian.AppendUint64(nil, x)) }
		for _, x := range []float64{p.Target, p.Stretch, p.Benefit, p.Window} {
			put(math.Float64bits(x))
		}
		put(uint64(p.Effect)<<8 | uint64(p.Group))
		put(uint64(max(p.Threads, 1)))
		if p.Ordered {
			put(1)
		}
		for _, places := range [][]int{p.Zones, p.Kinds} {
			put(uint64(len(places)))
			for _, x := range places {
				put(uint64(x))
			}
		}
		all = append(all, h.Sum64())
	}
	return all
}

// Rates at which tenants' buckets fill.
func (s Settings) Rates() (all []float64) {
	for _, t := range s.Tenants {
		all = append(all, t.QuotaPerS/float64(max(s.Routers, 1)))
	}
	return all
}

// Knows is what this process knows now. Engines' starts are by the module's clock: the caller moves them to one that lasts.
func (b *Brain) Knows() (k warmstart.Knowledge) {
	prints := Fingerprints(b.set.Profiles)
	for n := range b.prof {
		p := &b.prof[n]
		t := warmstart.Times{Sum: p.read.sum, Counts: append([]float64(nil), p.read.counts...)}
		k.Profiles = append(k.Profiles, warmstart.Profile{Settings: prints[n], Work: p.work, Seen: p.seen, Hinted: p.hinted, Worked: p.worked, Slow: p.slow, Times: t})
	}
	for n := range b.engines {
		if e := &b.engines[n]; e.State == Ready && (e.ill || b.slowOf(e) > 1.05) {
			k.Engines = append(k.Engines, warmstart.Server{ID: e.Engine, Start: e.ReadyAt, Slow: b.slowOf(e), Fails: e.fails, Ill: e.ill, Pause: e.pause})
		}
	}
	rates := b.set.Rates()
	for n := range b.tenants {
		left := b.tenants[n].left + (b.now-b.tenants[n].at)*rates[n]
		if math.IsInf(left, 0) || left > 1e9 {
			left = 1e9 // never asked for: a full bucket
		}
		k.Tenants = append(k.Tenants, warmstart.Tenant{Left: left, Rate: rates[n]})
	}
	if k.Pace, k.Asked, k.Span = b.pace, b.asked, b.span; !math.IsInf(b.cut, 1) {
		k.Cut = b.cut
	}
	return k
}

// remember starts with what is believed.
func (b *Brain) remember() {
	m := b.set.Memory
	if m == nil {
		return
	}
	for n := range b.prof {
		if n >= len(m.Profiles) {
			break
		}
		p, was := &b.prof[n], &m.Profiles[n]
		if was.Seen > 0 {
			p.work, p.seen, p.hinted, p.worked, p.slow = was.Work, was.Seen, was.Hinted, was.Worked, max(was.Slow, 1)
		}
		if len(was.Times.Counts) == len(p.read.counts) {
			t := histogram{low: p.read.low, logRatio: p.read.logRatio, counts: was.Times.Counts, n: was.Times.N(), sum: was.Times.Sum}
			p.read.copyScaled(&t, 1)
			p.fill.copyScaled(&t, 1)
		}
	}
	for n := range b.tenants {
		if n < len(m.Tenants) {
			b.tenants[n].left = m.Tenants[n].Left
		}
	}
	b.pace, b.asked, b.span = max(m.Pace, 1), m.Asked, m.Span
	if m.Cut > 0 {
		b.cut = m.Cut
	}
}

// recall what is believed of an engine that the list names for the first time: of the same start alone.
func (b *Brain) recall(e *engine) {
	if b.set.Memory == nil {
		return
	}
	for _, was := range b.set.Memory.Engines {
		if was.ID != e.Engine || math.Abs(was.Start-e.ReadyAt) > 0.05 { // seconds: starts are told in milliseconds
			continue
		}
		if e.slow, e.slowAt, e.fails = max(was.Slow, 1), b.now, was.Fails; was.Ill {
			// Its trial is drawn within the pause, or all routers of a rolling restart would try it at once.
			e.ill, e.pause = true, max(was.Pause, 0.5)
			e.trialAt = b.now + e.pause*b.rnd.float()
		}
	}
}

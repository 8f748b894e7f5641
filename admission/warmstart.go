package admission

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"dunereach/warmstart"
)

// This file passes on what the controller has learned to the next process, and restores what an earlier process knew.
// It decides nothing: package warmstart decides which values are trusted, and with what weight. Without Settings.Memory
// nothing changes.

// Fingerprints of profiles: values that were learned with other settings are void.
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

// TenantRates returns the rates at which the tenants' token buckets refill.
func (s Settings) TenantRates() (all []float64) {
	for _, t := range s.Tenants {
		all = append(all, t.QuotaPerS/float64(max(s.Routers, 1)))
	}
	return all
}

// Learned returns what this process knows now. Start times of servers are on the controller's clock; the caller
// converts them to a clock that outlives the process.
func (b *Controller) Learned() (k warmstart.Knowledge) {
	fingerprints := Fingerprints(b.config.Profiles)
	for n := range b.profiles {
		p := &b.profiles[n]
		t := warmstart.Times{Sum: p.current.sum, Counts: append([]float64(nil), p.current.counts...)}
		k.Profiles = append(k.Profiles, warmstart.Profile{Settings: fingerprints[n], Work: p.work, Seen: p.samples, Hinted: p.estimatedWork, Worked: p.measuredWork, Slow: p.slowdown, Times: t})
	}
	for n := range b.servers {
		if e := &b.servers[n]; e.State == Ready && (e.unhealthy || b.slowdownOf(e) > 1.05) {
			k.Engines = append(k.Engines, warmstart.Server{ID: e.Server, Start: e.ReadyAt, Slow: b.slowdownOf(e), Fails: e.failureRate, Ill: e.unhealthy, Pause: e.probeInterval})
		}
	}
	rates := b.config.TenantRates()
	for n := range b.tenants {
		tokens := b.tenants[n].tokens + (b.now-b.tenants[n].refilledAt)*rates[n]
		if math.IsInf(tokens, 0) || tokens > 1e9 {
			tokens = 1e9 // no request yet: a full bucket
		}
		k.Tenants = append(k.Tenants, warmstart.Tenant{Left: tokens, Rate: rates[n]})
	}
	if k.Pace, k.Asked, k.Span = b.averageSlowdown, b.admittedWork, b.admittedSeconds; !math.IsInf(b.cutoffPrice, 1) {
		k.Cut = b.cutoffPrice
	}
	return k
}

// restoreBeliefs starts with the values that are trusted from an earlier process.
func (b *Controller) restoreBeliefs() {
	m := b.config.Memory
	if m == nil {
		return
	}
	for n := range b.profiles {
		if n >= len(m.Profiles) {
			break
		}
		p, earlier := &b.profiles[n], &m.Profiles[n]
		if earlier.Seen > 0 {
			p.work, p.samples, p.estimatedWork, p.measuredWork, p.slowdown = earlier.Work, earlier.Seen, earlier.Hinted, earlier.Worked, max(earlier.Slow, 1)
		}
		if len(earlier.Times.Counts) == len(p.current.counts) {
			t := histogram{low: p.current.low, logRatio: p.current.logRatio, counts: earlier.Times.Counts, n: earlier.Times.N(), sum: earlier.Times.Sum}
			p.current.copyScaled(&t, 1)
			p.filling.copyScaled(&t, 1)
		}
	}
	for n := range b.tenants {
		if n < len(m.Tenants) {
			b.tenants[n].tokens = m.Tenants[n].Left
		}
	}
	b.averageSlowdown, b.admittedWork, b.admittedSeconds = max(m.Pace, 1), m.Asked, m.Span
	if m.Cut > 0 {
		b.cutoffPrice = m.Cut
	}
}

// restoreServer restores what is known about a server that the list contains for the first time, if it has the same
// start.
func (b *Controller) restoreServer(e *server) {
	if b.config.Memory == nil {
		return
	}
	for _, earlier := range b.config.Memory.Engines {
		if earlier.ID != e.Server || math.Abs(earlier.Start-e.ReadyAt) > 0.05 { // seconds: start times are reported in milliseconds
			continue
		}
		if e.slowdown, e.slowdownAt, e.failureRate = max(earlier.Slow, 1), b.now, earlier.Fails; earlier.Ill {
			// The first probe is at a random time within the interval; otherwise all routers of a rolling restart would
			// probe the server at once.
			e.unhealthy, e.probeInterval = true, max(earlier.Pause, 0.5)
			e.nextProbeAt = b.now + e.probeInterval*b.random.float()
		}
	}
}

package cluster

import (
	"fmt"
	"math"
	"testing"

	"dunereach/admission"
	"dunereach/emulator/engine"

	"pgregory.net/rapid"
)

// coldSend is one attempt at a cold server.
type coldSend struct {
	at   float64
	work float64 // mean of its kind, core seconds
	told bool    // its router knew of the start
}

// coldWatch holds what all routers send to one cold server against what it bears in any window.
type coldWatch struct {
	settings Settings
	server   int
	start    float64
	sends    []coldSend
	most     float64 // of what routers that were told sent, over what is borne
	worst    string
}

// bears is how many requests of a mean work a cold server bears in a window, chance included (docs/design.md, Turns on cold engines). The
// ramp is the later of those that the settings allow.
func bears(settings *Settings, server int, age, work float64) float64 {
	b := &settings.Brain
	ramp := b.ColdFrom + (1-b.ColdFrom)*math.Pow(min(age/b.WarmUp, 1), 2)
	n := b.FallMultiple * settings.Engines[server].Cores * ramp * b.FallWindow / work
	return n + 2*math.Sqrt(n) + 2
}

func (w *coldWatch) watch(m *Moment) bool {
	b := &w.settings.Brain
	if m.On != Sent || m.Engine != w.server || m.Now < w.start || m.Now >= w.start+b.WarmUp {
		return true
	}
	w.sends = append(w.sends, coldSend{m.Now, m.Stream.Work, m.Age >= 0})
	for w.sends[0].at <= m.Now-b.FallWindow {
		w.sends = w.sends[1:]
	}
	told, all, mean := 0.0, 0.0, 0.0
	for _, s := range w.sends {
		if all += s.work; s.told {
			told += s.work
		}
	}
	mean = all / float64(len(w.sends))
	bound := bears(&w.settings, w.server, m.Now-w.start, mean) * mean
	if told/bound > w.most {
		w.most = told / bound
		w.worst = fmt.Sprintf("%.2f s after the start: %.1f requests of mean work %.4f s from routers that were told, %.1f are borne", m.Now-w.start,
			told/mean, mean, bound/mean)
	}
	return true
}

// coldDay draws a day on which a server comes back cold under very unequal traffic, while some routers restart and some hear of it late.
func coldDay(t *rapid.T) (Settings, *coldWatch) {
	const back, cold = 1.0, 1
	work := rapid.SampledFrom([]float64{0.005, 0.02, 0.08, 0.3}).Draw(t, "work")
	target := rapid.SampledFrom([]float64{0.1, 0.4, 1.5}).Draw(t, "target")
	s := Settings{Seed: rapid.Uint64().Draw(t, "seed"), Length: 5, Routers: rapid.IntRange(20, 30).Draw(t, "routers"),
		Brain: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5, ColdFrom: rapid.SampledFrom([]float64{0.15, 0.35}).Draw(t, "cold from"),
			WarmUp: rapid.SampledFrom([]float64{3, 8, 15}).Draw(t, "warm-up"), FallMultiple: 2, FallWindow: 1,
			Profiles: []admission.Profile{{Target: target, Stretch: 2, Benefit: 1, Threads: 1}, {Target: 4 * target, Stretch: 2, Benefit: 1, Threads: 1}}}}
	cores := rapid.SampledFrom([]float64{2, 4, 8}).Draw(t, "cores")
	for range 3 {
		s.Engines = append(s.Engines, Engine{Settings: engine.Settings{Cores: cores, Knee: 2, Thrash: 0.3}})
	}
	load := rapid.Float64Range(0.3, 1.5).Draw(t, "load")
	const most = 2500 // requests a second, so that a day is played within a second or two
	rate := min(3*cores*load/(1.3*work), most)
	for k, keys := range []int{0, 1, 3} { // spread evenly, to one router, to three
		st := Stream{Work: work, CV: 1, Deadline: 4, Scatter: 0.3, Keys: keys, Tries: 2, Ignores: 0.3}
		if k == 2 {
			st.Work, st.Profile = 4*work, 1
		}
		st.Rate, st.Peak = Steady(rate * []float64{0.5, 0.4, 0.1}[k])
		s.Streams = append(s.Streams, st)
	}
	some := func(name string, share int) (routers []int) {
		for k := range s.Routers {
			if rapid.IntRange(0, 9).Draw(t, name) < share {
				routers = append(routers, k)
			}
		}
		return routers
	}
	s.Happens = []Happening{{At: 0.5, For: back - 0.5, Act: Gone, Engines: []int{cold}}}
	if late := some("told late", 2); late != nil {
		s.Happens = append(s.Happens, Happening{At: 0.2, For: rapid.Float64Range(0.5, 3).Draw(t, "for"), Act: ListLost, Routers: late})
	}
	if restart := some("restarted", 2); restart != nil {
		s.Happens = append(s.Happens, Happening{At: back + rapid.Float64Range(0.1, 2).Draw(t, "at"), For: 0.2, Act: Restart, Routers: restart})
	}
	w := &coldWatch{settings: s, server: cold, start: back}
	s.Watch = w.watch
	return s, w
}

// TestColdUnderAll: what all routers that were told of a cold server's start send it stays, in any window, under what the settings allow it and
// chance, whatever their traffic, and while some restart.
func TestColdUnderAll(t *testing.T) {
	most, days := 0.0, 0
	rapid.Check(t, func(t *rapid.T) {
		s, w := coldDay(t)
		if _, err := Run(s); err != nil {
			t.Fatal(err)
		}
		days++
		most = max(most, w.most)
		if w.most > 1 {
			t.Fatal(w.worst)
		}
	})
	t.Logf("%d days, %.2f of the bound at most", days, most)
}

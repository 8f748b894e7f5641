package cluster

import (
	"fmt"
	"math"
	"testing"

	"dunereach/admission"
	"dunereach/emulator/engine"

	"pgregory.net/rapid"
)

// coldAttempt is one attempt sent to a cold server.
type coldAttempt struct {
	at       float64
	work     float64 // mean of the stream, core seconds
	informed bool    // the sending router's list included the server's start
}

// coldWatch compares what all routers send to one cold server with the server's capacity in a sliding window.
type coldWatch struct {
	settings  Settings
	server    int
	start     float64
	attempts  []coldAttempt
	maxRatio  float64 // highest ratio of work sent by informed routers to the cold server's capacity
	worstCase string
}

// coldCapacity returns how many requests of a mean work a cold server can take in a window, with a margin for chance
// (docs/design.md, Turns on cold engines). The ramp is quadratic in the server's age, the slower of the two ramps that
// the settings allow.
func coldCapacity(settings *Settings, server int, age, work float64) float64 {
	b := &settings.Controller
	ramp := b.ColdFrom + (1-b.ColdFrom)*math.Pow(min(age/b.WarmUp, 1), 2)
	n := b.FallMultiple * settings.Servers[server].Cores * ramp * b.FallWindow / work
	return n + 2*math.Sqrt(n) + 2
}

func (w *coldWatch) watch(m *Observation) bool {
	b := &w.settings.Controller
	if m.Kind != AttemptSent || m.Server != w.server || m.Now < w.start || m.Now >= w.start+b.WarmUp {
		return true
	}
	w.attempts = append(w.attempts, coldAttempt{m.Now, m.Stream.Work, m.ServerAge >= 0})
	for w.attempts[0].at <= m.Now-b.FallWindow {
		w.attempts = w.attempts[1:]
	}
	informed, all, mean := 0.0, 0.0, 0.0
	for _, s := range w.attempts {
		if all += s.work; s.informed {
			informed += s.work
		}
	}
	mean = all / float64(len(w.attempts))
	bound := coldCapacity(&w.settings, w.server, m.Now-w.start, mean) * mean
	if informed/bound > w.maxRatio {
		w.maxRatio = informed / bound
		w.worstCase = fmt.Sprintf("%.2f s after the start: %.1f requests of mean work %.4f s from informed routers, limit %.1f", m.Now-w.start,
			informed/mean, mean, bound/mean)
	}
	return true
}

// drawColdScenario draws a run in which a server returns cold under very uneven traffic, while some routers restart and
// some learn of the start late.
func drawColdScenario(t *rapid.T) (Settings, *coldWatch) {
	const back, cold = 1.0, 1
	work := rapid.SampledFrom([]float64{0.005, 0.02, 0.08, 0.3}).Draw(t, "work")
	target := rapid.SampledFrom([]float64{0.1, 0.4, 1.5}).Draw(t, "target")
	s := Settings{Seed: rapid.Uint64().Draw(t, "seed"), Duration: 5, Routers: rapid.IntRange(20, 30).Draw(t, "routers"),
		Controller: admission.Settings{Tick: 0.005, MaxSends: 4, Priorities: true, MaxPause: 0.5, ColdFrom: rapid.SampledFrom([]float64{0.15, 0.35}).Draw(t, "cold from"),
			WarmUp: rapid.SampledFrom([]float64{3, 8, 15}).Draw(t, "warm-up"), FallMultiple: 2, FallWindow: 1,
			Profiles: []admission.Profile{{Target: target, Stretch: 2, Benefit: 1, Threads: 1}, {Target: 4 * target, Stretch: 2, Benefit: 1, Threads: 1}}}}
	cores := rapid.SampledFrom([]float64{2, 4, 8}).Draw(t, "cores")
	for range 3 {
		s.Servers = append(s.Servers, Server{Settings: engine.Settings{Cores: cores, Knee: 2, ContentionLoss: 0.3}})
	}
	load := rapid.Float64Range(0.3, 1.5).Draw(t, "load")
	const maxRate = 2500 // requests per second; limits the time of one run to one or two seconds
	rate := min(3*cores*load/(1.3*work), maxRate)
	for k, keys := range []int{0, 1, 3} { // spread evenly, all to one router, and over three routers
		stream := Stream{Work: work, CV: 1, Deadline: 4, EstimateCV: 0.3, Keys: keys, MaxRequests: 2, IgnoresPauseShare: 0.3}
		if k == 2 {
			stream.Work, stream.Profile = 4*work, 1
		}
		stream.Rate, stream.PeakRate = ConstantRate(rate * []float64{0.5, 0.4, 0.1}[k])
		s.Streams = append(s.Streams, stream)
	}
	pickRouters := func(name string, share int) (routers []int) {
		for k := range s.Routers {
			if rapid.IntRange(0, 9).Draw(t, name) < share {
				routers = append(routers, k)
			}
		}
		return routers
	}
	s.Faults = []Fault{{At: 0.5, Duration: back - 0.5, Kind: StopServers, Servers: []int{cold}}}
	if late := pickRouters("informed late", 2); late != nil {
		s.Faults = append(s.Faults, Fault{At: 0.2, Duration: rapid.Float64Range(0.5, 3).Draw(t, "for"), Kind: LoseList, Routers: late})
	}
	if restart := pickRouters("restarted", 2); restart != nil {
		s.Faults = append(s.Faults, Fault{At: back + rapid.Float64Range(0.1, 2).Draw(t, "at"), Duration: 0.2, Kind: RestartRouter, Routers: restart})
	}
	w := &coldWatch{settings: s, server: cold, start: back}
	s.Observe = w.watch
	return s, w
}

// TestColdServerLoadFromAllRouters checks that the routers that know of a cold server's start together never send it
// more in any window than the settings allow plus a margin for chance, for any distribution of traffic and while some
// routers restart.
func TestColdServerLoadFromAllRouters(t *testing.T) {
	maxRatio, runs := 0.0, 0
	rapid.Check(t, func(t *rapid.T) {
		s, w := drawColdScenario(t)
		if _, err := Run(s); err != nil {
			t.Fatal(err)
		}
		runs++
		maxRatio = max(maxRatio, w.maxRatio)
		if w.maxRatio > 1 {
			t.Fatal(w.worstCase)
		}
	})
	t.Logf("%d runs, highest ratio to the limit %.2f", runs, maxRatio)
}

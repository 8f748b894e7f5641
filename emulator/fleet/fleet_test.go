package fleet

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"dunereach/emulator/scenario"
)

// TestRandomScenarios checks with random faults, several at a time, that no two owners act on a task, no allowance is
// exceeded and the fleet recovers.
func TestRandomScenarios(t *testing.T) {
	seeds := uint64(120)
	if testing.Short() {
		seeds = 40
	}
	var all Figures
	for seed := range seeds {
		f, err := Play(RandomScenario(seed), nil)
		if err != nil {
			t.Fatal(err)
		}
		all.Dealt, all.Refused, all.Late, all.ToldOld, all.Lost = all.Dealt+f.Dealt, all.Refused+f.Refused, all.Late+f.Late, all.ToldOld+f.ToldOld, all.Lost+f.Lost
		all.Worst = max(all.Worst, f.Worst)
	}
	if all.Dealt < 1000 || all.Refused+all.Late+all.ToldOld == 0 || all.Lost == 0 || all.Worst < 0.99 {
		t.Errorf("the runs cover too little: %+v", all)
	}
	t.Logf("%+v", all)
}

// TestReproducible checks that a seed gives the same run every time.
func TestReproducible(t *testing.T) {
	run := func() (lines []string) {
		if _, err := Play(RandomScenario(7), func(s string) { lines = append(lines, s) }); err != nil {
			t.Fatal(err)
		}
		return lines
	}
	a, b := run(), run()
	if len(a) != len(b) || len(a) < 10 {
		t.Fatalf("%d lines and %d", len(a), len(b))
	}
	for k := range a {
		if a[k] != b[k] {
			t.Fatalf("line %d:\n%s\n%s", k, a[k], b[k])
		}
	}
}

func TestWithoutFaults(t *testing.T) {
	f, err := Play(scenario.File{Coordinators: 3, Routers: 4, Zones: 2, Servers: 2, Lease: 2, Drift: 0.05, SettleTime: 10, Seed: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", f)
}

// TestScenarios plays the scenarios that are also played over real processes, each with several seeds.
func TestScenarios(t *testing.T) {
	all, err := scenario.All()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				f := all[name]
				f.Seed = seed
				if _, err := Play(f, nil); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// TestFlappingRouters runs 300 routers of which a third stops and starts all the time. No two owners may act on a task,
// allowances hold, and most tasks have to go to stable routers rather than to flapping ones.
func TestFlappingRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("takes ten seconds")
	}
	f := scenario.File{Name: "flapping", Coordinators: 3, Routers: 300, Zones: 3, Servers: 3, Lease: 3, Drift: 0.05, Seed: 5, SettleTime: 20}
	w, err := New(f)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	flapping := func(name string) bool {
		return strings.HasSuffix(name, "0") || strings.HasSuffix(name, "3") || strings.HasSuffix(name, "7")
	}
	for _, r := range w.routers {
		if !flapping(r.name) {
			continue
		}
		w.after(5+2*w.random.Float64(), func() {
			w.every(2+2*w.random.Float64(), func() {
				if r.up {
					w.ApplyFault("kill", r.name)
				} else {
					w.ApplyFault("start", r.name)
				}
			})
		})
	}
	stable, samples := 0, 0
	for w.now < 40 {
		if err := w.Run(w.now + 0.5); err != nil {
			t.Fatal(err)
		}
		if w.now < 25 {
			continue
		}
		for _, task := range w.tasks() {
			for _, r := range w.routers {
				if r.up && w.owns(r, task) {
					if samples++; !flapping(r.name) {
						stable++
					}
				}
			}
		}
	}
	if err := w.audit.checkLinearizable(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v; the owner was a stable router in %d of %d samples", w.Figures(), stable, samples)
	if samples < 60 || float64(stable) < 0.8*float64(samples) {
		t.Errorf("the owner was a stable router in %d of %d samples", stable, samples)
	}
}

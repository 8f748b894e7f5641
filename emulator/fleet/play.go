package fleet

import (
	"fmt"
	"math/rand/v2"

	"dunereach/emulator/scenario"
)

// Play runs a scenario to its end. After the last event and the time to settle, the fleet has to have recovered, with
// only those faults healed that the script heals.
func Play(f scenario.File, log func(string)) (Figures, error) {
	w, err := New(f)
	if err != nil {
		return Figures{}, err
	}
	defer w.Close()
	w.Log = log
	const maxSeconds = 600 // of virtual time; ends a script that waits for a condition that never holds
	for !w.ScriptDone && w.now < maxSeconds {
		if err := w.Run(w.now + 0.5); err != nil {
			return w.Figures(), err
		}
	}
	if err := w.Run(w.now + f.SettleTime); err != nil {
		return w.Figures(), err
	}
	return w.Figures(), w.CheckRecovered()
}

// RandomScenario returns a random scenario with faults of every kind, several at a time, all of which are over at the end.
func RandomScenario(seed uint64) scenario.File {
	r := rand.New(rand.NewPCG(seed, 21))
	f := scenario.File{Name: fmt.Sprint("drawn ", seed), Coordinators: 1 + 2*r.IntN(3), Routers: 2 + r.IntN(5), Zones: 1 + r.IntN(3),
		Servers: 1 + r.IntN(3), Lease: 1 + 3*r.Float64(), Drift: 0.05, PersistentFolders: r.IntN(2) == 0, Seed: seed}
	process := func() string {
		switch r.IntN(7) {
		case 0:
			return "leader"
		case 1, 2:
			return "owner"
		case 3:
			return fmt.Sprint("keeper:", 1+r.IntN(f.Coordinators))
		case 4:
			return fmt.Sprint("zone:", 1+r.IntN(f.Zones))
		default:
			return fmt.Sprint("router:", 1+r.IntN(f.Routers))
		}
	}
	linkEnd := func() string { // either end of a link
		switch r.IntN(4) {
		case 0:
			return "keepers"
		case 1:
			return "leader"
		default:
			return process()
		}
	}
	add := func(e scenario.Event) { f.Events = append(f.Events, e) }
	add(scenario.Event{Condition: "owned", Action: "heal"})
	for range 3 + r.IntN(7) {
		e := scenario.Event{After: r.ExpFloat64() * f.Lease / 2}
		switch r.IntN(7) {
		case 6:
			e.Action, e.Target = "release", "owner"
		case 0:
			e.Action, e.Target = "stop", process()
		case 1:
			e.Action, e.Target = "kill", process()
		case 2:
			e.Action, e.Target = "end", process()
		case 3, 4:
			e.Action, e.Target, e.LinkEnd, e.BothWays = "cut", linkEnd(), linkEnd(), r.IntN(2) == 0
		case 5:
			e.Action, e.Target, e.LinkEnd, e.Duration = "hold", linkEnd(), linkEnd(), r.Float64()*30
		}
		add(e)
		if r.IntN(3) == 0 { // ends some faults while others go on
			add(scenario.Event{After: r.Float64() * 2 * f.Lease, Action: []string{"continue", "start", "heal"}[r.IntN(3)], Target: "routers"})
		}
	}
	for _, group := range []string{"keepers", "routers"} {
		add(scenario.Event{After: r.Float64() * 2 * f.Lease, Action: "continue", Target: group})
		add(scenario.Event{Action: "start", Target: group})
	}
	add(scenario.Event{Action: "heal"})
	f.SettleTime = 6*f.Lease + 12
	return f
}

package scale

import (
	"fmt"

	"dunereach/internal/boottime"
	"dunereach/internal/hollow"
	"dunereach/internal/measure"
)

// faultDemand is the demand of the routers during faults: a few tasks whose owners act all the time.
var faultDemand = hollow.Demand{ColdDatabases: 2, SendEvidence: true}

const faultTasks = planTasks + 2

// fault is one injected fault and the recovery from it.
type fault struct {
	name     string
	recovery hollow.Recovery
	peak     hollow.Peak
}

// playFault injects a fault and waits until control has recovered for all routers that run then.
func (f *controlFleet) playFault(name string, event func() error) (fault, error) {
	f.takePeak()
	if err := f.ResetConfirmed(); err != nil {
		return fault{}, err
	}
	start := boottime.Now()
	if err := event(); err != nil {
		return fault{}, fmt.Errorf("%s: %w", name, err)
	}
	recovery, err := f.awaitRecovery(start, faultTasks)
	if err != nil {
		return fault{}, fmt.Errorf("%s: %w", name, err)
	}
	result := fault{name: name, recovery: recovery, peak: f.takePeak()}
	progress("%s: sessions confirmed after %.1f s, recovered after %.1f s, at most %.2f core and %.1f MB/s", name, recovery.Confirmed, recovery.Settled, result.peak.CPU, result.peak.CoordinatorBytesPerS/1e6)
	return result, nil
}

// rows returns the results of one fault.
func (result fault) rows() []measure.Row {
	return []measure.Row{
		measure.Figure(result.name+": seconds until all sessions were confirmed", result.recovery.Confirmed),
		measure.AtMost(result.name+": seconds until all tasks were owned and no session of a stopped router was left", result.recovery.Settled, recoveryTimeout.Seconds()),
		measure.Figure(result.name+": busiest coordinator, core over a second at most", result.peak.CPU),
		measure.Figure(result.name+": busiest coordinator, MB a second in and out at most", result.peak.CoordinatorBytesPerS/1e6),
	}
}

// loseLeader kills the leading coordinator and starts it again after control has recovered.
func (f *controlFleet) loseLeader(name string) (fault, error) {
	leader := -1
	result, err := f.playFault(name, func() error {
		if leader = f.Leader(); leader < 0 {
			return fmt.Errorf("there is no leading coordinator")
		}
		f.KillCoordinator(leader)
		return nil
	})
	if err != nil {
		return result, err
	}
	return result, f.StartCoordinator(leader)
}

// restartCoordinators kills all coordinators and starts them again.
func (f *controlFleet) restartCoordinators(name string) (fault, error) {
	return f.playFault(name, func() error {
		for _, n := range f.Coordinators() {
			f.KillCoordinator(n)
		}
		for _, n := range f.Coordinators() {
			if err := f.StartCoordinator(n); err != nil {
				return err
			}
		}
		return nil
	})
}

// restartRouters crashes the given routers and starts them again.
func (f *controlFleet) restartRouters(name string, routers []int) (fault, error) {
	return f.playFault(name, func() error {
		if _, err := f.CrashRouters(routers); err != nil {
			return err
		}
		_, err := f.StartRouters(routers)
		return err
	})
}

// controlReturn measures how long it takes until all sessions are open again, at growing sizes.
func controlReturn(routers int) ([]measure.Row, error) {
	sizes := controlSizes(routers)
	f, err := newControlFleet(routers)
	if err != nil {
		return nil, err
	}
	defer f.close()
	names := []string{"leader lost", "all coordinators restart", "all routers restart at once"}
	faults := make([][]fault, len(names))
	for k, size := range sizes {
		if _, err := f.grow(previousSize(sizes, k), size); err != nil {
			return nil, err
		}
		if err := f.loadAndAwaitTasks(faultDemand); err != nil {
			return nil, err
		}
		for n, play := range []func(string) (fault, error){f.loseLeader, f.restartCoordinators,
			func(name string) (fault, error) { return f.restartRouters(name, numbers(1, size)) }} {
			result, err := play(fmt.Sprintf("%s, %d routers", names[n], size))
			if err != nil {
				return nil, err
			}
			faults[n] = append(faults[n], result)
		}
	}
	var rows []measure.Row
	for n, name := range names {
		var xs, ys []float64
		for k, result := range faults[n] {
			rows = append(rows, result.rows()...)
			xs, ys = append(xs, float64(sizes[k])), append(ys, result.recovery.Confirmed)
		}
		rows = append(rows, lineThrough(xs, ys).Rows(name+": seconds until all sessions were confirmed", "routers", 1000)...)
	}
	return append(rows, f.limitRows("return")...), nil
}

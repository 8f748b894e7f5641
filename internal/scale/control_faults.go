package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dunereach/internal/boottime"
	"dunereach/internal/measure"
)

// Parameters of the faults. Durations of real incidents are compressed to keep a run short.
const (
	rackShare         = 0.03
	regionCutDuration = 20 * time.Second // minutes in production
	rollingRate       = 1.0              // restarts a second; ten times the 890 restarts of an ordinary day would be 0.1 a second
	rollingRestarts   = 20               // number of restarts
	tenfoldDailyRate  = 890.0 * 10 / 86400
)

// controlFaults injects the failures of the target at the largest size.
func controlFaults(routers int) ([]measure.Row, error) {
	f, err := newControlFleet(routers)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if _, err := f.grow(0, routers); err != nil {
		return nil, err
	}
	if err := f.loadAndAwaitTasks(faultDemand); err != nil {
		return nil, err
	}
	var rows []measure.Row
	for _, playStep := range []func() ([]measure.Row, error){f.loseLeaderAndRestartAll, f.loseRack, f.loseZone, f.cutRegion, f.rollingRestart} {
		stepRows, err := playStep()
		if err != nil {
			return nil, err
		}
		rows = append(rows, stepRows...)
	}
	return append(rows, f.limitRows("faults")...), nil
}

// loseLeaderAndRestartAll kills the leader, then restarts all coordinators, then all routers. controlReturn measures the slopes of
// these faults.
func (f *controlFleet) loseLeaderAndRestartAll() (rows []measure.Row, err error) {
	steps := []func() (fault, error){
		func() (fault, error) { return f.loseLeader("leader lost") },
		func() (fault, error) { return f.restartCoordinators("all coordinators restart") },
		func() (fault, error) { return f.restartRouters("all routers restart at once", numbers(1, f.Live())) },
	}
	for _, playStep := range steps {
		result, err := playStep()
		if err != nil {
			return nil, err
		}
		rows = append(rows, result.rows()...)
	}
	return rows, nil
}

// loseRack stops a random share of the routers and one coordinator, and starts them again.
func (f *controlFleet) loseRack() ([]measure.Row, error) {
	random := rand.New(rand.NewPCG(1, 3))
	lost := random.Perm(f.Live())[:int(rackShare*float64(f.Live()))]
	for n := range lost {
		lost[n]++ // routers are numbered from 1
	}
	return f.loseAndRestore("rack lost", lost, []int{random.IntN(coordinatorCount)})
}

// loseZone stops the zone of the leading coordinator, and starts it again.
func (f *controlFleet) loseZone() ([]measure.Row, error) {
	leader := f.Leader()
	if leader < 0 {
		return nil, fmt.Errorf("there is no leading coordinator")
	}
	zone := targetZones()[leader%TargetZones]
	var lost []int
	for _, router := range numbers(1, f.Live()) {
		if f.ZoneOf(router) == zone {
			lost = append(lost, router)
		}
	}
	return f.loseAndRestore("zone lost, the leader's", lost, []int{leader})
}

func (f *controlFleet) loseAndRestore(name string, routers, lost []int) ([]measure.Row, error) {
	loss, err := f.playFault(name, func() error {
		for _, n := range lost {
			f.KillCoordinator(n)
		}
		_, err := f.CrashRouters(routers)
		return err
	})
	if err != nil {
		return nil, err
	}
	restoration, err := f.playFault(name+", and restored", func() error {
		for _, n := range lost {
			if err := f.StartCoordinator(n); err != nil {
				return err
			}
		}
		_, err := f.StartRouters(routers)
		return err
	})
	return append(loss.rows(), restoration.rows()...), err
}

// cutRegion cuts the region that has the minority of the coordinators off while it has the leader, and then heals the links.
func (f *controlFleet) cutRegion() ([]measure.Row, error) {
	const region = "south"
	if err := f.moveLeaderTo(region); err != nil {
		return nil, err
	}
	majorityRouters := 0
	for _, router := range numbers(1, f.Live()) {
		if f.ZoneOf(router).Region != region {
			majorityRouters++
		}
	}
	f.takePeak()
	if err := f.ResetConfirmed(); err != nil {
		return nil, err
	}
	start := boottime.Now()
	end := time.Now().Add(regionCutDuration)
	if err := f.CutRegion(region); err != nil {
		return nil, err
	}
	cutRecovery, err := f.AwaitRecovery(start, majorityRouters, faultTasks, recoveryTimeout)
	if err != nil {
		return nil, fmt.Errorf("region cut: %w", err)
	}
	name := fmt.Sprintf("region cut for %.0f s, the leader with the minority", regionCutDuration.Seconds())
	rows := fault{name: name + ", the majority", recovery: cutRecovery, peak: f.takePeak()}.rows()
	// The leases of the minority's routers have expired by now: nothing that was in flight before the cut counts as a confirmation.
	if err := f.ResetConfirmed(); err != nil {
		return nil, err
	}
	time.Sleep(max(time.Until(end), 2*time.Second))
	report, err := f.CollectReports()
	if err != nil {
		return nil, err
	}
	rows = append(rows, measure.Between(name+", routers confirmed during the rest of the cut, fraction of the majority's", float64(report.Confirmed)/float64(majorityRouters), 1, 1))
	healed, err := f.playFault(name+", healed", f.Heal)
	return append(rows, healed.rows()...), err
}

// moveLeaderTo kills leaders until a coordinator of the given region leads.
func (f *controlFleet) moveLeaderTo(region string) error {
	const maxElections = 12
	for range maxElections {
		if slices.Contains(f.CoordinatorsOf(region), f.Leader()) {
			return nil
		}
		if _, err := f.loseLeader("leader killed to move the leadership"); err != nil {
			return err
		}
	}
	return fmt.Errorf("no coordinator of %s led after %d elections", region, maxElections)
}

// rollingRestart restarts routers one after another, in order.
func (f *controlFleet) rollingRestart() ([]measure.Row, error) {
	name := fmt.Sprintf("rolling restart, %.0f at %.3g a second", math.Min(rollingRestarts, float64(f.Live())), rollingRate)
	result, err := f.playFault(name, func() error {
		tick := time.NewTicker(time.Duration(float64(time.Second) / rollingRate))
		defer tick.Stop()
		for n := range rollingRestarts {
			router := []int{1 + n*f.Live()/rollingRestarts}
			if _, err := f.StopRouters(router); err != nil {
				return err
			}
			if _, err := f.StartRouters(router); err != nil {
				return err
			}
			<-tick.C
		}
		return nil
	})
	rows := append(result.rows(), measure.Figure("rolling restart: multiple of the rate of ten ordinary days in one", rollingRate/tenfoldDailyRate))
	return rows, err
}

// controlShort is the form for CI. It prints no slopes, as slopes from two sizes have no standard error, and loses one leader.
func controlShort() ([]measure.Row, error) {
	const few, many = 100, 200
	f, err := newControlFleet(many)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var rows []measure.Row
	for _, step := range [][2]int{{0, few}, {few, many}} {
		growth, err := f.grow(step[0], step[1])
		if err != nil {
			return nil, err
		}
		w, err := f.measure(step[1], 2*time.Second)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%d routers", step[1])
		rows = append(rows,
			measure.AtMost(name+": seconds until the added routers' sessions were open", growth.Confirmed, 15),
			measure.AtMost(name+": leader, core", w.leaderCore, 0.3),
			measure.AtMost(name+": router, core", w.routerCore, MaxControlCore),
			measure.AtMost(name+": router, MB", w.routerMB, MaxControlMemoryMB),
			measure.AtMost(name+": router, bytes a second", w.routerBytes, MaxControlByteRate))
	}
	if err := f.loadAndAwaitTasks(faultDemand); err != nil {
		return nil, err
	}
	lost, err := f.loseLeader("leader lost, 200 routers")
	if err != nil {
		return nil, err
	}
	rows = append(rows, lost.rows()...)
	return append(rows, f.limitRows("short")...), nil
}

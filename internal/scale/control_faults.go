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

// Faults as they are played. The letters of an ordinary day are compressed so that a run stays short.
const (
	rackShare      = 0.03
	regionCut      = 20 * time.Second // minutes in the field
	rollingRate    = 1.0              // restarts a second; ten times the ordinary day's 890 a day are 0.1
	rollingLength  = 20               // restarts
	ordinaryTenths = 890.0 * 10 / 86400
)

// controlFaults plays the failures of the target at the largest size.
func controlFaults(routers int) ([]measure.Row, error) {
	f, err := newControlFleet(routers)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if _, err := f.grow(0, routers); err != nil {
		return nil, err
	}
	if err := f.load(faultLoad); err != nil {
		return nil, err
	}
	var rows []measure.Row
	for _, play := range []func() ([]measure.Row, error){f.loseMost, f.loseRack, f.loseZone, f.cutRegion, f.rollingRestart} {
		more, err := play()
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	return append(rows, f.bounds("faults")...), nil
}

// loseMost takes the leader, then all coordinators, then all routers away; controlReturn has the slopes of these.
func (f *controlFleet) loseMost() (rows []measure.Row, err error) {
	plays := []func() (fault, error){
		func() (fault, error) { return f.loseLeader("leader lost") },
		func() (fault, error) { return f.loseCoordinators("all coordinators restart") },
		func() (fault, error) { return f.restartRouters("all routers restart at once", numbers(1, f.Live())) },
	}
	for _, play := range plays {
		x, err := play()
		if err != nil {
			return nil, err
		}
		rows = append(rows, x.rows()...)
	}
	return rows, nil
}

// loseRack takes a drawn share of the routers and one coordinator away, and brings them back.
func (f *controlFleet) loseRack() ([]measure.Row, error) {
	drawn := rand.New(rand.NewPCG(1, 3))
	lost := drawn.Perm(f.Live())[:int(rackShare*float64(f.Live()))]
	for n := range lost {
		lost[n]++ // routers are numbered from 1
	}
	return f.loseAndBringBack("rack lost", lost, []int{drawn.IntN(coordinators)})
}

// loseZone takes the zone of the coordinator that leads away, and brings it back.
func (f *controlFleet) loseZone() ([]measure.Row, error) {
	leader := f.Leader()
	if leader < 0 {
		return nil, fmt.Errorf("no coordinator leads")
	}
	zone := targetZones()[leader%TargetZones]
	var lost []int
	for _, router := range numbers(1, f.Live()) {
		if f.ZoneOf(router) == zone {
			lost = append(lost, router)
		}
	}
	return f.loseAndBringBack("zone lost, the leader's", lost, []int{leader})
}

func (f *controlFleet) loseAndBringBack(name string, routers, lost []int) ([]measure.Row, error) {
	gone, err := f.play(name, func() error {
		for _, n := range lost {
			f.KillCoordinator(n)
		}
		_, err := f.CrashRouters(routers)
		return err
	})
	if err != nil {
		return nil, err
	}
	back, err := f.play(name+", and back", func() error {
		for _, n := range lost {
			if err := f.StartCoordinator(n); err != nil {
				return err
			}
		}
		_, err := f.StartRouters(routers)
		return err
	})
	return append(gone.rows(), back.rows()...), err
}

// cutRegion cuts the region with the minority of coordinators from the other while it has the leader, and heals the links.
func (f *controlFleet) cutRegion() ([]measure.Row, error) {
	const region = "south"
	if err := f.leadFrom(region); err != nil {
		return nil, err
	}
	outside := 0
	for _, router := range numbers(1, f.Live()) {
		if f.ZoneOf(router).Region != region {
			outside++
		}
	}
	f.takePeak()
	if err := f.Mark(); err != nil {
		return nil, err
	}
	began := boottime.Now()
	end := time.Now().Add(regionCut)
	if err := f.CutRegion(region); err != nil {
		return nil, err
	}
	cut, err := f.Recover(began, outside, faultTasks, controlPatience)
	if err != nil {
		return nil, fmt.Errorf("region cut: %w", err)
	}
	name := fmt.Sprintf("region cut for %.0f s, the leader with the minority", regionCut.Seconds())
	rows := fault{name: name + ", the majority", recovery: cut, peak: f.takePeak()}.rows()
	// Leases of the minority's routers are over by now: nothing that was under way before the cut counts for them any more.
	if err := f.Mark(); err != nil {
		return nil, err
	}
	time.Sleep(max(time.Until(end), 2*time.Second))
	alone, err := f.Look()
	if err != nil {
		return nil, err
	}
	rows = append(rows, measure.Between(name+", routers confirmed in the rest of it, of the majority's", float64(alone.Confirmed)/float64(outside), 1, 1))
	healed, err := f.play(name+", healed", f.Heal)
	return append(rows, healed.rows()...), err
}

// leadFrom has a coordinator of that region lead.
func (f *controlFleet) leadFrom(region string) error {
	const tries = 12
	for range tries {
		if slices.Contains(f.CoordinatorsOf(region), f.Leader()) {
			return nil
		}
		if _, err := f.loseLeader("leader moved"); err != nil {
			return err
		}
	}
	return fmt.Errorf("no coordinator of %s led after %d elections", region, tries)
}

// rollingRestart ends routers in order, one after another, and starts each again.
func (f *controlFleet) rollingRestart() ([]measure.Row, error) {
	name := fmt.Sprintf("rolling restart, %.0f at %.3g a second", math.Min(rollingLength, float64(f.Live())), rollingRate)
	x, err := f.play(name, func() error {
		tick := time.NewTicker(time.Duration(float64(time.Second) / rollingRate))
		defer tick.Stop()
		for n := range rollingLength {
			which := []int{1 + n*f.Live()/rollingLength}
			if _, err := f.StopRouters(which); err != nil {
				return err
			}
			if _, err := f.StartRouters(which); err != nil {
				return err
			}
			<-tick.C
		}
		return nil
	})
	rows := append(x.rows(), measure.Figure("rolling restart: times the rate of ten ordinary days in one", rollingRate/ordinaryTenths))
	return rows, err
}

// controlShort is the form for CI: slopes from two sizes have no error and are not told; one leader is lost.
func controlShort() ([]measure.Row, error) {
	const few, many = 100, 200
	f, err := newControlFleet(many)
	if err != nil {
		return nil, err
	}
	defer f.close()
	var rows []measure.Row
	for _, step := range [][2]int{{0, few}, {few, many}} {
		opened, err := f.grow(step[0], step[1])
		if err != nil {
			return nil, err
		}
		w, err := f.measure(step[1], 2*time.Second)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("%d routers", step[1])
		rows = append(rows,
			measure.AtMost(name+": seconds until the added routers' sessions were open", opened.Confirmed, 15),
			measure.AtMost(name+": leader, core", w.leaderCore, 0.3),
			measure.AtMost(name+": router, core", w.routerCore, ControlCore),
			measure.AtMost(name+": router, MB", w.routerMB, ControlMemoryMB),
			measure.AtMost(name+": router, bytes a second", w.routerBytes, ControlBytes))
	}
	if err := f.load(faultLoad); err != nil {
		return nil, err
	}
	lost, err := f.loseLeader("leader lost, 200 routers")
	if err != nil {
		return nil, err
	}
	rows = append(rows, lost.rows()...)
	return append(rows, f.bounds("short")...), nil
}

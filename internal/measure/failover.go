package measure

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"time"

	"dunereach/emulator/scenario"
	"dunereach/emulator/zones"
	"dunereach/fleet/failover"
	"dunereach/internal/faultrig"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Failover measures failover plans on virtual time and with real processes.
func Failover() ([]Row, error) {
	bin, err := programFolder()
	if err != nil {
		return nil, err
	}
	rows, err := zoneCut(bin) // with nothing else running, because its clients run in this process
	if err != nil {
		return nil, err
	}
	virtual, err := runAll(
		func() ([]Row, error) { return drawnDays(0, 600, 500) },
		func() ([]Row, error) { return daysWithoutFaults(30) },
		func() ([]Row, error) { return lostZones(60) },
		func() ([]Row, error) { return flapping(20) },
		func() ([]Row, error) { return unreliableObservers(60) },
		func() ([]Row, error) { return evidenceBytes(9) },
	)
	return append(virtual, rows...), err
}

// RandomDays simulates the given number of random days from a seed on, and describes those that broke a rule. planned and worst are the
// highest planned and offered loads relative to a zone's capacity; plans counts the plans made.
func RandomDays(from, count uint64) (broken []string, planned, worst float64, plans int, err error) {
	var group errgroup.Group
	var mu sync.Mutex
	const workers = 4
	for worker := range uint64(workers) {
		group.Go(func() error {
			for seed := from + worker; seed < from+count; seed += workers {
				r, err := zones.Play(zones.RandomSettings(seed))
				if err != nil {
					return err
				}
				mu.Lock()
				planned, worst, plans = max(planned, r.MaxPlannedLoad), max(worst, r.MaxFailoverLoad), plans+len(r.PlanChanges)
				if r.MaxPlannedLoad > 1+1e-6 || r.MaxFailoverLoad > 1.05 || len(r.GivenUp) > 0 {
					broken = append(broken, fmt.Sprintf("seed %d: planned load %.4f and offered load %.4f of a zone's capacity, healthy zones given up: %v", seed, r.MaxPlannedLoad, r.MaxFailoverLoad, r.GivenUp))
				}
				mu.Unlock()
			}
			return nil
		})
	}
	err = group.Wait()
	slices.Sort(broken)
	return broken, planned, worst, plans, err
}

func drawnDays(from, count uint64, minDays float64) ([]Row, error) {
	broken, planned, worst, plans, err := RandomDays(from, count)
	return []Row{
		AtLeast("random days", float64(count), minDays),
		AtLeast("random days: plans", float64(plans), float64(count)),
		AtMost("random days: planned load / assumed zone capacity, any mixture of plans, max", planned, 1+1e-6),
		AtMost("random days: load offered by other zones / zone capacity, over a second, max", worst, 1.05),
		AtMost("random days: days with a broken rule", float64(len(broken)), 0),
	}, err
}

// daySettings returns a day of a fleet with three to seven zones. The seed determines the zones, the regions and the load.
func daySettings(seed uint64, rule zones.Rule, faults ...zones.Fault) zones.Settings {
	return zones.Settings{Zones: 3 + int(seed%5), Regions: 1 + int(seed%2), Routers: 30, Load: 0.4 + 0.02*float64(seed%16), Skew: 0.2, Seed: seed, Rule: rule,
		Duration: 90, Faults: faults}
}

// daysWithoutFaults measures how close the plans come to the best possible on days without faults.
func daysWithoutFaults(days uint64) ([]Row, error) {
	share, changes := math.Inf(1), 0
	for seed := range days {
		r, err := zones.Play(daySettings(seed, zones.Planned))
		if err != nil {
			return nil, err
		}
		best, err := zones.Play(daySettings(seed, zones.FullKnowledge))
		if err != nil {
			return nil, err
		}
		share, changes = min(share, r.OwnZoneShare*meanBenefit(r, 5, 90)/max(best.OwnZoneShare*meanBenefit(best, 5, 90), 1e-9)), changes+len(r.PlanChanges)
	}
	return []Row{AtLeast("days without faults: work served locally / best possible, lowest", share, 0.99), Figure("days without faults: plans", float64(changes))}, nil
}

func meanBenefit(r zones.Result, from, to int) float64 { return stat.Mean(r.Served[from:to], nil) }

// confidenceInterval returns the mean of paired differences and half the width of its 95 % interval, by Student's t distribution.
func confidenceInterval(x []float64) (mean, halfWidth float64) {
	mean, sd := stat.MeanStdDev(x, nil)
	n := float64(len(x))
	return mean, distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * sd / math.Sqrt(n)
}

// lostZones simulates the loss of a zone's servers, on the same days under each rule.
func lostZones(days uint64) ([]Row, error) {
	const lostAt, restoredAt, length = 20.3, 55.0, 130.0
	var benefitShares, gainsOverLocal, gainsOverLocality, planDelays, returnDelays []float64
	var localWorst float64 // highest load offered to a zone under the local rule, relative to its capacity
	for seed := range days {
		fault := zones.Fault{At: lostAt, Until: restoredAt, Kind: zones.ServersDown, Zone: int(seed) % 3}
		results := map[zones.Rule]zones.Result{}
		for _, rule := range []zones.Rule{zones.Planned, zones.Local, zones.Locality, zones.FullKnowledge} {
			s := daySettings(seed, rule, fault)
			s.Duration = length
			r, err := zones.Play(s)
			if err != nil {
				return nil, err
			}
			results[rule] = r
		}
		planned, best := meanBenefit(results[zones.Planned], 20, 50), meanBenefit(results[zones.FullKnowledge], 20, 50)
		benefitShares = append(benefitShares, planned/best)
		gainsOverLocal = append(gainsOverLocal, planned-meanBenefit(results[zones.Local], 20, 50))
		gainsOverLocality = append(gainsOverLocality, planned-meanBenefit(results[zones.Locality], 20, 50))
		localWorst = max(localWorst, results[zones.Local].MaxFailoverLoad)
		if c := results[zones.Planned].PlanChanges; len(c) > 0 {
			planDelays = append(planDelays, c[0]-lostAt)
		} else {
			planDelays = append(planDelays, math.Inf(1))
		}
		if b := results[zones.Planned].RecoveryTime; math.IsNaN(b) {
			returnDelays = append(returnDelays, math.Inf(1))
		} else {
			returnDelays = append(returnDelays, b)
		}
	}
	gain, gainHalfWidth := confidenceInterval(gainsOverLocal)
	localityGain, localityHalfWidth := confidenceInterval(gainsOverLocality)
	return []Row{
		AtLeast("zone lost: benefit in 30 s / bound with full knowledge, mean", stat.Mean(benefitShares, nil), 0.95),
		Figure("zone lost: the same, lowest day", slices.Min(benefitShares)),
		Figure("zone lost: gain over the local rule, mean", gain),
		Figure("zone lost: gain over the local rule, half of a 95 % interval", gainHalfWidth),
		Figure("zone lost: gain over locality with 1.4 and panic, mean", localityGain),
		Figure("zone lost: gain over locality, half of a 95 % interval", localityHalfWidth),
		Figure("zone lost: load offered under the local rule / zone capacity, max", localWorst),
		AtMost("zone lost: seconds to a plan, p50", quantile(planDelays, 0.5), 2),
		AtMost("zone lost: seconds to a plan, p99", quantile(planDelays, 0.99), 4),
		Figure("zone restored: seconds until 99 % of local work is served locally again, p50", quantile(returnDelays, 0.5)),
		AtMost("zone restored: seconds until 99 % of local work is served locally again, p99", quantile(returnDelays, 0.99), 30),
	}, nil
}

// flapping simulates a zone that fails and recovers every five seconds for two minutes.
func flapping(days uint64) ([]Row, error) {
	const from, to = 20.0, 140.0
	plans, worst, offered := 0.0, 0.0, 0.0
	for seed := range days {
		s := daySettings(seed, zones.Planned, zones.Fault{At: from, Until: to, Kind: zones.Flapping, Zone: 0, By: 5})
		s.Duration = 170
		r, err := zones.Play(s)
		if err != nil {
			return nil, err
		}
		n := 0.0
		for _, at := range r.PlanChanges {
			if at > from && at < to {
				n++
			}
		}
		plans, worst, offered = plans+n/(to-from)*60/float64(days), max(worst, n/(to-from)*60), max(offered, r.MaxFailoverLoad)
	}
	return []Row{
		AtMost("flapping every 5 s: plans per minute, mean", plans, 2),
		Figure("flapping every 5 s: plans per minute, max of a day", worst),
		AtMost("flapping every 5 s: offered load / zone capacity, max", offered, 1.05),
	}, nil
}

// unreliableObservers simulates observers that report false evidence and observers that are cut off.
func unreliableObservers(days uint64) ([]Row, error) {
	wronglyGivenUp, cases := 0, 0
	for seed := range days {
		for n, f := range []zones.Fault{{Kind: zones.CoordinatorsUnreachable}, {Kind: zones.LinkCut}, {Kind: zones.OneWayCut}, {Kind: zones.RegionCutOff}, {Kind: zones.ControllerStopped}, {}} {
			f.Zone, f.At, f.Until = int(seed)%3, 20, 50
			f.To = (f.Zone + 1) % 3
			s := daySettings(seed, zones.Planned, f)
			if n == 5 {
				s.Faults, s.MisreportingShare = nil, 0.4
			}
			r, err := zones.Play(s)
			if err != nil {
				return nil, err
			}
			cases++
			if len(r.GivenUp) > 0 {
				wronglyGivenUp++
			}
		}
	}
	return []Row{AtLeast("observers cut off or reporting falsely (four in ten): cases", float64(cases), 100), AtMost("observers cut off or reporting falsely: healthy zones given up", float64(wronglyGivenUp), 0)}, nil
}

// evidenceBytes measures the encoded size of a router's evidence about n zones with all figures present.
func evidenceBytes(n int) ([]Row, error) {
	r := failover.Report{Zone: n - 1, Demand: 123.456789, Pinned: 1.23456789, Epoch: 123456, Span: 1.00123456}
	for range n {
		r.Observations = append(r.Observations, failover.ZoneObservation{Attempts: 1234, Failed: 12, Rejected: 3, Late: 45, Work: 123.456789, Slow: 1.23456789, Ready: 64, ColdCores: 7.123456789, DrainingCores: 8, SuspectCores: 16})
	}
	body, err := json.Marshal(r)
	return []Row{AtMost(fmt.Sprintf("evidence of %d zones, all figures present: bytes per router and second", n), float64(len(body)), 2048)}, err
}

// zoneCut runs real processes and cuts a zone's servers off from all routers, once with the fleet's plans and once without.
func zoneCut(bin string) ([]Row, error) {
	type observed struct {
		planDelay, returnDelay      float64
		before, after               faultrig.Figures
		sentIntoZone, sentElsewhere int
	}
	var all [2]observed
	var group errgroup.Group
	for k, taskKinds := range [][]string{{"plan"}, {"trial"}} {
		group.Go(func() error {
			dir, err := os.MkdirTemp("", "dunerig")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			f := scenario.File{Name: "zones", Coordinators: 3, Routers: 6, Zones: 3, Servers: 6, Lease: 2, Drift: 0.05}
			r, err := faultrig.NewWith(f, faultrig.Options{WarmServers: true, LinkFaults: true, ServerCores: 8, WorkPerRequest: 0.01, Clients: []int{8, 8, 8, 8, 8, 8}, TaskKinds: taskKinds}, bin, dir, nil)
			if err != nil {
				return err
			}
			defer r.Close()
			r.GenerateLoad = true
			if err := r.Start(); err != nil {
				return err
			}
			waitFor := func(seconds float64, goal string, observed func() bool) (float64, error) {
				began := time.Now()
				for !observed() {
					if time.Since(began).Seconds() > seconds {
						return 0, fmt.Errorf("%s: not reached within %.0f s; violations: %v", goal, seconds, r.Figures().Violations)
					}
					time.Sleep(20 * time.Millisecond)
				}
				return time.Since(began).Seconds(), nil
			}
			if _, err := waitFor(20, "load", func() bool { return min(r.ZoneAttempts(1), r.ZoneAttempts(2), r.ZoneAttempts(3)) > 200 }); err != nil {
				return err
			}
			s := &all[k]
			s.before = r.Figures()
			r.CutServers(1, nil)
			if k == 0 {
				if s.planDelay, err = waitFor(15, "a plan without zone 1", func() bool {
					p, err := r.Plan()
					return err == nil && len(p.Plan.Share) == 3 && p.Plan.Share[0][0]+p.Plan.Share[1][0]+p.Plan.Share[2][0] == 0
				}); err != nil {
					return err
				}
			}
			time.Sleep(time.Duration((8 - s.planDelay) * float64(time.Second)))
			in, out := r.ZoneAttempts(1), r.ZoneAttempts(2)+r.ZoneAttempts(3)
			time.Sleep(4 * time.Second)
			s.sentIntoZone, s.sentElsewhere = r.ZoneAttempts(1)-in, r.ZoneAttempts(2)+r.ZoneAttempts(3)-out
			s.after = r.Figures()
			r.Heal()
			if k == 0 {
				s.returnDelay, err = waitFor(30, "a plan with zone 1", func() bool {
					p, err := r.Plan()
					return err == nil && len(p.Plan.Share) == 3 && p.Plan.Share[0][0] > 0.99
				})
			}
			if wrong := r.Figures().Violations; len(wrong) > 0 {
				return fmt.Errorf("invariants violated: %v", wrong)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	uncompletedShare := func(s observed) float64 {
		requests := float64(s.after.Requests - s.before.Requests)
		return 1 - float64(s.after.Completed-s.before.Completed)/max(requests, 1)
	}
	return []Row{
		AtLeast("processes: requests in the 12 s after a zone was cut off", float64(all[0].after.Requests-all[0].before.Requests), 2000),
		AtMost("processes: seconds to a plan without the zone", all[0].planDelay, 4),
		AtMost("processes: attempts to the zone under the plan / attempts elsewhere", float64(all[0].sentIntoZone)/max(float64(all[0].sentElsewhere), 1), 0.02),
		AtMost("processes: requests not completed, share", uncompletedShare(all[0]), uncompletedShare(all[1])+0.02),
		Figure("processes: the same without plans", uncompletedShare(all[1])),
		Figure("processes: seconds until the zone has its full share in the plan again", all[0].returnDelay),
	}, nil
}

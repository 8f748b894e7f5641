package measure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"dunereach/emulator/scenario"
)

// Soak injects random faults into five coordinators and forty routers, which run as processes with clients, and prints a line per minute.
// It returns an error if an invariant was violated.
func Soak(out io.Writer, minutes float64) error {
	bin, err := programFolder()
	if err != nil {
		return err
	}
	const coordinators, routers, zones = 5, 40, 3
	f := scenario.File{Name: "soak", Coordinators: coordinators, Routers: routers, Zones: zones, Servers: 4, Lease: 3, Drift: 0.05, PersistentFolders: true, Seed: 1, SettleTime: 40}
	r, end, err := startRig(f, bin, true)
	if err != nil {
		return err
	}
	defer end()
	if err := r.Await("dealt"); err != nil {
		return fmt.Errorf("%v\n%s", err, r.LogTails())
	}
	rnd := rand.New(rand.NewPCG(f.Seed, 31))
	fmt.Fprintf(out, "%d coordinators and %d routers in %d zones, leases of %g s, four cold servers; random faults with seed %d.\n\n", coordinators, routers, zones, f.Lease, f.Seed)
	fmt.Fprintln(out, "| minute | faults | acts | under a stale fence | max share of an allowance | tasks lost | requests | completed | rejected | failed | cut off | ran twice |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	faults := 0
	began := time.Now()
	down, stopped := map[string]bool{}, map[string]bool{}
	minute := 1
	drawTarget := func() string {
		if rnd.IntN(4) == 0 {
			return fmt.Sprint("k", 1+rnd.IntN(coordinators))
		}
		if o := r.Owner(); o != "" && rnd.IntN(2) == 0 {
			return o
		}
		return fmt.Sprint("n", 1+rnd.IntN(routers))
	}
	printRow := func() {
		figures := r.Figures()
		fmt.Fprintf(out, "| %d | %d | %d | %d | %.3f | %d | %d | %d | %d | %d | %d | %d |\n", minute, faults, figures.Acts, figures.StaleActs, figures.MaxInUse, len(figures.OwnerGaps), figures.Requests, figures.Completed, figures.Rejected, figures.Failed, figures.Disconnected, figures.RanTwice)
	}
	for time.Since(began).Minutes() < minutes {
		time.Sleep(time.Duration(rnd.ExpFloat64() * 1.5 * 1e9)) // random intervals with a mean of 1.5 s
		faults++
		switch name := drawTarget(); rnd.IntN(8) {
		case 0, 1:
			if !down[name] {
				err = r.Do([]string{"kill", "end"}[rnd.IntN(2)], name)
				down[name], stopped[name] = true, false
			}
		case 2:
			if !down[name] {
				err = r.Do("stop", name)
				stopped[name] = true
			}
		case 3:
			r.InjectLinkFault("cut", name, fmt.Sprint("k", 1+rnd.IntN(coordinators)), 0)
		case 4:
			r.InjectLinkFault("hold", fmt.Sprint("k", 1+rnd.IntN(coordinators)), name, rnd.Float64()*20)
		case 5:
			r.Heal()
		case 6:
			for n := range stopped {
				if stopped[n] && err == nil {
					err = r.Do("continue", n)
					stopped[n] = false
				}
			}
		default:
			for n := range down {
				if down[n] && err == nil {
					err = r.Do("start", n)
					down[n] = false
				}
			}
		}
		if err != nil {
			return err
		}
		if time.Since(began).Minutes() >= float64(minute) {
			printRow()
			minute++
		}
	}
	for n := range stopped {
		if stopped[n] {
			r.Do("continue", n)
		}
	}
	for n := range down {
		if down[n] {
			if err := r.Do("start", n); err != nil {
				return err
			}
		}
	}
	r.Heal()
	faultsEnded := time.Now()
	if err := r.Await("dealt"); err != nil {
		return fmt.Errorf("after the last fault: %v\n%s", err, r.LogTails())
	}
	printRow()
	figures := r.Figures()
	fmt.Fprintf(out, "\nAll tasks owned and all shares granted %.1f s after the last fault. Longest time from the loss of an owner to the next owner's first act %.1f s, median %.1f s.\n",
		time.Since(faultsEnded).Seconds(), quantile(figures.OwnerGaps, 1), quantile(figures.OwnerGaps, 0.5))
	if len(figures.Violations) > 0 {
		fmt.Fprintln(os.Stderr, strings.Join(figures.Violations, "\n"))
		return errRulesBroken
	}
	return nil
}

var errRulesBroken = fmt.Errorf("soak: invariants violated")

package measure

import (
	"math"

	"dunereach/emulator/modelcheck"
)

// The short forms run fewer cases of the same measurements against the same bounds, without router processes and without figures that
// depend on the machine's speed. CI runs them to detect changes that break a documented figure.

// unreliableObserverSeeds is the number of seeds of unreliableObservers. It is large enough to include those of past failures: with seed
// 13 a healthy zone was given up.
const unreliableObserverSeeds = 20

func shortFailover() ([]Row, error) {
	return runAll(
		func() ([]Row, error) { return drawnDays(0, 60, 60) },
		func() ([]Row, error) { return daysWithoutFaults(5) },
		func() ([]Row, error) { return lostZones(9) },
		func() ([]Row, error) { return flapping(20) }, // as many as in the full form: a mean over fewer days differs
		func() ([]Row, error) { return unreliableObservers(unreliableObserverSeeds) },
		func() ([]Row, error) { return evidenceBytes(9) },
	)
}

func shortOwner() ([]Row, error) {
	return runAll(
		func() ([]Row, error) { return drawnRunsInProcess(1000, 60) },
		func() ([]Row, error) { return exploreStates(modelcheck.ShortBounds) },
	)
}

// drawnRunsInProcess simulates random runs of a fleet in this process.
func drawnRunsInProcess(from, count uint64) ([]Row, error) {
	figures, runs, err := RunSeeds(from, count, math.MaxInt32)
	var wrong []string
	if err != nil {
		wrong = append(wrong, err.Error())
	}
	return virtualRows(figures, runs, wrong), nil
}

func shortState() ([]Row, error) {
	return runAll(
		func() ([]Row, error) { return killedWriters(40) },
		func() ([]Row, error) { return trustByAge(), nil },
		func() ([]Row, error) { return restartRegret(4) },
		func() ([]Row, error) { return rollingRestart(30) },
	)
}

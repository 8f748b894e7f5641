package measure

import (
	"math"

	"dunereach/emulator/modelcheck"
)

// The short forms play fewer cases of the same measurements, by the same bounds, with no processes of routers and no figures that
// depend on the machine's pace: CI runs them, so that a change which breaks a figure of the documents is seen.

// unreliableObserverSeeds is so many seeds of lying that those of past failures are among them: 13 gave a zone up that was well.
const unreliableObserverSeeds = 20

func shortFailover() ([]Row, error) {
	return runAll(
		func() ([]Row, error) { return drawnDays(0, 60, 60) },
		func() ([]Row, error) { return calmDays(5) },
		func() ([]Row, error) { return lostZones(9) },
		func() ([]Row, error) { return flapping(20) }, // the mean of fewer is another figure
		func() ([]Row, error) { return unreliableObservers(unreliableObserverSeeds) },
		func() ([]Row, error) { return evidenceBytes(9) },
	)
}

func shortOwner() ([]Row, error) {
	return runAll(
		func() ([]Row, error) { return drawnRunsInProcess(1000, 60) },
		func() ([]Row, error) { return exploreStates(modelcheck.Short) },
	)
}

// drawnRunsInProcess plays drawn runs of a fleet in this process.
func drawnRunsInProcess(from, count uint64) ([]Row, error) {
	figures, runs, err := Seeds(from, count, math.MaxInt32)
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

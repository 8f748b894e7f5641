package measure

import (
	"os"
	"runtime"
	"time"

	"dunereach/internal/expect"
	"dunereach/internal/operator/schema"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Expect measures the expectations of the example deployment. It must run in the root folder of the repository.
func Expect() ([]Row, error) { return expectations(true) }

// shortExpect leaves out the detection of broken configurations, which takes nine tenths of the time, and all figures that depend on the
// machine's speed or on other work of this process.
func shortExpect() ([]Row, error) { return expectations(false) }

func expectations(full bool) ([]Row, error) {
	var u expect.Configuration
	var err error
	if u.Config, err = os.ReadFile("deploy/example.json"); err != nil {
		return nil, err
	}
	if u.Operator, err = os.ReadFile("deploy/operator.json"); err != nil {
		return nil, err
	}
	readSuite := func() []expect.Source {
		var s []expect.Source
		if err == nil {
			s, err = expect.ReadFiles([]string{"deploy/expectations"}, schema.CheckExpectations)
		}
		return s
	}
	suite := readSuite()
	if err != nil {
		return nil, err
	}
	const coreCount = 4 // the bound of 60 s below holds for this number of cores
	began := time.Now()
	outcomes := expect.Check(u, suite, expect.Options{Cores: coreCount})
	elapsed := time.Since(began).Seconds()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	sameOutcomes := 1.0
	if again := expect.Check(u, readSuite(), expect.Options{}); !cmp.Equal(outcomes, again, cmpopts.IgnoreFields(expect.Outcome{}, "Seconds")) {
		sameOutcomes = 0
	}
	planted, err := expect.Parse([]byte(plantedFile), schema.CheckExpectations)
	if err != nil {
		return nil, err
	}
	plantedCounts := expect.Count(expect.Check(u, []expect.Source{{Name: "planted", File: planted}}, expect.Options{}))
	rows := []Row{AtLeast("expectations", float64(len(outcomes)), 50),
		AtLeast("expectations passed, share", float64(expect.Count(outcomes)[expect.Passed])/float64(len(outcomes)), 1),
		AtLeast("same outcomes on four cores and on all cores", sameOutcomes, 1),
		Between("planted file of four expectations: void", float64(plantedCounts[expect.UnknownServer]), 2, 2),
		Between("planted file of four expectations: never exercised", float64(plantedCounts[expect.NeverExercised]), 1, 1),
		Between("planted file of four expectations: failed", float64(plantedCounts[expect.Failed]), 1, 1)}
	if !full {
		return rows, nil
	}
	rows = append(rows, AtMost("seconds for all expectations on four cores", elapsed, 60), AtMost("peak memory obtained from the system (MB)", float64(memory.Sys)/(1<<20), 500))
	broken, err := detectedMutants(u, readSuite())
	return append(rows, broken...), err
}

// detectedMutants breaks the configuration in one way at a time and counts the broken configurations that the suite detects.
func detectedMutants(under expect.Configuration, suite []expect.Source) ([]Row, error) {
	// One seed is enough to detect a break; three would take three times as long.
	mutants, err := expect.CheckMutations(under, suite, expect.Options{Seed: 1}, func(string) {})
	if err != nil {
		return nil, err
	}
	detected := 0.0
	for _, m := range mutants {
		if m.Err != nil || len(m.DetectedBy) > 0 {
			detected++
		}
	}
	return []Row{Figure("broken configurations", float64(len(mutants))), AtLeast("broken configurations detected, share", detected/float64(len(mutants)), 1)}, nil
}

const plantedFile = `{"given": {"seconds": 5, "traffic": [{"name": "t", "profile": "quick", "tenant": "depot", "rate": 20, "work": 0.1}]},
	"expectations": [
	{"name": "void-never-there", "says": "names an engine that the list never has", "holds": [{"never": {"on": "send", "that": "engine == 'e-77'"}}]},
	{"name": "void-gone", "says": "drains an engine that is gone", "happens": [{"at": 1, "what": "gone", "engines": ["e-1"]},
		{"at": 3, "what": "drain", "engines": ["e-1"]}], "holds": [{"never": {"on": "send", "that": "out > 0"}}]},
	{"name": "idle", "says": "no traffic meets its condition", "holds": [{"never": {"on": "send", "when": "profile == 'long'", "that": "out > 0"}}]},
	{"name": "fails", "says": "no lookup is ever sent", "holds": [{"never": {"on": "send", "that": "true"}}]}]}`

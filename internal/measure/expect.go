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

// Expect measures the suite of the example deployment: it runs from the root.
func Expect() ([]Row, error) { return expectations(true) }

// shortExpect leaves out which broken configurations are noticed, nine tenths of the time, and what depends on the machine's pace or on
// what else this process does.
func shortExpect() ([]Row, error) { return expectations(false) }

func expectations(full bool) ([]Row, error) {
	var u expect.Under
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
			s, err = expect.Read([]string{"deploy/expectations"}, schema.CheckExpectations)
		}
		return s
	}
	suite := readSuite()
	if err != nil {
		return nil, err
	}
	const coreCount = 4 // cores
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
		AtLeast("of them passed", float64(expect.Count(outcomes)[expect.Passed])/float64(len(outcomes)), 1),
		AtLeast("same outcomes on four cores and on all", sameOutcomes, 1),
		Between("planted file of four: void", float64(plantedCounts[expect.Void]), 2, 2),
		Between("planted file of four: never exercised", float64(plantedCounts[expect.Idle]), 1, 1),
		Between("planted file of four: failed", float64(plantedCounts[expect.Failed]), 1, 1)}
	if !full {
		return rows, nil
	}
	rows = append(rows, AtMost("seconds for all on four cores", elapsed, 60), AtMost("memory from the system at its peak (MB)", float64(memory.Sys)/(1<<20), 500))
	broken, err := detectedMutants(u, readSuite())
	return append(rows, broken...), err
}

// detectedMutants breaks the configuration in one way after another and tells how many of these the suite notices.
func detectedMutants(under expect.Under, suite []expect.Source) ([]Row, error) {
	// One seed is enough to notice a break, and three take three times as long.
	mutants, err := expect.Mutate(under, suite, expect.Options{Seed: 1}, func(string) {})
	if err != nil {
		return nil, err
	}
	detected := 0.0
	for _, m := range mutants {
		if m.Err != nil || len(m.Noticed) > 0 {
			detected++
		}
	}
	return []Row{Figure("configurations broken", float64(len(mutants))), AtLeast("of them noticed", detected/float64(len(mutants)), 1)}, nil
}

const plantedFile = `{"given": {"seconds": 5, "traffic": [{"name": "t", "profile": "quick", "tenant": "depot", "rate": 20, "work": 0.1}]},
	"expectations": [
	{"name": "void-never-there", "says": "names an engine that the list never has", "holds": [{"never": {"on": "send", "that": "engine == 'e-77'"}}]},
	{"name": "void-gone", "says": "drains an engine that is gone", "happens": [{"at": 1, "what": "gone", "engines": ["e-1"]},
		{"at": 3, "what": "drain", "engines": ["e-1"]}], "holds": [{"never": {"on": "send", "that": "out > 0"}}]},
	{"name": "idle", "says": "no traffic meets its condition", "holds": [{"never": {"on": "send", "when": "profile == 'long'", "that": "out > 0"}}]},
	{"name": "fails", "says": "no lookup is ever sent", "holds": [{"never": {"on": "send", "that": "true"}}]}]}`

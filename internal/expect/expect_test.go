package expect_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"dunereach/internal/expect"
	"dunereach/internal/operator/schema"
	"dunereach/internal/script"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

func exampleDeployment(t *testing.T) expect.Configuration {
	t.Helper()
	config, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	operator, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	return expect.Configuration{Config: config, Operator: operator}
}

// TestSuite guards against an example deployment that violates its own expectations, and against outcomes that depend
// on the number of cores.
func TestSuite(t *testing.T) {
	read := func() []expect.Source {
		s, err := expect.ReadFiles([]string{"../../deploy/expectations"}, schema.CheckExpectations)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	all := expect.Check(exampleDeployment(t), read(), expect.Options{})
	for _, o := range all {
		if !o.Held() {
			t.Errorf("%s: %s: %s", o.Name, o.Status, o.Reason)
		}
	}
	if len(all) < 50 {
		t.Errorf("%d expectations", len(all))
	}
	if testing.Short() || t.Failed() {
		return
	}
	onOneCore := expect.Check(exampleDeployment(t), read(), expect.Options{Cores: 1})
	if diff := cmp.Diff(all, onOneCore, cmpopts.IgnoreFields(expect.Outcome{}, "Seconds")); diff != "" {
		t.Errorf("the outcomes differ on one core:\n%s", diff)
	}
}

// TestFiles compares the outcome of each file of expectations in the scripts: unreadable files, unknown servers and
// violated holds must be reported with their place.
func TestFiles(t *testing.T) {
	u := exampleDeployment(t)
	script.Compare(t, func(t *testing.T, text string) string {
		return script.Annotate(text, func(line string) string {
			f, err := expect.Parse([]byte(line), schema.CheckExpectations)
			all := expect.Check(u, []expect.Source{{Name: "file", File: f, Err: err}}, expect.Options{})
			var results []string
			for _, o := range all {
				results = append(results, strings.TrimSpace(fmt.Sprintf("%s: %s", o.Status, o.Reason)))
			}
			return strings.Join(results, " | ")
		})
	})
}

// TestShortest guards against a trace that keeps parts which the failure does not need, and against a failure that its
// seed does not reproduce.
func TestShortest(t *testing.T) {
	f, err := expect.Parse([]byte(`{"expectations":[{"name":"x","says":"Nothing goes to e-1 once it drains.","given":{"traffic":[
		{"name":"a","profile":"quick","tenant":"depot","rate":20,"work":0.1},{"name":"b","profile":"long","tenant":"house","rate":1,"work":2}]},
		"happens":[{"at":2,"what":"pace","engines":["e-2"],"value":0.5},{"at":5,"what":"drain","engines":["e-1"]}],
		"holds":[{"never":{"on":"list","that":"ready < 4"}}]}]}`), schema.CheckExpectations)
	if err != nil {
		t.Fatal(err)
	}
	out := expect.Check(exampleDeployment(t), []expect.Source{{Name: "file", File: f}}, expect.Options{Trace: true})[0]
	if out.Status != expect.Failed || out.FailedAt < 5 || out.FailedAt > 6 || len(out.Trace) == 0 ||
		out.Trace[0] != "needed events: drain at 5 s" || strings.Contains(strings.Join(out.Trace, " "), "needed traffic") {
		t.Errorf("%+v", out)
	}
	again := expect.Check(exampleDeployment(t), []expect.Source{{Name: "file", File: f}}, expect.Options{Trace: true, Seed: out.Seed})[0]
	if diff := cmp.Diff(out, again, cmpopts.IgnoreFields(expect.Outcome{}, "Seconds")); diff != "" {
		t.Errorf("with its seed the outcome differs:\n%s", diff)
	}
}

// TestRecords guards against margins that shrink, and expectations that disappear, unnoticed because all others pass.
func TestRecords(t *testing.T) {
	path := t.TempDir() + "/record.json"
	before := []expect.Outcome{{Name: "a", Status: expect.Passed, Margin: 0.4, Exercised: 100}, {Name: "b", Status: expect.Passed, Margin: 0.4, Exercised: 100},
		{Name: "c", Status: expect.Passed, Margin: 1, Exercised: 5}}
	if err := expect.SaveFigures(path, before); err != nil {
		t.Fatal(err)
	}
	got, err := expect.CompareFigures(path, []expect.Outcome{{Name: "a", Status: expect.Passed, Margin: 0.1, Exercised: 100},
		{Name: "b", Status: expect.Passed, Margin: 0.35, Exercised: 10}}, 0.25)
	want := []string{"a: its margin was 0.4 and is 0.1", "b: it was checked at 100 events and is checked at 10", "c: it is gone"}
	if diff := cmp.Diff(want, got); diff != "" || err != nil {
		t.Errorf("%v\n%s", err, diff)
	}
}

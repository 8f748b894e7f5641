package schema

import (
	"os"
	"path/filepath"
	"testing"

	"dunereach/deploy"
	"dunereach/internal/script"

	"github.com/google/go-cmp/cmp"
)

// TestSchemaFilesUpToDate: the schemas under deploy/, which the programs embed, are those generated from the types. `make schema`
// rewrites them.
func TestSchemaFilesUpToDate(t *testing.T) {
	for _, s := range []struct {
		file     []byte
		generate func() ([]byte, error)
	}{{deploy.OperatorSchema, Operator}, {deploy.ExpectationSchema, Expectations}, {deploy.ScenarioSchema, Scenarios}} {
		generated, err := s.generate()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(s.file), string(generated)); diff != "" {
			t.Errorf("a schema under deploy/ differs from the one generated from the types (-file +generated):\n%s", diff)
		}
	}
}

// TestOperatorFileErrors checks each line of the scripts as an operators' file and compares the results.
func TestOperatorFileErrors(t *testing.T) {
	script.Compare(t, func(t *testing.T, text string) string { return script.Annotate(text, checkResult) })
}

func checkResult(line string) string {
	if err := Check([]byte(line)); err != nil {
		return err.Error()
	}
	return "good"
}

// TestScenarioFilesMatchSchema: the stored scripts of faults are valid, and an invalid one is rejected.
func TestScenarioFilesMatchSchema(t *testing.T) {
	files, err := filepath.Glob("../../../emulator/scenario/files/*.json")
	if err != nil || len(files) < 15 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := CheckScenario(text); err != nil {
			t.Errorf("%s: %v", filepath.Base(file), err)
		}
	}
	if err := CheckScenario([]byte(`{"name":"x","events":[{"do":"explode"}]}`)); err == nil {
		t.Error("an event with an unknown action is accepted")
	}
}

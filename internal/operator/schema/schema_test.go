package schema

import (
	"os"
	"path/filepath"
	"testing"

	"dunereach/deploy"
	"dunereach/internal/script"

	"github.com/google/go-cmp/cmp"
)

// TestSchemaFilesUpToDate: the file that the programs carry is what the types make. `make schema` writes it anew.
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
			t.Errorf("a schema under deploy/ is not what the types make (-file +types):\n%s", diff)
		}
	}
}

// TestOperatorFileErrors checks each line of the scripts as a text, and prints what is said of it.
func TestOperatorFileErrors(t *testing.T) {
	script.Compare(t, func(t *testing.T, text string) string { return script.Lines(text, checkResult) })
}

func checkResult(line string) string {
	if err := Check([]byte(line)); err != nil {
		return err.Error()
	}
	return "good"
}

// TestScenarioFilesMatchSchema: the scripts that are kept are what the schema says.
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
		t.Error("a script of nonsense is good")
	}
}

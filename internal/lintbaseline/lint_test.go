// Package lintbaseline contains only a test of the script by which CI compares the linters' findings with the counts of
// a baseline.
package lintbaseline

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// clean is a package without findings.
const clean = "// Package planted is clean.\npackage planted\n\n// One is one.\nfunc One() int { return 1 }\n"

// longFunction returns a function with the given number of lines between its braces.
func longFunction(name string, lines int) string {
	return "\nfunc " + name + "() {\n" + strings.Repeat("\tprintln()\n", lines) + "}\n\nvar _ = " + name + "\n"
}

// branches returns a function with a cognitive complexity of 15, from five nested branches, plus one for each extra
// branch.
func branches(extra int) string {
	nested := "\tif n > 1 {\n\t\tif n > 2 {\n\t\t\tif n > 3 {\n\t\t\t\tif n > 4 {\n\t\t\t\t\tif n > 5 {\n\t\t\t\t\t\tprintln()\n\t\t\t\t\t}\n\t\t\t\t}\n\t\t\t}\n\t\t}\n\t}\n"
	return "\nfunc branches(n int) {\n" + nested + strings.Repeat("\tif n > 6 {\n\t\tprintln()\n\t}\n", extra) + "}\n\nvar _ = branches\n"
}

// lint runs the script on a module with one file and the given baseline. It returns the output and the baseline
// afterwards.
func lint(t *testing.T, source, baseline string, args ...string) (printed, baselineAfter string, err error) {
	t.Helper()
	script, err := filepath.Abs("../../.ci/lint")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module planted\n\ngo 1.26.0\n", "planted.go": source, "baseline.txt": baseline} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	command := exec.Command(script, args...)
	command.Dir = dir
	command.Env = append(os.Environ(), "LINT_BASELINE="+filepath.Join(dir, "baseline.txt"))
	out, err := command.CombinedOutput()
	baselineText, readErr := os.ReadFile(filepath.Join(dir, "baseline.txt"))
	if readErr != nil {
		t.Fatal(readErr)
	}
	return string(out), string(baselineText), err
}

// TestPlantedFindings guards against a script that lets findings pass: a finding of each rule must fail it and be
// printed, and must pass if the baseline counts it.
func TestPlantedFindings(t *testing.T) {
	for name, c := range map[string]struct{ source, finding, baseline string }{
		"clean":             {source: clean},
		"staticcheck":       {source: clean + "\nfunc unused() {}\n", finding: "func unused is unused", baseline: "U1000 . 1\n"},
		"does not build":    {source: clean + "\nvar x = nowhere\n", finding: "undefined: nowhere"},
		"no doc comment":    {source: clean + "\nfunc Two() int { return 2 }\n", finding: "exported function Two should have comment", baseline: "exported . 1\n"},
		"no package's":      {source: strings.TrimPrefix(clean, "// Package planted is clean.\n"), finding: "should have a package comment", baseline: "package-comments . 1\n"},
		"a name's case":     {source: clean + "\nvar apiUrl = 1\n\nvar _ = apiUrl\n", finding: "var apiUrl should be apiURL", baseline: "var-naming . 1\n"},
		"60 lines":          {source: clean + longFunction("long", 60)},
		"61 lines":          {source: clean + longFunction("long", 61), finding: "max 60 but got 61", baseline: "function-length . 1\n"},
		"81 lines":          {source: clean + longFunction("long", 81), finding: "function-length-80", baseline: "function-length . 1\nfunction-length-80 . 1\n"},
		"complexity 20":     {source: clean + branches(5)},
		"complexity 21":     {source: clean + branches(6), finding: "cognitive complexity 21", baseline: "cognitive-complexity . 1\n"},
		"a file of 501":     {source: clean + strings.Repeat("\n", 500-5) + "// End.\n", finding: "file length is 501", baseline: "file-length-limit . 1\n"},
		"two where one was": {source: clean + longFunction("long", 61) + longFunction("longer", 62), finding: "function-length .: 2 found, 1 in the baseline"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := "# Counts.\n"
			if name == "two where one was" {
				before += "function-length . 1\n"
			}
			printed, _, err := lint(t, c.source, before)
			if (err != nil) != (c.finding != "") || !strings.Contains(printed, c.finding) {
				t.Errorf("%v: it printed %q, want a failure with %q", err, printed, c.finding)
			}
			if c.baseline == "" {
				return
			}
			if printed, _, err := lint(t, c.source, c.baseline); err != nil {
				t.Errorf("counted: %v: it printed %q", err, printed)
			}
		})
	}
}

// TestLower guards against a baseline that grows or stays too high: a count that has fallen is reported and, with
// "lower", written; a count is never raised, and an invalid line is an error.
func TestLower(t *testing.T) {
	const baseline = "# Counts.\nU1000 . 3\nexported . 1\n"
	source := clean + "\nfunc unused() {}\n"
	printed, after, err := lint(t, source, baseline)
	if err != nil || after != baseline || !strings.Contains(printed, "U1000 .: 1 found, the baseline can be lowered from 3") {
		t.Errorf("compared: %v: it printed %q, the baseline is %q", err, printed, after)
	}
	if printed, after, err = lint(t, source, baseline, "lower"); err != nil || after != "# Counts.\nU1000 . 1\n" {
		t.Errorf("lowered: %v: it printed %q, the baseline is %q", err, printed, after)
	}
	if printed, after, err = lint(t, source, "exported . 1\n", "lower"); err == nil || after != "exported . 1\n" {
		t.Errorf("risen: %v: it printed %q, the baseline is %q", err, printed, after)
	}
	if printed, _, err = lint(t, clean, "exported one\n"); err == nil || !strings.Contains(printed, "can not be read: exported one") {
		t.Errorf("bad line: %v: it printed %q", err, printed)
	}
}

// Package knownred contains only a test of the script by which CI skips tests that are known to fail.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRed guards against a list that skips more than it should: it checks which entries the script accepts, which
// tests it skips, and what it prints for a listed test that passes.
func TestKnownRed(t *testing.T) {
	const here = "./internal/knownred "
	for name, c := range map[string]struct {
		list, skip, run string // expected output
		wrong           string // expected error for a list that can't be used
	}{
		"none":           {list: ""},
		"comments":       {list: "# nothing\n\n"},
		"one that fails": {list: here + "TestRed: it is planted; issue 1\n", skip: "-skip=^(TestRed)$", run: "TestRed in ./internal/knownred fails as listed: it is planted; issue 1"},
		"one that passes": {list: here + "TestGreen: nothing; issue 2\n" + here + "TestRed: it is planted; issue 1\n",
			skip: "-skip=^(TestGreen|TestRed)$", run: "TestGreen in ./internal/knownred PASSES and should leave the list"},
		"four":          {list: strings.Repeat(here+"TestRed: it is planted; issue 1\n", 4), wrong: "more than three"},
		"no such test":  {list: here + "TestNowhere: it is gone; issue 1\n", wrong: "there is no test TestNowhere"},
		"no cause":      {list: here + "TestRed: issue 1\n", wrong: "no cause and issue"},
		"no test named": {list: "it is planted; issue 1\n", wrong: "is not PACKAGE TEST"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(c.list), 0o600); err != nil {
				t.Fatal(err)
			}
			for verb, want := range map[string]string{"skip": c.skip, "run": c.run} {
				cmd := exec.Command(".ci/known-red", verb)
				cmd.Dir, cmd.Env = "../..", append(os.Environ(), "KNOWN_RED="+file, "PLANTED_RED=1")
				out, err := cmd.CombinedOutput()
				if c.wrong != "" {
					want = c.wrong
				}
				if (err != nil) != (c.wrong != "") || !strings.Contains(string(out), want) || want == "" && len(out) > 0 {
					t.Errorf("%s: %v: it printed %q, want %q", verb, err, out, want)
				}
			}
		})
	}
}

// TestRed fails when TestKnownRed runs it as a listed test.
func TestRed(t *testing.T) {
	if os.Getenv("PLANTED_RED") != "" {
		t.Error("planted")
	}
}

// TestGreen passes.
func TestGreen(*testing.T) {}

// Package script runs golden tests: a script in testdata has steps, and after each step, as indented lines, the expected output of the
// code.
package script

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the expected output; review the difference before committing it")

// Printf adds a line to the output of the current step.
type Printf func(format string, a ...any)

// Run runs all scripts of testdata with each of the variants and compares the output with the expected one. A variant returns the
// function that executes one step, given as its words.
func Run(t *testing.T, variants ...func(t *testing.T, printf Printf) (step func(words []string))) {
	var traces []func(*testing.T, string) string
	for _, start := range variants {
		traces = append(traces, func(t *testing.T, text string) string { return play(t, text, start) })
	}
	Compare(t, traces...)
}

// Compare compares each script of testdata with the text that each of the variants returns for it.
func Compare(t *testing.T, variants ...func(t *testing.T, text string) string) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, file := range files {
		want, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for n, trace := range variants {
			t.Run(fmt.Sprint(filepath.Base(file), n), func(t *testing.T) {
				got := trace(t, string(want))
				if *update && n == 0 {
					want = []byte(got)
					if err := os.WriteFile(file, want, 0o644); err != nil {
						t.Fatal(err)
					}
				}
				if diff := cmp.Diff(string(want), got); diff != "" {
					t.Errorf("output differs (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func play(t *testing.T, text string, start func(*testing.T, Printf) func([]string)) string {
	var out strings.Builder
	step := start(t, func(format string, a ...any) { fmt.Fprintf(&out, "    "+format+"\n", a...) })
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, " ") {
			continue
		}
		out.WriteString(line)
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			step(strings.Fields(line))
		}
	}
	return out.String()
}

// Annotate returns a script in which each line is followed by its result as an indented line. Old results are dropped.
func Annotate(text string, result func(line string) string) string {
	var out strings.Builder
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, " ") {
			continue
		}
		out.WriteString(line)
		if line = strings.TrimSuffix(line, "\n"); line != "" && line[0] != '#' {
			fmt.Fprintf(&out, "    %s\n", result(line))
		}
	}
	return out.String()
}

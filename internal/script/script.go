// Package script is the tests' way of keeping traces: scripts in testdata whose indented lines are what the
// code did when the line above was played.
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

var update = flag.Bool("update", false, "write the traces anew; read the difference before you keep it")

// Say prints what was done.
type Say func(format string, a ...any)

// Play plays all scripts of testdata, each way that start is given, and compares with what is kept. start makes
// what plays one line.
func Play(t *testing.T, variants ...func(t *testing.T, printf Say) (step func(words []string))) {
	var traces []func(*testing.T, string) string
	for _, start := range variants {
		traces = append(traces, func(t *testing.T, text string) string { return play(t, text, start) })
	}
	Compare(t, traces...)
}

// Compare compares each file of testdata with what each way makes of its text.
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
					t.Errorf("it acts otherwise (-kept +now):\n%s", diff)
				}
			})
		}
	}
}

func play(t *testing.T, text string, start func(*testing.T, Say) func([]string)) string {
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

// Lines gives a text back with what each of its lines came to, indented below it.
func Lines(text string, result func(line string) string) string {
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

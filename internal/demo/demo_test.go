package demo

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
)

// TestRun guards against a demonstration that ends without a table, or in which a team gets no answers or failures.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "../../cmd/dunereach", "../../cmd/dunecheck").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var out bytes.Buffer
	if err := Run(t.Context(), Options{RouterPath: filepath.Join(dir, "dunereach"), Seconds: 1, Servers: 1, PlanningClients: 2, ClerksClients: 8}, &out); err != nil {
		t.Fatal(err)
	}
	for _, team := range []string{"planning", "clerks"} {
		if !regexp.MustCompile(`(?m)^ *` + team + ` +[1-9]\d* +\d+ +\d+ +0 `).Match(out.Bytes()) {
			t.Errorf("no answers for %s, or failures:\n%s", team, &out)
		}
	}
}

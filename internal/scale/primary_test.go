package scale

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// changePrimary runs one change with real router processes, which the test builds.
func changePrimary(t *testing.T, options primaryOptions) primaryResult {
	t.Helper()
	result, err := runPrimaryChange(buildRouterBinary(t), options)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", result)
	if result.lateAttempts > 0 {
		t.Errorf("%d attempts at the old process after one at the new", result.lateAttempts)
	}
	if result.unservedRouters > 0 || result.gap > primaryBound {
		t.Errorf("%.2f s until the slowest router was served, %d never served; want within %v s", result.gap, result.unservedRouters, primaryBound)
	}
	return result
}

// TestPrimaryWarm checks that a promoted replica is used within the bound in the largest fleet.
func TestPrimaryWarm(t *testing.T) {
	changePrimary(t, primaryOptions{routers: TargetRouters})
}

// TestPrimaryCold checks the same for a process that has just started, in a fleet of 100 routers.
func TestPrimaryCold(t *testing.T) {
	changePrimary(t, primaryOptions{routers: 100, cold: true})
}

// TestPrimaryColdAtFullSize guards against routers that do not use a database before it is warm, as there are more routers than slots
// in its warm-up.
func TestPrimaryColdAtFullSize(t *testing.T) {
	changePrimary(t, primaryOptions{routers: TargetRouters, cold: true})
}

// buildRouterBinary builds the router into a temporary directory and returns its path.
func buildRouterBinary(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if output, err := exec.Command("go", "build", "-buildvcs=false", "-o", folder, "../../cmd/dunereach").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return filepath.Join(folder, "dunereach")
}

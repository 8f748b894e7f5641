package scale

import (
	"strings"
	"testing"
)

// TestVirtualFleet checks that all shares of every cold database are granted and that no router owns two tasks, in a fleet that the
// coordinator treats as large.
func TestVirtualFleet(t *testing.T) {
	const routers = 320
	rows, err := controlVirtual(routers)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if !row.WithinBounds() {
			t.Errorf("%s: %v", row.Name, row.Value)
		}
		if strings.HasSuffix(row.Name, "that one router owns at most") && row.Value != 1 {
			t.Errorf("%s: %v", row.Name, row.Value)
		}
	}
}

// TestSnapshotOf checks that a registry's snapshot grows with sessions and with tasks.
func TestSnapshotOf(t *testing.T) {
	size := func(sessions, tasks int) float64 {
		bytes, _, err := measureSnapshot(sessions, tasks)
		if err != nil {
			t.Fatal(err)
		}
		return bytes
	}
	if few, many, owned := size(100, 0), size(200, 0), size(200, 50); few >= many || many >= owned {
		t.Errorf("%.0f, %.0f and %.0f bytes", few, many, owned)
	}
}

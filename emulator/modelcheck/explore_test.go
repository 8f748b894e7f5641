package modelcheck

import "testing"

func TestExplore(t *testing.T) {
	states, complete, err := Explore(ShortBounds)
	if err != nil {
		t.Fatal(err)
	}
	if !complete || states < 10_000 {
		t.Errorf("%d states, complete %v", states, complete)
	}
	t.Logf("%d states", states)
}

// TestReleases explores releases whose answers overtake each other, and releases by an owner that is told that its
// session is over.
func TestReleases(t *testing.T) {
	for name, b := range map[string]Bounds{"letting": ReleaseBounds, "losing": SessionLossBounds} {
		t.Run(name, func(t *testing.T) {
			states, complete, err := Explore(b)
			if err != nil {
				t.Fatal(err)
			}
			if !complete || states < 1_000 {
				t.Errorf("%d states, complete %v", states, complete)
			}
			t.Logf("%d states", states)
		})
	}
}

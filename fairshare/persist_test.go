package fairshare

import (
	"math"
	"testing"
)

// TestOwed: a team that is ahead when its process ends is behind the others for as long in the next one, and no longer.
func TestOwed(t *testing.T) {
	spec := Spec{Default: "a", Nodes: []Node{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}}
	play := func(tree *Tree, first int) (a, b float64) { // work that each is let have of eight seconds, both asking all the time
		at := int32(first)
		for k := range 2 {
			tree.Enqueue(0, at+int32(k), k, 1, 1, 1, math.Inf(1))
		}
		work := [2]float64{}
		for range 8 {
			tree.StartWalk(0)
			next := tree.Next()
			team := int(next) - first
			tree.Dequeue(next)
			tree.AttemptStarted(0, next, team, 1, 1, false)
			tree.AttemptEnded(0, next, 1)
			tree.Enqueue(0, next, team, 1, 1, 1, math.Inf(1))
			work[team]++
		}
		return work[0], work[1]
	}
	before, err := New(spec, 0)
	if err != nil {
		t.Fatal(err)
	}
	before.Enqueue(0, 0, 0, 1, 1, 1, math.Inf(1))
	before.Enqueue(0, 1, 1, 1, 1, 1, math.Inf(1))
	before.AttemptStarted(0, 2, 0, 4, 1, false) // a has had four core seconds more
	levels := before.Levels()
	if d := levels["a"] - levels["b"]; math.Abs(d-4) > 1e-9 {
		t.Fatalf("levels %v", levels)
	}
	after, err := New(spec, 0)
	if err != nil {
		t.Fatal(err)
	}
	after.RestoreLevels(levels)
	if a, b := play(after, 0); b-a < 2 || b-a > 4 {
		t.Errorf("after a restart a got %v and b %v of eight: a stands back for what it had more, b has no more credit than an idle team", a, b)
	}
	fresh, _ := New(spec, 0)
	if a, b := play(fresh, 0); math.Abs(a-b) > 1 {
		t.Errorf("with nothing known a got %v and b %v", a, b)
	}
}

package fairshare

import (
	"math"
	"testing"
)

// TestVirtualTimeLeads checks that a team that is ahead when its process ends starts behind the others in the next
// process, but only for the work that it had too much.
func TestVirtualTimeLeads(t *testing.T) {
	spec := Spec{Default: "a", Nodes: []Node{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}}
	serveEight := func(tree *Tree, firstSlot int) (a, b float64) { // work of each team, with both always queued
		slot := int32(firstSlot)
		for k := range 2 {
			tree.Enqueue(0, slot+int32(k), k, 1, 1, 1, math.Inf(1))
		}
		work := [2]float64{}
		for range 8 {
			tree.StartWalk(0)
			next := tree.Next()
			team := int(next) - firstSlot
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
	before.AttemptStarted(0, 2, 0, 4, 1, false) // a has had four core seconds more than b
	leads := before.VirtualTimeLeads()
	if difference := leads["a"] - leads["b"]; math.Abs(difference-4) > 1e-9 {
		t.Fatalf("leads %v", leads)
	}
	after, err := New(spec, 0)
	if err != nil {
		t.Fatal(err)
	}
	after.RestoreVirtualTimeLeads(leads)
	if a, b := serveEight(after, 0); b-a < 2 || b-a > 4 {
		t.Errorf("after a restart a got %v and b %v of eight; a should pay for its lead, and b should have no more credit than an idle team", a, b)
	}
	fresh, _ := New(spec, 0)
	if a, b := serveEight(fresh, 0); math.Abs(a-b) > 1 {
		t.Errorf("without restored leads a got %v and b %v", a, b)
	}
}

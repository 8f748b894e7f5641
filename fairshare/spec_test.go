package fairshare

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"dunereach/internal/script"
)

// TestSpecs tells what is wrong with each line of the scripts as a spec.
func TestSpecs(t *testing.T) {
	script.Compare(t, func(t *testing.T, text string) string {
		return script.Lines(text, func(line string) string {
			var s Spec
			if err := json.Unmarshal([]byte(line), &s); err != nil {
				t.Fatal(err)
			}
			if err := s.Check(); err != nil {
				return err.Error()
			}
			return "good"
		})
	})
}

// TestBadSpecs: what JSON can't say.
func TestBadSpecs(t *testing.T) {
	many := Spec{Default: "t0"}
	for k := range 100000 {
		many.Nodes = append(many.Nodes, Node{Name: fmt.Sprint("t", k), Weight: 1})
	}
	no := flat(1, 1)
	no.Nodes[1].Weight = math.NaN()
	name := flat(1, 1)
	name.Nodes[1].Name = "\xff"
	for want, s := range map[string]Spec{"more than 20000 teams": many, "/teams/1/weight: NaN": no, "/teams/1/name: it is not UTF-8": name} {
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("said %v, wanted %s", err, want)
		}
	}
}

// TestRenewed: a spec with a fault changes nothing; one that lacks a team has its work in hand go on as the default's, and
// a name that comes back is the same team.
func TestRenewed(t *testing.T) {
	tree := must(t, flat(1, 1))
	gone := tree.TeamOf(1, nil)
	tree.Enqueue(0, 1, gone, 1, 1, 1, 9)
	tree.AttemptStarted(0, 2, gone, 1, 1, true)
	bad := flat(1)
	bad.Nodes[0].Weight = -1
	if err := tree.Reconfigure(bad); err == nil || tree.Name(gone) != "t1" {
		t.Fatalf("a bad spec: %v, the team is %q", err, tree.Name(gone))
	}
	if err := tree.Reconfigure(flat(1)); err != nil {
		t.Fatal(err)
	}
	if tree.Name(gone) != "t0" || tree.Queued(tree.TeamOf(0, nil)) != 1 || tree.TeamOf(1, nil) != tree.TeamOf(0, nil) {
		t.Errorf("work in hand of a team that is gone is %q's, which holds %d", tree.Name(gone), tree.Queued(tree.TeamOf(0, nil)))
	}
	tree.AttemptEnded(1, 2, 1)
	tree.Dequeue(1)
	if err := tree.Reconfigure(flat(1, 1, 1)); err != nil || tree.TeamOf(1, nil) != gone || tree.Name(gone) != "t1" {
		t.Errorf("%v: a name that comes back has another handle", err)
	}
	if tree.TeamOf(7, nil) != tree.TeamOf(0, nil) {
		t.Error("a tenant of no team is not the default's")
	}
}

// TestByCall: a call names its team where the file allows it; unknown names are the default's, and are counted.
func TestByCall(t *testing.T) {
	s := flat(1, 1)
	tree := must(t, s)
	if tree.TeamOf(0, []byte("t1")) != tree.TeamOf(0, nil) {
		t.Error("a call named its team where it must not")
	}
	s.ByCall = true
	tree = must(t, s)
	if tree.TeamOf(0, []byte("t1")) != tree.TeamOf(1, nil) || tree.TeamOf(1, []byte("x")) != tree.TeamOf(0, nil) || tree.TakeUnknown() != 1 || tree.TakeUnknown() != 0 {
		t.Error("teams by name are wrong")
	}
}

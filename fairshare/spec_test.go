package fairshare

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"dunereach/internal/script"
)

// TestSpecs checks each spec of the test scripts and prints its first error.
func TestSpecs(t *testing.T) {
	script.Compare(t, func(t *testing.T, text string) string {
		return script.Annotate(text, func(line string) string {
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

// TestInvalidSpecs checks errors in specs that JSON cannot express or that are too large for a script.
func TestInvalidSpecs(t *testing.T) {
	tooManyTeams := Spec{Default: "t0"}
	for k := range 100000 {
		tooManyTeams.Nodes = append(tooManyTeams.Nodes, Node{Name: fmt.Sprint("t", k), Weight: 1})
	}
	nanWeight := flatSpec(1, 1)
	nanWeight.Nodes[1].Weight = math.NaN()
	invalidName := flatSpec(1, 1)
	invalidName.Nodes[1].Name = "\xff"
	for want, s := range map[string]Spec{"more than 20000 teams": tooManyTeams, "/teams/1/weight: NaN": nanWeight, "/teams/1/name: it is not UTF-8": invalidName} {
		if err := s.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want %s", err, want)
		}
	}
}

// TestReconfigure checks that an invalid spec changes nothing, that queued and running requests of a removed team
// continue under the default team, and that a team that is added again keeps its handle.
func TestReconfigure(t *testing.T) {
	tree := newTree(t, flatSpec(1, 1))
	removed := tree.TeamOf(1, nil)
	tree.Enqueue(0, 1, removed, 1, 1, 1, 9)
	tree.AttemptStarted(0, 2, removed, 1, 1, true)
	invalid := flatSpec(1)
	invalid.Nodes[0].Weight = -1
	if err := tree.Reconfigure(invalid); err == nil || tree.Name(removed) != "t1" {
		t.Fatalf("invalid spec: error %v, the team is %q", err, tree.Name(removed))
	}
	if err := tree.Reconfigure(flatSpec(1)); err != nil {
		t.Fatal(err)
	}
	if tree.Name(removed) != "t0" || tree.QueuedRequests(tree.TeamOf(0, nil)) != 1 || tree.TeamOf(1, nil) != tree.TeamOf(0, nil) {
		t.Errorf("requests of the removed team belong to %q, %d are queued at the default team", tree.Name(removed), tree.QueuedRequests(tree.TeamOf(0, nil)))
	}
	tree.AttemptEnded(1, 2, 1)
	tree.Dequeue(1)
	if err := tree.Reconfigure(flatSpec(1, 1, 1)); err != nil || tree.TeamOf(1, nil) != removed || tree.Name(removed) != "t1" {
		t.Errorf("%v: a team that was added again has another handle", err)
	}
	if tree.TeamOf(7, nil) != tree.TeamOf(0, nil) {
		t.Error("a tenant without a team does not belong to the default team")
	}
}

// TestTeamNamedByRequest checks that a request may name its team only if the spec allows it, and that requests with
// unknown names belong to the default team and are counted.
func TestTeamNamedByRequest(t *testing.T) {
	s := flatSpec(1, 1)
	tree := newTree(t, s)
	if tree.TeamOf(0, []byte("t1")) != tree.TeamOf(0, nil) {
		t.Error("a request named its team although the spec does not allow it")
	}
	s.RequestMayNameTeam = true
	tree = newTree(t, s)
	if tree.TeamOf(0, []byte("t1")) != tree.TeamOf(1, nil) || tree.TeamOf(1, []byte("x")) != tree.TeamOf(0, nil) || tree.TakeUnknownTeamCount() != 1 || tree.TakeUnknownTeamCount() != 0 {
		t.Error("wrong team or count of unknown teams for requests that name a team")
	}
}

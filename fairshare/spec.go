// Package fairshare divides servers between teams that compete for them. It decides whose queued request goes next,
// which team is within its share, and which running attempts have their priority lowered.
//
// The package does no I/O and has no clock, goroutine or socket. The caller reports the time and which requests are
// queued, started and ended, and carries out the decisions. Work is in core seconds, times are in seconds. The same
// calls give the same decisions.
//
// Requests are ordered by hierarchical start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queuing", 1996;
// Bennett, Zhang: "Hierarchical Packet Fair Queueing Algorithms", 1996). Virtual time is the weighted mean over the
// teams in use, as in EEVDF (Stoica, Abdel-Wahab, 1995). docs/design/team-budgets.md compares this choice with others.
package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"unicode/utf8"
)

// Node is a team, or a group of teams.
type Node struct {
	Name, Under string  // Under is the name of the parent; empty: the root
	Weight      float64 // share of the parent's share, relative to the weights of the siblings
	Floor       float64 // fraction of the pool's work that is served before all others; 0: none
	Ceiling     float64 // fraction of the pool's work that is not exceeded for long; 0: none
	Burst       float64 // core seconds of credit that are kept while idle; 0: two seconds of the node's share
	Tenants     []int   // leaves only: tenants whose requests belong to this team
}

// Spec is the operators' configuration of all teams.
type Spec struct {
	Nodes              []Node
	Default            string  // a leaf: the team of requests that name no team or an unknown one
	RequestMayNameTeam bool    // a request may name its team
	Ageing             float64 // seconds of work per benefit that one second of waiting offsets, within a team
	TurnsForBypassed   bool    // a request that was bypassed for too long gets the next free threads
	MaxPriorityChanges float64 // limit on priority changes of running attempts, per second
	ProtectSpilling    bool    // attempts that spill to disk are never lowered; lowered ones are restored
}

// SpecError is an error in a spec. Node is the index of the node, or -1 if the error is not in a node.
type SpecError struct {
	Node  int
	Field string // name of the field in the operators' file
	Cause string
}

// Error returns the place in the operators' file and the cause.
func (e *SpecError) Error() string {
	if e.Node < 0 {
		return fmt.Sprintf("/budgets/%s: %s", e.Field, e.Cause)
	}
	return fmt.Sprintf("/teams/%d/%s: %s", e.Node, e.Field, e.Cause)
}

// Limits on a spec.
const (
	maxTeams = 20000 // some hundred bytes each; twice as many as the benchmarks run
	maxDepth = 8     // every decision walks all levels
)

// Check returns nil, or the first error of a spec as a *SpecError.
func (s *Spec) Check() error {
	_, _, err := s.check()
	return err
}

// check returns the first error in file order, or the parent of each node and which nodes are leaves.
func (s *Spec) check() (parent []int32, isLeaf []bool, err error) {
	count := len(s.Nodes)
	if count > maxTeams {
		return nil, nil, &SpecError{maxTeams, "name", fmt.Sprintf("more than %d teams", maxTeams)}
	}
	indexByName, err := s.checkNodes()
	if err != nil {
		return nil, nil, err
	}
	parent, isLeaf = make([]int32, count), make([]bool, count)
	for i := range s.Nodes {
		isLeaf[i] = true
	}
	for i, team := range s.Nodes {
		p, ok := indexByName[team.Under]
		if parent[i] = p; team.Under == "" {
			parent[i] = -1
		} else if !ok {
			return nil, nil, &SpecError{i, "under", fmt.Sprintf("there is no team %q", team.Under)}
		} else {
			isLeaf[p] = false
		}
	}
	if err := s.checkTree(parent, isLeaf); err != nil {
		return nil, nil, err
	}
	if err := s.checkFloors(parent); err != nil {
		return nil, nil, err
	}
	if team, ok := indexByName[s.Default]; count > 0 && (!ok || !isLeaf[team]) {
		return nil, nil, &SpecError{-1, "default", fmt.Sprintf("%q is not a team, or has teams under it", s.Default)}
	}
	for _, setting := range [...]struct {
		name  string
		value float64
	}{{"ageing", s.Ageing}, {"changes", s.MaxPriorityChanges}} {
		if !(setting.value >= 0 && setting.value <= 1000) {
			return nil, nil, &SpecError{-1, setting.name, fmt.Sprintf("%v is not between 0 and 1000", setting.value)}
		}
	}
	return parent, isLeaf, nil
}

// checkNodes checks each node on its own and returns the indexes of the nodes by name.
func (s *Spec) checkNodes() (map[string]int32, error) {
	indexByName := make(map[string]int32, len(s.Nodes))
	for i := range s.Nodes {
		team := &s.Nodes[i]
		fault := func(field, cause string, args ...any) (map[string]int32, error) {
			return nil, &SpecError{i, field, fmt.Sprintf(cause, args...)}
		}
		switch other, duplicate := indexByName[team.Name]; {
		case team.Name == "":
			return fault("name", "it is empty")
		case !utf8.ValidString(team.Name):
			return fault("name", "it is not UTF-8")
		case duplicate:
			return fault("name", "%q is already the name of /teams/%d", team.Name, other)
		}
		indexByName[team.Name] = int32(i)
		for _, setting := range [...]struct {
			name                   string
			value, lowest, highest float64
		}{{"weight", team.Weight, 1e-6, 1e6}, {"floor", team.Floor, 0, 1}, {"ceiling", team.Ceiling, 0, 1}, {"burst", team.Burst, 0, 1e6}} {
			if !(setting.value >= setting.lowest && setting.value <= setting.highest) { // also true for NaN
				return fault(setting.name, "%v is not between %v and %v", setting.value, setting.lowest, setting.highest)
			}
		}
		if team.Ceiling > 0 && team.Ceiling < team.Floor {
			return fault("ceiling", "%v is below the floor of %v", team.Ceiling, team.Floor)
		}
	}
	return indexByName, nil
}

// checkTree checks that there is no cycle, that no node is too deep, and that each tenant belongs to one leaf.
func (s *Spec) checkTree(parent []int32, isLeaf []bool) error {
	teamOfTenant := map[int]int{} // index by tenant
	for i, team := range s.Nodes {
		depth := 0
		for p := parent[i]; p >= 0; p = parent[p] {
			if depth++; int(p) == i || depth > len(s.Nodes) { // more steps than nodes: an ancestor is on a cycle
				return &SpecError{int(p), "under", fmt.Sprintf("%q is under itself", s.Nodes[p].Name)}
			}
		}
		if depth >= maxDepth {
			return &SpecError{i, "under", fmt.Sprintf("it is %d levels deep; the limit is %d", depth+1, maxDepth)}
		}
		for k, tenant := range team.Tenants {
			field := fmt.Sprintf("tenants/%d", k)
			if !isLeaf[i] {
				return &SpecError{i, field, "this team has teams under it; assign the tenant to one of those"}
			}
			if other, duplicate := teamOfTenant[tenant]; duplicate {
				return &SpecError{i, field, fmt.Sprintf("this tenant already belongs to /teams/%d", other)}
			}
			teamOfTenant[tenant] = i
		}
	}
	return nil
}

// checkFloors rejects floors that add up to more than the pool, or to more than the ceiling of a node above them.
func (s *Spec) checkFloors(parent []int32) error {
	sums := make([]float64, len(s.Nodes)+1) // sum of the floors directly below each node; the last is that of the root
	depth := func(i int32) (level int) {
		for ; i >= 0; i = parent[i] {
			level++
		}
		return level
	}
	byDepth := make([][]int32, maxDepth+1)
	for i := range s.Nodes {
		level := depth(int32(i))
		byDepth[level] = append(byDepth[level], int32(i))
	}
	const tolerance = 1e-9 // sums of tenths are not exact
	for level := maxDepth; level > 0; level-- {
		for _, i := range byDepth[level] {
			reserved := max(s.Nodes[i].Floor, sums[i])
			if limit := cmp.Or(s.Nodes[i].Ceiling, 1); reserved > limit+tolerance {
				return &SpecError{int(i), "floor", fmt.Sprintf("the floors under it add up to %.4g, more than %.4g", reserved, limit)}
			}
			p := parent[i]
			if p < 0 {
				p = int32(len(s.Nodes))
			}
			if sums[p] += reserved; int(p) == len(s.Nodes) && sums[p] > 1+tolerance {
				return &SpecError{int(i), "floor", fmt.Sprintf("with this one the floors add up to %.4g, more than 1", math.Round(sums[p]*1e6)/1e6)}
			}
		}
	}
	return nil
}

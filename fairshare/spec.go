// Package fairshare divides servers between teams that compete for them: whose queued request goes next, which team is within its
// share, and which running attempts have their priority lowered.
//
// The package does no I/O and has no clock, goroutine or socket: it is told the time and what is queued, started and ended, and
// carries nothing out itself. Work is in core seconds, times in seconds. The same calls give the same decisions.
//
// The order is hierarchical start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queuing", 1996; Bennett, Zhang:
// "Hierarchical Packet Fair Queueing Algorithms", 1996) with the weighted mean of the teams in use as virtual time, as in
// EEVDF (Stoica, Abdel-Wahab, 1995). docs/design/team-budgets.md weighs it against others.
package fairshare

import (
	"cmp"
	"fmt"
	"math"
	"unicode/utf8"
)

// Node is a team, or a group of teams.
type Node struct {
	Name, Under string  // Under names the parent; empty: the top
	Weight      float64 // its share of the parent's, relative to its siblings'
	Floor       float64 // fraction of the pool's work that is served before all others; 0: none
	Ceiling     float64 // fraction of the pool's work that it does not exceed for long; 0: none
	Burst       float64 // core seconds that it may be ahead after idling; 0: two seconds of its share
	Tenants     []int   // whose requests belong to this team; leaves only
}

// Spec is the operators' configuration of all teams.
type Spec struct {
	Nodes      []Node
	Default    string  // a leaf: the team of requests that name none or an unknown one
	ByCall     bool    // a request may name its team
	Ageing     float64 // seconds of work per benefit that a second of waiting makes up for, within a team
	Turns      bool    // a request that was bypassed too long gets the next free threads
	Changes    float64 // bound on changes of running attempts' priorities, per second
	GuardSpill bool    // attempts that spill to disk are not lowered, and restored
}

// SpecError is a fault in a spec. Node is -1 where it is not that of a node.
type SpecError struct {
	Node  int
	Field string // as the operators' file names it
	Cause string
}

// Error names the place in the operators' file and the cause.
func (f *SpecError) Error() string {
	if f.Node < 0 {
		return fmt.Sprintf("/budgets/%s: %s", f.Field, f.Cause)
	}
	return fmt.Sprintf("/teams/%d/%s: %s", f.Node, f.Field, f.Cause)
}

// Bounds on a spec.
const (
	maxTeams = 20000 // some hundred bytes each; twice as many as the benchmarks run
	maxDepth = 8     // every decision walks all levels
)

// Check returns nil, or the first fault of a spec as a *SpecError.
func (s *Spec) Check() error {
	_, _, err := s.check()
	return err
}

// check returns the first fault by its place in the file, or the nodes' parents and which of them are leaves.
func (s *Spec) check() (parent []int32, leaf []bool, err error) {
	n := len(s.Nodes)
	if n > maxTeams {
		return nil, nil, &SpecError{maxTeams, "name", fmt.Sprintf("more than %d teams", maxTeams)}
	}
	at, err := s.checkNodes()
	if err != nil {
		return nil, nil, err
	}
	parent, leaf = make([]int32, n), make([]bool, n)
	for i := range s.Nodes {
		leaf[i] = true
	}
	for i, d := range s.Nodes {
		p, ok := at[d.Under]
		if parent[i] = p; d.Under == "" {
			parent[i] = -1
		} else if !ok {
			return nil, nil, &SpecError{i, "under", fmt.Sprintf("there is no team %q", d.Under)}
		} else {
			leaf[p] = false
		}
	}
	if err := s.checkTree(parent, leaf); err != nil {
		return nil, nil, err
	}
	if err := s.floors(parent); err != nil {
		return nil, nil, err
	}
	if d, ok := at[s.Default]; n > 0 && (!ok || !leaf[d]) {
		return nil, nil, &SpecError{-1, "default", fmt.Sprintf("%q is no team with none under it", s.Default)}
	}
	for _, f := range [...]struct {
		name  string
		value float64
	}{{"ageing", s.Ageing}, {"changes", s.Changes}} {
		if !(f.value >= 0 && f.value <= 1000) {
			return nil, nil, &SpecError{-1, f.name, fmt.Sprintf("%v is not from 0 to 1000", f.value)}
		}
	}
	return parent, leaf, nil
}

// checkNodes checks each node by itself, and returns the nodes by name.
func (s *Spec) checkNodes() (map[string]int32, error) {
	at := make(map[string]int32, len(s.Nodes))
	for i := range s.Nodes {
		d := &s.Nodes[i]
		fault := func(field, cause string, args ...any) (map[string]int32, error) {
			return nil, &SpecError{i, field, fmt.Sprintf(cause, args...)}
		}
		switch other, twice := at[d.Name]; {
		case d.Name == "":
			return fault("name", "it is empty")
		case !utf8.ValidString(d.Name):
			return fault("name", "it is not UTF-8")
		case twice:
			return fault("name", "%q is /teams/%d already", d.Name, other)
		}
		at[d.Name] = int32(i)
		for _, f := range [...]struct {
			name              string
			value, least, top float64
		}{{"weight", d.Weight, 1e-6, 1e6}, {"floor", d.Floor, 0, 1}, {"ceiling", d.Ceiling, 0, 1}, {"burst", d.Burst, 0, 1e6}} {
			if !(f.value >= f.least && f.value <= f.top) { // not a number is neither
				return fault(f.name, "%v is not from %v to %v", f.value, f.least, f.top)
			}
		}
		if d.Ceiling > 0 && d.Ceiling < d.Floor {
			return fault("ceiling", "%v is under the floor of %v", d.Ceiling, d.Floor)
		}
	}
	return at, nil
}

// checkTree checks that there is no cycle, the depth, and that each tenant belongs to one leaf.
func (s *Spec) checkTree(parent []int32, leaf []bool) error {
	of := map[int]int{} // team by tenant
	for i, d := range s.Nodes {
		deep := 0
		for p := parent[i]; p >= 0; p = parent[p] {
			if deep++; int(p) == i || deep > len(s.Nodes) { // past all: the circle is above it
				return &SpecError{int(p), "under", fmt.Sprintf("%q is under itself", s.Nodes[p].Name)}
			}
		}
		if deep >= maxDepth {
			return &SpecError{i, "under", fmt.Sprintf("it is %d levels deep, %d are the most", deep+1, maxDepth)}
		}
		for k, tenant := range d.Tenants {
			field := fmt.Sprintf("tenants/%d", k)
			if !leaf[i] {
				return &SpecError{i, field, "there are teams under this one: name it at one of those"}
			}
			if other, twice := of[tenant]; twice {
				return &SpecError{i, field, fmt.Sprintf("this tenant is of /teams/%d already", other)}
			}
			of[tenant] = i
		}
	}
	return nil
}

// floors rejects floors that add up to more than the pool, or than a ceiling above them.
func (s *Spec) floors(parent []int32) error {
	sums := make([]float64, len(s.Nodes)+1) // of the floors below each; the last is the top's
	depth := func(i int32) (d int) {
		for ; i >= 0; i = parent[i] {
			d++
		}
		return d
	}
	byDepth := make([][]int32, maxDepth+1)
	for i := range s.Nodes {
		d := depth(int32(i))
		byDepth[d] = append(byDepth[d], int32(i))
	}
	const slack = 1e-9 // sums of tenths are not exact
	for d := maxDepth; d > 0; d-- {
		for _, i := range byDepth[d] {
			own := max(s.Nodes[i].Floor, sums[i])
			if top := cmp.Or(s.Nodes[i].Ceiling, 1); own > top+slack {
				return &SpecError{int(i), "floor", fmt.Sprintf("the floors under it add up to %.4g, over %.4g", own, top)}
			}
			p := parent[i]
			if p < 0 {
				p = int32(len(s.Nodes))
			}
			if sums[p] += own; int(p) == len(s.Nodes) && sums[p] > 1+slack {
				return &SpecError{int(i), "floor", fmt.Sprintf("with it the floors add up to %.4g, over 1", math.Round(sums[p]*1e6)/1e6)}
			}
		}
	}
	return nil
}

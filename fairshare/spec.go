// Package fairshare decides between teams that compete for the same engines: whose held command goes next, which team is
// inside its budget, which running sends step back. It does no I/O and knows no clock, goroutine or socket: it is told the
// time, what is held, sent and ended, and carries nothing out itself. Budgets are in work, core seconds. Equal calls come
// to equal decisions.
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

// Node is one team, or what teams belong to.
type Node struct {
	Name, Under string  // Under: the parent's name, "" for the top
	Weight      float64 // its part of the parent's, in proportion to those beside it
	Floor       float64 // share of the pool's work that comes before all others, 0: none
	Ceiling     float64 // share of the pool's work that it never passes for long, 0: none
	Burst       float64 // core seconds that it may be ahead after idling, 0: two seconds of its part
	Tenants     []int   // whose commands are this team's; leaves only
}

// Spec is what the operators set.
type Spec struct {
	Nodes      []Node
	Default    string  // a leaf: team of all that names none or an unknown one
	ByCall     bool    // a call may name its team
	Ageing     float64 // seconds of work per benefit that a second of waiting makes up for, within a team
	Turns      bool    // a command whose turn was passed over gets the next places
	Changes    float64 // changes of running sends' levels a second at most
	GuardSpill bool    // what spills is never lowered, and raised again
}

// Fault tells what is wrong with a spec. Node is -1 where it is none's.
type Fault struct {
	Node  int
	Field string // as the operators' file names it
	Cause string
}

func (f *Fault) Error() string {
	if f.Node < 0 {
		return fmt.Sprintf("/budgets/%s: %s", f.Field, f.Cause)
	}
	return fmt.Sprintf("/teams/%d/%s: %s", f.Node, f.Field, f.Cause)
}

const (
	most    = 20000 // teams: some hundred bytes each, twice what the benchmarks show
	deepest = 8     // levels: every decision walks them
)

// Check finds what is wrong with a spec: a Fault, or nil.
func (s *Spec) Check() error {
	_, _, err := s.check()
	return err
}

// check finds the first fault, by its place in the file. It gives the parents and the leaves.
func (s *Spec) check() (parent []int32, leaf []bool, err error) {
	n := len(s.Nodes)
	if n > most {
		return nil, nil, &Fault{most, "name", fmt.Sprintf("more than %d teams", most)}
	}
	at := make(map[string]int32, n)
	for i := range s.Nodes {
		d := &s.Nodes[i]
		fault := func(field, cause string, args ...any) (_ []int32, _ []bool, _ error) {
			return nil, nil, &Fault{i, field, fmt.Sprintf(cause, args...)}
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
	parent, leaf = make([]int32, n), make([]bool, n)
	for i := range s.Nodes {
		leaf[i] = true
	}
	for i, d := range s.Nodes {
		p, ok := at[d.Under]
		if parent[i] = p; d.Under == "" {
			parent[i] = -1
		} else if !ok {
			return nil, nil, &Fault{i, "under", fmt.Sprintf("there is no team %q", d.Under)}
		} else {
			leaf[p] = false
		}
	}
	of := map[int]int{} // team by tenant
	for i, d := range s.Nodes {
		deep := 0
		for p := parent[i]; p >= 0; p = parent[p] {
			if deep++; int(p) == i || deep > n { // past all: the circle is above it
				return nil, nil, &Fault{int(p), "under", fmt.Sprintf("%q is under itself", s.Nodes[p].Name)}
			}
		}
		if deep >= deepest {
			return nil, nil, &Fault{i, "under", fmt.Sprintf("it is %d levels deep, %d are the most", deep+1, deepest)}
		}
		for k, tenant := range d.Tenants {
			field := fmt.Sprintf("tenants/%d", k)
			if !leaf[i] {
				return nil, nil, &Fault{i, field, "there are teams under this one: name it at one of those"}
			}
			if other, twice := of[tenant]; twice {
				return nil, nil, &Fault{i, field, fmt.Sprintf("this tenant is of /teams/%d already", other)}
			}
			of[tenant] = i
		}
	}
	if err := s.floors(parent); err != nil {
		return nil, nil, err
	}
	if d, ok := at[s.Default]; n > 0 && (!ok || !leaf[d]) {
		return nil, nil, &Fault{-1, "default", fmt.Sprintf("%q is no team with none under it", s.Default)}
	}
	for _, f := range [...]struct {
		name  string
		value float64
	}{{"ageing", s.Ageing}, {"changes", s.Changes}} {
		if !(f.value >= 0 && f.value <= 1000) {
			return nil, nil, &Fault{-1, f.name, fmt.Sprintf("%v is not from 0 to 1000", f.value)}
		}
	}
	return parent, leaf, nil
}

// floors finds promises that can't be kept: more than the whole, or than the ceiling above.
func (s *Spec) floors(parent []int32) error {
	sums := make([]float64, len(s.Nodes)+1) // of the floors below each; the last is the top's
	depth := func(i int32) (d int) {
		for ; i >= 0; i = parent[i] {
			d++
		}
		return d
	}
	byDepth := make([][]int32, deepest+1)
	for i := range s.Nodes {
		d := depth(int32(i))
		byDepth[d] = append(byDepth[d], int32(i))
	}
	const slack = 1e-9 // sums of tenths are not exact
	for d := deepest; d > 0; d-- {
		for _, i := range byDepth[d] {
			own := max(s.Nodes[i].Floor, sums[i])
			if top := cmp.Or(s.Nodes[i].Ceiling, 1); own > top+slack {
				return &Fault{int(i), "floor", fmt.Sprintf("the floors under it add up to %.4g, over %.4g", own, top)}
			}
			p := parent[i]
			if p < 0 {
				p = int32(len(s.Nodes))
			}
			if sums[p] += own; int(p) == len(s.Nodes) && sums[p] > 1+slack {
				return &Fault{int(i), "floor", fmt.Sprintf("with it the floors add up to %.4g, over 1", math.Round(sums[p]*1e6)/1e6)}
			}
		}
	}
	return nil
}

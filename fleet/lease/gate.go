package lease

import (
	"cmp"
	"fmt"
	"slices"
)

// MaxMarks is how many tasks' fences a receiver remembers: four times what a registry holds.
const MaxMarks = 4096

// StaleFenceError is returned for an act under a fence lower than the highest seen: the sender does not own the task any more.
type StaleFenceError struct {
	Work           string
	Fence, Highest uint64
}

// Error names the task and both fences.
func (o *StaleFenceError) Error() string {
	return fmt.Sprintf("%s: fence %d is old, %d has been seen: you are not its owner any more", o.Work, o.Fence, o.Highest)
}

// FenceMark is the highest fence seen of a task.
type FenceMark struct {
	Work  string `json:"work" cbor:"1,keyasint"`
	Fence uint64 `json:"fence" cbor:"2,keyasint"`
}

// Gate remembers the highest fence that a receiver has seen of each task. It is not safe for concurrent use.
type Gate struct {
	marks map[string]seen
	turn  uint64
	floor uint64 // highest fence of the tasks that were forgotten
}

type seen struct{ fence, turn uint64 }

// NewGate returns a gate that has seen no fence.
func NewGate() *Gate { return &Gate{marks: map[string]seen{}} }

// Accept admits an act under a fence, or returns a *StaleFenceError. rose reports that the fence is higher than any seen before of
// the task: a receiver whose safety has to survive a restart stores it before it acts.
func (g *Gate) Accept(work string, fence uint64) (rose bool, err error) {
	m, ok := g.marks[work]
	if !ok {
		m.fence = g.floor
	}
	if fence < m.fence || fence == 0 {
		return false, &StaleFenceError{work, fence, m.fence}
	}
	rose = fence > m.fence || !ok
	g.turn++
	g.marks[work] = seen{fence, g.turn}
	if len(g.marks) > MaxMarks {
		g.forget()
	}
	return rose, nil
}

// forget drops the least recently used task. Fences of all tasks come from one counter, so its fence is a lower bound for every task
// that is not remembered.
func (g *Gate) forget() {
	oldest, at := "", g.turn+1
	for work, m := range g.marks {
		if m.turn < at {
			oldest, at = work, m.turn
		}
	}
	g.floor = max(g.floor, g.marks[oldest].fence)
	delete(g.marks, oldest)
}

// Highest returns the highest fence seen of a task.
func (g *Gate) Highest(work string) uint64 {
	if m, ok := g.marks[work]; ok {
		return m.fence
	}
	return g.floor
}

// Export returns what has to be stored over a restart, in the order of the tasks' names.
func (g *Gate) Export() (marks []FenceMark, floor uint64) {
	for work, m := range g.marks {
		marks = append(marks, FenceMark{work, m.fence})
	}
	slices.SortFunc(marks, func(a, b FenceMark) int { return cmp.Compare(a.Work, b.Work) })
	return marks, g.floor
}

// Import restores what Export returned. Fences never fall.
func (g *Gate) Import(marks []FenceMark, floor uint64) {
	g.floor = max(g.floor, floor)
	for _, m := range marks[:min(len(marks), MaxMarks)] {
		g.turn++
		g.marks[m.Work] = seen{max(m.Fence, g.marks[m.Work].fence), g.turn}
	}
}

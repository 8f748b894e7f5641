package lease

import (
	"cmp"
	"fmt"
	"slices"
)

// MostMarks is how many works' fences a receiver keeps: four times what a record holds.
const MostMarks = 4096

// Old is the answer to an act under a fence that was passed: who gets it is no owner any more.
type Old struct {
	Work           string
	Fence, Highest uint64
}

func (o *Old) Error() string {
	return fmt.Sprintf("%s: fence %d is old, %d has been seen: you are not its owner any more", o.Work, o.Fence, o.Highest)
}

// Mark is the highest fence seen for a work.
type Mark struct {
	Work  string `json:"work" cbor:"1,keyasint"`
	Fence uint64 `json:"fence" cbor:"2,keyasint"`
}

// Gate is a receiver's memory of fences.
type Gate struct {
	marks map[string]seen
	turn  uint64
	floor uint64 // of works that were forgotten
}

type seen struct{ fence, turn uint64 }

func NewGate() *Gate { return &Gate{marks: map[string]seen{}} }

// Accept takes an act under a fence, or tells in an *Old who has to stop. rose tells that a higher fence was seen than before:
// a receiver with something at stake over a restart keeps it before it acts.
func (g *Gate) Accept(work string, fence uint64) (rose bool, err error) {
	m, ok := g.marks[work]
	if !ok {
		m.fence = g.floor
	}
	if fence < m.fence || fence == 0 {
		return false, &Old{work, fence, m.fence}
	}
	rose = fence > m.fence || !ok
	g.turn++
	g.marks[work] = seen{fence, g.turn}
	if len(g.marks) > MostMarks {
		g.forget()
	}
	return rose, nil
}

// forget the work that was quiet for longest. Fences come from one number for all works, so its fence is a floor for every
// work that is not known.
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

// Highest fence seen of a work.
func (g *Gate) Highest(work string) uint64 {
	if m, ok := g.marks[work]; ok {
		return m.fence
	}
	return g.floor
}

// Export is what has to be kept over a restart. Import takes it back.
func (g *Gate) Export() (marks []Mark, floor uint64) {
	for work, m := range g.marks {
		marks = append(marks, Mark{work, m.fence})
	}
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Work, b.Work) })
	return marks, g.floor
}

func (g *Gate) Import(marks []Mark, floor uint64) {
	g.floor = max(g.floor, floor)
	for _, m := range marks[:min(len(marks), MostMarks)] {
		g.turn++
		g.marks[m.Work] = seen{max(m.Fence, g.marks[m.Work].fence), g.turn}
	}
}

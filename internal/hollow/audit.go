package hollow

import (
	"cmp"
	"fmt"
	"slices"
)

// Act is one act of a task's owner, with what it believed of its lease then. Times are readings of the machine's boot clock, which
// all processes on one machine share.
type Act struct {
	Task   string  `json:"task"`
	Router string  `json:"router"` // name and incarnation
	Fence  uint64  `json:"fence"`
	At     float64 `json:"at"`
	Until  float64 `json:"until"` // end of the lease as the owner counts it
}

// Auditor judges acts from outside.
type Auditor struct {
	// Acts that were judged, and those of them that were stale.
	Acts, Stale int
	// Wrong has one line for each of the first stale acts.
	Wrong []string

	acts   []Act
	latest map[string]Act    // by task: the newest fence and its first act
	owners map[uint64]string // by fence
}

// maxViolations bounds the lines that are kept.
const maxViolations = 20

// NewAuditor has seen nothing.
func NewAuditor() *Auditor { return &Auditor{latest: map[string]Act{}, owners: map[uint64]string{}} }

// Add acts, in any order. They are judged by Judge, once all that happened before has been added.
func (a *Auditor) Add(acts []Act) { a.acts = append(a.acts, acts...) }

// Judge what has been added since the last call, in the order in which it happened.
func (a *Auditor) Judge() {
	slices.SortStableFunc(a.acts, func(x, y Act) int { return cmp.Compare(x.At, y.At) })
	for _, act := range a.acts {
		a.Acts++
		a.check(act)
	}
	a.acts = nil
}

func (a *Auditor) check(act Act) {
	if act.At > act.Until {
		a.recordStale(act, "after its lease was over")
	}
	if newest := a.latest[act.Task]; act.Fence < newest.Fence {
		a.recordStale(act, fmt.Sprintf("after %s acted under fence %d", newest.Router, newest.Fence))
	} else if act.Fence > newest.Fence {
		a.latest[act.Task] = act
	}
	if other, ok := a.owners[act.Fence]; ok && other != act.Router {
		a.recordStale(act, "under a fence of "+other)
	}
	a.owners[act.Fence] = act.Router
}

func (a *Auditor) recordStale(act Act, reason string) {
	a.Stale++
	if len(a.Wrong) < maxViolations {
		a.Wrong = append(a.Wrong, fmt.Sprintf("%s acts on %s under fence %d at %.3f, %s", act.Router, act.Task, act.Fence, act.At, reason))
	}
}

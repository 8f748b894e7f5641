package hollow

import (
	"cmp"
	"fmt"
	"slices"
)

// Act is one action of a task's owner, with the lease end that the owner assumed at that time. Times are readings of the machine's
// boot clock, which all processes on one machine share.
type Act struct {
	Task   string  `json:"task"`
	Router string  `json:"router"` // name and incarnation
	Fence  uint64  `json:"fence"`
	At     float64 `json:"at"`
	Until  float64 `json:"until"` // end of the lease as computed by the owner
}

// Auditor checks acts for violations of exclusive ownership, independently of the routers and coordinators.
type Auditor struct {
	// Acts counts the acts checked, Stale the violations found among them.
	Acts, Stale int
	// Violations describes the first violations, one line each.
	Violations []string

	acts   []Act
	latest map[string]Act    // by task: the first act under the highest fence so far
	owners map[uint64]string // router by fence
}

// maxViolations limits the number of violations that are described.
const maxViolations = 20

// NewAuditor returns an auditor without any acts.
func NewAuditor() *Auditor { return &Auditor{latest: map[string]Act{}, owners: map[uint64]string{}} }

// Add adds acts in any order. Call Check only once all earlier acts have been added too.
func (a *Auditor) Add(acts []Act) { a.acts = append(a.acts, acts...) }

// Check checks the acts added since the last call in order of their times.
func (a *Auditor) Check() {
	slices.SortStableFunc(a.acts, func(x, y Act) int { return cmp.Compare(x.At, y.At) })
	for _, act := range a.acts {
		a.Acts++
		a.check(act)
	}
	a.acts = nil
}

func (a *Auditor) check(act Act) {
	if act.At > act.Until {
		a.recordStale(act, "after its lease had expired")
	}
	if newest := a.latest[act.Task]; act.Fence < newest.Fence {
		a.recordStale(act, fmt.Sprintf("after %s acted under fence %d", newest.Router, newest.Fence))
	} else if act.Fence > newest.Fence {
		a.latest[act.Task] = act
	}
	if other, ok := a.owners[act.Fence]; ok && other != act.Router {
		a.recordStale(act, "under a fence issued to "+other)
	}
	a.owners[act.Fence] = act.Router
}

func (a *Auditor) recordStale(act Act, reason string) {
	a.Stale++
	if len(a.Violations) < maxViolations {
		a.Violations = append(a.Violations, fmt.Sprintf("%s acts on %s under fence %d at %.3f, %s", act.Router, act.Task, act.Fence, act.At, reason))
	}
}

package lease

import (
	"cmp"
	"fmt"
	"slices"
)

// MaxTaskFences is the number of tasks whose fences a receiver remembers: four times the number of tasks in a registry.
const MaxTaskFences = 4096

// StaleFenceError is returned for an action whose fence is lower than the highest fence seen for the task: the sender no longer owns
// the task.
type StaleFenceError struct {
	Task           string
	Fence, Highest uint64
}

func (o *StaleFenceError) Error() string {
	return fmt.Sprintf("%s: fence %d is stale, the highest fence seen is %d: the sender no longer owns the task", o.Task, o.Fence, o.Highest)
}

// TaskFence is the highest fence seen for a task.
type TaskFence struct {
	Task  string `json:"work" cbor:"1,keyasint"`
	Fence uint64 `json:"fence" cbor:"2,keyasint"`
}

// FenceChecker remembers the highest fence that a receiver has seen for each task. It is not safe for concurrent use.
type FenceChecker struct {
	fences   map[string]fenceEntry
	sequence uint64
	floor    uint64 // highest fence of the evicted tasks
}

type fenceEntry struct{ fence, sequence uint64 }

// NewFenceChecker returns a checker that has seen no fences.
func NewFenceChecker() *FenceChecker { return &FenceChecker{fences: map[string]fenceEntry{}} }

// Accept checks the fence of an action and returns a *StaleFenceError if it is stale. raised reports that the fence is higher than all
// fences seen before for the task. A receiver whose safety must survive a restart stores such a fence before it acts.
func (g *FenceChecker) Accept(task string, fence uint64) (raised bool, err error) {
	entry, ok := g.fences[task]
	if !ok {
		entry.fence = g.floor
	}
	if fence < entry.fence || fence == 0 {
		return false, &StaleFenceError{task, fence, entry.fence}
	}
	raised = fence > entry.fence || !ok
	g.sequence++
	g.fences[task] = fenceEntry{fence, g.sequence}
	if len(g.fences) > MaxTaskFences {
		g.forget()
	}
	return raised, nil
}

// forget evicts the least recently used task. The fences of all tasks come from one counter, so the highest evicted fence is a safe
// lower bound for every task that is not remembered.
func (g *FenceChecker) forget() {
	oldest, oldestUse := "", g.sequence+1
	for task, entry := range g.fences {
		if entry.sequence < oldestUse {
			oldest, oldestUse = task, entry.sequence
		}
	}
	g.floor = max(g.floor, g.fences[oldest].fence)
	delete(g.fences, oldest)
}

// Highest returns the highest fence seen for a task, or the floor if the task is not remembered.
func (g *FenceChecker) Highest(task string) uint64 {
	if entry, ok := g.fences[task]; ok {
		return entry.fence
	}
	return g.floor
}

// Export returns the state to be stored across a restart, sorted by task name.
func (g *FenceChecker) Export() (fences []TaskFence, floor uint64) {
	for task, entry := range g.fences {
		fences = append(fences, TaskFence{task, entry.fence})
	}
	slices.SortFunc(fences, func(a, b TaskFence) int { return cmp.Compare(a.Task, b.Task) })
	return fences, g.floor
}

// Import restores the state returned by Export. It never lowers a fence.
func (g *FenceChecker) Import(fences []TaskFence, floor uint64) {
	g.floor = max(g.floor, floor)
	for _, m := range fences[:min(len(fences), MaxTaskFences)] {
		g.sequence++
		g.fences[m.Task] = fenceEntry{max(m.Fence, g.fences[m.Task].fence), g.sequence}
	}
}

package router

import "testing"

// TestDivideMemory checks that what clients can fill, what their connections take and the program's own heap fit into the heap's share,
// with half as much again of the budgets for slices that grow.
func TestDivideMemory(t *testing.T) {
	for _, mb := range []int64{32, 64, 192, 4096} {
		for _, descriptors := range []int{256, 512, 1024} {
			limits := divideDescriptors(descriptors)
			connections := limits.clients + limits.rejecting
			b := divideMemory(mb<<20, connections)
			budgets := b.output + b.statements + b.statements/2
			most := ownHeap + int64(connections)*connectionMemory + budgets*3/2
			if b.output < b.results+b.statements {
				t.Errorf("%d MB, %d descriptors: results and statements within their budgets exceed that of output: %+v", mb, descriptors, b)
			}
			if heap := int64(float64(mb<<20) * HeapShare); most > heap || b.output <= 0 || b.statements <= 0 {
				t.Errorf("%d MB, %d descriptors: %d bytes of %d, budgets %+v", mb, descriptors, most, heap, b)
			}
		}
	}
}

// Package scale measures how cost grows with the size of a fleet: slopes of processor time, memory, messages and disk, and
// failures at the size that the fleet is designed for. docs/CAPACITY.md is computed from its results.
package scale

import (
	"fmt"

	"dunereach/internal/measure"
)

// The size that the fleet is designed for.
const (
	TargetRouters           = 1600
	TargetDatabases         = 3900
	TargetClientConnections = 3_700_000
	TargetStatementRate     = 1_200_000 // a second
	TargetZones             = 7
	TargetRegions           = 2
)

// Limits on the cost of control per router, and the number of machines reserved for control.
const (
	MaxControlCore      = 0.025 // of one core
	MaxControlMemoryMB  = 128
	MaxControlByteRate  = 11_000 // a second
	CoordinatorMachines = 7
)

// Part is one group of measurements that can be run alone.
type Part struct {
	Name, Description string
	// Run measures. Short is the form for CI: smaller sizes, under half a minute.
	Run func(short bool) ([]measure.Row, error)
}

// Parts are all groups, in the order in which they are printed.
var Parts = []Part{
	{"datapath", "Decisions, memory, connections and configuration of one router, by size", DataPath},
	{"service", "Effect of subsets of the databases on waits and service, on virtual time", Service},
	{"primary", "Changes of primary: time until routers get responses from the new process", Primary},
	{"control", "Coordinators and hollow routers over real sockets, by size and under faults", Control},
	{"subset", "Subsets of the databases: spread, churn, cost, and decisions", Subset},
}

// FindPart returns the part with the given name.
func FindPart(name string) (Part, error) {
	for _, part := range Parts {
		if part.Name == name {
			return part, nil
		}
	}
	return Part{}, fmt.Errorf("no part %q of the scale tests", name)
}

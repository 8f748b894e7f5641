package agent

import (
	"maps"
	"slices"
)

// sortedKeys returns a map's keys in order, so that everything derived from them is deterministic.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

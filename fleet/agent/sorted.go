package agent

import (
	"maps"
	"slices"
)

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

package scale

import "dunereach/internal/measure"

// DataPath measures one router's data path: decisions, connections, configuration, and what a subset of the databases does to
// service.
func DataPath(short bool) ([]measure.Row, error) { return serviceBySubset(short) }

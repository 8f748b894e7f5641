package scale

import "dunereach/internal/measure"

// DataPath is not measured yet.
func DataPath(short bool) ([]measure.Row, error) { return nil, nil }

package scale

import "dunereach/internal/measure"

// Control is not measured yet.
func Control(short bool) ([]measure.Row, error) { return nil, nil }

package scale

import "dunereach/internal/measure"

// DataPath measures one router's data path: decisions, connections, configuration, and what a subset of the databases does to
// service.
func DataPath(short bool) ([]measure.Row, error) {
	var rows []measure.Row
	for _, part := range []func(short bool) ([]measure.Row, error){
		decisions, moduleMemory, listChanges, func(bool) ([]measure.Row, error) { return listByDNS() },
		serviceBySubset,
	} {
		some, err := part(short)
		if err != nil {
			return rows, err
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

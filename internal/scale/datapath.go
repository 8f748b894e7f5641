package scale

import "dunereach/internal/measure"

// DataPath measures the data path of one router: decisions, memory, the list of databases, connections, and requests through a real
// process.
func DataPath(short bool) ([]measure.Row, error) {
	var rows []measure.Row
	for _, part := range []func(short bool) ([]measure.Row, error){decisionCosts, moduleMemory, listChanges, listByDNS, configuredListCosts,
		clientConnections, databaseConnections, requestCost} {
		partRows, err := part(short)
		rows = append(rows, partRows...)
		if err != nil {
			return rows, err
		}
	}
	return rows, nil
}

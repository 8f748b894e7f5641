package scale

import (
	"fmt"

	"dunereach/internal/measure"
)

// A change of primary: the process behind a database's name exits, its connections are lost, and the name server lists another process
// at another address under the same name. Detection and election in between are up to the databases. Routers follow the name.
const (
	primaryBound     = 7.0 // seconds, from the last attempt at the old process to the first answer of the new one
	primaryProcesses = 8   // real router processes, with one client each
)

// Primary measures changes of primary with real router processes. Only the number of routers in the settings grows with the fleet here:
// it determines a router's share of a cold database.
func Primary(short bool) ([]measure.Row, error) {
	program, err := routerProgram()
	if err != nil {
		return nil, err
	}
	sizes := []int{primaryProcesses, 100, 400, TargetRouters}
	fleets := map[bool][]int{false: sizes, true: sizes}
	if short { // TestPrimaryColdAtFullSize covers a cold process at the full size
		fleets = map[bool][]int{false: {TargetRouters}, true: {100}}
	}
	var rows []measure.Row
	for _, cold := range []bool{false, true} {
		for _, routers := range fleets[cold] {
			result, err := runPrimaryChange(program, primaryOptions{routers: routers, cold: cold})
			if err != nil {
				return rows, fmt.Errorf("%d routers: %w", routers, err)
			}
			rows = append(rows, result.rows(routers, cold)...)
		}
	}
	return rows, nil
}

// primaryResult is the result of one change over all router processes. Times are in seconds.
type primaryResult struct {
	gap             float64 // from the last attempt at the old process to the first answer of the new one, slowest router
	newsDelay       float64 // from the name server's update to the first attempt at the new process, slowest router
	lateAttempts    int     // attempts at the old process after its exit, by routers that had begun to use the new one
	unservedRouters int     // routers without an answer of the new process at the end
	rejected        int     // requests rejected or failed while their router had no answer of the new process
	completed       int     // all completed requests
}

func (r primaryResult) rows(routers int, cold bool) []measure.Row {
	state := "warm"
	if cold {
		state = "cold"
	}
	name := fmt.Sprintf("primary changes to a %s process, %d routers in the settings: ", state, routers)
	return []measure.Row{
		measure.AtMost(name+"old's last attempt to new's first answer, slowest of 8, s", r.gap, primaryBound),
		measure.Figure(name+"name server's update to first attempt, slowest of 8, s", r.newsDelay),
		measure.AtMost(name+"attempts at the old process after one at the new", float64(r.lateAttempts), 0),
		measure.AtMost(name+"routers of 8 never served", float64(r.unservedRouters), 0),
		measure.Figure(name+"requests rejected or failed meanwhile", float64(r.rejected)),
	}
}

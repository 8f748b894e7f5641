package scale

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"dunereach/internal/measure"
)

// clientsPerRouter is the number of client connections per router at the target.
const clientsPerRouter = float64(TargetClientConnections) / TargetRouters

// connectionCost is the usage of a router with a given number of client connections.
type connectionCost struct {
	afterHealthChecks, afterRequests usage // after a health check on each connection, and after a request on each
	idleCore, completed              float64
}

// clientConnections measures a router's memory, descriptors and processor time by the number of its client connections.
func clientConnections(short bool) ([]measure.Row, error) {
	sizes := []int{250, 1000, 2313, 4626, 8000}
	if short {
		sizes = []int{100, 300, 600, 1000}
	}
	var afterHealthChecks, afterRequests, descriptors, idleCores []float64
	mostUncompleted := 0.0
	for _, size := range sizes {
		cost, err := measureConnections(size)
		if err != nil {
			return nil, fmt.Errorf("%d client connections: %w", size, err)
		}
		afterHealthChecks, afterRequests = append(afterHealthChecks, cost.afterHealthChecks.ResidentKB), append(afterRequests, cost.afterRequests.ResidentKB)
		descriptors, idleCores = append(descriptors, cost.afterHealthChecks.Descriptors), append(idleCores, cost.idleCore*1000)
		mostUncompleted = max(mostUncompleted, float64(size)-cost.completed)
	}
	rows, idleFit, err := slopeRows("resident KB, by idle client connections", sizes, afterHealthChecks)
	if err != nil {
		return nil, err
	}
	moreRows, requestFit, err := slopeRows("resident KB, by client connections with a request each", sizes, afterRequests)
	if err != nil {
		return nil, err
	}
	rows = append(rows, moreRows...)
	moreRows, descriptorFit, err := slopeRows("descriptors, by client connections", sizes, descriptors)
	if err != nil {
		return nil, err
	}
	rows = append(rows, moreRows...)
	moreRows, _, err = slopeRows("thousandths of a core, by idle client connections", sizes, idleCores)
	if err != nil {
		return nil, err
	}
	rows = append(rows, moreRows...)
	clientsAfterLoss := clientsPerRouter * 3 / 2
	return append(rows,
		measure.AtMost("requests on connections that were not completed, most of all sizes", mostUncompleted, 0),
		measure.Between("descriptors a client connection", descriptorFit.Slope, 0.98, 1.02),
		measure.Figure("resident MB at the target's 2,313 client connections, idle", idleFit.CostAt(clientsPerRouter)/1000),
		measure.Figure("resident MB at the target's 2,313 client connections, with a request each", requestFit.CostAt(clientsPerRouter)/1000),
		measure.Figure("resident MB with a third of the routers lost (3,469), with a request each", requestFit.CostAt(clientsAfterLoss)/1000),
		measure.Figure("descriptors that the settings must allow for these (clients get half)", 2*clientsAfterLoss)), nil
}

// measureConnections starts a router, opens connections and sends one request on each.
func measureConnections(size int) (cost connectionCost, err error) {
	const databases, idleInterval = 8, 500 * time.Millisecond
	r, err := startRouter(routerOptions{databases: databases, descriptors: routerDescriptors})
	if err != nil {
		return cost, err
	}
	defer r.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.answerAfterPause(ctx, 0)
	clients, err := r.openClients(size)
	if err != nil {
		return cost, err
	}
	if cost.afterHealthChecks, err = r.readUsage(); err != nil {
		return cost, err
	}
	time.Sleep(idleInterval)
	later, err := r.readUsage()
	if err != nil {
		return cost, err
	}
	cost.idleCore = (later.ProcessorTime - cost.afterHealthChecks.ProcessorTime).Seconds() / idleInterval.Seconds()
	cost.completed = float64(requestOnEach(clients))
	cost.afterRequests, err = r.readUsage()
	return cost, err
}

// databaseConnections measures a router's memory and descriptors by the number of databases that it is connected to. As many requests
// are in flight as there are databases. In the last row there are fewer descriptors than databases.
func databaseConnections(short bool) ([]measure.Row, error) {
	sizes := []int{64, 250, 1000, 2000}
	if short {
		sizes = []int{32, 64, 128, 250}
	}
	var resident, descriptors []float64
	for _, size := range sizes {
		u, reached, err := requestEachDatabase(size, routerDescriptors, routerTimeout)
		if err != nil {
			return nil, fmt.Errorf("%d databases: %w", size, err)
		}
		if reached < size {
			return nil, fmt.Errorf("%d of %d requests reached a database", reached, size)
		}
		resident, descriptors = append(resident, u.ResidentKB), append(descriptors, u.Descriptors)
	}
	rows, _, err := slopeRows("resident KB, by databases connected to", sizes, resident)
	if err != nil {
		return nil, err
	}
	moreRows, _, err := slopeRows("descriptors, by databases connected to", sizes, descriptors)
	if err != nil {
		return nil, err
	}
	rows = append(rows, moreRows...)
	const fewDescriptors = 1024  // the usual limit of a process
	const wait = 5 * time.Second // for requests that reach no database
	largest := sizes[len(sizes)-1]
	_, reached, err := requestEachDatabase(largest, fewDescriptors, wait)
	if err != nil {
		return nil, err
	}
	return append(rows, measure.Figure(fmt.Sprintf("of %d requests at once for %d databases, those that reach one with %d descriptors", largest, largest, fewDescriptors),
		float64(reached))), nil
}

// requestEachDatabase starts a router and sends as many requests at once as there are databases. After at most the given wait it
// returns the router's usage and how many requests reached a database.
func requestEachDatabase(databases, descriptors int, wait time.Duration) (u usage, reached int, err error) {
	const perConnection = 25 // of at most 32 open requests per connection
	r, err := startRouter(routerOptions{databases: databases, descriptors: descriptors})
	if err != nil {
		return u, 0, err
	}
	defer r.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clients, err := r.openClients((databases + perConnection - 1) / perConnection)
	if err != nil {
		return u, 0, err
	}
	for k := range databases {
		sendRequest(clients[k/perConnection])
	}
	reached = r.answerTogether(ctx, databases, wait)
	u, err = r.readUsage()
	return u, reached, err
}

// configuredListCosts measures a router's start and memory by the number of databases in its configuration, with the routers of the
// target in the settings. It also measures the time from a reload signal until a list with one new database is in force.
func configuredListCosts(short bool) ([]measure.Row, error) {
	sizes := []int{8, 72, 500, 2000, TargetDatabases}
	if short {
		sizes = []int{8, 72, 500, TargetDatabases}
	}
	var resident, started, processorTimes, reloadTimes []float64
	for _, size := range sizes {
		r, err := startRouter(routerOptions{databases: size, descriptors: routerDescriptors, sharingRouters: TargetRouters})
		if err != nil {
			return nil, err
		}
		startTime := time.Since(r.started)
		u, err := r.readUsage()
		reloadTime := time.Duration(0)
		if err == nil {
			reloadTime, err = r.reload(1)
		}
		r.stop()
		if err != nil {
			return nil, fmt.Errorf("%d databases: %w", size, err)
		}
		resident, started = append(resident, u.ResidentKB), append(started, startTime.Seconds()*1000)
		processorTimes, reloadTimes = append(processorTimes, u.ProcessorTime.Seconds()*1000), append(reloadTimes, reloadTime.Seconds()*1000)
	}
	rows, residentFit, err := slopeRows("resident KB, by databases in the list", sizes, resident)
	if err != nil {
		return nil, err
	}
	for _, series := range []struct {
		name  string
		costs []float64
	}{{"ms of processor time until it serves, by databases in the list", processorTimes}, {"ms until it serves, by databases in the list", started},
		{"ms from a signal to a new list in force, by databases in the list", reloadTimes}} {
		seriesRows, err := quadraticRows(series.name, sizes, series.costs)
		if err != nil {
			return nil, err
		}
		rows = append(rows, seriesRows...)
	}
	const maxReloadMillis = 5000 // ms, the limit for all routers
	return append(rows,
		measure.Figure("resident MB at rest with all databases of the target", residentFit.CostAt(TargetDatabases)/1000),
		measure.Figure("resident MB at rest with 64 databases", residentFit.CostAt(64)/1000),
		measure.AtMost("ms from a signal to a new list in force, one process, whole pool", reloadTimes[len(reloadTimes)-1], maxReloadMillis)), nil
}

// reload writes a configuration with the given number of new databases, sends the signal, and waits until the router logs the new
// configuration.
func (r *routerProcess) reload(renamedDatabases int) (time.Duration, error) {
	options := r.options
	options.revision, options.renamedDatabases = 2, renamedDatabases
	if err := r.configure(options, []string{"127.0.0.1:4100"}); err != nil {
		return 0, err
	}
	start := time.Now()
	if err := r.command.Process.Signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	_, err := r.awaitLog("new configuration")
	return time.Since(start), err
}

// errNoneCompleted is returned where a router completes none of the requests sent to it.
var errNoneCompleted = errors.New("no requests were completed")

// requestCost measures a router's processor time per request, from client to database and back, over the number of requests a second.
// Each pool is shared by as many routers as a subset of that size would be.
func requestCost(short bool) ([]measure.Row, error) {
	pools, rates, window := []int{8, 64, 500, TargetDatabases}, []int{0, 250, 500, 750, 1000}, 3*time.Second
	if short {
		pools, rates, window = []int{8, 64}, []int{0, 300, 600, 900}, 500*time.Millisecond
	}
	var rows []measure.Row
	var costs []float64
	for _, pool := range pools {
		moreRows, costFit, err := requestCostAtPool(pool, rates, window)
		if err != nil {
			return rows, fmt.Errorf("requests over %d databases: %w", pool, err)
		}
		rows, costs = append(rows, moreRows...), append(costs, costFit.Slope*1e6)
	}
	if len(pools) < 3 {
		return rows, nil
	}
	moreRows, _, err := slopeRows("us of processor time a request, by databases", pools, costs)
	return append(rows, moreRows...), err
}

// requestCostAtPool measures one pool at each rate and fits the processor time over the completed requests a second.
func requestCostAtPool(pool int, rates []int, window time.Duration) ([]measure.Row, Fit, error) {
	const clientCount, databaseDelay, warmUp = 64, 20 * time.Millisecond, 500 * time.Millisecond
	r, err := startRouter(routerOptions{databases: pool, descriptors: routerDescriptors, sharingRouters: max(pool*TargetRouters/TargetDatabases, 1)})
	if err != nil {
		return nil, Fit{}, err
	}
	defer r.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.answerAfterPause(ctx, databaseDelay)
	clients, err := r.openClients(clientCount)
	if err != nil {
		return nil, Fit{}, err
	}
	sendAtRate(clients, statementsPerRouter, warmUp)
	var points []Point
	var rows []measure.Row
	leastCompleted := 1.0
	for _, rate := range rates {
		before, err := r.readUsage()
		if err != nil {
			return nil, Fit{}, err
		}
		start := time.Now()
		completedRequests := sendAtRate(clients, float64(rate), window)
		elapsed := time.Since(start).Seconds()
		after, err := r.readUsage()
		if err != nil {
			return nil, Fit{}, err
		}
		if rate > 0 {
			leastCompleted = min(leastCompleted, float64(completedRequests)/(float64(rate)*window.Seconds()))
			if completedRequests == 0 {
				return nil, Fit{}, errNoneCompleted
			}
		}
		core := (after.ProcessorTime - before.ProcessorTime).Seconds() / elapsed
		points = append(points, Point{float64(completedRequests) / elapsed, core})
		rows = append(rows, measure.Figure(fmt.Sprintf("core over %d databases, sent %d requests a second", pool, rate), core))
	}
	fit, err := FitLine(points)
	if err != nil {
		return nil, Fit{}, err
	}
	u, err := r.readUsage()
	name := fmt.Sprintf("over %d databases: ", pool)
	return append(rows,
		measure.Figure(name+"us of processor time a request, slope", fit.Slope*1e6),
		measure.Figure(name+"us of processor time a request, slope's standard error", fit.SlopeError*1e6),
		measure.Figure(name+"core with no request, intercept", fit.Intercept),
		measure.Figure(name+"core at the target's 750 requests a second", fit.CostAt(statementsPerRouter)),
		measure.Figure(name+"smallest share of requests completed", leastCompleted),
		measure.Figure(name+"descriptors in the end, with 64 clients", u.Descriptors)), fit, err
}

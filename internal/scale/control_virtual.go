package scale

import (
	"fmt"
	"io"
	"log"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"
	"dunereach/internal/measure"

	"go.etcd.io/raft/v3"
)

// Times of a fleet on virtual time, in seconds.
const (
	virtualStep     = 0.01
	virtualLatency  = 0.005 // of a request or a response in transit
	virtualOpenTime = 7.0   // by then all sessions are open
	virtualColdTime = 12.0  // databases are cold for this long; shares are granted after five seconds
	virtualHoldTime = 1.0   // for which a heartbeat without news is held, as by a real coordinator
	agentTickSteps  = 10    // steps between two ticks of an agent
)

// virtualFleet is one coordinator and many agents on virtual time. It runs the same packages as real processes, but without sockets,
// disks and the load of a machine.
type virtualFleet struct {
	now          float64
	steps        int
	coordinator  *coordinator.Coordinator
	agents       []*agent.Member
	demands      []agent.Demand   // by agent
	requests     []virtualRequest // in transit
	answers      []virtualAnswer
	pending      map[uint64]virtualRequest // at the coordinator, by request number
	lastRequest  uint64
	mostMessages int // most peer messages in one response
	timeSpent    struct{ coordinator, agents time.Duration }
}

type virtualRequest struct {
	at    float64 // arrival time
	agent int
	agent.Request
}

type virtualAnswer struct {
	at    float64
	agent int
	seq   uint64
	coordinator.Response
}

// newVirtualFleet returns a fleet with the given number of routers. Each cold database is shared by the given number of members.
func newVirtualFleet(routers, members int) (*virtualFleet, error) {
	stored, err := coordinator.InitialState([]registry.Coordinator{{ID: 1, Name: "c1", Addr: "127.0.0.1:1"}}, controlLease, 0.05)
	if err != nil {
		return nil, err
	}
	silent := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	c, err := coordinator.New(coordinator.Config{ID: 1, Name: "c1", HoldTime: virtualHoldTime, Logger: silent}, stored, 0)
	if err != nil {
		return nil, err
	}
	f := &virtualFleet{coordinator: c, demands: make([]agent.Demand, routers), pending: map[uint64]virtualRequest{}}
	for n := range routers {
		f.agents = append(f.agents, agent.New(agent.Config{Name: fmt.Sprint("r", n+1), Zone: fmt.Sprint("z", n%TargetZones+1), Incarnation: uint64(n + 1),
			Seed: uint64(n + 1), CandidateKinds: []string{agent.WarmUpKind}, RouterCount: members, Window: 1}, agent.PersistentState{}))
	}
	return f, nil
}

// run advances the fleet to the given time.
func (f *virtualFleet) run(until float64) error {
	for ; f.now < until; f.now += virtualStep {
		start := time.Now()
		if err := f.stepCoordinator(); err != nil {
			return err
		}
		f.timeSpent.coordinator += time.Since(start)
		start = time.Now()
		f.tickAgents()
		f.timeSpent.agents += time.Since(start)
		f.steps++
	}
	return nil
}

// stepCoordinator delivers the requests that have arrived to the coordinator and sends its responses.
func (f *virtualFleet) stepCoordinator() error {
	f.coordinator.Tick(f.now)
	arrived := 0
	for ; arrived < len(f.requests) && f.requests[arrived].at <= f.now; arrived++ {
		r := f.requests[arrived]
		f.lastRequest++
		f.pending[f.lastRequest] = r
		switch {
		case r.Heartbeat != nil:
			f.coordinator.Heartbeat(f.now, f.lastRequest, r.Heartbeat)
		case r.Messages != nil:
			f.coordinator.PostMessages(f.now, f.lastRequest, r.Messages)
		case r.Action != nil:
			f.coordinator.Perform(f.now, f.lastRequest, r.Action)
		}
	}
	f.requests = f.requests[arrived:]
	for {
		out, ok := f.coordinator.Output()
		if !ok {
			return nil
		}
		for _, a := range out.Responses {
			r := f.pending[a.Request]
			delete(f.pending, a.Request)
			if snapshot, ok := a.Value.(coordinator.Snapshot); ok {
				f.mostMessages = max(f.mostMessages, len(snapshot.Messages))
			}
			f.answers = append(f.answers, virtualAnswer{f.now + virtualLatency, r.agent, r.Seq, a})
		}
		if err := f.coordinator.Done(); err != nil {
			return err
		}
	}
}

// tickAgents delivers the responses that have arrived to the agents and ticks a tenth of the agents.
func (f *virtualFleet) tickAgents() {
	arrived := 0
	for ; arrived < len(f.answers) && f.answers[arrived].at <= f.now; arrived++ {
		a := f.answers[arrived]
		f.agents[a.agent].Answer(f.now, a.seq, a.Value, a.Err)
		f.send(a.agent)
	}
	f.answers = f.answers[arrived:]
	for n := f.steps % agentTickSteps; n < len(f.agents); n += agentTickSteps {
		f.agents[n].SetDemand(f.now, f.demands[n])
		f.send(n)
	}
}

func (f *virtualFleet) send(n int) {
	for _, r := range f.agents[n].Tick(f.now) {
		f.requests = append(f.requests, virtualRequest{f.now + virtualLatency, n, r})
	}
}

// addColdDatabase makes a database cold from now on for the routers that hold it. Each of them needs twice an equal share.
func (f *virtualFleet) addColdDatabase(database int, holders []int) {
	for _, n := range holders {
		f.demands[n].ColdServers = append(f.demands[n].ColdServers, agent.ColdServer{Server: agent.Server{ID: uint32(database + 1), Start: 1}, Need: 2 / float64(len(holders))})
	}
}

// grantedShare returns the fraction of granted shares in use, among all pairs of a cold database and a router that holds it.
func (f *virtualFleet) grantedShare() float64 {
	granted, total := 0, 0
	for n, m := range f.agents {
		for _, c := range f.demands[n].ColdServers {
			total++
			if share, ok := m.WarmUpShare(f.now, c.ID, c.Start); ok && share > 0 {
				granted++
			}
		}
	}
	return float64(granted) / float64(total)
}

// mostTasksOwned returns the largest number of tasks that one router owns.
func (f *virtualFleet) mostTasksOwned() (most int) {
	for _, s := range f.coordinator.Registry().Sessions() {
		most = max(most, len(f.coordinator.Registry().TasksOf(s.ID)))
	}
	return most
}

// controlVirtual measures more cold databases than one machine can run with real processes: some that all routers hold, and those of a
// zone that return at the same time, where each router holds a subset.
func controlVirtual(routers int) (rows []measure.Row, err error) {
	allRouters := numbers(0, routers-1)
	for _, cold := range coldCounts[1:] {
		holders := make([][]int, cold)
		for n := range holders {
			holders[n] = allRouters
		}
		moreRows, err := runCold(fmt.Sprintf("virtual time: %d routers, %d cold", routers, cold), routers, holders)
		if err != nil {
			return nil, err
		}
		rows = append(rows, moreRows...)
	}
	holders := subsetHolders(routers, TargetDatabases*routers/TargetRouters)
	zoneDatabases := len(holders) / TargetZones
	name := fmt.Sprintf("virtual time: %d routers in subsets of %d, a zone's %d databases cold", routers, virtualSubset, zoneDatabases)
	moreRows, err := runCold(name, routers, holders[:zoneDatabases])
	return append(rows, moreRows...), err
}

// maxDecisionCore is the bound on the coordinator's decisions, as a share of the one core that its goroutine can use.
const maxDecisionCore = 0.5

// virtualSubset is the number of databases that a router holds where subsets are used.
const virtualSubset = 32

// subsetHolders returns, for each database, the routers that hold it: the same number for each, spread over the fleet.
func subsetHolders(routers, databases int) [][]int {
	holderCount := routers * virtualSubset / databases
	holders := make([][]int, databases)
	for database := range holders {
		for k := range holderCount {
			holders[database] = append(holders[database], (database*holderCount+k*(routers/holderCount+1))%routers)
		}
	}
	return holders
}

// runCold makes databases cold for the routers that hold them. Each database must have the same number of holders.
func runCold(name string, routers int, holders [][]int) ([]measure.Row, error) {
	f, err := newVirtualFleet(routers, len(holders[0]))
	if err != nil {
		return nil, err
	}
	if err := f.run(virtualOpenTime); err != nil {
		return nil, err
	}
	for database, routerNumbers := range holders {
		f.addColdDatabase(database, routerNumbers)
	}
	before := f.timeSpent
	if err := f.run(virtualOpenTime + virtualColdTime); err != nil {
		return nil, err
	}
	return []measure.Row{
		measure.AtLeast(name+": granted shares, fraction", f.grantedShare(), 0.99),
		measure.Figure(name+": tasks that one router owns at most", float64(f.mostTasksOwned())),
		measure.Figure(name+": letters in one answer at most", float64(f.mostMessages)),
		measure.AtMost(name+": coordinator's decisions, core", (f.timeSpent.coordinator-before.coordinator).Seconds()/virtualColdTime, maxDecisionCore),
		measure.Figure(name+": agents' decisions, core of all", (f.timeSpent.agents-before.agents).Seconds()/virtualColdTime),
	}, nil
}

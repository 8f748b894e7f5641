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
	virtualLatency  = 0.005 // a request or an answer on its way
	virtualOpenTime = 7.0   // sessions are open by then
	virtualColdTime = 12.0  // databases are cold for so long: parts are granted after five
	virtualHoldTime = 1.0   // that a heartbeat without news is held, as by a real coordinator
	agentTickSteps  = 10    // steps between two ticks of an agent
)

// virtualFleet is one coordinator and many agents on virtual time: the packages of the real ones, without sockets, disks and the
// load of a machine.
type virtualFleet struct {
	now          float64
	steps        int
	coordinator  *coordinator.Coordinator
	agents       []*agent.Member
	demands      []agent.Demand   // by agent
	requests     []virtualRequest // on their way
	answers      []virtualAnswer
	pending      map[uint64]virtualRequest // by number, at the coordinator
	lastRequest  uint64
	mostMessages int // in one answer
	timeSpent    struct{ coordinator, agents time.Duration }
}

type virtualRequest struct {
	at    float64 // when it arrives
	agent int
	agent.Request
}

type virtualAnswer struct {
	at    float64
	agent int
	seq   uint64
	coordinator.Response
}

// newVirtualFleet of so many routers, each cold database of which is shared by so many members.
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

// run until that time.
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

// stepCoordinator has the coordinator take what has arrived.
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

// tickAgents has agents take the answers that have arrived, and a tenth of them tick.
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

// addColdDatabase has a database be cold from now on for the routers that hold it, each of which would use two equal parts.
func (f *virtualFleet) addColdDatabase(database int, holders []int) {
	for _, n := range holders {
		f.demands[n].ColdServers = append(f.demands[n].ColdServers, agent.ColdServer{Server: agent.Server{ID: uint32(database + 1), Start: 1}, Need: 2 / float64(len(holders))})
	}
}

// grantedShare is the share of grantedShare, of all cold databases at all routers that hold them, that are granted and in use.
func (f *virtualFleet) grantedShare() float64 {
	granted, all := 0, 0
	for n, m := range f.agents {
		for _, c := range f.demands[n].ColdServers {
			all++
			if share, ok := m.WarmUpShare(f.now, c.ID, c.Start); ok && share > 0 {
				granted++
			}
		}
	}
	return float64(granted) / float64(all)
}

// mostTasksOwned is the most tasks that one router owns.
func (f *virtualFleet) mostTasksOwned() (most int) {
	for _, s := range f.coordinator.Registry().Sessions() {
		most = max(most, len(f.coordinator.Registry().TasksOf(s.ID)))
	}
	return most
}

// controlVirtual carries cold databases on where the machine ends: some at all routers, and a zone's that return at once where each
// router holds a subset.
func controlVirtual(routers int) (rows []measure.Row, err error) {
	all := numbers(0, routers-1)
	for _, cold := range coldCounts[1:] {
		holders := make([][]int, cold)
		for n := range holders {
			holders[n] = all
		}
		more, err := runCold(fmt.Sprintf("virtual time: %d routers, %d cold", routers, cold), routers, holders)
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	holders := subsetHolders(routers, TargetDatabases*routers/TargetRouters)
	zoneDatabases := len(holders) / TargetZones
	name := fmt.Sprintf("virtual time: %d routers in subsets of %d, a zone's %d databases cold", routers, virtualSubset, zoneDatabases)
	more, err := runCold(name, routers, holders[:zoneDatabases])
	return append(rows, more...), err
}

// maxDecisionCore is what a coordinator's decisions may take of the one core that its goroutine has.
const maxDecisionCore = 0.5

// virtualSubset is how many databases a router holds where there are subsets.
const virtualSubset = 32

// subsetHolders are, for each database, the routers that hold it: as many for each, spread over the fleet.
func subsetHolders(routers, databases int) [][]int {
	holderCount := routers * virtualSubset / databases
	all := make([][]int, databases)
	for database := range all {
		for k := range holderCount {
			all[database] = append(all[database], (database*holderCount+k*(routers/holderCount+1))%routers)
		}
	}
	return all
}

// runCold has databases be cold for the routers that hold them; each is shared by as many.
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
		measure.AtLeast(name+": granted parts, share", f.grantedShare(), 0.99),
		measure.Figure(name+": tasks that one router owns at most", float64(f.mostTasksOwned())),
		measure.Figure(name+": letters in one answer at most", float64(f.mostMessages)),
		measure.AtMost(name+": coordinator's decisions, core", (f.timeSpent.coordinator-before.coordinator).Seconds()/virtualColdTime, maxDecisionCore),
		measure.Figure(name+": agents' decisions, core of all", (f.timeSpent.agents-before.agents).Seconds()/virtualColdTime),
	}, nil
}

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
	virtualStep  = 0.01
	virtualWay   = 0.005 // a request or an answer on its way
	virtualOpens = 7.0   // sessions are open by then
	virtualCold  = 12.0  // databases are cold for so long: parts are granted after five
	virtualHold  = 1.0   // that a heartbeat without news is held, as by a real coordinator
	agentEvery   = 10    // steps between two ticks of an agent
)

// virtualFleet is one coordinator and many agents on virtual time: the packages of the real ones, without sockets, disks and the
// load of a machine.
type virtualFleet struct {
	now         float64
	steps       int
	coordinator *coordinator.Keeper
	agents      []*agent.Member
	demand      agent.Demand
	requests    []virtualRequest // on their way
	answers     []virtualAnswer
	open        map[uint64]virtualRequest // by number, at the coordinator
	number      uint64
	mostLetters int // in one answer
	spent       struct{ coordinator, agents time.Duration }
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
	coordinator.Answer
}

func newVirtualFleet(routers int) (*virtualFleet, error) {
	stored, err := coordinator.Begin([]registry.Keeper{{ID: 1, Name: "c1", Addr: "127.0.0.1:1"}}, controlLease, 0.05)
	if err != nil {
		return nil, err
	}
	silent := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	c, err := coordinator.New(coordinator.Config{ID: 1, Name: "c1", Hold: virtualHold, Logger: silent}, stored, 0)
	if err != nil {
		return nil, err
	}
	f := &virtualFleet{coordinator: c, open: map[uint64]virtualRequest{}}
	for n := range routers {
		f.agents = append(f.agents, agent.New(agent.Config{Name: fmt.Sprint("r", n+1), Zone: fmt.Sprint("z", n%TargetZones+1), Incarnation: uint64(n + 1),
			Seed: uint64(n + 1), Stands: []string{agent.Warmth}, Members: routers, Window: 1}, agent.Kept{}))
	}
	return f, nil
}

// run until that time.
func (f *virtualFleet) run(until float64) error {
	for ; f.now < until; f.now += virtualStep {
		began := time.Now()
		if err := f.coordinate(); err != nil {
			return err
		}
		f.spent.coordinator += time.Since(began)
		began = time.Now()
		f.tickAgents()
		f.spent.agents += time.Since(began)
		f.steps++
	}
	return nil
}

// coordinate has the coordinator take what has arrived.
func (f *virtualFleet) coordinate() error {
	f.coordinator.Tick(f.now)
	arrived := 0
	for ; arrived < len(f.requests) && f.requests[arrived].at <= f.now; arrived++ {
		r := f.requests[arrived]
		f.number++
		f.open[f.number] = r
		switch {
		case r.Beat != nil:
			f.coordinator.Beat(f.now, f.number, r.Beat)
		case r.Mail != nil:
			f.coordinator.Post(f.now, f.number, r.Mail)
		case r.Act != nil:
			f.coordinator.Do(f.now, f.number, r.Act)
		}
	}
	f.requests = f.requests[arrived:]
	for {
		out, ok := f.coordinator.Output()
		if !ok {
			return nil
		}
		for _, a := range out.Answers {
			r := f.open[a.Request]
			delete(f.open, a.Request)
			if view, ok := a.Value.(coordinator.View); ok {
				f.mostLetters = max(f.mostLetters, len(view.Mail))
			}
			f.answers = append(f.answers, virtualAnswer{f.now + virtualWay, r.agent, r.Seq, a})
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
	for n := f.steps % agentEvery; n < len(f.agents); n += agentEvery {
		f.agents[n].Tell(f.now, f.demand)
		f.send(n)
	}
}

func (f *virtualFleet) send(n int) {
	for _, r := range f.agents[n].Tick(f.now) {
		f.requests = append(f.requests, virtualRequest{f.now + virtualWay, n, r})
	}
}

// parts is how many granted parts of cold databases a router has in use, on average.
func (f *virtualFleet) parts() float64 {
	sum := 0
	for _, m := range f.agents {
		for _, c := range f.demand.Cold {
			if part, ok := m.Part(f.now, c.ID, c.Start); ok && part > 0 {
				sum++
			}
		}
	}
	return float64(sum) / float64(len(f.agents))
}

// mostOwned is the most tasks that one router owns.
func (f *virtualFleet) mostOwned() (most int) {
	for _, s := range f.coordinator.Record().Sessions() {
		most = max(most, len(f.coordinator.Record().Owned(s.ID)))
	}
	return most
}

// controlVirtual carries cold databases on where the machine ends.
func controlVirtual(routers int) (rows []measure.Row, err error) {
	for _, cold := range coldCounts[1:] {
		f, err := newVirtualFleet(routers)
		if err != nil {
			return nil, err
		}
		if err := f.run(virtualOpens); err != nil {
			return nil, err
		}
		for n := range cold {
			f.demand.Cold = append(f.demand.Cold, agent.Cold{Engine: agent.Engine{ID: uint32(n + 1), Start: 1}, Need: 2 / float64(routers)})
		}
		before := f.spent
		if err := f.run(virtualOpens + virtualCold); err != nil {
			return nil, err
		}
		name := fmt.Sprintf("virtual time: %d routers, %d cold", routers, cold)
		rows = append(rows,
			measure.AtLeast(name+": granted parts a router", f.parts(), 0.99*float64(cold)),
			measure.Figure(name+": tasks that one router owns at most", float64(f.mostOwned())),
			measure.Figure(name+": letters in one answer at most", float64(f.mostLetters)),
			measure.Figure(name+": coordinator's decisions, core", (f.spent.coordinator-before.coordinator).Seconds()/virtualCold),
			measure.Figure(name+": agents' decisions, core of all", (f.spent.agents-before.agents).Seconds()/virtualCold))
	}
	return rows, nil
}

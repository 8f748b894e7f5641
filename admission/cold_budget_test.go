package admission

import (
	"math"
	"math/rand/v2"
	"testing"
)

// coldFleet is a set of routers that send one cold server as much as their budgets allow, on virtual time.
type coldFleet struct {
	controller *Controller
	random     *rand.Rand
	servers    []server  // the server as each router sees it
	learnedAt  []float64 // when each router learns of the server
	startedAt  []float64 // when each router's process started
	least      float64   // least work of a request
	most       float64   // most work of a request
	sent       []coldAttempt
}

type coldAttempt struct{ at, work float64 }

const coldStep = 0.05 // seconds

// newColdFleet draws a random deployment. A router's requests have any size up to the limit of the fast path.
func newColdFleet(random *rand.Rand, routers int) *coldFleet {
	between := func(least, most float64) float64 { return least + (most-least)*random.Float64() }
	config := Settings{Routers: routers, Tick: 0.005, KindCores: []float64{8}, ColdFrom: between(0.1, 0.6), WarmUp: between(4, 30),
		FallMultiple: between(1.2, 3), FallWindow: between(0.5, 2), Profiles: []Profile{{Target: math.Pow(10, between(-1.5, 0.7)), Benefit: 1, Threads: 1}}}
	f := &coldFleet{controller: New(config, 0, &nopHost{}), random: random}
	f.most = f.controller.fastPathLimit
	f.least = f.most * math.Pow(10, between(-3, 0))
	cores := float64(4 + random.IntN(61))
	for range routers {
		f.servers = append(f.servers, server{Entry: Entry{Server: uint32(random.IntN(9999)), ReadyAt: 1, State: Ready}, cores: cores})
		f.learnedAt, f.startedAt = append(f.learnedAt, 1+between(0, 0.2)), append(f.startedAt, 0)
	}
	for k := range f.servers {
		f.servers[k].Server = f.servers[0].Server
		f.restart(k, 0)
	}
	return f
}

func (f *coldFleet) work() float64 { return f.least * math.Pow(f.most/f.least, f.random.Float64()) }

// restart makes a router forget what it has sent.
func (f *coldFleet) restart(router int, now float64) {
	f.startedAt[router] = now
	f.servers[router].coldWork = newWindow(f.controller.config.FallWindow, 10)
}

// send makes each router send as much as it may.
func (f *coldFleet) send(now float64) {
	b := f.controller
	b.now = now
	for k := range f.servers {
		e := &f.servers[k]
		if now < f.learnedAt[k] {
			continue
		}
		b.config.Me, b.startedAt = k, f.startedAt[k]
		for refused := 0; refused < 4; { // some size that fits
			work := f.work()
			if e.coldWork.most(now)+work > b.coldBudget(e) {
				refused++
				continue
			}
			e.coldWork.add(now, work)
			e.openAttempts++
			f.sent = append(f.sent, coldAttempt{now, work})
		}
	}
}

// worstUse is the most work in one window, relative to the work that the rule allows there.
func (f *coldFleet) worstUse() (use float64) {
	config, sum, first, total := f.controller.config, 0.0, 0, 0.0
	for _, a := range f.sent {
		total += a.work
	}
	mean := total / float64(max(len(f.sent), 1))
	for _, a := range f.sent {
		for sum += a.work; f.sent[first].at <= a.at-config.FallWindow+coldStep/2; first++ {
			sum -= f.sent[first].work
		}
		age := (a.at - 1) / config.WarmUp
		n := config.FallMultiple * f.servers[0].cores * (config.ColdFrom + (1-config.ColdFrom)*age*age) * config.FallWindow / mean
		allowed := n + 2*math.Sqrt(n) + 2
		if n < 30 {
			allowed = n + 3*math.Sqrt(n) + 3
		}
		use = max(use, sum/mean/allowed)
	}
	return use
}

// TestColdBudgets guards against routers that overload a cold server when each of them sends as much as it may: all
// together must keep the rule's bound in every window, even if up to a third of the routers restart within one and some
// learn of the server later than others.
func TestColdBudgets(t *testing.T) {
	const cases, longest, most = 10000, 4.0, 60
	worstUse := 0.0
	for seed := range uint64(cases) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newColdFleet(random, 1+random.IntN(most))
		restarts := random.IntN(len(f.servers)/3 + 1)
		restartAt := 1 + 3*random.Float64()
		end := 1 + min(longest, f.controller.config.WarmUp)
		for now := 1.0; now < end; now += coldStep {
			if now >= restartAt {
				for range restarts {
					f.restart(random.IntN(len(f.servers)), now)
				}
				restarts = 0
			}
			f.send(now)
		}
		use := f.worstUse()
		if worstUse = max(worstUse, use); use > 1 {
			t.Fatalf("seed %d: %d routers send %.2f times the work that the rule allows", seed, len(f.servers), use)
		}
	}
	t.Logf("at most %.2f times the work that the rule allows", worstUse)
}

// served is the number of routers that have sent a request.
func (f *coldFleet) served() (n int) {
	for k := range f.servers {
		if f.servers[k].openAttempts > 0 {
			n++
		}
	}
	return n
}

// TestColdBudgetsAtFullSize guards against routers that a cold server never serves because the warm-up is too short for
// a turn for each of 1,600 routers: every router with small requests must send some before the server is warm, and all
// together must keep the rule.
func TestColdBudgetsAtFullSize(t *testing.T) {
	const cases, routers, watched = 20, 1600, 4.0
	for seed := range uint64(cases) {
		f := newColdFleet(rand.New(rand.NewPCG(seed, 3)), routers)
		config := f.controller.config
		f.least = min(f.least, config.FallMultiple*f.servers[0].cores*coldMargin*config.ColdFrom*config.FallWindow/routers/10)
		for now := 1.0; now < 1+config.WarmUp && (now < 1+watched || f.served() < routers); now += coldStep {
			f.send(now)
		}
		if use := f.worstUse(); use > 1 {
			t.Errorf("seed %d: %.2f times the work that the rule allows", seed, use)
		}
		if n := f.served(); n < routers {
			t.Errorf("seed %d: %d of %d routers send a request before the server is warm", seed, n, routers)
		}
	}
}

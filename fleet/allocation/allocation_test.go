package allocation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// clock is the clock of one process; at returns its reading at a true time.
type clock struct{ offset, rate float64 }

func (c clock) at(t float64) float64 { return c.offset + c.rate*t }

// process is one incarnation of a member.
type process struct {
	name         string
	incarnation  uint64
	clock        clock
	holder       *Holder
	stoppedUntil float64 // in true time
	quietUntil   float64 // in true time; until then the process relinquishes nothing
	killed       bool
	recentShares []float64 // share in use at each of the latest steps, for the window of the limit
}

// message is a message in flight: a relinquishment or a grant.
type message struct {
	at             float64
	relinquishment *Relinquishment
	grant          *Grant
	from           *process
	to             *process
	owner          int
}

const step = 0.05

// simulateCluster simulates members and owners with lost, duplicated and delayed messages, stopped and killed processes, and owners that
// lose their leases or their state. It checks at every step the largest share that all processes together may have used within the
// time window of the limit.
func simulateCluster(seed uint64, terms Terms, members, steps int) (highestUse, totalGranted float64, err error) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	drawClock := func() clock {
		return clock{rnd.Float64() * 1e4, 1 + terms.Drift*(2*rnd.Float64()-1)}
	}
	var processes []*process
	start := func(name string, incarnation uint64, now float64, clean bool) *process {
		p := &process{name: name, incarnation: incarnation, clock: drawClock()}
		p.holder = NewHolder(terms, p.clock.at(now), clean)
		processes = append(processes, p)
		return p
	}
	current := make([]*process, members)
	for k := range current {
		current[k] = start(fmt.Sprint("n", k), 1, 0, true)
	}
	type owner struct {
		granter      *Granter
		clock        clock
		leaseEnd     float64 // in true time
		stoppedUntil float64
		round        uint64
	}
	var owners []*owner
	var fence uint64
	acquire := func(now float64) {
		fence++
		o := &owner{clock: drawClock(), leaseEnd: now + 1 + 20*rnd.Float64()}
		o.granter = NewGranter(terms, fence, 0, o.clock.at(now))
		owners = append(owners, o)
	}
	acquire(0)
	window := int(math.Ceil(terms.SettleTime/step)) + 1
	var inFlight []message
	drawDelay := func() float64 { // mostly short, sometimes long
		if rnd.Float64() < 0.05 {
			return rnd.Float64() * 10
		}
		return rnd.Float64() * 0.3
	}
	var outgoing []message
	send := func(msg message) {
		if rnd.Float64() < 0.1 {
			return
		}
		outgoing = append(outgoing, msg)
		if rnd.Float64() < 0.05 {
			msg.at += rnd.Float64() * 3
			outgoing = append(outgoing, msg)
		}
	}
	for n := range steps {
		now := float64(n) * step
		if o := owners[len(owners)-1]; now >= o.leaseEnd { // the lease has ended: the next owner acquires the task
			acquire(now)
		}
		for k, p := range current {
			switch r := rnd.Float64(); {
			case r < 0.0005: // killed and restarted under the same name
				p.killed = true
				current[k] = start(p.name, p.incarnation+1, now, false)
			case r < 0.001:
				p.stoppedUntil = now + rnd.Float64()*12
			}
		}
		for _, p := range current {
			if rnd.Float64() < 0.003 {
				p.quietUntil = now + rnd.Float64()*8
			}
		}
		for k, o := range owners {
			if rnd.Float64() < 0.002 {
				o.stoppedUntil = now + rnd.Float64()*10
			}
			if now < o.stoppedUntil || now >= o.leaseEnd { // the owner checks its lease immediately before it acts
				continue
			}
			localTime := o.clock.at(now)
			if rnd.Float64() < 0.004 { // the owner loses its state but keeps its fence
				o.granter = NewGranter(terms, o.granter.Fence(), o.round, localTime)
			}
			if n%10 == 0 {
				round := o.granter.OpenRound(localTime)
				o.round = round
				for _, p := range current {
					send(message{at: now + drawDelay(), grant: &Grant{Fence: o.granter.Fence(), Round: round}, to: p, owner: k})
				}
			}
			for _, to := range o.granter.IssueGrants(localTime) {
				totalGranted += to.Share
				for _, p := range processes {
					if p.name == to.Name && p.incarnation == to.Incarnation {
						send(message{at: now + drawDelay(), grant: &to.Grant, to: p, owner: k})
					}
				}
			}
			if inUse, relinquished := o.granter.ShareInUse(localTime), o.granter.RelinquishedShare(localTime, localTime); inUse > relinquished+1e-9 {
				return highestUse, totalGranted, fmt.Errorf("seed %d at %.2f s: share %v is in use, %v is relinquished", seed, now, inUse, relinquished)
			}
		}
		undelivered := inFlight[:0]
		for _, msg := range inFlight {
			switch {
			case msg.at > now:
				undelivered = append(undelivered, msg)
			case msg.relinquishment != nil:
				if o := owners[msg.owner]; now < o.stoppedUntil {
					msg.at = o.stoppedUntil
					undelivered = append(undelivered, msg)
				} else {
					o.granter.AcceptRelinquishment(o.clock.at(now), msg.from.name, msg.from.incarnation, *msg.relinquishment)
				}
			case msg.to.killed:
			case now < msg.to.stoppedUntil:
				msg.at = msg.to.stoppedUntil
				undelivered = append(undelivered, msg)
			default:
				localTime := msg.to.clock.at(now)
				if msg.to.holder.Receive(localTime, *msg.grant) == nil && msg.grant.Tag == 0 && now >= msg.to.quietUntil {
					need := rnd.Float64() * 3 / float64(members)
					if p, ok := msg.to.holder.Relinquish(localTime, need, need*rnd.Float64()); ok {
						send(message{at: now + drawDelay(), relinquishment: &p, from: msg.to, owner: msg.owner})
					}
				}
			}
		}
		inFlight, outgoing = append(undelivered, outgoing...), outgoing[:0]
		sum := 0.0
		for _, p := range processes {
			share := 0.0
			if !p.killed { // a stopped process counts too: it may continue with the action that it was about to do
				var ok bool
				if share, ok = p.holder.Share(p.clock.at(now)); !ok {
					share = 1 / float64(terms.Members)
				}
			}
			if p.recentShares = append(p.recentShares, share); len(p.recentShares) > window {
				p.recentShares = p.recentShares[1:]
			}
			highest := 0.0
			for _, u := range p.recentShares {
				highest = max(highest, u)
			}
			sum += highest
		}
		if highestUse = max(highestUse, sum); sum > 1+1e-9 {
			return highestUse, totalGranted, fmt.Errorf("seed %d at %.2f s: share %.4f of the quota may be in use", seed, now, sum)
		}
	}
	return highestUse, totalGranted, nil
}

func TestSumNeverExceedsQuota(t *testing.T) {
	granted, highestUse := 0.0, 0.0
	seeds := 300
	if testing.Short() {
		seeds = 60
	}
	for seed := range uint64(seeds) {
		terms := StandardTerms(1+int(seed%7), float64(seed%3), 0.05)
		use, total, err := simulateCluster(seed, terms, terms.Members, 800)
		if err != nil {
			t.Fatal(err)
		}
		granted, highestUse = granted+total, max(highestUse, use)
	}
	if granted < 100 || highestUse < 0.95 { // shares must have moved for the check to mean anything
		t.Errorf("the grants add up to only %v, at most %v was in use", granted, highestUse)
	}
}

// TestNeed checks that members without need give up their shares and that every member with need gets its smallest useful share, which
// may exceed its equal share, in at least one round.
func TestNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "members")
		checkNeedIsServed(t, n, rapid.Float64Range(0.5, 4).Draw(t, "least")/float64(n))
	})
}

// TestNeedRegression checks a case in which TestNeed once failed.
func TestNeedRegression(t *testing.T) { checkNeedIsServed(t, 3, 1.75/3) }

func checkNeedIsServed(t rapid.TB, n int, least float64) {
	terms := StandardTerms(n, 1, 0.05)
	d := NewGranter(terms, 7, 0, 0)
	served := map[string]int{}
	now := 10.0
	for range 24 * n {
		round := d.OpenRound(now)
		for k := range n {
			need := 0.0
			if k%2 == 0 {
				need = max(least, 2/float64(n))
			}
			d.AcceptRelinquishment(now+0.1, fmt.Sprint(k), 1, Relinquishment{Fence: d.Fence(), Round: round, Tag: round, Need: need, MinUseful: least, Members: n, Duration: terms.RelinquishDuration})
		}
		sum := 0.0
		for _, to := range d.IssueGrants(now + 0.2) {
			sum += to.Share
			if to.Share >= least-1e-6 { // tolerates rounding
				served[to.Name]++
			}
		}
		if sum > 1+1e-9 || d.ShareInUse(now+0.2) > 1+1e-9 {
			t.Fatalf("share %v is granted, %v is in use", sum, d.ShareInUse(now+0.2))
		}
		now += 0.5
	}
	for k := 0; k < n; k += 2 {
		if least <= 1 && served[fmt.Sprint(k)] == 0 {
			t.Errorf("member %d with need never got its smallest useful share (%v of the quota, %d members); grants by member: %v", k, least, n, served)
		}
	}
}

// TestGrantsEndWithRelinquishments checks that when all members but one stop relinquishing, the shares that this one was granted are not
// renewed beyond the end of the relinquishments.
func TestGrantsEndWithRelinquishments(t *testing.T) {
	terms := StandardTerms(4, 1, 0.05)
	d := NewGranter(terms, 7, 0, 0)
	for n := range 60 {
		now := 10 + float64(n)/2
		round := d.OpenRound(now)
		for k := range 4 {
			if k == 0 || n < 20 {
				need := 0.01
				if k == 0 {
					need = 0.9
				}
				d.AcceptRelinquishment(now, fmt.Sprint(k), 1, Relinquishment{Fence: 7, Round: round, Tag: round, Need: need, Members: 4, Duration: terms.RelinquishDuration})
			}
		}
		d.IssueGrants(now)
		returned := 0.0 // equal shares that are no longer relinquished
		if lapsed := 10 + 19.0/2 + terms.RelinquishDuration*(1-0.05); now > lapsed {
			returned = 0.75
		}
		if sum := d.ShareInUse(now) + returned; sum > 1+1e-9 {
			t.Fatalf("share %v of the quota may be in use at %v s", sum, now)
		}
	}
}

// TestDelayedAndStaleGrants checks that a member ignores a grant that was delayed beyond its lifetime, one under a stale fence, and one
// that answers another process's relinquishment.
func TestDelayedAndStaleGrants(t *testing.T) {
	terms := StandardTerms(4, 1, 0.05)
	h := NewHolder(terms, 100, true)
	if part, ok := h.Share(100); ok {
		t.Fatalf("granted share %v without a relinquishment", part)
	}
	h.Receive(100, Grant{Fence: 5, Round: 1})
	p, _ := h.Relinquish(100, 1, 0)
	grant := Grant{Fence: 5, Round: 1, Tag: p.Tag, Share: 0.7, Lifetime: 60}
	if err := h.Receive(130, grant); err != ErrExpired {
		t.Errorf("grant delayed by 30 s: %v", err)
	}
	h.Receive(130, Grant{Fence: 5, Round: 2})
	p, _ = h.Relinquish(130, 1, 0)
	if err := h.Receive(130.1, Grant{Fence: 5, Tag: 99, Share: 0.7, Lifetime: 1}); err != ErrUnsolicited {
		t.Errorf("grant for another tag: %v", err)
	}
	h.Receive(130.1, Grant{Fence: 6, Round: 1})
	if err := h.Receive(130.2, Grant{Fence: 5, Tag: p.Tag, Share: 0.7, Lifetime: 1}); err != ErrStaleFence {
		t.Errorf("grant under the previous fence: %v", err)
	}
	if part, ok := h.Share(130.3); !ok || part != 0 {
		t.Errorf("relinquished without a grant: share %v, relinquished %v", part, ok)
	}
	if _, ok := h.Share(130 + terms.RelinquishDuration); ok {
		t.Error("the equal share is still relinquished after the relinquishment has expired")
	}
	if part, ok := NewHolder(terms, 10, false).Share(11); !ok || part != 0 {
		t.Errorf("a process whose predecessor may have relinquished the share: share %v, relinquished %v", part, ok)
	}
}

func BenchmarkGrants(b *testing.B) {
	terms := StandardTerms(300, 1, 0.05)
	d := NewGranter(terms, 1, 0, 0)
	for n := range b.N {
		now := 10 + float64(n)/2
		round := d.OpenRound(now)
		for k := range 300 {
			d.AcceptRelinquishment(now, fmt.Sprint(k), 1, Relinquishment{Fence: d.Fence(), Round: round, Tag: round, Need: 0.01, Members: 300, Duration: terms.RelinquishDuration})
		}
		d.IssueGrants(now + 0.2)
	}
}

// TestRoundNumbersContinue checks that an owner that lost its state but kept its fence does not mistake an answer to one of its old
// rounds for an answer to a new one.
func TestRoundNumbersContinue(t *testing.T) {
	terms := StandardTerms(4, 1, 0.05)
	d := NewGranter(terms, 7, 0, 0)
	round := d.OpenRound(10)
	late := Relinquishment{Fence: 7, Round: round, Tag: 1, Need: 1, Members: 4, Duration: terms.RelinquishDuration}
	d = NewGranter(terms, 7, round, 20)
	for k := range 6 {
		d.OpenRound(40 + float64(k)/2)
		if err := d.AcceptRelinquishment(40.1+float64(k)/2, "n1", 1, late); err != ErrUnknownRound {
			t.Fatalf("relinquishment of half a minute ago: %v", err)
		}
	}
	if d.RelinquishedShare(43, 43) > 0 {
		t.Errorf("share %v is relinquished", d.RelinquishedShare(43, 43))
	}
}

// TestWaiting checks that while one member waits for a large share, the others lose only the share that it needs, and that they get it
// back after it has been served.
func TestWaiting(t *testing.T) {
	const n = 20
	terms := StandardTerms(n, 1, 0.05)
	d := NewGranter(terms, 7, 0, 0)
	othersBefore, othersAfter, served := 0.0, 0.0, 0
	for step := range 120 {
		now := 10 + float64(step)/2
		round := d.OpenRound(now)
		for k := range n {
			need, least := 0.1, 0.002
			if k == 0 && step >= 40 && step < 60 { // a process that has just started and does not know the cost of its requests yet
				need, least = 0.5, 0.25
			}
			d.AcceptRelinquishment(now+0.1, fmt.Sprint(k), 1, Relinquishment{Fence: 7, Round: round, Tag: round, Need: need, MinUseful: least, Members: n, Duration: terms.RelinquishDuration})
		}
		sum := 0.0
		for _, to := range d.IssueGrants(now + 0.2) {
			if to.Name != "0" {
				sum += to.Share
			} else if to.Share >= 0.25 {
				served++
			}
		}
		switch {
		case step > 20 && step < 40:
			othersBefore = max(othersBefore, sum)
		case step >= 40 && step < 60:
			if sum < 0.6*othersBefore {
				t.Fatalf("step %d: the other members have %.2f instead of %.2f while one waits", step, sum, othersBefore)
			}
		case step > 80:
			othersAfter = max(othersAfter, sum)
		}
	}
	if served == 0 || othersAfter < 0.9*othersBefore {
		t.Errorf("served %d times; the other members have %.2f afterwards, %.2f before", served, othersAfter, othersBefore)
	}
}

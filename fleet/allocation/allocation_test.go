package allocation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// clock of one process: readings for a true time.
type clock struct{ offset, rate float64 }

func (c clock) at(t float64) float64 { return c.offset + c.rate*t }

// process is one life of a member.
type process struct {
	name         string
	incarnation  uint64
	clock        clock
	holder       *Holder
	stoppedUntil float64 // until then, in true time
	quietUntil   float64 // it pledges nothing until then
	killed       bool
	recentShares []float64 // part by step of late
}

// message is on its way.
type message struct {
	at             float64
	relinquishment *Relinquishment
	grant          *Grant
	from           *process
	to             *process
	owner          int
}

const step = 0.05

// simulateCluster plays members and owners with everything that can go wrong between them, and looks at every step at the most that all
// processes together may have used within the window of the limit.
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
		leaseEnd     float64 // end of its lease in true time
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
	window := int(math.Ceil(terms.Settle/step)) + 1
	var inFlight []message
	drawDelay := func() float64 { // mostly quick, at times held for long
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
		if o := owners[len(owners)-1]; now >= o.leaseEnd { // its lease is over: the next one
			acquire(now)
		}
		for k, p := range current {
			switch r := rnd.Float64(); {
			case r < 0.0005: // killed, and back under its name
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
			if now < o.stoppedUntil || now >= o.leaseEnd { // it checks its lease at the moment of the act
				continue
			}
			localTime := o.clock.at(now)
			if rnd.Float64() < 0.004 { // it has lost its account, and has its fence
				o.granter = NewGranter(terms, o.granter.Fence(), o.round, localTime)
			}
			if n%10 == 0 {
				round := o.granter.OpenRound(localTime)
				o.round = round
				for _, p := range current {
					send(message{at: now + drawDelay(), grant: &Grant{Fence: o.granter.Fence(), Round: round}, to: p, owner: k})
				}
			}
			for _, to := range o.granter.Grants(localTime) {
				totalGranted += to.Share
				for _, p := range processes {
					if p.name == to.Name && p.incarnation == to.Incarnation {
						send(message{at: now + drawDelay(), grant: &to.Grant, to: p, owner: k})
					}
				}
			}
			if inUse, relinquished := o.granter.InUse(localTime), o.granter.Relinquished(localTime, localTime); inUse > relinquished+1e-9 {
				return highestUse, totalGranted, fmt.Errorf("seed %d at %.2f: %v live of %v laid down", seed, now, inUse, relinquished)
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
					o.granter.Relinquish(o.clock.at(now), msg.from.name, msg.from.incarnation, *msg.relinquishment)
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
			if !p.killed { // asleep ones too: they may go on with what they were about to do
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
			return highestUse, totalGranted, fmt.Errorf("seed %d at %.2f: %.4f of the whole may be in use", seed, now, sum)
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
		terms := Standard(1+int(seed%7), float64(seed%3), 0.05)
		use, total, err := simulateCluster(seed, terms, terms.Members, 800)
		if err != nil {
			t.Fatal(err)
		}
		granted, highestUse = granted+total, max(highestUse, use)
	}
	if granted < 100 || highestUse < 0.95 { // the check has to have seen parts that move
		t.Errorf("only %v was dealt, at most %v in use", granted, highestUse)
	}
}

// TestNeed: a member with need gets more than its equal part, those without give theirs; the least that is of use comes round.
func TestNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "members")
		checkNeedIsServed(t, n, rapid.Float64Range(0.5, 4).Draw(t, "least")/float64(n))
	})
}

// TestNeedCase: what the property found once, mended since.
func TestNeedCase(t *testing.T) { checkNeedIsServed(t, 3, 1.75/3) }

func checkNeedIsServed(t rapid.TB, n int, least float64) {
	terms := Standard(n, 1, 0.05)
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
			d.Relinquish(now+0.1, fmt.Sprint(k), 1, Relinquishment{Fence: d.Fence(), Round: round, Tag: round, Need: need, Least: least, Members: n, Duration: terms.RelinquishFor})
		}
		sum := 0.0
		for _, to := range d.Grants(now + 0.2) {
			sum += to.Share
			if to.Share >= least-1e-6 { // a rounding less is as good
				served[to.Name]++
			}
		}
		if sum > 1+1e-9 || d.InUse(now+0.2) > 1+1e-9 {
			t.Fatalf("%v dealt, %v live", sum, d.InUse(now+0.2))
		}
		now += 0.5
	}
	for k := 0; k < n; k += 2 {
		if least <= 1 && served[fmt.Sprint(k)] == 0 {
			t.Errorf("member %d with need never got the least that is of use (%v of %d members): %v", k, least, n, served)
		}
	}
}

// TestGrantsEndWithRelinquishments: when all but one member stop pledging, what that one was dealt of theirs is not renewed past their pledges.
func TestGrantsEndWithRelinquishments(t *testing.T) {
	terms := Standard(4, 1, 0.05)
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
				d.Relinquish(now, fmt.Sprint(k), 1, Relinquishment{Fence: 7, Round: round, Tag: round, Need: need, Members: 4, Duration: terms.RelinquishFor})
			}
		}
		d.Grants(now)
		returned := 0.0 // equal parts that came back
		if lapsed := 10 + 19.0/2 + terms.RelinquishFor*(1-0.05); now > lapsed {
			returned = 0.75
		}
		if sum := d.InUse(now) + returned; sum > 1+1e-9 {
			t.Fatalf("%v at %v", sum, now)
		}
	}
}

// TestDelayedAndStaleGrants: a deal that was held on its way for longer than it lives does nothing, nor does one under an old fence, nor one
// that another process asked for.
func TestDelayedAndStaleGrants(t *testing.T) {
	terms := Standard(4, 1, 0.05)
	h := NewHolder(terms, 100, true)
	if part, ok := h.Share(100); ok {
		t.Fatalf("%v without a pledge", part)
	}
	h.Receive(100, Grant{Fence: 5, Round: 1})
	p, _ := h.Relinquish(100, 1, 0)
	grant := Grant{Fence: 5, Round: 1, Tag: p.Tag, Share: 0.7, Lifetime: 60}
	if err := h.Receive(130, grant); err != ErrExpired {
		t.Errorf("held for 30 s: %v", err)
	}
	h.Receive(130, Grant{Fence: 5, Round: 2})
	p, _ = h.Relinquish(130, 1, 0)
	if err := h.Receive(130.1, Grant{Fence: 5, Tag: 99, Share: 0.7, Lifetime: 1}); err != ErrUnsolicited {
		t.Errorf("not asked for: %v", err)
	}
	h.Receive(130.1, Grant{Fence: 6, Round: 1})
	if err := h.Receive(130.2, Grant{Fence: 5, Tag: p.Tag, Share: 0.7, Lifetime: 1}); err != ErrStaleFence {
		t.Errorf("under the old fence: %v", err)
	}
	if part, ok := h.Share(130.3); !ok || part != 0 {
		t.Errorf("pledged and nothing dealt: %v %v", part, ok)
	}
	if _, ok := h.Share(130 + terms.RelinquishFor); ok {
		t.Error("the equal part does not come back")
	}
	if part, ok := NewHolder(terms, 10, false).Share(11); !ok || part != 0 {
		t.Errorf("a process that another may have pledged for uses %v %v", part, ok)
	}
}

func BenchmarkGrants(b *testing.B) {
	terms := Standard(300, 1, 0.05)
	d := NewGranter(terms, 1, 0, 0)
	for n := range b.N {
		now := 10 + float64(n)/2
		round := d.OpenRound(now)
		for k := range 300 {
			d.Relinquish(now, fmt.Sprint(k), 1, Relinquishment{Fence: d.Fence(), Round: round, Tag: round, Need: 0.01, Members: 300, Duration: terms.RelinquishFor})
		}
		d.Grants(now + 0.2)
	}
}

// TestRoundNumbersContinue: an owner that has lost its account, and kept its fence, takes no pledge for one of its old rounds for a new one.
func TestRoundNumbersContinue(t *testing.T) {
	terms := Standard(4, 1, 0.05)
	d := NewGranter(terms, 7, 0, 0)
	round := d.OpenRound(10)
	late := Relinquishment{Fence: 7, Round: round, Tag: 1, Need: 1, Members: 4, Duration: terms.RelinquishFor}
	d = NewGranter(terms, 7, round, 20)
	for k := range 6 {
		d.OpenRound(40 + float64(k)/2)
		if err := d.Relinquish(40.1+float64(k)/2, "n1", 1, late); err != ErrRound {
			t.Fatalf("a pledge of half a minute ago: %v", err)
		}
	}
	if d.Relinquished(43, 43) > 0 {
		t.Errorf("%v laid down", d.Relinquished(43, 43))
	}
}

// TestWaiting: while one member waits for a large least, the others keep what they have but for what it needs, and get it back when
// it has been served.
func TestWaiting(t *testing.T) {
	const n = 20
	terms := Standard(n, 1, 0.05)
	d := NewGranter(terms, 7, 0, 0)
	othersBefore, othersAfter, served := 0.0, 0.0, 0
	for step := range 120 {
		now := 10 + float64(step)/2
		round := d.OpenRound(now)
		for k := range n {
			need, least := 0.1, 0.002
			if k == 0 && step >= 40 && step < 60 { // a process that has just started, and knows no work yet
				need, least = 0.5, 0.25
			}
			d.Relinquish(now+0.1, fmt.Sprint(k), 1, Relinquishment{Fence: 7, Round: round, Tag: round, Need: need, Least: least, Members: n, Duration: terms.RelinquishFor})
		}
		sum := 0.0
		for _, to := range d.Grants(now + 0.2) {
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
				t.Fatalf("step %d: the others have %.2f of %.2f while one waits", step, sum, othersBefore)
			}
		case step > 80:
			othersAfter = max(othersAfter, sum)
		}
	}
	if served == 0 || othersAfter < 0.9*othersBefore {
		t.Errorf("served %d times; the others have %.2f after, %.2f before", served, othersAfter, othersBefore)
	}
}

package coordinator

import (
	"errors"
	"io"
	"log"
	"testing"

	"dunereach/fleet/registry"

	"go.etcd.io/raft/v3"
)

// lone is a single keeper with its disk.
type lone struct {
	t       *testing.T
	k       *Keeper
	now     float64
	request uint64
	answers map[uint64]Answer
}

func newLone(t *testing.T) *lone {
	stored, err := Begin([]registry.Keeper{{ID: 1, Name: "k1", Addr: "127.0.0.1:1"}}, 2, 0.05)
	if err != nil {
		t.Fatal(err)
	}
	k, err := New(Config{ID: 1, Name: "k1", Hold: 0.5, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}}, stored, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &lone{t: t, k: k, answers: map[uint64]Answer{}}
}

func (l *lone) run(seconds float64) {
	for end := l.now + seconds; l.now < end; {
		l.now += 0.05
		l.k.Tick(l.now)
		l.carry()
	}
}

func (l *lone) carry() {
	for {
		out, ok := l.k.Output()
		if !ok {
			return
		}
		for _, a := range out.Answers {
			l.answers[a.Request] = a
		}
		if err := l.k.Done(); err != nil {
			l.t.Fatal(err)
		}
	}
}

func (l *lone) beat(b Beat) (View, error) {
	v, err := l.say(b)
	if err == nil && v.Session == 0 { // it is asked whether it is there
		b.Got = v.Number
		v, err = l.say(b)
	}
	return v, err
}

func (l *lone) say(b Beat) (View, error) {
	l.t.Helper()
	l.request++
	l.k.Beat(l.now, l.request, &b)
	l.carry()
	for range 40 {
		if a, ok := l.answers[l.request]; ok {
			v, _ := a.Value.(View)
			return v, a.Err
		}
		l.run(0.05)
	}
	l.t.Fatal("no answer")
	return View{}, nil
}

// TestNameAgain: a process that comes under a name that another has gets a session of its own at once; the other one's works
// stay its own until its lease has run out, as it may only be asleep, and its beats don't hold them any more.
func TestNameAgain(t *testing.T) {
	l := newLone(t)
	l.run(5)
	old := Beat{Name: "n1", Incarnation: 1, Stands: []string{"w"}, Wants: []Want{{Work: "w/1"}}}
	v, err := l.beat(old)
	if err != nil {
		t.Fatal(err)
	}
	old.Session = v.Session
	for len(v.Mine) == 0 {
		old.Got = v.Number
		if v, err = l.beat(old); err != nil {
			t.Fatal(err)
		}
	}
	fence := v.Mine[0].Fence
	fresh := Beat{Name: "n1", Incarnation: 2, Stands: []string{"w"}, Wants: []Want{{Work: "w/1"}}}
	v, err = l.beat(fresh)
	if err != nil || v.Session == old.Session || len(v.Mine) > 0 {
		t.Fatalf("the new process: %+v %v", v, err)
	}
	fresh.Session = v.Session
	if w := l.k.Record().Work("w/1"); w.Owner != old.Session || w.Fence != fence {
		t.Fatalf("the old one's work is session %d's", w.Owner)
	}
	if _, err := l.beat(old); !errors.Is(err, registry.ErrSuperseded) {
		t.Fatalf("the old one's beat: %v", err)
	}
	for range 20 {
		fresh.Got = v.Number
		if v, err = l.beat(fresh); err != nil {
			t.Fatal(err)
		}
		if len(v.Mine) > 0 {
			if v.Mine[0].Fence <= fence {
				t.Errorf("fence %d after %d", v.Mine[0].Fence, fence)
			}
			return
		}
	}
	t.Error("the work never came free")
}

// TestFloor: a record that is older than what a session has seen of it gives no fence up to that.
func TestFloor(t *testing.T) {
	l := newLone(t)
	l.run(5)
	b := Beat{Name: "n1", Incarnation: 1, Stands: []string{"w"}, Wants: []Want{{Work: "w/1"}}, Highest: 500}
	v, err := l.beat(b)
	for err == nil && len(v.Mine) == 0 {
		b.Session, b.Got = v.Session, v.Number
		v, err = l.beat(b)
	}
	if err != nil || v.Mine[0].Fence <= 500 {
		t.Errorf("%+v %v", v, err)
	}
}

// TestHeldOpening: a beat that asks for a session, of a process that has died since, comes late and comes twice: the process that
// has the name now keeps its session.
func TestHeldOpening(t *testing.T) {
	l := newLone(t)
	l.run(5)
	old := Beat{Name: "n1", Incarnation: 1}
	asked, err := l.say(old)
	if err != nil || asked.Session != 0 || asked.Number == 0 {
		t.Fatalf("%+v %v", asked, err)
	}
	v, err := l.beat(Beat{Name: "n1", Incarnation: 2})
	if err != nil || v.Session == 0 {
		t.Fatalf("%+v %v", v, err)
	}
	for _, got := range []uint64{0, asked.Number, v.Number} {
		old.Got = got
		if late, err := l.say(old); err != nil || late.Session != 0 {
			t.Fatalf("a late opening got session %d: %v", late.Session, err)
		}
	}
	if s := l.k.Record().Named("n1"); s == nil || s.ID != v.Session || s.Superseded {
		t.Errorf("the living process's session: %+v", s)
	}
}

// TestReleaseOnce: an order to release that is repeated asks the owner that it names, and no later one.
func TestReleaseOnce(t *testing.T) {
	l := newLone(t)
	l.run(3)
	propose := func(e registry.Entry) {
		t.Helper()
		l.k.propose(e, func(_ uint64, err error) {
			if err != nil {
				t.Errorf("%v: %v", e.Kind, err)
			}
		})
		l.carry()
	}
	order := func(fence uint64) error {
		l.request++
		l.k.Order(l.now, l.request, &Order{Kind: "release", Work: "w", Fence: fence})
		l.carry()
		return l.answers[l.request].Err
	}
	propose(registry.Entry{Kind: registry.Open, Name: "n1", Incarnation: 1})
	session := l.k.rec.Sessions()[0].ID
	propose(registry.Entry{Kind: registry.Assign, Work: "w", Session: session})
	first := l.k.rec.Work("w").Fence
	if err := order(first); err != nil || !l.k.rec.Work("w").Asked {
		t.Fatalf("%v, asked %v", err, l.k.rec.Work("w").Asked)
	}
	if err := order(first); err != nil {
		t.Errorf("repeated while it owns: %v", err)
	}
	propose(registry.Entry{Kind: registry.Release, Work: "w", Session: session, Fence: first})
	if err := order(first); err != nil {
		t.Errorf("repeated when it has let go: %v", err)
	}
	propose(registry.Entry{Kind: registry.Assign, Work: "w", Session: session})
	if err := order(first); err != nil || l.k.rec.Work("w").Asked {
		t.Errorf("repeated under a later owner: %v, asked %v", err, l.k.rec.Work("w").Asked)
	}
}

package coordinator

import (
	"errors"
	"fmt"
	"io"
	"log"
	"runtime"
	"slices"
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

// TestOlderCoordinator: while a coordinator of the last version takes part, what is agreed keeps that one's bounds; once it reads the
// new version, the larger fleet has room.
func TestOlderCoordinator(t *testing.T) {
	l := newLone(t)
	l.run(5)
	propose := func(e registry.Entry) (err error) {
		err = errors.New("not agreed")
		l.k.propose(e, func(_ uint64, why error) { err = why })
		l.carry()
		return err
	}
	if err := propose(registry.Entry{Kind: registry.Keep, Keeper: 2, Name: "k2", Reads: 1}); err != nil {
		t.Fatal(err)
	}
	const room = 1024 // of version 1
	for n := range room {
		if err := propose(registry.Entry{Kind: registry.Open, Name: fmt.Sprint("n", n), Incarnation: 1}); err != nil {
			t.Fatalf("session %d: %v", n, err)
		}
	}
	more := registry.Entry{Kind: registry.Open, Name: "more", Incarnation: 1}
	if err := propose(more); !errors.Is(err, registry.ErrFull) {
		t.Fatalf("with a coordinator of version 1: %v", err)
	}
	l.k.Version(2, 2)
	l.carry()
	if err := propose(more); err != nil {
		t.Errorf("all read version 2: %v", err)
	}
}

// crowd is a single coordinator with many sessions.
type crowd struct {
	*lone
	beats []Beat
	views []View // the last of each
}

// newCrowd has so many sessions open that want a task and would own tasks of that kind.
func newCrowd(t *testing.T, sessions int, kind, task string) *crowd {
	c := &crowd{lone: newLone(t), beats: make([]Beat, sessions), views: make([]View, sessions)}
	for n := range c.beats {
		c.beats[n] = Beat{Name: fmt.Sprint("n", n), Incarnation: 1, Stands: []string{kind}, Wants: []Want{{Work: task}}}
	}
	c.run(5)
	c.heartbeats() // each is asked whether it is there
	c.heartbeats()
	return c
}

// heartbeats of all sessions, answered.
func (c *crowd) heartbeats() {
	c.t.Helper()
	first := c.request + 1
	for n := range c.beats {
		c.request++
		c.k.Beat(c.now, c.request, &c.beats[n])
	}
	c.run(0.6) // longer than they are held
	for n := range c.beats {
		answer := c.answers[first+uint64(n)]
		v, ok := answer.Value.(View)
		if !ok {
			c.t.Fatalf("heartbeat %d: %v", n, answer.Err)
		}
		c.views[n], c.beats[n].Session, c.beats[n].Got = v, v.Session, v.Number
	}
}

// TestRoundOfAllRouters: all routers of the largest fleet answer an owner's round at once, and it grants to each: no letter is lost.
func TestRoundOfAllRouters(t *testing.T) {
	const routers, task = 1600, "warmth/1"
	c := newCrowd(t, routers, "warmth", task)
	c.heartbeats()
	owner := slices.IndexFunc(c.views, func(v View) bool { return len(v.Mine) > 0 })
	if owner < 0 {
		t.Fatal("nobody owns the task")
	}
	fence := c.views[owner].Mine[0].Fence
	post := func(from int, letters []Letter) {
		c.request++
		c.k.Post(c.now, c.request, &Mail{Session: c.beats[from].Session, Incarnation: 1, Letters: letters})
		c.carry()
		if a := c.answers[c.request]; a.Err != nil || len(a.Value.(Posted).Old) > 0 {
			t.Fatalf("%+v", a)
		}
	}
	var grants []Letter
	for n := range routers {
		post(n, []Letter{{Work: task, Body: []byte("pledge")}})
		grants = append(grants, Letter{Work: task, Fence: fence, To: c.beats[n].Name, Body: []byte("grant")})
	}
	post(owner, grants)
	c.heartbeats()
	for n, v := range c.views {
		want := 1
		if n == owner {
			want += routers
		}
		if len(v.Mail) != want {
			t.Fatalf("router %d got %d letters of %d", n, len(v.Mail), want)
		}
	}
	post(owner, []Letter{{Work: task, Fence: fence, To: "*", Body: []byte("round")}})
	c.heartbeats()
	for n, v := range c.views {
		if len(v.Mail) != 1 {
			t.Fatalf("router %d heard of %d rounds", n, len(v.Mail))
		}
	}
}

// TestTasksAreSpread: tasks that come at once in a large fleet get owners of their own, also where one router wants them first.
func TestTasksAreSpread(t *testing.T) {
	const routers, tasks = 400, 8
	c := newCrowd(t, routers, "warmth", "warmth/1")
	for n := range c.beats {
		for task := 2; task <= tasks; task++ {
			c.beats[n].Wants = append(c.beats[n].Wants, Want{Work: fmt.Sprint("warmth/", task)})
		}
	}
	c.request++
	c.k.Beat(c.now, c.request, &c.beats[7]) // the first to say so
	c.run(0.1)
	for range 4 { // longer than tasks wait for all that want them
		c.heartbeats()
	}
	most := 0
	for _, s := range c.k.Record().Sessions() {
		most = max(most, len(c.k.Record().Owned(s.ID)))
	}
	if _, all := c.k.Record().Size(); all != tasks || most != 1 {
		t.Errorf("%d of %d tasks have owners, one of them %d", all, tasks, most)
	}
}

// TestHeartbeatsGrowLinearly: what a heartbeat costs does not grow with the sessions, also while a task is wanted that nobody can
// own, as the operators' words are.
func TestHeartbeatsGrowLinearly(t *testing.T) {
	perHeartbeat := func(sessions int) float64 {
		c := newCrowd(t, sessions, "plan", "words/zones")
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c.heartbeats()
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / float64(sessions)
	}
	few, many := perHeartbeat(100), perHeartbeat(1600)
	t.Logf("%.0f and %.0f bytes a heartbeat", few, many)
	if many > 3*few {
		t.Errorf("a heartbeat allocates %.0f bytes with 100 sessions and %.0f with 1600", few, many)
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

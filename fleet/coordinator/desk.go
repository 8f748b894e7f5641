package coordinator

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"dunereach/fleet/lease"
	"dunereach/fleet/registry"

	"go.etcd.io/raft/v3"
)

// desk is what a leader knows of sessions beside the record. It is gone when it leads no more: the next leader counts every
// session's lease anew, which only lengthens it.
type desk struct {
	clients  map[uint64]*client         // by session
	named    map[string][]uint64        // sessions of each name, in order: an older one may still be there
	wanting  map[string]map[uint64]bool // sessions that want a task
	opening  map[string]bool            // names whose session is being agreed
	tokens   map[string]token           // by name, of those that have no session yet
	batch    []waiting                  // not yet sure that this keeper leads
	asked    []waiting                  // the question whether it does is out
	question uint64
	askedAt  float64
	standing map[string]int  // sessions that would own works of a kind
	assigned float64         // when free works were last looked at
	assigns  map[string]bool // works whose owner is being agreed
	wanted   map[string]want
	passing  *lease.FlapDamper
	changing bool // of keepers
	changeAt float64
	giveUp   func()
	later    []func() // to be done when what is being applied now is
	views    uint64
	tended   float64
	readAs   map[uint64]uint16 // versions that keepers said they read
	scratch  []byte
}

// token is what a process has to bring back before it gets a session.
type token struct {
	number, incarnation uint64
	at                  float64
}

type want struct {
	zone      string
	since, at float64 // when it was said first and last
}

// client is what is known of one session.
type client struct {
	name        string
	incarnation uint64
	heard       float64
	unsure      int     // beats that are not confirmed yet
	since       float64 // first view that has not been acknowledged, 0: none
	shown       uint64  // number of the last view
	seen        string  // what it showed
	stands      []string
	wants       []Want
	box         []Letter
	held        *waiting // its beat, until there is news
	until       float64
	ending      bool
}

// waiting is a request that has no answer yet.
type waiting struct {
	request uint64
	at      float64
	beat    *Beat
	read    bool
}

func newDesk() desk {
	return desk{clients: map[uint64]*client{}, named: map[string][]uint64{}, wanting: map[string]map[uint64]bool{}, opening: map[string]bool{}, tokens: map[string]token{}, assigns: map[string]bool{}, standing: map[string]int{}, wanted: map[string]want{},
		passing: lease.NewFlapDamper(), readAs: map[uint64]uint16{}}
}

func (k *Keeper) answer(request uint64, value any, err error) {
	k.answers = append(k.answers, Answer{Request: request, Value: value, Err: err, Leader: k.node.BasicStatus().Lead})
}

// lead begins with nothing known.
func (k *Keeper) lead() {
	batch := k.batch
	views := k.views
	k.desk = newDesk()
	k.batch, k.views = batch, views
}

// leave gives all back: who asked turns to the next leader.
func (k *Keeper) leave(leader uint64) {
	give := func(w waiting) {
		k.answers = append(k.answers, Answer{Request: w.request, Err: ErrElsewhere, Leader: leader})
	}
	for _, w := range append(k.batch, k.asked...) {
		give(w)
	}
	for _, c := range k.clients {
		if c.held != nil {
			give(*c.held)
		}
	}
	k.desk = newDesk()
}

// Gone tells that nobody waits for a request any more: a process whose held beat has lost its connection may have died, and gets no
// work until it beats again.
func (k *Keeper) Gone(request uint64) {
	for _, c := range k.clients {
		if c.held != nil && c.held.request == request {
			c.held = nil
		}
	}
}

// ids of the sessions, in order: what follows from them is the same on every run.
func (k *Keeper) ids() []uint64 { return slices.Sorted(maps.Keys(k.clients)) }

// Beat takes a session's word.
func (k *Keeper) Beat(now float64, request uint64, b *Beat) {
	k.now = max(k.now, now)
	if err := b.check(); err != nil {
		k.answer(request, nil, fmt.Errorf("%w: %v", ErrBad, err))
		return
	}
	k.queue(waiting{request: request, at: k.now, beat: b})
}

func (b *Beat) check() error {
	if b.Name == "" || b.Incarnation == 0 {
		return fmt.Errorf("name or incarnation is missing")
	}
	if len(b.Wants) > MostWants || len(b.Stands) > MostStands {
		return fmt.Errorf("%d works are wanted, %d at most; %d kinds, %d at most", len(b.Wants), MostWants, len(b.Stands), MostStands)
	}
	for _, text := range [...]string{b.Name, b.Zone, b.Region} {
		if err := registry.CheckName(text); err != nil {
			return err
		}
	}
	for _, w := range b.Wants {
		if kind, _, ok := strings.Cut(w.Work, "/"); !ok || kind == "" || registry.CheckName(w.Work) != nil || registry.CheckName(w.Zone) != nil {
			return fmt.Errorf("%q is no work", w.Work)
		}
	}
	return nil
}

// Read gives the record as it surely is now.
func (k *Keeper) Read(now float64, request uint64) {
	k.now = max(k.now, now)
	k.queue(waiting{request: request, at: k.now, read: true})
}

func (k *Keeper) queue(w waiting) {
	if !k.leads {
		k.answer(w.request, nil, ErrElsewhere)
		return
	}
	if w.beat != nil {
		if c := k.clients[w.beat.Session]; c != nil {
			c.unsure++
		}
	}
	k.batch = append(k.batch, w)
	k.inquire()
}

// inquire asks the other keepers whether this one still leads, for all that has come: one question at a time, so that hundreds of
// sessions cost some tens of rounds a second.
func (k *Keeper) inquire() {
	const again = 0.5 // seconds: a question that got lost
	const gap = 0.05  // between two questions: twenty rounds among keepers a second at most
	if !k.settled || k.now < k.askedAt+gap || len(k.batch) == 0 && len(k.asked) == 0 || len(k.asked) > 0 && k.now < k.askedAt+again {
		return
	}
	k.asked = append(k.asked, k.batch...)
	k.batch = nil
	k.question++
	k.askedAt = k.now
	k.node.ReadIndex(binary.BigEndian.AppendUint64(nil, k.question))
}

func (k *Keeper) confirmed(s raft.ReadState) {
	if len(s.RequestCtx) != 8 || binary.BigEndian.Uint64(s.RequestCtx) != k.question || !k.Leads() || s.Index > k.applied {
		return // an older question, or entries to come: asked again
	}
	all := k.asked
	k.asked = nil
	for _, w := range all {
		if w.read {
			k.answer(w.request, k.rec, nil)
		} else {
			k.sure(w)
		}
	}
	k.inquire()
}

// sure takes a beat that came while this keeper surely led.
func (k *Keeper) sure(w waiting) {
	b := w.beat
	c := k.clients[b.Session]
	if c != nil {
		c.unsure = max(c.unsure-1, 0)
	}
	if b.Highest > k.rec.Fence() { // the record is older than what was seen of it: nothing is decided below that
		k.propose(registry.Entry{Kind: registry.Floor, Fence: b.Highest}, func(_ uint64, err error) {
			if err != nil {
				k.answer(w.request, nil, err)
				return
			}
			k.log("session %q has seen fence %d: the record goes on from there", b.Name, b.Highest)
			k.sure(w)
		})
		return
	}
	s := k.rec.Session(b.Session)
	switch {
	case b.Session == 0:
		k.open(w)
		return
	case s == nil || s.Incarnation != b.Incarnation || s.Name != b.Name:
		k.answer(w.request, nil, ErrSession)
		return
	case s.Superseded:
		k.answer(w.request, nil, registry.ErrSuperseded)
		return
	}
	c = k.clientOf(s)
	if c.ending {
		k.answer(w.request, nil, ErrSession)
		return
	}
	if b.Got >= c.shown {
		c.since = 0
	}
	// A session that hears nothing can't prove its lease: its works would be nobody's for as long as its beats come.
	if duration, _ := k.rec.Terms(); c.since == 0 || k.now-c.since <= duration {
		c.heard = max(c.heard, w.at)
	}
	k.stand(c, b.Stands)
	k.noteWanted(b.Wants)
	k.want(s.ID, c, b.Wants)
	if c.held != nil { // it asks anew, so it waits for that no more
		k.show(s.ID, c)
	}
	c.held, c.until = &w, w.at+k.cfg.Hold
	k.assignSoon()
	if len(c.box) > 0 {
		c.until = math.Min(c.until, k.now+gather)
	}
	k.look(s.ID, c)
}

// admit a session to those that are known.
func (k *Keeper) admit(s *registry.Session) *client {
	c := &client{name: s.Name, incarnation: s.Incarnation}
	k.clients[s.ID] = c
	all := k.named[s.Name]
	at, _ := slices.BinarySearch(all, s.ID)
	k.named[s.Name] = slices.Insert(all, at, s.ID)
	return c
}

// dismiss a session that has ended.
func (k *Keeper) dismiss(id uint64, c *client) {
	k.stand(c, nil)
	k.want(id, c, nil)
	delete(k.clients, id)
	left := slices.DeleteFunc(k.named[c.name], func(other uint64) bool { return other == id })
	if k.named[c.name] = left; len(left) == 0 {
		delete(k.named, c.name)
	}
}

// want notes the tasks that a session has use for.
func (k *Keeper) want(id uint64, c *client, wants []Want) {
	if slices.Equal(c.wants, wants) {
		return
	}
	for _, x := range c.wants {
		if delete(k.wanting[x.Work], id); len(k.wanting[x.Work]) == 0 {
			delete(k.wanting, x.Work)
		}
	}
	for _, x := range wants {
		if k.wanting[x.Work] == nil {
			k.wanting[x.Work] = map[uint64]bool{}
		}
		k.wanting[x.Work][id] = true
	}
	c.wants = wants
}

// clientOf is what is known of a session beside the registry, from its first heartbeat here on.
func (k *Keeper) clientOf(s *registry.Session) *client {
	if c := k.clients[s.ID]; c != nil {
		return c
	}
	return k.admit(s)
}

// noteWanted notes the tasks that a session wants to exist, and since when each has been wanted without a pause.
func (k *Keeper) noteWanted(wants []Want) {
	for _, x := range wants {
		since := k.now
		if w, ok := k.wanted[x.Work]; ok && k.now-w.at <= keepWant {
			since = w.since
		}
		k.wanted[x.Work] = want{x.Zone, since, k.now}
	}
}

// stand notes the kinds of work that a session would own.
func (k *Keeper) stand(c *client, kinds []string) {
	if slices.Equal(c.stands, kinds) {
		return
	}
	for _, kind := range c.stands {
		k.standing[kind]--
	}
	for _, kind := range kinds {
		k.standing[kind]++
	}
	c.stands = kinds
}

// open a session for who proves that it is there now: a beat that was held on its way for long, of a process that has died since,
// must not supersede the one that has its name.
func (k *Keeper) open(w waiting) {
	b := w.beat
	if s := k.rec.Named(b.Name); s != nil && s.Incarnation == b.Incarnation {
		b.Session = s.ID
		k.sure(w)
		return
	}
	const patience = 5.0 // seconds between the question and the beat that brings it back
	if t, ok := k.tokens[b.Name]; !ok || t.number != b.Got || t.incarnation != b.Incarnation || k.now > t.at+patience {
		k.views++
		t = token{number: k.term<<32 | k.views, incarnation: b.Incarnation, at: k.now}
		if len(k.tokens) >= registry.MostSessions {
			clear(k.tokens) // who was asked is asked again
		}
		k.tokens[b.Name] = t
		k.answer(w.request, View{Number: t.number}, nil)
		return
	}
	delete(k.tokens, b.Name)
	if k.opening[b.Name] {
		k.answer(w.request, nil, ErrBusy)
		return
	}
	k.opening[b.Name] = true
	k.propose(registry.Entry{Kind: registry.Open, Name: b.Name, Incarnation: b.Incarnation, Zone: b.Zone, Region: b.Region},
		func(_ uint64, err error) {
			delete(k.opening, b.Name)
			if err != nil {
				k.answer(w.request, nil, err)
				return
			}
			b.Session = k.rec.Named(b.Name).ID
			k.log("session %d: %q of zone %q", b.Session, b.Name, b.Zone)
			k.sure(w)
		})
}

// tend is the leader's upkeep.
func (k *Keeper) tend() {
	k.inquire()
	if k.now < k.tended+TickEvery {
		return
	}
	k.tended = k.now
	k.endSilent()
	k.assign()
	for _, id := range k.ids() {
		if c := k.clients[id]; c.held != nil && k.now >= c.until { // news of the record show at once (news)
			k.show(id, c)
		}
	}
	k.forget()
	const patience = 3.0 // seconds that a change of keepers may take: some elections
	if k.changing && k.now > k.changeAt+patience {
		k.giveUp()
	}
	later := k.later
	k.later = nil
	for _, do := range later {
		do()
	}
	k.promote()
}

// endSilent ends each session that has sent no heartbeat for a lease, counted from this leader's start at the earliest.
func (k *Keeper) endSilent() {
	duration, _ := k.rec.Terms()
	for _, s := range k.rec.Sessions() {
		c := k.clients[s.ID]
		last := k.led
		if c != nil {
			last = max(last, c.heard)
			if c.unsure > 0 || c.ending {
				continue
			}
		}
		if k.now-last <= duration {
			continue
		}
		k.clientOf(s).ending = true
		for _, w := range k.rec.Works() {
			if w.Owner == s.ID {
				k.passing.Lost(k.now, s.Name)
				k.log("work %q fence %d: its owner %q is silent", w.Name, w.Fence, s.Name)
				break
			}
		}
		k.end(s.ID)
	}
}

func (k *Keeper) end(id uint64) {
	k.propose(registry.Entry{Kind: registry.Close, Session: id}, func(_ uint64, err error) {
		c := k.clients[id]
		if c == nil {
			return
		}
		if err != nil && err != registry.ErrNoSession {
			c.ending = false
			return
		}
		if c.held != nil {
			k.answer(c.held.request, nil, ErrSession)
		}
		k.dismiss(id, c)
		k.log("session %d: %q has ended", id, c.name)
	})
}

package coordinator

// This file is what sessions get to see: works and their owners, letters.

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"dunereach/fleet/lease"
	"dunereach/fleet/registry"
)

// manySessions is the size of a fleet from which on free works are looked at once in TickEvery: looking at each heartbeat costs the
// square of the sessions.
const manySessions = 300

const (
	keepWant = 3.0 // seconds that a want counts without being said again
	// gatherWants is how long a task of a large fleet is wanted before it gets an owner, in seconds: half as much again as a
	// heartbeat is held, since a session can own something only when it has heard the answer to an earlier one. Else the router
	// whose heartbeat happens to come round owns all tasks that come at once, and all the others' letters are for that one.
	gatherWants = 1.5
)

// assignSoon is assign, in a large fleet by the next tick.
func (k *Keeper) assignSoon() {
	if len(k.clients) < manySessions || k.now >= k.assigned+TickEvery {
		k.assign()
	}
}

// assign has free works that are wanted owned by somebody.
func (k *Keeper) assign() {
	if !k.Leads() {
		return
	}
	k.assigned = k.now
	duration, _ := k.rec.Terms()
	many := len(k.clients) >= manySessions
	var all []lease.Candidate
	owns := map[uint64]int{}
	stands := map[uint64][]string{}
	for _, name := range slices.Sorted(maps.Keys(k.wanted)) {
		w := k.wanted[name]
		if at := k.rec.Work(name); at != nil && at.Owner != 0 || k.assigns[name] || k.now-w.at > keepWant || many && k.now-w.since < gatherWants {
			continue
		}
		kind, _, _ := strings.Cut(name, "/")
		if k.standing[kind] == 0 { // as of the operators' words, which nobody owns
			continue
		}
		if all == nil {
			for _, x := range k.rec.Works() {
				owns[x.Owner]++
			}
			for _, id := range k.ids() {
				c := k.clients[id]
				if s := k.rec.Session(id); s != nil && !s.Superseded && !c.ending && c.held != nil && k.now-c.heard < duration/2 && c.since == 0 {
					all = append(all, lease.Candidate{Session: id, Name: c.name, Zone: s.Zone, Tasks: owns[id]})
					stands[id] = c.stands
				}
			}
		}
		var able []lease.Candidate
		for _, c := range all { // one that has no use for it would let go of it at once
			if k.wanting[name][c.Session] && slices.Contains(stands[c.Session], kind) {
				c.Tasks = owns[c.Session]
				able = append(able, c)
			}
		}
		n := lease.Choose(able, name, w.zone, func(name string) bool { return k.passing.Suppressed(k.now, name) })
		if n < 0 {
			continue
		}
		chosen := able[n]
		k.assigns[name] = true
		if many {
			owns[chosen.Session]++ // it has not been agreed yet, but the next task is another's
		}
		k.propose(registry.Entry{Kind: registry.Assign, Work: name, Session: chosen.Session, Zone: w.zone}, func(fence uint64, err error) {
			delete(k.assigns, name)
			if err == nil {
				k.log("work %q fence %d: its owner is %q", name, fence, chosen.Name)
			}
		})
	}
}

// forget drops works that nobody has wanted for long and nobody owns.
func (k *Keeper) forget() {
	const long = 60.0               // seconds
	for name, w := range k.wanted { // in any order
		if k.now-w.at > long && !k.assigns[name] {
			delete(k.wanted, name)
		}
	}
	for _, w := range k.rec.Works() {
		if _, ok := k.wanted[w.Name]; !ok && w.Owner == 0 && len(w.Note) == 0 && k.now-k.led > long && !k.assigns[w.Name] {
			name := w.Name
			k.assigns[name] = true
			k.propose(registry.Entry{Kind: registry.Drop, Work: name}, func(uint64, error) { delete(k.assigns, name) })
		}
	}
}

// news has every session looked at again.
func (k *Keeper) news() {
	k.assignSoon()
	for _, id := range k.ids() {
		if c := k.clients[id]; c.held != nil {
			k.look(id, c)
		}
	}
}

// look answers a held beat where there is something new.
func (k *Keeper) look(id uint64, c *client) {
	if k.sight(id, c) != c.seen {
		k.show(id, c)
	}
}

// sight is a short form of all that a session would see, for comparing.
func (k *Keeper) sight(id uint64, c *client) string {
	b := k.scratch[:0]
	add := func(n uint64) { b = binary.BigEndian.AppendUint64(b, n) }
	for _, w := range k.rec.Owned(id) {
		b = append(b, w.Name...)
		add(w.Fence)
		if w.Asked {
			add(1)
		}
	}
	for _, x := range c.wants {
		if w := k.rec.Work(x.Work); w != nil {
			add(w.Fence)
			add(w.Owner)
			add(w.Noted)
		}
	}
	k.scratch = b
	return string(b)
}

func (k *Keeper) show(id uint64, c *client) {
	duration, drift := k.rec.Terms()
	k.views++
	sessions, _ := k.rec.Size()
	v := View{Number: k.term<<32 | k.views, Session: id, Lease: duration, Drift: drift, Sessions: sessions, Fence: k.rec.Fence(), Mail: c.box}
	c.box = nil
	// To one that has heard nothing for a lease its works are not confirmed: its beats no longer count, so they may be another's
	// before this answer has had its effect. It hears of them again when it has said that it heard this.
	deaf := c.since != 0 && k.now-c.since > duration
	for _, w := range k.rec.Owned(id) {
		if deaf {
			break
		}
		v.Mine = append(v.Mine, Mine{lease.Claim{Work: w.Name, Fence: w.Fence}, w.Asked})
	}
	for _, x := range c.wants {
		w := k.rec.Work(x.Work)
		if w == nil {
			continue
		}
		s := Seen{Work: w.Name, Fence: w.Fence, Note: w.Note, By: w.By, Age: 1e9}
		if o := k.rec.Session(w.Owner); o != nil {
			s.Owner = o.Name
		}
		if at, ok := k.noted[w.Name]; ok {
			s.Age = k.now - at
		}
		v.Works = append(v.Works, s)
	}
	c.seen = k.sight(id, c)
	if c.shown = v.Number; c.since == 0 {
		c.since = k.now
	}
	k.answer(c.held.request, v, nil)
	c.held = nil
}

// Post hands letters on. Only who owns a work may write to those that want it.
func (k *Keeper) Post(now float64, request uint64, m *Mail) {
	k.now = max(k.now, now)
	s := k.rec.Session(m.Session)
	switch {
	case !k.Leads():
		k.answer(request, nil, ErrElsewhere)
		return
	case s == nil || s.Incarnation != m.Incarnation:
		k.answer(request, nil, ErrSession)
		return
	case s.Superseded:
		k.answer(request, nil, registry.ErrSuperseded)
		return
	case len(m.Letters) > MostLetters:
		k.answer(request, nil, fmt.Errorf("%w: %d letters, %d at most", ErrBad, len(m.Letters), MostLetters))
		return
	}
	var p Posted
	for _, l := range m.Letters {
		w := k.rec.Work(l.Work)
		if w == nil || len(l.Body) > MostBody {
			continue
		}
		l.From, l.Incarnation = s.Name, s.Incarnation
		if l.To == "" {
			k.drop(w.Owner, l)
			continue
		}
		if w.Owner != s.ID || w.Fence != l.Fence {
			k.Refused++
			if !slices.Contains(p.Old, lease.FenceMark{Work: l.Work, Fence: w.Fence}) {
				p.Old = append(p.Old, lease.FenceMark{Work: l.Work, Fence: w.Fence})
			}
			continue
		}
		for _, id := range k.named[l.To] {
			k.drop(id, l)
		}
		if l.To == "*" {
			k.dropToWanting(l)
		}
	}
	k.answer(request, p, nil)
}

// dropToWanting puts a message into the box of each session that wants its task.
func (k *Keeper) dropToWanting(l Letter) {
	for _, id := range slices.Sorted(maps.Keys(k.wanting[l.Work])) {
		if k.clients[id].name != l.To {
			k.drop(id, l)
		}
	}
}

// gather is how long a letter waits for others to go with: a deal lives fifteen times as long, and it spares a busy keeper half
// of its calls.
const gather = 0.1

// drop puts a letter into a session's box.
func (k *Keeper) drop(id uint64, l Letter) {
	c := k.clients[id]
	if c == nil {
		return
	}
	if c.box = append(c.box, l); len(c.box) > mostBox {
		c.box = slices.Delete(c.box, 0, 1)
	}
	if c.held != nil {
		c.until = math.Min(c.until, k.now+gather)
	}
}

// Do has an act of a session agreed.
func (k *Keeper) Do(now float64, request uint64, a *Act) {
	k.now = max(k.now, now)
	if !k.Leads() {
		k.answer(request, nil, ErrElsewhere)
		return
	}
	e := registry.Entry{Session: a.Session, Work: a.Work, Fence: a.Fence}
	switch a.Kind {
	case "release":
		e.Kind = registry.Release
	case "note":
		e.Kind, e.Body = registry.Note, a.Body
	case "close":
		e = registry.Entry{Kind: registry.Close, Session: a.Session}
	default:
		k.answer(request, nil, fmt.Errorf("%w: no act is called %q", ErrBad, a.Kind))
		return
	}
	k.propose(e, func(fence uint64, err error) {
		if err == registry.ErrFence {
			k.Refused++
		}
		if err == registry.ErrFence && fence > 0 {
			err = &lease.StaleFenceError{Work: a.Work, Fence: a.Fence, Highest: fence}
		}
		k.answer(request, Posted{}, err)
	})
}

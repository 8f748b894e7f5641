package coordinator

// This file changes the group of keepers, and carries operators' words.

import (
	"fmt"
	"slices"

	"dunereach/fleet/registry"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Version notes what another keeper says that it reads.
func (k *Keeper) Version(id uint64, version uint16) {
	if k.readAs[id] == version || !k.Leads() {
		return
	}
	x := k.rec.Keeper(id)
	if x == nil || x.Version == version && x.Started {
		return
	}
	k.readAs[id] = version
	k.propose(registry.Entry{Kind: registry.Keep, Keeper: id, Name: x.Name, Addr: x.Addr, Zone: x.Zone, Reads: version, Started: true},
		func(_ uint64, err error) {
			if err != nil {
				delete(k.readAs, id)
			}
		})
}

// Order carries an operator's word out.
func (k *Keeper) Order(now float64, request uint64, o *Order) {
	k.now = max(k.now, now)
	if !k.Leads() {
		k.answer(request, nil, ErrElsewhere)
		return
	}
	switch o.Kind {
	case "release":
		if x := k.rec.Work(o.Work); o.Fence != 0 && x != nil && (x.Owner == 0 || x.Fence != o.Fence) {
			k.answer(request, Posted{}, nil) // repeated: that owner has let go
			return
		}
		k.propose(registry.Entry{Kind: registry.Ask, Work: o.Work}, func(_ uint64, err error) { k.answer(request, Posted{}, err) })
	case "say":
		k.propose(registry.Entry{Kind: registry.Say, Work: o.Work, Body: o.Body}, func(_ uint64, err error) { k.answer(request, Posted{}, err) })
	case "join":
		k.join(request, o)
	case "leave":
		for _, x := range k.rec.Keepers() {
			if x.Name == o.Name {
				k.change(pb.ConfChangeRemoveNode, registry.Entry{Kind: registry.Unkeep, Keeper: x.ID}, func(err error) { k.answer(request, Posted{}, err) })
				return
			}
		}
		k.answer(request, nil, registry.ErrKeeper)
	default:
		k.answer(request, nil, fmt.Errorf("%w: no order is called %q", ErrBad, o.Kind))
	}
}

// join takes a keeper in under a number that none ever had. One of its name that was there has lost its folder, or it would not
// ask: its word in earlier votes is gone, so it never votes under the old number again.
func (k *Keeper) join(request uint64, o *Order) {
	if o.Name == "" || o.Addr == "" {
		k.answer(request, nil, fmt.Errorf("%w: name or address is missing", ErrBad))
		return
	}
	for _, x := range k.rec.Keepers() {
		if x.Name != o.Name {
			continue
		}
		if !x.Started && x.Addr == o.Addr && slices.Contains(k.conf.GetLearners(), x.ID) {
			k.answer(request, x.ID, nil) // it asks again
			return
		}
		k.change(pb.ConfChangeRemoveNode, registry.Entry{Kind: registry.Unkeep, Keeper: x.ID}, func(err error) {
			if err != nil {
				k.answer(request, nil, err)
				return
			}
			// Raft takes the next change only when this one is behind it.
			k.later = append(k.later, func() { k.join(request, o) })
		})
		return
	}
	id := k.rec.NextKeeper()
	k.change(pb.ConfChangeAddLearnerNode, registry.Entry{Kind: registry.Keep, Keeper: id, Name: o.Name, Addr: o.Addr, Zone: o.Zone},
		func(err error) { k.answer(request, id, err) })
}

// change of the keepers' group: one at a time, agreed like any entry.
func (k *Keeper) change(kind pb.ConfChangeType, e registry.Entry, done func(error)) {
	if k.changing {
		done(ErrBusy)
		return
	}
	e.Version = k.rec.Reads()
	text, err := e.Marshal()
	if err != nil {
		done(err)
		return
	}
	c := &pb.ConfChange{Type: kind.Enum(), NodeId: new(e.Keeper), Context: k.number(text)}
	if err := k.node.ProposeConfChange(c); err != nil {
		done(ErrUnsure)
		return
	}
	k.changing, k.changeAt = true, k.now
	number := k.proposal
	k.giveUp = func() { // raft drops a change that comes too early without a word
		if end := k.pending[number]; end != nil {
			delete(k.pending, number)
			end(0, ErrUnsure)
		}
	}
	k.pending[number] = func(_ uint64, err error) {
		k.changing = false
		done(err)
	}
}

// promote gives a vote to a keeper that has caught up.
func (k *Keeper) promote() {
	const near = 50 // entries
	if len(k.conf.GetLearners()) == 0 || k.changing {
		return
	}
	for id, p := range k.node.Status().Progress {
		x := k.rec.Keeper(id)
		if p.IsLearner && p.RecentActive && x != nil && p.Match+near > k.applied {
			k.change(pb.ConfChangeAddNode, registry.Entry{Kind: registry.Keep, Keeper: id, Name: x.Name, Addr: x.Addr, Zone: x.Zone},
				func(err error) { k.log("keeper %d has a vote now: %v", id, err) })
			return
		}
	}
}

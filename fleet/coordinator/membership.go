package coordinator

// This file changes the membership of the coordinators' group and executes operators' orders.

import (
	"fmt"
	"slices"

	"dunereach/fleet/registry"

	pb "go.etcd.io/raft/v3/raftpb"
)

// ReportVersion records the newest entry format version that another coordinator reports that it reads.
func (k *Coordinator) ReportVersion(id uint64, version uint16) {
	if k.reportedVersions[id] == version || !k.IsLeader() {
		return
	}
	x := k.reg.Coordinator(id)
	if x == nil || x.Version == version && x.Started {
		return
	}
	k.reportedVersions[id] = version
	k.propose(registry.Entry{Kind: registry.SetCoordinator, Coordinator: id, Name: x.Name, Addr: x.Addr, Zone: x.Zone, ReadableVersion: version, Started: true},
		func(_ uint64, err error) {
			if err != nil {
				delete(k.reportedVersions, id)
			}
		})
}

// ExecuteOrder executes an operator's order.
func (k *Coordinator) ExecuteOrder(now float64, request uint64, o *Order) {
	k.now = max(k.now, now)
	if !k.IsLeader() {
		k.answer(request, nil, ErrNotLeader)
		return
	}
	switch o.Kind {
	case "release":
		if x := k.reg.Task(o.Task); o.Fence != 0 && x != nil && (x.Owner == 0 || x.Fence != o.Fence) {
			k.answer(request, PostResult{}, nil) // a repeated order: that owner has released the task
			return
		}
		k.propose(registry.Entry{Kind: registry.RequestRelease, Task: o.Task}, func(_ uint64, err error) { k.answer(request, PostResult{}, err) })
	case "say":
		k.storeAnnotation(request, o)
	case "join":
		k.addCoordinator(request, o)
	case "leave":
		x := k.coordinatorNamed(o.Name)
		if x == nil {
			k.answer(request, nil, registry.ErrCoordinator)
			return
		}
		k.changeMembership(pb.ConfChangeRemoveNode, registry.Entry{Kind: registry.RemoveCoordinator, Coordinator: x.ID}, func(err error) { k.answer(request, PostResult{}, err) })
	default:
		k.answer(request, nil, fmt.Errorf("%w: unknown order kind %q", ErrBadRequest, o.Kind))
	}
}

// storeAnnotation stores an operator's annotation of a task. While some coordinator does not read the entry that compares it with the one it
// replaces, the leader compares: two orders that meet within a round trip between coordinators are then not told apart.
func (k *Coordinator) storeAnnotation(request uint64, o *Order) {
	e := registry.Entry{Kind: registry.OperatorAnnotation, Task: o.Task, Body: o.Body}
	switch {
	case o.Replaces == nil:
	case k.reg.ReadableVersion() >= registry.ReplaceVersion:
		e.Kind, e.Fence = registry.ReplaceAnnotation, *o.Replaces
	case k.reg.AnnotationFence(o.Task) != *o.Replaces:
		k.answer(request, nil, registry.ErrConflict)
		return
	}
	k.propose(e, func(_ uint64, err error) { k.answer(request, PostResult{}, err) })
}

// addCoordinator adds a coordinator under an ID that was never used before. An existing member of the same name has lost its
// folder, or it would not ask to join. Its record of earlier votes is lost with the folder, so it must never vote under the
// old ID again.
func (k *Coordinator) addCoordinator(request uint64, o *Order) {
	if o.Name == "" || o.Addr == "" {
		k.answer(request, nil, fmt.Errorf("%w: name or address is missing", ErrBadRequest))
		return
	}
	if x := k.coordinatorNamed(o.Name); x != nil && (x.Join == o.Identity || !k.reg.HasJoined(o.Identity)) {
		k.replaceCoordinator(request, o, x)
		return
	}
	if k.reg.HasJoined(o.Identity) {
		k.answer(request, nil, ErrJoined)
		return
	}
	id := k.reg.NextCoordinatorID()
	e := registry.Entry{Kind: registry.SetCoordinator, Coordinator: id, Name: o.Name, Addr: o.Addr, Zone: o.Zone}
	if k.reg.ReadableVersion() >= registry.ReplaceVersion {
		e.Incarnation = o.Identity
	}
	k.changeMembership(pb.ConfChangeAddLearnerNode, e, func(err error) { k.answer(request, id, err) })
}

// coordinatorNamed returns the coordinator with a name, nil if there is none.
func (k *Coordinator) coordinatorNamed(name string) *registry.Coordinator {
	for _, x := range k.reg.Coordinators() {
		if x.Name == name {
			return x
		}
	}
	return nil
}

// replaceCoordinator removes the coordinator that has the joining one's name, and then adds that one. A repeated order changes nothing: its
// coordinator has joined, and may run by now.
func (k *Coordinator) replaceCoordinator(request uint64, o *Order, x *registry.Coordinator) {
	repeated := o.Identity != 0 && x.Join == o.Identity
	waiting := !x.Started && x.Addr == o.Addr && slices.Contains(k.confState.GetLearners(), x.ID)
	if repeated || waiting {
		k.answer(request, x.ID, nil)
		return
	}
	k.changeMembership(pb.ConfChangeRemoveNode, registry.Entry{Kind: registry.RemoveCoordinator, Coordinator: x.ID}, func(err error) {
		if err != nil {
			k.answer(request, nil, err)
			return
		}
		// Raft accepts the next change only after this one is applied.
		k.deferred = append(k.deferred, func() { k.addCoordinator(request, o) })
	})
}

// changeMembership proposes a change of the coordinators' group. One change is in progress at a time, and it is committed
// like any other entry.
func (k *Coordinator) changeMembership(kind pb.ConfChangeType, e registry.Entry, done func(error)) {
	if k.changingMembers {
		done(ErrBusy)
		return
	}
	e.Version = e.WriteVersion(k.reg.ReadableVersion())
	text, err := e.Marshal()
	if err != nil {
		done(err)
		return
	}
	c := &pb.ConfChange{Type: kind.Enum(), NodeId: new(e.Coordinator), Context: k.number(text)}
	if err := k.node.ProposeConfChange(c); err != nil {
		done(ErrOutcomeUnknown)
		return
	}
	k.changingMembers, k.changeStartedAt = true, k.now
	number := k.lastProposal
	k.abandonChange = func() { // raft silently drops a change that is proposed too early
		if finish := k.pendingProposals[number]; finish != nil {
			delete(k.pendingProposals, number)
			finish(0, ErrOutcomeUnknown)
		}
	}
	k.pendingProposals[number] = func(_ uint64, err error) {
		k.changingMembers = false
		done(err)
	}
}

// promoteLearner makes a learner that has caught up a voter.
func (k *Coordinator) promoteLearner() {
	const maxLag = 50 // entries that a learner may be behind
	if len(k.confState.GetLearners()) == 0 || k.changingMembers {
		return
	}
	for id, p := range k.node.Status().Progress {
		x := k.reg.Coordinator(id)
		if p.IsLearner && p.RecentActive && x != nil && p.Match+maxLag > k.applied {
			k.changeMembership(pb.ConfChangeAddNode, registry.Entry{Kind: registry.SetCoordinator, Coordinator: id, Name: x.Name, Addr: x.Addr, Zone: x.Zone},
				func(err error) { k.log("promotion of coordinator %d to voter: %v", id, err) })
			return
		}
	}
}

// Package coordinator implements one member of the quorum that replicates the fleet's registry. It holds raft (a library that
// is a state machine itself), the registry, and the state that only the leader has, such as when each session's last
// heartbeat arrived. The package does no I/O: a driver passes in the time, messages and requests, and carries out its output.
// The simulator runs the same package on virtual time.
package coordinator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"dunereach/fleet/registry"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Raft's clock. Followers miss a leader after one to two seconds, longer than a garbage collector's pause or a busy disk lasts.
const (
	TickEvery     = 0.05
	heartbeatTick = 2
	electionTick  = 20
)

const (
	snapshotInterval = 2000 // entries between snapshots: some 200 KB of log
	retainedEntries  = 200  // entries kept behind a snapshot, for a coordinator that lags a little
)

// Config is the configuration of one coordinator.
type Config struct {
	ID            uint64
	Name          string
	RegistryToken string      // identifies the registry: coordinators of another registry are not members
	HoldTime      float64     // seconds for which a heartbeat is held while nothing changes
	Logger        raft.Logger // the raft library's log
	Log           func(text string)
}

// PersistedState is what a coordinator reads from its disk at the start.
type PersistedState struct {
	Snapshot  *pb.Snapshot
	HardState *pb.HardState
	Entries   []*pb.Entry
}

// InitialState returns the state that every coordinator of a new registry stores first.
func InitialState(coordinators []registry.Coordinator, lease, drift float64) (PersistedState, error) {
	r, err := registry.Begin(coordinators, lease, drift)
	if err != nil {
		return PersistedState{}, err
	}
	text, err := r.Snapshot()
	if err != nil {
		return PersistedState{}, err
	}
	var voters []uint64
	for _, k := range coordinators {
		voters = append(voters, k.ID)
	}
	return PersistedState{
		Snapshot: &pb.Snapshot{Data: text, Metadata: &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)),
			ConfState: &pb.ConfState{Voters: voters}}},
		HardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))},
	}, nil
}

// Output is what the driver has to do: first persist, then send the messages and answers, then call Done.
type Output struct {
	Persist struct {
		Snapshot  *pb.Snapshot  // the whole state; stored before the entries
		HardState *pb.HardState // nil: unchanged
		Entries   []*pb.Entry
		Sync      bool
		Compact   uint64 // entries up to this index are in the snapshot and may be deleted
	}
	Messages  []*pb.Message
	Responses []Response
}

// Response is the answer to a request.
type Response struct {
	Request uint64
	Leader  uint64 // ID of the coordinator that may be the leader, 0: unknown
	Err     error
	Value   any // Snapshot, PostResult, *registry.Registry (the live one) or uint64 (a coordinator's ID)
}

// Errors of requests. ErrNotLeader comes with the leader's ID where it is known.
var (
	ErrNotLeader      = errors.New("this coordinator is not the leader")
	ErrOutcomeUnknown = errors.New("the coordinator lost leadership before the entry was committed: it may or may not be")
	ErrUnknownSession = errors.New("no such session: open a new one")
	ErrBadRequest     = errors.New("bad request")
	ErrBusy           = errors.New("a change of coordinator membership is in progress")
	ErrJoined         = errors.New("a coordinator has joined by this order and was replaced since")
)

// Coordinator is one member of the quorum that replicates the registry.
type Coordinator struct {
	cfg     Config
	node    *raft.RawNode
	storage *raft.MemoryStorage
	reg     *registry.Registry
	now     float64

	confState        *pb.ConfState
	applied          uint64
	snapshotIndex    uint64
	membersChanged   bool // the group's membership has changed: a joining coordinator accepts no snapshot that does not name it
	lastTick         float64
	isLeader         bool
	term             uint64
	leaderSince      float64 // since when it may answer from the registry, on its clock; valid only while it is the leader
	termCommitted    bool    // the first entry of its own term is committed, so all earlier ones are
	lastProposal     uint64
	pendingProposals map[uint64]func(fence uint64, err error)
	annotatedAt      map[string]float64 // by task, when this coordinator applied its last annotation while leader
	answers          []Response
	ready            *raft.Ready
	compactIndex     uint64
	newSnapshot      *pb.Snapshot
	sessionTable
	RejectedStale int // messages and actions that were rejected because their fence is stale
}

// New returns a coordinator that continues from its persisted state.
func New(cfg Config, stored PersistedState, now float64) (*Coordinator, error) {
	k := &Coordinator{cfg: cfg, storage: raft.NewMemoryStorage(), reg: registry.New(), now: now, lastTick: now, confState: &pb.ConfState{},
		pendingProposals: map[uint64]func(uint64, error){}, annotatedAt: map[string]float64{}, sessionTable: newSessionTable()}
	if s := stored.Snapshot; s != nil && s.GetMetadata().GetIndex() > 0 {
		if err := k.restore(s); err != nil {
			return nil, err
		}
		if err := k.storage.ApplySnapshot(s); err != nil {
			return nil, err
		}
	}
	if stored.HardState != nil {
		if err := k.storage.SetHardState(stored.HardState); err != nil {
			return nil, err
		}
	}
	if err := k.storage.Append(stored.Entries); err != nil {
		return nil, err
	}
	var err error
	k.node, err = raft.NewRawNode(&raft.Config{
		ID: cfg.ID, ElectionTick: electionTick, HeartbeatTick: heartbeatTick, Storage: k.storage, Applied: k.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, MaxCommittedSizePerReady: 1 << 20,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: cfg.Logger,
	})
	return k, err
}

// restore replaces the registry by the one in a snapshot.
func (k *Coordinator) restore(s *pb.Snapshot) error {
	r, err := registry.Restore(s.GetData())
	if err != nil {
		return err
	}
	k.reg, k.confState = r, s.GetMetadata().GetConfState()
	k.applied, k.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// Registry returns the registry as applied here, which may be behind the leader's.
func (k *Coordinator) Registry() *registry.Registry { return k.reg }

// IsLeader reports whether this coordinator is the leader and may answer requests.
func (k *Coordinator) IsLeader() bool { return k.isLeader && k.termCommitted }

// Status returns this coordinator's status.
func (k *Coordinator) Status() Status {
	b := k.node.BasicStatus()
	s := Status{ID: k.cfg.ID, Name: k.cfg.Name, Registry: k.cfg.RegistryToken, State: b.RaftState.String(), Leader: b.Lead,
		Term: b.HardState.GetTerm(), Commit: b.HardState.GetCommit(), Applied: k.applied, HasJoined: true, Started: []int{}}
	for _, x := range k.reg.Coordinators() {
		if x.Started {
			s.Started = append(s.Started, int(x.ID))
		}
	}
	if k.IsLeader() {
		s.LeaderFor = k.now - k.leaderSince
	}
	return s
}

// Tick advances the time. It is called about every TickEvery. After a pause of the process, raft's clock advances by a second
// at most, so that the coordinator doesn't call an election before it has read the messages that arrived meanwhile.
func (k *Coordinator) Tick(now float64) {
	k.now = max(k.now, now)
	if k.now-k.lastTick > 1 {
		k.lastTick = k.now - 1
	}
	for ; k.lastTick+TickEvery <= k.now; k.lastTick += TickEvery {
		k.node.Tick()
	}
	k.updateRole()
	if k.IsLeader() {
		k.upkeep()
	}
}

// Step processes another coordinator's raft message.
func (k *Coordinator) Step(now float64, m *pb.Message) {
	k.now = max(k.now, now)
	k.node.Step(m) // an error means that raft ignores the message, for instance one of a coordinator that has left
	k.updateRole()
}

// ReportUnreachable reports that messages to a coordinator can't be delivered.
func (k *Coordinator) ReportUnreachable(id uint64) { k.node.ReportUnreachable(id) }

// ReportSnapshot reports whether a raft snapshot sent to a coordinator arrived.
func (k *Coordinator) ReportSnapshot(id uint64, arrived bool) {
	s := raft.SnapshotFinish
	if !arrived {
		s = raft.SnapshotFailure
	}
	k.node.ReportSnapshot(id, s)
}

// updateRole detects that this coordinator became the leader or stepped down.
func (k *Coordinator) updateRole() {
	b := k.node.BasicStatus()
	isLeader, term := b.RaftState == raft.StateLeader, b.HardState.GetTerm()
	if isLeader == k.isLeader && (!isLeader || term == k.term) {
		return
	}
	if k.isLeader {
		k.stopLeading(b.Lead)
	}
	if k.isLeader, k.term, k.termCommitted = isLeader, term, false; isLeader {
		// The first entry of the term: once it is committed, everything that earlier leaders committed is applied here.
		k.propose(registry.Entry{Kind: registry.Noop}, func(_ uint64, err error) {
			if err == nil {
				k.termCommitted, k.leaderSince = true, k.now
				k.resetSessionTable()
				k.log("coordinator %d is the leader in term %d", k.cfg.ID, k.term)
			}
		})
	}
}

// stopLeading ends all proposals, whose outcome is now unknown, and answers all waiting requests.
func (k *Coordinator) stopLeading(leader uint64) {
	for _, done := range k.pendingProposals {
		done(0, ErrOutcomeUnknown)
	}
	clear(k.pendingProposals)
	clear(k.annotatedAt)
	k.rejectPendingRequests(leader)
	k.log("coordinator %d is no longer the leader", k.cfg.ID)
}

func (k *Coordinator) log(format string, args ...any) {
	if k.cfg.Log != nil {
		k.cfg.Log(fmt.Sprintf(format, args...))
	}
}

// propose submits an entry to raft. done is called with its result once it is applied here, or with ErrOutcomeUnknown.
func (k *Coordinator) propose(e registry.Entry, done func(fence uint64, err error)) {
	e.Version = e.WriteVersion(k.reg.ReadableVersion()) // a coordinator that can't read an entry stops
	text, err := e.Marshal()
	if err != nil {
		done(0, err)
		return
	}
	data := k.number(text)
	if err := k.node.Propose(data); err != nil {
		done(0, ErrOutcomeUnknown)
		return
	}
	k.pendingProposals[k.lastProposal] = done
}

// number puts the coordinator's ID and the proposal's number before its text, so that the coordinator recognizes its own
// proposals when they are committed.
func (k *Coordinator) number(text []byte) []byte {
	k.lastProposal++
	header := binary.BigEndian.AppendUint64(nil, k.cfg.ID)
	return append(binary.BigEndian.AppendUint64(header, k.lastProposal), text...)
}

// proposalHeaderBytes is the size of the two numbers before a proposal's text.
const proposalHeaderBytes = 16

// Output returns what the driver has to do; ok is false if there is nothing. Done has to be called before the next call.
func (k *Coordinator) Output() (out Output, ok bool) {
	k.updateRole()
	out.Responses, k.answers = k.answers, nil
	if k.ready == nil && k.node.HasReady() {
		rd := k.node.Ready()
		k.ready = &rd
		if !raft.IsEmptySnap(rd.Snapshot) {
			out.Persist.Snapshot = rd.Snapshot
		}
		out.Persist.HardState, out.Persist.Entries, out.Persist.Sync = rd.HardState, rd.Entries, rd.MustSync
		out.Messages = rd.Messages
	}
	if k.newSnapshot != nil && out.Persist.Snapshot == nil {
		out.Persist.Snapshot, out.Persist.Compact = k.newSnapshot, k.compactIndex
		k.newSnapshot = nil
	}
	return out, k.ready != nil || len(out.Responses) > 0 || out.Persist.Snapshot != nil
}

// Done reports that the last output was carried out. After an error the coordinator must stop.
func (k *Coordinator) Done() error {
	rd := k.ready
	if rd == nil {
		return nil
	}
	k.ready = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := k.restore(rd.Snapshot); err != nil {
			return err
		}
		if err := k.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		if err := k.storage.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if err := k.storage.Append(rd.Entries); err != nil {
		return err
	}
	for _, e := range rd.CommittedEntries {
		if err := k.apply(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	for _, s := range rd.ReadStates {
		k.leadershipConfirmed(s)
	}
	k.node.Advance(*rd)
	k.updateRole()
	if len(rd.CommittedEntries) > 0 && k.IsLeader() {
		k.answerChanged()
	}
	return k.compactLog()
}

func (k *Coordinator) apply(e *pb.Entry) error {
	index := e.GetIndex()
	if index <= k.applied {
		return nil
	}
	k.applied = index
	data := e.GetData()
	switch e.GetType() {
	case pb.EntryConfChange:
		var c pb.ConfChange
		if err := proto.Unmarshal(data, &c); err != nil {
			return err
		}
		k.confState, k.membersChanged = k.node.ApplyConfChange(&c), true
		data = c.GetContext()
	case pb.EntryConfChangeV2:
		var c pb.ConfChangeV2
		if err := proto.Unmarshal(data, &c); err != nil {
			return err
		}
		k.confState, k.membersChanged = k.node.ApplyConfChange(&c), true
		data = c.GetContext()
	}
	if len(data) == 0 { // the empty entry that raft appends at the start of a term
		return nil
	}
	if len(data) < proposalHeaderBytes {
		return errors.New("the entry is shorter than its header")
	}
	entry, err := registry.Parse(data[proposalHeaderBytes:])
	var fence uint64
	if err == nil {
		fence, err = k.reg.Apply(index, entry)
	}
	if errors.Is(err, registry.ErrUnknown) {
		return err // coordinators that understand the entry have applied it: continuing would diverge from them
	}
	if entry.Kind == registry.Annotation && err == nil {
		k.annotatedAt[entry.Task] = k.now
	}
	if binary.BigEndian.Uint64(data) == k.cfg.ID {
		n := binary.BigEndian.Uint64(data[8:])
		if done := k.pendingProposals[n]; done != nil {
			delete(k.pendingProposals, n)
			done(fence, err)
		}
	}
	return nil
}

// compactLog takes a snapshot and drops old entries once enough entries were applied since the last one.
func (k *Coordinator) compactLog() error {
	if k.applied < k.snapshotIndex+snapshotInterval && !k.membersChanged {
		return nil
	}
	k.membersChanged = false
	text, err := k.reg.Snapshot()
	if err != nil {
		return err
	}
	s, err := k.storage.CreateSnapshot(k.applied, k.confState, text)
	if err != nil {
		return err
	}
	k.snapshotIndex, k.newSnapshot, k.compactIndex = k.applied, s, 1
	first, err := k.storage.FirstIndex()
	if err != nil || k.applied < first+retainedEntries {
		return err
	}
	k.compactIndex = k.applied - retainedEntries
	return k.storage.Compact(k.compactIndex)
}

// Voters returns the IDs of the group's current voters.
func (k *Coordinator) Voters() []uint64 { return slices.Clone(k.confState.GetVoters()) }

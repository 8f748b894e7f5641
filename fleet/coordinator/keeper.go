// Package coordinator is one keeper of the fleet's record: raft (a library that is a state machine itself), the record, and what
// the leader alone knows: when each session was last heard. It does no I/O: a driver gives it time, messages and requests, and
// carries out what it puts out. The same package runs on virtual time.
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

// Raft's own clock: a leader is missed after one to two seconds, which a collector's pause or a busy disk does not last.
const (
	TickEvery     = 0.05
	heartbeatTick = 2
	electionTick  = 20
)

const (
	snapshotEvery = 2000 // entries: some 200 KB of log
	kept          = 200  // entries behind it, for a keeper that is a little late
)

// Config of one keeper.
type Config struct {
	ID     uint64
	Name   string
	Token  string      // of the record: keepers of another are none of its
	Hold   float64     // seconds that a beat without news is held
	Logger raft.Logger // what the library says
	Log    func(text string)
}

// Stored is what a keeper finds on its disk.
type Stored struct {
	Snapshot  *pb.Snapshot
	HardState *pb.HardState
	Entries   []*pb.Entry
}

// Begin is what every keeper of a new record stores first.
func Begin(keepers []registry.Keeper, lease, drift float64) (Stored, error) {
	r, err := registry.Begin(keepers, lease, drift)
	if err != nil {
		return Stored{}, err
	}
	text, err := r.Snapshot()
	if err != nil {
		return Stored{}, err
	}
	var voters []uint64
	for _, k := range keepers {
		voters = append(voters, k.ID)
	}
	return Stored{
		Snapshot: &pb.Snapshot{Data: text, Metadata: &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)),
			ConfState: &pb.ConfState{Voters: voters}}},
		HardState: &pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))},
	}, nil
}

// Output is what the driver has to do: first keep, then send and answer, then call Done.
type Output struct {
	Keep struct {
		Snapshot  *pb.Snapshot  // whole state, before the entries
		HardState *pb.HardState // nil: as it was
		Entries   []*pb.Entry
		Sync      bool
		Compact   uint64 // entries up to this are in the snapshot and may go
	}
	Messages []*pb.Message
	Answers  []Answer
}

// Answer to a request.
type Answer struct {
	Request uint64
	Leader  uint64 // where it isn't this keeper: who may be, 0: not known
	Err     error
	Value   any // View, Posted, *record.Record (as it is now), uint64 (a keeper's number)
}

// Errors of requests. ErrElsewhere goes with the leader.
var (
	ErrElsewhere = errors.New("this keeper does not lead")
	ErrUnsure    = errors.New("the keeper stopped leading before it was agreed: it may or may not be")
	ErrSession   = errors.New("no such session: open another")
	ErrBad       = errors.New("bad request")
	ErrBusy      = errors.New("a change of keepers is under way")
)

// Keeper is one process's part in keeping the record.
type Keeper struct {
	cfg  Config
	node *raft.RawNode
	mem  *raft.MemoryStorage
	rec  *registry.Record
	now  float64

	conf     *pb.ConfState
	applied  uint64
	snapAt   uint64
	regroup  bool // the keepers' group has changed: one that joins takes no snapshot that does not name it
	tickAt   float64
	leads    bool
	term     uint64
	led      float64 // since when it may answer for the record, on its clock; only while it leads
	settled  bool    // its own first entry is agreed, so all earlier ones are
	proposal uint64
	pending  map[uint64]func(fence uint64, err error)
	noted    map[string]float64 // when this keeper, leading, saw a note agreed
	answers  []Answer
	ready    *raft.Ready
	compact  uint64
	snapshot *pb.Snapshot
	desk
	Refused int // letters and acts under an old fence that were refused
}

// New keeper on what its disk has.
func New(cfg Config, stored Stored, now float64) (*Keeper, error) {
	k := &Keeper{cfg: cfg, mem: raft.NewMemoryStorage(), rec: registry.New(), now: now, tickAt: now, conf: &pb.ConfState{},
		pending: map[uint64]func(uint64, error){}, noted: map[string]float64{}, desk: newDesk()}
	if s := stored.Snapshot; s != nil && s.GetMetadata().GetIndex() > 0 {
		if err := k.restore(s); err != nil {
			return nil, err
		}
		if err := k.mem.ApplySnapshot(s); err != nil {
			return nil, err
		}
	}
	if stored.HardState != nil {
		if err := k.mem.SetHardState(stored.HardState); err != nil {
			return nil, err
		}
	}
	if err := k.mem.Append(stored.Entries); err != nil {
		return nil, err
	}
	var err error
	k.node, err = raft.NewRawNode(&raft.Config{
		ID: cfg.ID, ElectionTick: electionTick, HeartbeatTick: heartbeatTick, Storage: k.mem, Applied: k.applied,
		MaxSizePerMsg: 256 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 << 20, MaxCommittedSizePerReady: 1 << 20,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, Logger: cfg.Logger,
	})
	return k, err
}

func (k *Keeper) restore(s *pb.Snapshot) error {
	r, err := registry.Restore(s.GetData())
	if err != nil {
		return err
	}
	k.rec, k.conf = r, s.GetMetadata().GetConfState()
	k.applied, k.snapAt = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

// Record as it is here: what is agreed, up to what this keeper has heard.
func (k *Keeper) Record() *registry.Record { return k.rec }

// Leads tells whether it leads and may answer.
func (k *Keeper) Leads() bool { return k.leads && k.settled }

// Status of this keeper.
func (k *Keeper) Status() Status {
	b := k.node.BasicStatus()
	s := Status{ID: k.cfg.ID, Name: k.cfg.Name, Record: k.cfg.Token, State: b.RaftState.String(), Leader: b.Lead,
		Term: b.HardState.GetTerm(), Commit: b.HardState.GetCommit(), Applied: k.applied, Begun: true, Started: []int{}}
	for _, x := range k.rec.Keepers() {
		if x.Started {
			s.Started = append(s.Started, int(x.ID))
		}
	}
	if k.Leads() {
		s.Led = k.now - k.led
	}
	return s
}

// Tick lets time pass. It is called every TickEvery or so; after a stop, raft's clock goes on by a second at most, so that a
// keeper that slept doesn't call an election before it has read what came meanwhile.
func (k *Keeper) Tick(now float64) {
	k.now = max(k.now, now)
	if k.now-k.tickAt > 1 {
		k.tickAt = k.now - 1
	}
	for ; k.tickAt+TickEvery <= k.now; k.tickAt += TickEvery {
		k.node.Tick()
	}
	k.role()
	if k.Leads() {
		k.tend()
	}
}

// Step takes another keeper's message.
func (k *Keeper) Step(now float64, m *pb.Message) {
	k.now = max(k.now, now)
	k.node.Step(m) // an error: raft has no use for it, as for one of a keeper that has left
	k.role()
}

// Unreachable tells that messages to a keeper get nowhere.
func (k *Keeper) Unreachable(id uint64) { k.node.ReportUnreachable(id) }

// Sent tells what became of a snapshot on its way to a keeper.
func (k *Keeper) Sent(id uint64, arrived bool) {
	s := raft.SnapshotFinish
	if !arrived {
		s = raft.SnapshotFailure
	}
	k.node.ReportSnapshot(id, s)
}

// role notices that this keeper began or stopped leading.
func (k *Keeper) role() {
	b := k.node.BasicStatus()
	leads, term := b.RaftState == raft.StateLeader, b.HardState.GetTerm()
	if leads == k.leads && (!leads || term == k.term) {
		return
	}
	if k.leads {
		k.stopLeading(b.Lead)
	}
	if k.leads, k.term, k.settled = leads, term, false; leads {
		// Its first entry: once it is agreed, all that earlier leaders had agreed is known here.
		k.propose(registry.Entry{Kind: registry.Nothing}, func(_ uint64, err error) {
			if err == nil {
				k.settled, k.led = true, k.now
				k.lead()
				k.log("keeper %d leads in term %d", k.cfg.ID, k.term)
			}
		})
	}
}

func (k *Keeper) stopLeading(leader uint64) {
	for _, done := range k.pending {
		done(0, ErrUnsure)
	}
	clear(k.pending)
	clear(k.noted)
	k.leave(leader)
	k.log("keeper %d leads no more", k.cfg.ID)
}

func (k *Keeper) log(format string, args ...any) {
	if k.cfg.Log != nil {
		k.cfg.Log(fmt.Sprintf(format, args...))
	}
}

// propose has an entry agreed; done is told what it did once it is applied here, or that nobody knows.
func (k *Keeper) propose(e registry.Entry, done func(fence uint64, err error)) {
	e.Version = k.rec.Reads() // one that some coordinator could not read would stop it; both versions have the same fields
	text, err := e.Marshal()
	if err != nil {
		done(0, err)
		return
	}
	data := k.number(text)
	if err := k.node.Propose(data); err != nil {
		done(0, ErrUnsure)
		return
	}
	k.pending[k.proposal] = done
}

// number puts a proposal's number before its text: the keeper's own, so that it knows its own again.
func (k *Keeper) number(text []byte) []byte {
	k.proposal++
	head := binary.BigEndian.AppendUint64(nil, k.cfg.ID)
	return append(binary.BigEndian.AppendUint64(head, k.proposal), text...)
}

const headBytes = 16

// Output is what is to be done, false: nothing. Done has to follow before the next.
func (k *Keeper) Output() (out Output, ok bool) {
	k.role()
	out.Answers, k.answers = k.answers, nil
	if k.ready == nil && k.node.HasReady() {
		rd := k.node.Ready()
		k.ready = &rd
		if !raft.IsEmptySnap(rd.Snapshot) {
			out.Keep.Snapshot = rd.Snapshot
		}
		out.Keep.HardState, out.Keep.Entries, out.Keep.Sync = rd.HardState, rd.Entries, rd.MustSync
		out.Messages = rd.Messages
	}
	if k.snapshot != nil && out.Keep.Snapshot == nil {
		out.Keep.Snapshot, out.Keep.Compact = k.snapshot, k.compact
		k.snapshot = nil
	}
	return out, k.ready != nil || len(out.Answers) > 0 || out.Keep.Snapshot != nil
}

// Done tells that the last output was carried out. An error is one that this keeper must not go on with.
func (k *Keeper) Done() error {
	rd := k.ready
	if rd == nil {
		return nil
	}
	k.ready = nil
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := k.restore(rd.Snapshot); err != nil {
			return err
		}
		if err := k.mem.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		if err := k.mem.SetHardState(rd.HardState); err != nil {
			return err
		}
	}
	if err := k.mem.Append(rd.Entries); err != nil {
		return err
	}
	for _, e := range rd.CommittedEntries {
		if err := k.apply(e); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
	}
	for _, s := range rd.ReadStates {
		k.confirmed(s)
	}
	k.node.Advance(*rd)
	k.role()
	if len(rd.CommittedEntries) > 0 && k.Leads() {
		k.news()
	}
	return k.shorten()
}

func (k *Keeper) apply(e *pb.Entry) error {
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
		k.conf, k.regroup = k.node.ApplyConfChange(&c), true
		data = c.GetContext()
	case pb.EntryConfChangeV2:
		var c pb.ConfChangeV2
		if err := proto.Unmarshal(data, &c); err != nil {
			return err
		}
		k.conf, k.regroup = k.node.ApplyConfChange(&c), true
		data = c.GetContext()
	}
	if len(data) == 0 { // raft's own at the begin of a term
		return nil
	}
	if len(data) < headBytes {
		return errors.New("an entry that is none")
	}
	entry, err := registry.Parse(data[headBytes:])
	var fence uint64
	if err == nil {
		fence, err = k.rec.Apply(index, entry)
	}
	if errors.Is(err, registry.ErrUnknown) {
		return err // others may have understood it: going on would part from them
	}
	if entry.Kind == registry.Note && err == nil {
		k.noted[entry.Work] = k.now
	}
	if binary.BigEndian.Uint64(data) == k.cfg.ID {
		n := binary.BigEndian.Uint64(data[8:])
		if done := k.pending[n]; done != nil {
			delete(k.pending, n)
			done(fence, err)
		}
	}
	return nil
}

// shorten makes a snapshot when enough has happened since the last.
func (k *Keeper) shorten() error {
	if k.applied < k.snapAt+snapshotEvery && !k.regroup {
		return nil
	}
	k.regroup = false
	text, err := k.rec.Snapshot()
	if err != nil {
		return err
	}
	s, err := k.mem.CreateSnapshot(k.applied, k.conf, text)
	if err != nil {
		return err
	}
	k.snapAt, k.snapshot, k.compact = k.applied, s, 1
	first, err := k.mem.FirstIndex()
	if err != nil || k.applied < first+kept {
		return err
	}
	k.compact = k.applied - kept
	return k.mem.Compact(k.compact)
}

// Voters that the keepers' group has now.
func (k *Keeper) Voters() []uint64 { return slices.Clone(k.conf.GetVoters()) }

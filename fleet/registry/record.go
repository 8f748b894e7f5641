// Package registry is what the processes of a fleet agree on: who has a session, which work has which owner under which fence,
// and what owners have put down under theirs. It is a state machine that knows no clock, disk or network: the same entries in
// the same order give the same record on every process.
package registry

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// The fleet that a record is bounded for: 1,600 routers before 3,900 databases, and about a quarter of each beside.
const (
	MostRouters   = 2048
	MostDatabases = 4096
)

// Bounds on what a record holds.
const (
	// MostSessions has room for all routers twice: where all of them restart at once, the session of each old process lasts
	// until its lease is over.
	MostSessions = 2 * MostRouters
	// MostWorks has room for two tasks of each database: its warm-up and its probes. Tasks of tenants and the plan take what
	// the databases leave, as all of them are cold and suspected at no time.
	MostWorks   = 2 * MostDatabases
	MostKeepers = 9    // raft with more is slow to agree and no safer
	MostName    = 120  // bytes
	MostNote    = 2048 // bytes that an owner puts down
)

// Bounds that entries of version 1 are held to, which older coordinators apply: as long as one of those takes part, all of
// them refuse alike.
const (
	mostSessionsVersion1 = 1024
	mostWorksVersion1    = 1024
)

// mostSessions and mostWorks are the bounds that an entry of that version is held to.
func mostSessions(version uint16) int {
	if version < 2 {
		return mostSessionsVersion1
	}
	return MostSessions
}

func mostWorks(version uint16) int {
	if version < 2 {
		return mostWorksVersion1
	}
	return MostWorks
}

// MostSnapshot is what the snapshot of a full record takes at most, in bytes: names and notes at their bounds, and some bytes
// a field beside them.
const (
	mostFields   = 64 // bytes of the numbers and keys of one session or task
	MostSnapshot = MostSessions*(3*MostName+mostFields) + MostWorks*(3*MostName+MostNote+mostFields) + 1<<16
)

// Session is one process that takes part. A name has one that counts: an older one of the same name is superseded, and its
// works stay its own until its lease has run out, since its process may only be asleep.
type Session struct {
	ID          uint64 `cbor:"1,keyasint" json:"id"` // the entry that opened it: never used twice
	Name        string `cbor:"2,keyasint" json:"name"`
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"` // one process's life, by chance
	Zone        string `cbor:"4,keyasint" json:"zone"`
	Region      string `cbor:"5,keyasint" json:"region"`
	Superseded  bool   `cbor:"6,keyasint,omitempty" json:"superseded,omitempty"`
}

// Work is one thing done on behalf of the fleet, by one owner at a time.
type Work struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Owner uint64 `cbor:"2,keyasint,omitempty" json:"session,omitempty"` // session, 0: free
	Fence uint64 `cbor:"3,keyasint" json:"fence"`                       // of the owner, or of the last
	Zone  string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`    // its place, "": none
	Note  []byte `cbor:"5,keyasint,omitempty" json:"note,omitempty"`    // what the last owner that did put down
	Noted uint64 `cbor:"6,keyasint,omitempty" json:"noted,omitempty"`   // the entry that put it down
	By    uint64 `cbor:"7,keyasint,omitempty" json:"by,omitempty"`      // under this fence
	Asked bool   `cbor:"8,keyasint,omitempty" json:"asked,omitempty"`   // an operator asked its owner to let go
}

// Keeper is one of the processes that keep the record.
type Keeper struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"` // never used twice: one that lost its folder comes back under another
	Name    string `cbor:"2,keyasint" json:"name"`
	Addr    string `cbor:"3,keyasint" json:"addr"`
	Zone    string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Version uint16 `cbor:"5,keyasint" json:"version"` // newest entries that it reads, 0: it has not said
	Started bool   `cbor:"6,keyasint,omitempty" json:"started,omitempty"`
}

// state is all that a snapshot holds.
type state struct {
	Index    uint64              `cbor:"1,keyasint"`
	Fence    uint64              `cbor:"2,keyasint"` // the highest ever given
	Keeper   uint64              `cbor:"3,keyasint"` // the highest number of a keeper ever given
	Sessions map[uint64]*Session `cbor:"4,keyasint"`
	Works    map[string]*Work    `cbor:"5,keyasint"`
	Keepers  map[uint64]*Keeper  `cbor:"6,keyasint"`
	Lease    float64             `cbor:"7,keyasint"` // seconds, and the drift of clocks that it allows for: agreed once, when the
	Drift    float64             `cbor:"8,keyasint"` // record begins, since two keepers that count otherwise would not be safe
}

// Record is the state after some entries.
type Record struct {
	s      state
	byName map[string]uint64           // session that counts
	owned  map[uint64]map[string]*Work // by owner, so that looking at one session does not look at all tasks
}

// New is a record before its first entry.
func New() *Record {
	r := &Record{s: state{Sessions: map[uint64]*Session{}, Works: map[string]*Work{}, Keepers: map[uint64]*Keeper{}}}
	r.index()
	return r
}

// Begin is the record that some keepers start with, as its first entry leaves it.
func Begin(keepers []Keeper, lease, drift float64) (*Record, error) {
	if !(lease >= 0.2 && lease <= 600) || !(drift >= 0 && drift <= 0.3) {
		return nil, fmt.Errorf("a lease of %v s with a drift of %v: 0.2 to 600 s and 0 to 0.3 can be", lease, drift)
	}
	r := New()
	r.s.Index, r.s.Lease, r.s.Drift = 1, lease, drift
	for _, k := range keepers {
		if err := r.keep(Entry{Keeper: k.ID, Name: k.Name, Addr: k.Addr, Zone: k.Zone}); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Terms of leases.
func (r *Record) Terms() (lease, drift float64) { return r.s.Lease, r.s.Drift }

func (r *Record) index() {
	r.byName, r.owned = map[string]uint64{}, map[uint64]map[string]*Work{}
	for _, w := range r.s.Works {
		r.own(w, w.Owner)
	}
	for id, s := range r.s.Sessions {
		if !s.Superseded {
			r.byName[s.Name] = id
		}
	}
}

// own gives a work that owner, 0: it is free.
func (r *Record) own(w *Work, owner uint64) {
	delete(r.owned[w.Owner], w.Name)
	if len(r.owned[w.Owner]) == 0 {
		delete(r.owned, w.Owner)
	}
	w.Owner = owner
	if owner == 0 {
		return
	}
	if r.owned[owner] == nil {
		r.owned[owner] = map[string]*Work{}
	}
	r.owned[owner][w.Name] = w
}

// Index of the last entry.
func (r *Record) Index() uint64 { return r.s.Index }

// Fence is the highest that was ever given.
func (r *Record) Fence() uint64 { return r.s.Fence }

// Session by its number, nil: none.
func (r *Record) Session(id uint64) *Session { return r.s.Sessions[id] }

// Named is the session of a name that counts, nil: none.
func (r *Record) Named(name string) *Session { return r.s.Sessions[r.byName[name]] }

// Work by its name, nil: none.
func (r *Record) Work(name string) *Work { return r.s.Works[name] }

// Sessions in the order they were opened.
func (r *Record) Sessions() []*Session { return inOrder(r.s.Sessions) }

// Works by name.
func (r *Record) Works() []*Work { return inOrder(r.s.Works) }

// Keepers by number.
func (r *Record) Keepers() []*Keeper { return inOrder(r.s.Keepers) }

// Keeper by its number, nil: none.
func (r *Record) Keeper(id uint64) *Keeper { return r.s.Keepers[id] }

// NextKeeper is a number that no keeper ever had.
func (r *Record) NextKeeper() uint64 { return r.s.Keeper + 1 }

// Size of what is held.
func (r *Record) Size() (sessions, works int) { return len(r.s.Sessions), len(r.s.Works) }

// Owned is the works of a session, by name.
func (r *Record) Owned(session uint64) (all []*Work) {
	for _, w := range r.owned[session] {
		all = append(all, w)
	}
	if len(all) > 1 {
		slices.SortFunc(all, func(a, b *Work) int { return cmp.Compare(a.Name, b.Name) })
	}
	return all
}

func inOrder[K ~uint64 | ~string, V any](m map[K]*V) []*V {
	all := make([]*V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		all = append(all, m[k])
	}
	return all
}

// Reads is the newest version of entries that every keeper reads, as far as they have said: what is newer must not be
// proposed, since one that can't read an agreed entry could only stop.
func (r *Record) Reads() uint16 {
	least := Version
	for _, k := range r.s.Keepers {
		if k.Version > 0 {
			least = min(least, k.Version)
		}
	}
	return least
}

// Why an entry has no effect. Such an entry is agreed all the same: every process refuses it alike.
var (
	ErrFull       = errors.New("the record is full")
	ErrNoSession  = errors.New("no such session")
	ErrSuperseded = errors.New("a newer process has this name")
	ErrOwned      = errors.New("another owns this work")
	ErrFence      = errors.New("the fence is not the owner's")
	ErrNoWork     = errors.New("no such work")
	ErrKeeper     = errors.New("no such keeper, or too many")
)

// Apply takes the entry with this index in. An error says why the entry changed nothing; ErrUnknown alone must stop the
// process, as others may have understood it.
func (r *Record) Apply(index uint64, e Entry) (fence uint64, err error) {
	if index <= r.s.Index {
		return 0, fmt.Errorf("entry %d comes after %d", index, r.s.Index)
	}
	if err := e.Check(); err != nil {
		return 0, err
	}
	r.s.Index = index
	switch e.Kind {
	case Nothing:
	case Open:
		return 0, r.open(index, e)
	case Close:
		return 0, r.close(e.Session)
	case Assign:
		return r.assign(e)
	case Release:
		return 0, r.release(e)
	case Drop:
		w := r.s.Works[e.Work]
		switch {
		case w == nil:
			return 0, ErrNoWork
		case w.Owner != 0:
			return 0, ErrOwned
		}
		delete(r.s.Works, e.Work) // its fences stay spent: they are given from one number for all works
	case Note:
		w := r.s.Works[e.Work]
		if w == nil {
			return 0, ErrNoWork
		}
		if w.Owner != e.Session || w.Fence != e.Fence {
			return w.Fence, ErrFence
		}
		w.Note, w.Noted, w.By = slices.Clone(e.Body), index, e.Fence
	case Ask:
		w := r.s.Works[e.Work]
		if w == nil || w.Owner == 0 {
			return 0, ErrNoWork
		}
		w.Asked = true
	case Keep:
		return 0, r.keep(e)
	case Unkeep:
		if r.s.Keepers[e.Keeper] == nil {
			return 0, ErrKeeper
		}
		delete(r.s.Keepers, e.Keeper)
	case Floor:
		r.s.Fence = max(r.s.Fence, e.Fence)
	case Say:
		w, err := r.free(e.Version, e.Work)
		if err != nil {
			return 0, err
		}
		w.By, w.Note, w.Noted = w.Fence, slices.Clone(e.Body), index
		return w.Fence, nil
	}
	return 0, nil
}

func (r *Record) open(index uint64, e Entry) error {
	old := r.Named(e.Name)
	if old != nil && old.Incarnation == e.Incarnation {
		return nil // asked twice: the session that there is
	}
	if len(r.s.Sessions) >= mostSessions(e.Version) {
		return ErrFull
	}
	if old != nil {
		old.Superseded = true // it may be asleep with its lease running: its works are free when that is over
	}
	r.s.Sessions[index] = &Session{ID: index, Name: e.Name, Incarnation: e.Incarnation, Zone: e.Zone, Region: e.Region}
	r.byName[e.Name] = index
	return nil
}

func (r *Record) close(id uint64) error {
	s := r.s.Sessions[id]
	if s == nil {
		return ErrNoSession
	}
	if r.byName[s.Name] == id {
		delete(r.byName, s.Name)
	}
	delete(r.s.Sessions, id)
	for _, w := range r.owned[id] {
		r.own(w, 0)
		w.Asked = false
	}
	return nil
}

func (r *Record) assign(e Entry) (uint64, error) {
	s := r.s.Sessions[e.Session]
	switch {
	case s == nil:
		return 0, ErrNoSession
	case s.Superseded:
		return 0, ErrSuperseded
	}
	w, err := r.free(e.Version, e.Work)
	if err != nil {
		return 0, err
	}
	r.own(w, e.Session)
	w.Zone, w.Asked = e.Zone, false
	return w.Fence, nil
}

// free is a work that nobody owns, under a fence of its own: the next of the one number for all works.
func (r *Record) free(version uint16, name string) (*Work, error) {
	w := r.s.Works[name]
	switch {
	case w != nil && w.Owner != 0:
		return nil, ErrOwned
	case w == nil && len(r.s.Works) >= mostWorks(version):
		return nil, ErrFull
	case w == nil:
		w = &Work{Name: name}
		r.s.Works[name] = w
	}
	r.s.Fence++
	w.Fence = r.s.Fence
	return w, nil
}

func (r *Record) release(e Entry) error {
	w := r.s.Works[e.Work]
	switch {
	case w == nil:
		return ErrNoWork
	case w.Owner != e.Session || w.Fence != e.Fence:
		return ErrFence
	}
	r.own(w, 0)
	w.Asked = false
	return nil
}

func (r *Record) keep(e Entry) error {
	k := r.s.Keepers[e.Keeper]
	if k == nil {
		if e.Keeper <= r.s.Keeper || len(r.s.Keepers) >= MostKeepers {
			return ErrKeeper // a number that was used, or too many
		}
		k = &Keeper{ID: e.Keeper}
		r.s.Keepers[e.Keeper], r.s.Keeper = k, e.Keeper
	}
	k.Name, k.Addr, k.Zone = e.Name, e.Addr, e.Zone
	k.Version, k.Started = max(k.Version, e.Reads), k.Started || e.Started
	return nil
}

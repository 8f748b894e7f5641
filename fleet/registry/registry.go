// Package registry is the state that the processes of a fleet agree on: the open sessions, the owner and fence of each
// task, and the annotations that owners store under their fences. It is a state machine without clock, disk or network
// access: the same entries in the same order produce the same registry in every process.
package registry

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Size of the fleet that the bounds are computed for: 1,600 routers and 3,900 databases, plus a reserve (about a quarter
// for routers).
const (
	MaxRouters   = 2048
	MaxDatabases = 4096
)

// Bounds of the registry.
const (
	// MaxSessions allows for two sessions per router: if all routers restart at once, the session of each old process
	// remains until its lease ends.
	MaxSessions = 2 * MaxRouters
	// MaxTasks allows for two tasks per database: its warm-up and its probes. Databases are never all cold and suspected at
	// the same time, so the rest suffices for the tasks of tenants and the plan.
	MaxTasks        = 2 * MaxDatabases
	MaxCoordinators = 9    // more raft members make agreement slower without making it safer
	MaxName         = 120  // bytes
	MaxAnnotation   = 2048 // bytes of the annotation that an owner stores
)

// Bounds for entries of version 1, as applied by older coordinators. While an older coordinator is a member, all of them
// must reject the same entries.
const (
	maxSessionsVersion1 = 1024
	maxTasksVersion1    = 1024
)

// maxSessions and maxTasks return the bounds for an entry of the given version.
func maxSessions(version uint16) int {
	if version < boundsVersion {
		return maxSessionsVersion1
	}
	return MaxSessions
}

func maxTasks(version uint16) int {
	if version < boundsVersion {
		return maxTasksVersion1
	}
	return MaxTasks
}

// MaxSnapshot is the maximum size in bytes of the snapshot of a full registry: names and annotations of maximum length, and
// some bytes for each field.
const (
	fixedFieldBytes = 64 // bytes of the numbers and keys of one session or task
	MaxSnapshot     = MaxSessions*(3*MaxName+fixedFieldBytes) + MaxTasks*(3*MaxName+MaxAnnotation+fixedFieldBytes) + 1<<16
)

// Session is a process that takes part in the fleet. Only one session per name is active: an older one with the same name
// is superseded. It keeps its tasks until its lease ends, since its process may only be suspended.
type Session struct {
	ID          uint64 `cbor:"1,keyasint" json:"id"` // index of the entry that opened it: never reused
	Name        string `cbor:"2,keyasint" json:"name"`
	Incarnation uint64 `cbor:"3,keyasint" json:"incarnation"` // random number that identifies one process run
	Zone        string `cbor:"4,keyasint" json:"zone"`
	Region      string `cbor:"5,keyasint" json:"region"`
	Superseded  bool   `cbor:"6,keyasint,omitempty" json:"superseded,omitempty"`
}

// Task is a unit of work done for the fleet, by one owner at a time.
type Task struct {
	Name             string `cbor:"1,keyasint" json:"name"`
	Owner            uint64 `cbor:"2,keyasint,omitempty" json:"session,omitempty"` // owning session, 0: free
	Fence            uint64 `cbor:"3,keyasint" json:"fence"`                       // of the current or the last owner
	Zone             string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`    // zone of the task, "": none
	Annotation       []byte `cbor:"5,keyasint,omitempty" json:"note,omitempty"`    // stored by the last owner that wrote one, or by an operator
	AnnotatedAt      uint64 `cbor:"6,keyasint,omitempty" json:"noted,omitempty"`   // index of the entry that stored it
	AnnotationFence  uint64 `cbor:"7,keyasint,omitempty" json:"by,omitempty"`      // fence under which it was stored
	ReleaseRequested bool   `cbor:"8,keyasint,omitempty" json:"asked,omitempty"`   // an operator asked the owner to release the task
}

// Coordinator is a member of the quorum that keeps the registry.
type Coordinator struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"` // never reused: a coordinator that lost its data folder returns under a new ID
	Name    string `cbor:"2,keyasint" json:"name"`
	Addr    string `cbor:"3,keyasint" json:"addr"`
	Zone    string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Version uint16 `cbor:"5,keyasint" json:"version"` // newest version of entries that it reads, 0: not reported yet
	Started bool   `cbor:"6,keyasint,omitempty" json:"started,omitempty"`
	Join    uint64 `cbor:"7,keyasint,omitempty" json:"-"` // identity of the order by which it joined, 0: unknown
}

// state is the content of a snapshot.
type state struct {
	Index        uint64                  `cbor:"1,keyasint"`
	Fence        uint64                  `cbor:"2,keyasint"` // highest fence ever assigned
	Coordinator  uint64                  `cbor:"3,keyasint"` // highest ID of a coordinator ever assigned
	Sessions     map[uint64]*Session     `cbor:"4,keyasint"`
	Tasks        map[string]*Task        `cbor:"5,keyasint"`
	Coordinators map[uint64]*Coordinator `cbor:"6,keyasint"`
	// The lease in seconds and the clock drift that it allows for are agreed on once, when the registry is created, because
	// coordinators that used different values would not be safe.
	Lease float64  `cbor:"7,keyasint"`
	Drift float64  `cbor:"8,keyasint"`
	Joins []uint64 `cbor:"9,keyasint,omitempty"` // identities of the last orders to join, the oldest first
}

// Registry is the state after a number of entries.
type Registry struct {
	s             state
	sessionByName map[string]uint64           // active session of each name
	tasksByOwner  map[uint64]map[string]*Task // so that access to one session's tasks does not scan all tasks
}

// New returns an empty registry before its first entry.
func New() *Registry {
	r := &Registry{s: state{Sessions: map[uint64]*Session{}, Tasks: map[string]*Task{}, Coordinators: map[uint64]*Coordinator{}}}
	r.rebuildIndexes()
	return r
}

// Begin returns the registry of a new quorum with the given coordinators, as its first entry leaves it.
func Begin(coordinators []Coordinator, lease, drift float64) (*Registry, error) {
	if !(lease >= 0.2 && lease <= 600) || !(drift >= 0 && drift <= 0.3) {
		return nil, fmt.Errorf("lease %v s or clock drift %v out of range: want 0.2 to 600 s and 0 to 0.3", lease, drift)
	}
	r := New()
	r.s.Index, r.s.Lease, r.s.Drift = 1, lease, drift
	for _, k := range coordinators {
		if err := r.setCoordinator(Entry{Coordinator: k.ID, Name: k.Name, Addr: k.Addr, Zone: k.Zone}); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// LeaseTerms returns the lease in seconds and the clock drift that it allows for.
func (r *Registry) LeaseTerms() (lease, drift float64) { return r.s.Lease, r.s.Drift }

func (r *Registry) rebuildIndexes() {
	r.sessionByName, r.tasksByOwner = map[string]uint64{}, map[uint64]map[string]*Task{}
	for _, w := range r.s.Tasks {
		r.setOwner(w, w.Owner)
	}
	for id, s := range r.s.Sessions {
		if !s.Superseded {
			r.sessionByName[s.Name] = id
		}
	}
}

// setOwner assigns a task to an owner, 0: frees it.
func (r *Registry) setOwner(w *Task, owner uint64) {
	delete(r.tasksByOwner[w.Owner], w.Name)
	if len(r.tasksByOwner[w.Owner]) == 0 {
		delete(r.tasksByOwner, w.Owner)
	}
	w.Owner = owner
	if owner == 0 {
		return
	}
	if r.tasksByOwner[owner] == nil {
		r.tasksByOwner[owner] = map[string]*Task{}
	}
	r.tasksByOwner[owner][w.Name] = w
}

// Index returns the index of the last entry.
func (r *Registry) Index() uint64 { return r.s.Index }

// Fence returns the highest fence that was ever assigned.
func (r *Registry) Fence() uint64 { return r.s.Fence }

// Session returns the session with this ID, or nil.
func (r *Registry) Session(id uint64) *Session { return r.s.Sessions[id] }

// SessionByName returns the active session with this name, or nil.
func (r *Registry) SessionByName(name string) *Session { return r.s.Sessions[r.sessionByName[name]] }

// Task returns the task with this name, or nil.
func (r *Registry) Task(name string) *Task { return r.s.Tasks[name] }

// Sessions returns all sessions in the order in which they were opened.
func (r *Registry) Sessions() []*Session { return inOrder(r.s.Sessions) }

// Tasks returns all tasks, ordered by name.
func (r *Registry) Tasks() []*Task { return inOrder(r.s.Tasks) }

// Coordinators returns all coordinators, ordered by ID.
func (r *Registry) Coordinators() []*Coordinator { return inOrder(r.s.Coordinators) }

// Coordinator returns the coordinator with this ID, or nil.
func (r *Registry) Coordinator(id uint64) *Coordinator { return r.s.Coordinators[id] }

// NextCoordinatorID returns an ID that no coordinator has had.
func (r *Registry) NextCoordinatorID() uint64 { return r.s.Coordinator + 1 }

// Size returns the number of sessions and tasks.
func (r *Registry) Size() (sessions, tasks int) { return len(r.s.Sessions), len(r.s.Tasks) }

// TasksOf returns the tasks of a session, ordered by name.
func (r *Registry) TasksOf(session uint64) (all []*Task) {
	for _, w := range r.tasksByOwner[session] {
		all = append(all, w)
	}
	if len(all) > 1 {
		slices.SortFunc(all, func(a, b *Task) int { return cmp.Compare(a.Name, b.Name) })
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

// ReadableVersion returns the newest version of entries that every coordinator reads, as far as reported. Newer entries
// must not be proposed: a coordinator that cannot read an agreed entry has to stop.
func (r *Registry) ReadableVersion() uint16 {
	oldest := Version
	for _, k := range r.s.Coordinators {
		if k.Version > 0 {
			oldest = min(oldest, k.Version)
		}
	}
	return oldest
}

// Reasons why an entry has no effect. Such an entry is agreed on nevertheless, and every process rejects it alike.
var (
	ErrFull        = errors.New("the registry is full")
	ErrNoSession   = errors.New("no such session")
	ErrSuperseded  = errors.New("a newer process uses this name")
	ErrOwned       = errors.New("the task has another owner")
	ErrFence       = errors.New("the fence does not match the owner's")
	ErrNoTask      = errors.New("no such work")
	ErrCoordinator = errors.New("no such coordinator, or too many")
	ErrConflict    = errors.New("another order was agreed on meanwhile")
)

// Apply applies the entry with this index. An error is the reason why the entry changed nothing. Only ErrUnknown must stop
// the process, as other processes may have been able to read the entry.
func (r *Registry) Apply(index uint64, e Entry) (fence uint64, err error) {
	if index <= r.s.Index {
		return 0, fmt.Errorf("entry %d is not newer than entry %d", index, r.s.Index)
	}
	if err := e.Check(); err != nil {
		return 0, err
	}
	r.s.Index = index
	switch e.Kind {
	case Noop:
	case Open:
		return 0, r.open(index, e)
	case Close:
		return 0, r.close(e.Session)
	case Assign:
		return r.assign(e)
	case Release:
		return 0, r.release(e)
	case Drop:
		w := r.s.Tasks[e.Task]
		switch {
		case w == nil:
			return 0, ErrNoTask
		case w.Owner != 0:
			return 0, ErrOwned
		}
		delete(r.s.Tasks, e.Task) // its fences are not reused: all tasks share one fence counter
	case Annotation:
		w := r.s.Tasks[e.Task]
		if w == nil {
			return 0, ErrNoTask
		}
		if w.Owner != e.Session || w.Fence != e.Fence {
			return w.Fence, ErrFence
		}
		w.Annotation, w.AnnotatedAt, w.AnnotationFence = slices.Clone(e.Body), index, e.Fence
	case RequestRelease:
		w := r.s.Tasks[e.Task]
		if w == nil || w.Owner == 0 {
			return 0, ErrNoTask
		}
		w.ReleaseRequested = true
	case SetCoordinator:
		return 0, r.setCoordinator(e)
	case RemoveCoordinator:
		if r.s.Coordinators[e.Coordinator] == nil {
			return 0, ErrCoordinator
		}
		delete(r.s.Coordinators, e.Coordinator)
	case FenceFloor:
		r.s.Fence = max(r.s.Fence, e.Fence)
	case OperatorAnnotation:
		return r.annotate(index, e)
	case ReplaceAnnotation:
		if r.AnnotationFence(e.Task) != e.Fence {
			return 0, ErrConflict
		}
		return r.annotate(index, e)
	}
	return 0, nil
}

// AnnotationFence returns the fence under which a task's annotation was stored, 0 if it has none.
func (r *Registry) AnnotationFence(task string) uint64 {
	if w := r.s.Tasks[task]; w != nil {
		return w.AnnotationFence
	}
	return 0
}

// annotate stores an operator's annotation of a task that has no owner.
func (r *Registry) annotate(index uint64, e Entry) (fence uint64, err error) {
	w, err := r.freeTask(e.Version, e.Task)
	if err != nil {
		return 0, err
	}
	w.AnnotationFence, w.Annotation, w.AnnotatedAt = w.Fence, slices.Clone(e.Body), index
	return w.Fence, nil
}

func (r *Registry) open(index uint64, e Entry) error {
	previous := r.SessionByName(e.Name)
	if previous != nil && previous.Incarnation == e.Incarnation {
		return nil // repeated request: the session already exists
	}
	if len(r.s.Sessions) >= maxSessions(e.Version) {
		return ErrFull
	}
	if previous != nil {
		// The old process may be suspended with its lease still running: its tasks are freed when the lease ends.
		previous.Superseded = true
	}
	r.s.Sessions[index] = &Session{ID: index, Name: e.Name, Incarnation: e.Incarnation, Zone: e.Zone, Region: e.Region}
	r.sessionByName[e.Name] = index
	return nil
}

func (r *Registry) close(id uint64) error {
	s := r.s.Sessions[id]
	if s == nil {
		return ErrNoSession
	}
	if r.sessionByName[s.Name] == id {
		delete(r.sessionByName, s.Name)
	}
	delete(r.s.Sessions, id)
	for _, w := range r.tasksByOwner[id] {
		r.setOwner(w, 0)
		w.ReleaseRequested = false
	}
	return nil
}

func (r *Registry) assign(e Entry) (uint64, error) {
	s := r.s.Sessions[e.Session]
	switch {
	case s == nil:
		return 0, ErrNoSession
	case s.Superseded:
		return 0, ErrSuperseded
	}
	w, err := r.freeTask(e.Version, e.Task)
	if err != nil {
		return 0, err
	}
	r.setOwner(w, e.Session)
	w.Zone, w.ReleaseRequested = e.Zone, false
	return w.Fence, nil
}

// freeTask returns a task without an owner under a new fence, the next value of the counter that all tasks share.
func (r *Registry) freeTask(version uint16, name string) (*Task, error) {
	w := r.s.Tasks[name]
	switch {
	case w != nil && w.Owner != 0:
		return nil, ErrOwned
	case w == nil && len(r.s.Tasks) >= maxTasks(version):
		return nil, ErrFull
	case w == nil:
		w = &Task{Name: name}
		r.s.Tasks[name] = w
	}
	r.s.Fence++
	w.Fence = r.s.Fence
	return w, nil
}

func (r *Registry) release(e Entry) error {
	w := r.s.Tasks[e.Task]
	switch {
	case w == nil:
		return ErrNoTask
	case w.Owner != e.Session || w.Fence != e.Fence:
		return ErrFence
	}
	r.setOwner(w, 0)
	w.ReleaseRequested = false
	return nil
}

func (r *Registry) setCoordinator(e Entry) error {
	k := r.s.Coordinators[e.Coordinator]
	if k == nil {
		if e.Coordinator <= r.s.Coordinator || len(r.s.Coordinators) >= MaxCoordinators {
			return ErrCoordinator // the ID was used before, or there are too many
		}
		k = &Coordinator{ID: e.Coordinator}
		r.s.Coordinators[e.Coordinator], r.s.Coordinator = k, e.Coordinator
	}
	k.Name, k.Addr, k.Zone = e.Name, e.Addr, e.Zone
	k.Version, k.Started = max(k.Version, e.ReadableVersion), k.Started || e.Started
	if e.Version >= ReplaceVersion && e.Incarnation != 0 && !r.HasJoined(e.Incarnation) {
		k.Join = e.Incarnation
		r.s.Joins = append(r.s.Joins, e.Incarnation)
		r.s.Joins = slices.Clone(r.s.Joins[max(len(r.s.Joins)-maxJoins, 0):])
	}
	return nil
}

// maxJoins is how many orders to join are remembered: far more than coordinators are replaced while a copy of an order may be on its way.
const maxJoins = 64

// HasJoined reports whether a coordinator has joined by the order with this identity.
func (r *Registry) HasJoined(order uint64) bool { return slices.Contains(r.s.Joins, order) }

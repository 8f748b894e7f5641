package registry

import (
	"errors"
	"fmt"
	"unicode"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Version is the newest version of entries that this program reads and writes. Version 2 has larger bounds for a larger fleet; its fields
// are the same as in version 1. Version 3 has ReplaceAnnotation, and SetCoordinator with the identity of the order to join.
const Version uint16 = 3

// boundsVersion is the first version with the larger bounds.
const boundsVersion uint16 = 2

// ReplaceVersion is the first version that has ReplaceAnnotation and identities of orders to join.
const ReplaceVersion uint16 = 3

// WriteVersion returns the version under which an entry is written if every coordinator reads the given version: the lowest one that has
// what it needs, so that an older program can read the log of a newer one for as long as possible.
func (e Entry) WriteVersion(readable uint16) uint16 {
	if e.Kind == ReplaceAnnotation || e.Kind == SetCoordinator && e.Incarnation != 0 {
		return readable
	}
	return min(readable, boundsVersion)
}

// Kind is the kind of an entry. Its numbers never change, since agreed entries are stored on disk.
type Kind uint8

// The kinds of entries, each with the fields that it uses.
const (
	Noop               Kind = iota
	Open                    // Name, Incarnation, Zone, Region: a process takes part
	Close                   // Session: it has ended or its lease has expired; its tasks become free
	Assign                  // Task, Session, Zone: a free task gets an owner and a new fence
	Release                 // Task, Session, Fence: the owner releases the task
	Drop                    // Task: nobody needs it any more
	Annotation              // Task, Session, Fence, Body: the owner stores an annotation
	RequestRelease          // Task: an operator asks the owner to release the task
	SetCoordinator          // Coordinator, Name, Addr, Zone, ReadableVersion, Started, Incarnation (of the order to join): a coordinator joins or its data changes
	RemoveCoordinator       // Coordinator: it is no longer a member
	FenceFloor              // Fence: no fence up to this value may be assigned again
	OperatorAnnotation      // Task, Body: an operator stores an annotation under a new fence; such a task has no owner
	ReplaceAnnotation       // Task, Fence, Body: the same, unless the annotation that it replaces has another fence; 0: there is none
	kindCount
)

var kindNames = [...]string{"nothing", "open", "close", "assign", "release", "drop", "note", "ask", "keep", "unkeep", "floor", "say", "replace"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Entry is one change of the registry. Fields that its kind does not use are empty.
type Entry struct {
	Version         uint16 `cbor:"1,keyasint"`
	Kind            Kind   `cbor:"2,keyasint"`
	Session         uint64 `cbor:"3,keyasint,omitempty"`
	Task            string `cbor:"4,keyasint,omitempty"`
	Fence           uint64 `cbor:"5,keyasint,omitempty"`
	Name            string `cbor:"6,keyasint,omitempty"`
	Incarnation     uint64 `cbor:"7,keyasint,omitempty"`
	Zone            string `cbor:"8,keyasint,omitempty"`
	Region          string `cbor:"9,keyasint,omitempty"`
	Body            []byte `cbor:"10,keyasint,omitempty"`
	Coordinator     uint64 `cbor:"11,keyasint,omitempty"`
	Addr            string `cbor:"12,keyasint,omitempty"`
	ReadableVersion uint16 `cbor:"13,keyasint,omitempty"`
	Started         bool   `cbor:"14,keyasint,omitempty"`
}

// ErrUnknown is the error for an entry written by a newer version of the program.
var ErrUnknown = errors.New("entry of a newer version")

// Check returns an error if the entry must not be agreed on. It is called before an entry is proposed, so that an entry
// that no process can read never enters the log, and again when the entry is applied.
func (e Entry) Check() error {
	switch {
	case e.Version == 0 || e.Version > Version || e.Kind >= kindCount || e.Kind == ReplaceAnnotation && e.Version < ReplaceVersion:
		return fmt.Errorf("%w: version %d, %v", ErrUnknown, e.Version, e.Kind)
	case len(e.Body) > MaxAnnotation:
		return fmt.Errorf("%v: annotation of %d bytes exceeds the maximum of %d", e.Kind, len(e.Body), MaxAnnotation)
	}
	for _, text := range [...]string{e.Task, e.Name, e.Zone, e.Region, e.Addr} {
		if err := CheckName(text); err != nil {
			return fmt.Errorf("%v: %v", e.Kind, err)
		}
	}
	if missingFields := e.missingFields(); missingFields != "" {
		return fmt.Errorf("%v: missing %s", e.Kind, missingFields)
	}
	return nil
}

// missingFields names the required fields of the entry's kind if any of them is not set, and returns "" otherwise.
func (e Entry) missingFields() string {
	switch e.Kind {
	case Open:
		if e.Name == "" || e.Incarnation == 0 {
			return "name or incarnation"
		}
	case Close:
		if e.Session == 0 {
			return "session"
		}
	case Assign:
		if e.Session == 0 || e.Task == "" {
			return "session or work"
		}
	case Release, Annotation:
		if e.Session == 0 || e.Task == "" || e.Fence == 0 {
			return "session, work or fence"
		}
	case Drop, RequestRelease, OperatorAnnotation, ReplaceAnnotation:
		if e.Task == "" {
			return "work"
		}
	case SetCoordinator, RemoveCoordinator:
		if e.Coordinator == 0 {
			return "keeper"
		}
	}
	return ""
}

// CheckName returns an error if text is not a valid name in the registry.
func CheckName(text string) error {
	if len(text) > MaxName {
		return fmt.Errorf("name of %d bytes exceeds the maximum of %d", len(text), MaxName)
	}
	if !utf8.ValidString(text) {
		return errors.New("name is not valid UTF-8")
	}
	for _, c := range text {
		if !unicode.IsPrint(c) {
			return fmt.Errorf("name contains %q", c)
		}
	}
	return nil
}

// The encoding is deterministic in both directions: a value has exactly one encoding, and input that is not an exact
// encoding of a value is rejected.
var (
	encode = must(cbor.CoreDetEncOptions().EncMode())
	decode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8,
		MaxMapPairs: 2 * MaxTasks, MaxArrayElements: 2 * MaxTasks,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil { // the options above are constants
		panic(err)
	}
	return v
}

// Marshal returns the unique encoding of the entry.
func (e Entry) Marshal() ([]byte, error) {
	if err := e.Check(); err != nil {
		return nil, err
	}
	return encode.Marshal(e)
}

// Parse decodes an entry. For an entry of a newer version it returns ErrUnknown, even if the rest cannot be decoded.
func Parse(data []byte) (e Entry, err error) {
	if err = decode.Unmarshal(data, &e); err != nil {
		var header struct {
			Version uint16 `cbor:"1,keyasint"`
		}
		if cbor.Unmarshal(data, &header) == nil && header.Version > Version {
			return Entry{Version: header.Version}, fmt.Errorf("%w: version %d", ErrUnknown, header.Version)
		}
		return e, err
	}
	return e, e.Check()
}

// snapshotVersion is written before the state in a snapshot.
const snapshotVersion uint16 = 1

type snapshot struct {
	Version uint16          `cbor:"1,keyasint"`
	State   cbor.RawMessage `cbor:"2,keyasint"`
}

// Snapshot returns the unique encoding of the registry: two registries are equal if their snapshots are.
func (r *Registry) Snapshot() ([]byte, error) {
	s, err := encode.Marshal(r.s)
	if err != nil {
		return nil, err
	}
	return encode.Marshal(snapshot{snapshotVersion, s})
}

// Restore returns the registry of a snapshot.
func Restore(data []byte) (*Registry, error) {
	var s snapshot
	if err := decode.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("snapshot: %v", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot: %w: version %d", ErrUnknown, s.Version)
	}
	r := New()
	if err := decode.Unmarshal(s.State, &r.s); err != nil {
		return nil, fmt.Errorf("snapshot: %v", err)
	}
	if err := r.validate(); err != nil {
		return nil, fmt.Errorf("snapshot: %v", err)
	}
	r.rebuildIndexes()
	return r, nil
}

// validate returns an error if a decoded state cannot be the result of entries.
func (r *Registry) validate() error {
	s := &r.s
	if len(s.Sessions) > MaxSessions || len(s.Tasks) > MaxTasks || len(s.Coordinators) > MaxCoordinators {
		return ErrFull
	}
	activeNames := map[string]bool{}
	for id, x := range s.Sessions {
		if x == nil || x.ID != id || id == 0 || id > s.Index || x.Name == "" || x.Incarnation == 0 || !x.Superseded && activeNames[x.Name] {
			return fmt.Errorf("session %d is invalid", id)
		}
		activeNames[x.Name] = activeNames[x.Name] || !x.Superseded
	}
	for name, w := range s.Tasks {
		if w == nil || w.Name != name || name == "" || w.Fence == 0 || w.Fence > s.Fence || w.Owner != 0 && s.Sessions[w.Owner] == nil ||
			len(w.Annotation) > MaxAnnotation || w.AnnotatedAt > s.Index || w.AnnotationFence > w.Fence {
			return fmt.Errorf("task %q is invalid", name)
		}
	}
	for id, k := range s.Coordinators {
		if k == nil || k.ID != id || id == 0 || id > s.Coordinator {
			return fmt.Errorf("coordinator %d is invalid", id)
		}
	}
	for k, v := range map[string]bool{"sessions": s.Sessions == nil, "works": s.Tasks == nil, "keepers": s.Coordinators == nil} {
		if v {
			return fmt.Errorf("%s are missing", k)
		}
	}
	return nil
}

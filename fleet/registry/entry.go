package registry

import (
	"errors"
	"fmt"
	"unicode"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// Version of entries that this program writes and the newest that it reads. Version 2 has the bounds of the larger fleet; its
// fields are those of version 1.
const Version uint16 = 2

// Kind of an entry. Numbers are for good: agreed entries lie on disks.
type Kind uint8

// The kinds of entries, each with the fields that it uses.
const (
	Nothing Kind = iota
	Open         // Name, Incarnation, Zone, Region: a process takes part
	Close        // Session: it has ended, or its lease has run out; its works are free
	Assign       // Work, Session, Zone: a free work gets its owner and a new fence
	Release      // Work, Session, Fence: its owner has stopped
	Drop         // Work: nobody wants it any more
	Note         // Work, Session, Fence, Body: its owner puts something down
	Ask          // Work: an operator asks the owner to let go
	Keep         // Keeper, Name, Addr, Zone, Reads, Started: a keeper, or news of it
	Unkeep       // Keeper: it is none any more
	Floor        // Fence: no fence up to this may be given again
	Say          // Work, Body: an operator's word, under a fence of its own; nobody owns such a work
	kinds
)

var kindNames = [...]string{"nothing", "open", "close", "assign", "release", "drop", "note", "ask", "keep", "unkeep", "floor", "say"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Entry is one change. Fields that its kind does not name are empty.
type Entry struct {
	Version     uint16 `cbor:"1,keyasint"`
	Kind        Kind   `cbor:"2,keyasint"`
	Session     uint64 `cbor:"3,keyasint,omitempty"`
	Work        string `cbor:"4,keyasint,omitempty"`
	Fence       uint64 `cbor:"5,keyasint,omitempty"`
	Name        string `cbor:"6,keyasint,omitempty"`
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	Zone        string `cbor:"8,keyasint,omitempty"`
	Region      string `cbor:"9,keyasint,omitempty"`
	Body        []byte `cbor:"10,keyasint,omitempty"`
	Keeper      uint64 `cbor:"11,keyasint,omitempty"`
	Addr        string `cbor:"12,keyasint,omitempty"`
	Reads       uint16 `cbor:"13,keyasint,omitempty"`
	Started     bool   `cbor:"14,keyasint,omitempty"`
}

// ErrUnknown is the error of an entry that a newer version of the program wrote.
var ErrUnknown = errors.New("an entry of a newer version")

// Check tells whether the entry may be agreed on. It is called before it is proposed, so that what nobody can read never
// comes into the log; and again when it is applied.
func (e Entry) Check() error {
	switch {
	case e.Version == 0 || e.Version > Version || e.Kind >= kinds:
		return fmt.Errorf("%w: version %d, %v", ErrUnknown, e.Version, e.Kind)
	case len(e.Body) > MostNote:
		return fmt.Errorf("%v: %d bytes are put down, %d are the most", e.Kind, len(e.Body), MostNote)
	}
	for _, text := range [...]string{e.Work, e.Name, e.Zone, e.Region, e.Addr} {
		if err := CheckName(text); err != nil {
			return fmt.Errorf("%v: %v", e.Kind, err)
		}
	}
	if missing := e.missing(); missing != "" {
		return fmt.Errorf("%v: without %s", e.Kind, missing)
	}
	return nil
}

// missing names the fields of the entry's kind one of which is not set, "": all are.
func (e Entry) missing() string {
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
		if e.Session == 0 || e.Work == "" {
			return "session or work"
		}
	case Release, Note:
		if e.Session == 0 || e.Work == "" || e.Fence == 0 {
			return "session, work or fence"
		}
	case Drop, Ask, Say:
		if e.Work == "" {
			return "work"
		}
	case Keep, Unkeep:
		if e.Keeper == 0 {
			return "keeper"
		}
	}
	return ""
}

// CheckName tells whether a text may be a name in the record.
func CheckName(text string) error {
	if len(text) > MostName {
		return fmt.Errorf("a name of %d bytes, %d are the most", len(text), MostName)
	}
	if !utf8.ValidString(text) {
		return errors.New("a name that is not UTF-8")
	}
	for _, c := range text {
		if !unicode.IsPrint(c) {
			return fmt.Errorf("a name with %q", c)
		}
	}
	return nil
}

// Deterministic both ways: the same value has one text, and what is not exactly a value is refused.
var (
	encode = must(cbor.CoreDetEncOptions().EncMode())
	decode = must(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxNestedLevels: 8,
		MaxMapPairs: 2 * MostWorks, MaxArrayElements: 2 * MostWorks,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil { // the options above are constants
		panic(err)
	}
	return v
}

// Marshal is the entry's one text.
func (e Entry) Marshal() ([]byte, error) {
	if err := e.Check(); err != nil {
		return nil, err
	}
	return encode.Marshal(e)
}

// Parse reads an entry. One of a newer version is ErrUnknown, also where the rest of it can't be read.
func Parse(text []byte) (e Entry, err error) {
	if err = decode.Unmarshal(text, &e); err != nil {
		var head struct {
			Version uint16 `cbor:"1,keyasint"`
		}
		if cbor.Unmarshal(text, &head) == nil && head.Version > Version {
			return Entry{Version: head.Version}, fmt.Errorf("%w: version %d", ErrUnknown, head.Version)
		}
		return e, err
	}
	return e, e.Check()
}

// snapshotVersion stands before the state in a snapshot.
const snapshotVersion uint16 = 1

type snapshot struct {
	Version uint16          `cbor:"1,keyasint"`
	State   cbor.RawMessage `cbor:"2,keyasint"`
}

// Snapshot is the record's one text: two records are the same where these are.
func (r *Record) Snapshot() ([]byte, error) {
	s, err := encode.Marshal(r.s)
	if err != nil {
		return nil, err
	}
	return encode.Marshal(snapshot{snapshotVersion, s})
}

// Restore is the record of a snapshot.
func Restore(text []byte) (*Record, error) {
	var s snapshot
	if err := decode.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("snapshot: %v", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("snapshot: %w: version %d", ErrUnknown, s.Version)
	}
	r := New()
	if err := decode.Unmarshal(s.State, &r.s); err != nil {
		return nil, fmt.Errorf("snapshot: %v", err)
	}
	if err := r.whole(); err != nil {
		return nil, fmt.Errorf("snapshot: %v", err)
	}
	r.index()
	return r, nil
}

// whole tells whether a state that was read could have come from entries.
func (r *Record) whole() error {
	s := &r.s
	if len(s.Sessions) > MostSessions || len(s.Works) > MostWorks || len(s.Keepers) > MostKeepers {
		return ErrFull
	}
	named := map[string]bool{}
	for id, x := range s.Sessions {
		if x == nil || x.ID != id || id == 0 || id > s.Index || x.Name == "" || x.Incarnation == 0 || !x.Superseded && named[x.Name] {
			return fmt.Errorf("session %d is not whole", id)
		}
		named[x.Name] = named[x.Name] || !x.Superseded
	}
	for name, w := range s.Works {
		if w == nil || w.Name != name || name == "" || w.Fence == 0 || w.Fence > s.Fence || w.Owner != 0 && s.Sessions[w.Owner] == nil ||
			len(w.Note) > MostNote || w.Noted > s.Index || w.By > w.Fence {
			return fmt.Errorf("work %q is not whole", name)
		}
	}
	for id, k := range s.Keepers {
		if k == nil || k.ID != id || id == 0 || id > s.Keeper {
			return fmt.Errorf("keeper %d is not whole", id)
		}
	}
	for k, v := range map[string]bool{"sessions": s.Sessions == nil, "works": s.Works == nil, "keepers": s.Keepers == nil} {
		if v {
			return fmt.Errorf("%s are missing", k)
		}
	}
	return nil
}

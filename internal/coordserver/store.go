// Package coordserver runs a coordinator of the fleet's registry: its disk (bbolt), its sockets (HTTP/1.1 with JSON,
// and raft messages in the library's own encoding) and its clock. All decisions are made in package coordinator.
package coordserver

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Identity is the identity of a coordinator. It is created with the folder, and only Fresh changes afterwards.
type Identity struct {
	ID     uint64                 `json:"id"`
	Name   string                 `json:"name"`
	Listen string                 `json:"listen"`
	Zone   string                 `json:"zone,omitempty"`
	Token  string                 `json:"record"` // identifies the registry
	Peers  []registry.Coordinator `json:"keepers"`
	Fresh  bool                   `json:"fresh"` // it has not taken part yet
}

// Store is a coordinator's folder.
type Store struct {
	db       *bbolt.DB
	Identity Identity
}

const fileName = "record.db"

var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	identityKey  = []byte("identity")
	hardStateKey = []byte("hardstate")
	snapshotKey  = []byte("snapshot")
	formatKey    = []byte("format")
)

const formatVersion = "dunekeep 1"

// ErrNoRegistry is the error of a folder that holds no registry.
var ErrNoRegistry = errors.New("the folder holds no record: `dunekeep init` creates a registry, `dunekeep join` replaces a coordinator that was lost")

// Create creates the folder of a new coordinator.
func Create(folder string, id Identity, initial coordinator.PersistedState) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err == nil {
		return fmt.Errorf("%s already exists: a coordinator's registry is not overwritten", path)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return err
	}
	defer db.Close()
	s := &Store{db: db}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		return meta.Put(formatKey, []byte(formatVersion))
	})
	if err == nil {
		err = s.SetIdentity(id)
	}
	if err != nil {
		return err
	}
	var output coordinator.Output
	output.Persist.Snapshot, output.Persist.HardState = initial.Snapshot, initial.HardState
	return s.Persist(&output)
}

// Open opens a folder. Only one process at a time can open it; the lock ends with the process.
func Open(folder string) (*Store, error) {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err != nil {
		if errors.Is(err, os.ErrNotExist) {
			return nil, fmt.Errorf("%s: %w", folder, ErrNoRegistry)
		}
		return nil, err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another coordinator is using this folder", folder)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %v", path, err)
	}
	s := &Store{db: db}
	err = db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if meta == nil || string(meta.Get(formatKey)) != formatVersion || tx.Bucket(logBucket) == nil {
			return fmt.Errorf("%s is not a registry that this version can read", path)
		}
		return json.Unmarshal(meta.Get(identityKey), &s.Identity)
	})
	if err != nil {
		db.Close()
		return nil, err
	}
	return s, nil
}

// Close closes the folder.
func (s *Store) Close() error { return s.db.Close() }

// SetIdentity stores the coordinator's identity.
func (s *Store) SetIdentity(id Identity) error {
	data, err := json.Marshal(id)
	if err != nil {
		return err
	}
	s.Identity = id
	return s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(identityKey, data) })
}

// Load reads the persisted state.
func (s *Store) Load() (persisted coordinator.PersistedState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		if data := meta.Get(snapshotKey); data != nil {
			persisted.Snapshot = &pb.Snapshot{}
			if err := proto.Unmarshal(data, persisted.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %v", err)
			}
		}
		if data := meta.Get(hardStateKey); data != nil {
			persisted.HardState = &pb.HardState{}
			if err := proto.Unmarshal(data, persisted.HardState); err != nil {
				return fmt.Errorf("hard state: %v", err)
			}
		}
		snapshotIndex := persisted.Snapshot.GetMetadata().GetIndex()
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			e := &pb.Entry{}
			if err := proto.Unmarshal(v, e); err != nil {
				return fmt.Errorf("entry %d: %v", binary.BigEndian.Uint64(k), err)
			}
			if e.GetIndex() > snapshotIndex {
				persisted.Entries = append(persisted.Entries, e)
			}
			return nil
		})
	})
	return persisted, err
}

// Persist stores everything that must be on the disk before anything is sent. It stores all of it or nothing.
func (s *Store) Persist(output *coordinator.Output) error {
	persist := &output.Persist
	if persist.Snapshot == nil && persist.HardState == nil && len(persist.Entries) == 0 {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if persist.Snapshot != nil {
			if err := putMessage(meta, snapshotKey, persist.Snapshot); err != nil {
				return err
			}
			// A snapshot from another coordinator replaces the whole log. The entries behind it belong to a log that
			// was abandoned, and must not be taken for this coordinator's after a restart.
			upTo := uint64(math.MaxUint64)
			if persist.Compact > 0 {
				upTo = persist.Compact
			}
			if err := deleteUpTo(log, upTo); err != nil {
				return err
			}
		}
		if err := replaceFrom(log, persist.Entries); err != nil {
			return err
		}
		if h := persist.HardState; h != nil && (h.GetTerm() != 0 || h.GetCommit() != 0 || h.GetVote() != 0) {
			return putMessage(meta, hardStateKey, h)
		}
		return nil
	})
}

// deleteUpTo deletes the log's entries up to and including an index.
func deleteUpTo(log *bbolt.Bucket, upTo uint64) error {
	c := log.Cursor()
	for key, _ := c.First(); key != nil && binary.BigEndian.Uint64(key) <= upTo; key, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// replaceFrom appends entries to the log. It first deletes all stored entries from the first new index on, which were
// never committed.
func replaceFrom(log *bbolt.Bucket, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].GetIndex()
	c := log.Cursor()
	for key, _ := c.Seek(indexKey(first)); key != nil; key, _ = c.Seek(indexKey(first)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	for _, e := range entries {
		if err := putMessage(log, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

func indexKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, data)
}

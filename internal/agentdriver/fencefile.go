package agentdriver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dunereach/fleet/agent"
	"dunereach/internal/folderlock"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
)

// fenceFile stores a router's fences in one small file of its folder, which is replaced atomically. Its lock ends with
// the process.
type fenceFile struct {
	path       string
	lock       *folderlock.Lock
	unreadable string // why the file of an earlier process could not be read, "": it could
}

const magic = "dunereach fences 1\n"

// openFenceFile reads the file that an earlier process of this name left. A missing file does not prove a clean
// shutdown: the folder may have been lost while a share was still relinquished. It is treated like an unreadable file.
func openFenceFile(folder, name string) (*fenceFile, agent.PersistentState, error) {
	unknown := agent.PersistentState{Relinquished: true}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, unknown, fmt.Errorf("/fleet/folder: %v", err)
	}
	base := filepath.Join(folder, filepath.Base(name))
	lock, err := folderlock.Acquire(folder, filepath.Base(name), "fences")
	switch {
	case errors.Is(err, folderlock.ErrLocked):
		return nil, unknown, fmt.Errorf("/fleet/folder: another router named %q is using %s", name, folder)
	case err != nil:
		return nil, unknown, fmt.Errorf("/fleet/folder: %v", err)
	}
	fences := &fenceFile{path: base + ".fences", lock: lock}
	data, err := os.ReadFile(fences.path)
	if errors.Is(err, os.ErrNotExist) {
		return fences, unknown, nil
	}
	var persisted agent.PersistentState
	if err == nil {
		persisted, err = decodeState(data)
	}
	if err != nil {
		fences.unreadable = err.Error()
		return fences, unknown, nil
	}
	return fences, persisted, nil
}

func decodeState(data []byte) (state agent.PersistentState, err error) {
	if len(data) < len(magic)+8 || string(data[:len(magic)]) != magic {
		return state, errors.New("not a file of fences")
	}
	body := data[len(magic)+8:]
	if binary.BigEndian.Uint64(data[len(magic):]) != xxhash.Sum64(body) {
		return state, errors.New("checksum mismatch")
	}
	return state, cbor.Unmarshal(body, &state)
}

func (f *fenceFile) persist(state agent.PersistentState) error {
	body, err := cbor.Marshal(state)
	if err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return renameio.WriteFile(f.path, append(data, body...), 0o600)
}

func (f *fenceFile) close() error { return f.lock.Release() }

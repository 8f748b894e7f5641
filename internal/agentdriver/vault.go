package agentdriver

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dunereach/fleet/agent"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
	"golang.org/x/sys/unix"
)

// vault is a router's folder: one small file that is never half written, and a lock that goes with the process.
type vault struct {
	path string
	lock *os.File
	why  string // what an earlier process left can't be read, "": it can
}

const magic = "dunereach fences 1\n"

// openVault reads what an earlier process of the name left. Nothing there is not the word of a clean end: a folder may be lost,
// and then a part may still be laid down.
func openVault(folder, name string) (*vault, agent.PersistentState, error) {
	unknown := agent.PersistentState{Relinquished: true}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, unknown, fmt.Errorf("/fleet/folder: %v", err)
	}
	base := filepath.Join(folder, filepath.Base(name))
	lock, err := os.OpenFile(base+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, unknown, fmt.Errorf("/fleet/folder: %v", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, unknown, fmt.Errorf("/fleet/folder: another router of the name %q has %s", name, folder)
	}
	v := &vault{path: base + ".fences", lock: lock}
	text, err := os.ReadFile(v.path)
	if errors.Is(err, os.ErrNotExist) {
		return v, unknown, nil
	}
	var k agent.PersistentState
	if err == nil {
		k, err = parseKept(text)
	}
	if err != nil {
		v.why = err.Error()
		return v, unknown, nil
	}
	return v, k, nil
}

func parseKept(text []byte) (k agent.PersistentState, err error) {
	if len(text) < len(magic)+8 || string(text[:len(magic)]) != magic {
		return k, errors.New("it is no file of fences")
	}
	body := text[len(magic)+8:]
	if binary.BigEndian.Uint64(text[len(magic):]) != xxhash.Sum64(body) {
		return k, errors.New("its checksum is wrong")
	}
	return k, cbor.Unmarshal(body, &k)
}

func (v *vault) keep(k agent.PersistentState) error {
	body, err := cbor.Marshal(k)
	if err != nil {
		return err
	}
	text := binary.BigEndian.AppendUint64([]byte(magic), xxhash.Sum64(body))
	return renameio.WriteFile(v.path, append(text, body...), 0o600)
}

func (v *vault) close() error { return v.lock.Close() }

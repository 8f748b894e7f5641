package state

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"dunereach/internal/boottime"
	"dunereach/warmstart"

	"github.com/fxamacker/cbor/v2"
)

// reader has bounds: what is longer by its own word is damage, or nobody's knowledge.
var reader = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12, MaxNestedLevels: 12, DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// A body is a memory.Kept; a record of the journal is a memory.Quick. Both are maps with numbered keys, so a later minor version may
// add some: who does not know them passes them over, and compact carries them on.

func pack(k warmstart.Snapshot) ([]byte, error) { return cbor.Marshal(k) }

func packQuick(q warmstart.JournalRecord) ([]byte, error) { return cbor.Marshal(q) }

// unpack a snapshot's body and the journal's records. What can't be read ends the reading of the journal there.
func unpack(body []byte, records [][]byte) (k warmstart.Snapshot, quick []warmstart.JournalRecord, err error) {
	if err = reader.Unmarshal(body, &k); err != nil {
		return warmstart.Snapshot{}, nil, fmt.Errorf("its body: %v", err)
	}
	for n, r := range records {
		var q warmstart.JournalRecord
		if err := reader.Unmarshal(r, &q); err != nil {
			return k, quick, fmt.Errorf("record %d: %v", n, err)
		}
		quick = append(quick, q)
	}
	return k, quick, nil
}

// merge puts the newest record in the place of the snapshot's quick part. Keys that this version does not know stay as they are.
func merge(body []byte, records [][]byte) ([]byte, error) {
	const quick = 3 // the key of memory.Kept.Quick
	var all map[int]cbor.RawMessage
	if err := reader.Unmarshal(body, &all); err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return body, nil
	}
	newest := records[len(records)-1]
	var was, is map[int]cbor.RawMessage
	if err := reader.Unmarshal(newest, &is); err != nil {
		return nil, err
	}
	if old, ok := all[quick]; ok {
		if err := reader.Unmarshal(old, &was); err != nil {
			return nil, err
		}
	}
	for key, value := range was { // of a version that told more
		if _, ok := is[key]; !ok && key > knownQuick {
			is[key] = value
		}
	}
	text, err := canonical.Marshal(is)
	if err != nil {
		return nil, err
	}
	all[quick] = text
	return canonical.Marshal(all)
}

// knownQuick is the highest key of memory.Quick: a record without one of these has nothing to tell there.
const knownQuick = 5

var canonical = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// moment by this machine's clocks.
func moment() warmstart.Timestamp {
	return warmstart.Timestamp{Wall: float64(time.Now().UnixMicro()) / 1e6, Up: boottime.Now(), Boot: boot}
}

// boot names this start of the machine, "": it is not told.
var boot = func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}()

var errSlow = errors.New("the disk did not answer in time")

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

// decoder has bounds: what is longer by its own word is damage, or nobody's knowledge.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12, MaxNestedLevels: 12, DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// A body is a memory.Kept; a record of the journal is a memory.Quick. Both are maps with numbered keys, so a later minor version may
// add some: who does not know them passes them over, and compact carries them on.

func encodeSnapshot(snapshot warmstart.Snapshot) ([]byte, error) { return cbor.Marshal(snapshot) }

func encodeRecord(record warmstart.Record) ([]byte, error) { return cbor.Marshal(record) }

// decodeState a snapshot's body and the journal's records. What can't be read ends the reading of the journal there.
func decodeState(body []byte, records [][]byte) (snapshot warmstart.Snapshot, decoded []warmstart.Record, err error) {
	if err = decoder.Unmarshal(body, &snapshot); err != nil {
		return warmstart.Snapshot{}, nil, fmt.Errorf("its body: %v", err)
	}
	for n, r := range records {
		var record warmstart.Record
		if err := decoder.Unmarshal(r, &record); err != nil {
			return snapshot, decoded, fmt.Errorf("record %d: %v", n, err)
		}
		decoded = append(decoded, record)
	}
	return snapshot, decoded, nil
}

// mergeRecord puts the newest record in the place of the snapshot's quick part. Keys that this version does not know stay as they are.
func mergeRecord(body []byte, records [][]byte) ([]byte, error) {
	const recordKey = 3 // the key of memory.Kept.Quick
	var fields map[int]cbor.RawMessage
	if err := decoder.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	if len(records) == 0 {
		return body, nil
	}
	newest := records[len(records)-1]
	var oldFields, newFields map[int]cbor.RawMessage
	if err := decoder.Unmarshal(newest, &newFields); err != nil {
		return nil, err
	}
	if old, ok := fields[recordKey]; ok {
		if err := decoder.Unmarshal(old, &oldFields); err != nil {
			return nil, err
		}
	}
	for key, value := range oldFields { // of a version that told more
		if _, ok := newFields[key]; !ok && key > maxKnownKey {
			newFields[key] = value
		}
	}
	data, err := canonicalEncoder.Marshal(newFields)
	if err != nil {
		return nil, err
	}
	fields[recordKey] = data
	return canonicalEncoder.Marshal(fields)
}

// maxKnownKey is the highest key of memory.Quick: a record without one of these has nothing to tell there.
const maxKnownKey = 5

var canonicalEncoder = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// timestampNow by this machine's clocks.
func timestampNow() warmstart.Timestamp {
	return warmstart.Timestamp{Wall: float64(time.Now().UnixMicro()) / 1e6, Up: boottime.Now(), Boot: bootID}
}

// bootID names this start of the machine, "": it is not told.
var bootID = func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}()

var errDiskTimeout = errors.New("the disk did not answer in time")

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

// decoder limits the lengths that data may declare: a longer one is damage, or data that no router has written.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 12, MaxNestedLevels: 12, DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// The body of a snapshot is a warmstart.Snapshot, a record of the journal a warmstart.Record. Both are encoded as maps
// with numbered keys, so that a later minor version can add keys. A version that does not know a key ignores it, and
// compact preserves it.

func encodeSnapshot(snapshot warmstart.Snapshot) ([]byte, error) { return cbor.Marshal(snapshot) }

func encodeRecord(record warmstart.JournalRecord) ([]byte, error) { return cbor.Marshal(record) }

// decodeState decodes a snapshot's body and the records of its journal. Decoding stops at the first record that cannot
// be decoded.
func decodeState(body []byte, records [][]byte) (snapshot warmstart.Snapshot, decoded []warmstart.JournalRecord, err error) {
	if err = decoder.Unmarshal(body, &snapshot); err != nil {
		return warmstart.Snapshot{}, nil, fmt.Errorf("snapshot body: %v", err)
	}
	for n, r := range records {
		var record warmstart.JournalRecord
		if err := decoder.Unmarshal(r, &record); err != nil {
			return snapshot, decoded, fmt.Errorf("record %d: %v", n, err)
		}
		decoded = append(decoded, record)
	}
	return snapshot, decoded, nil
}

// mergeRecord replaces the record within a snapshot by the newest record of the journal. Keys that this version does
// not know are preserved.
func mergeRecord(body []byte, records [][]byte) ([]byte, error) {
	const recordKey = 3 // key of the field Quick of warmstart.Snapshot
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
	for key, value := range oldFields { // keys that a later version wrote
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

// maxKnownKey is the highest key of warmstart.Record that this version knows. If a record lacks a known key, that value
// is empty and the older one is not carried over.
const maxKnownKey = 5

var canonicalEncoder = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// timestampNow returns the time by both clocks of this machine.
func timestampNow() warmstart.Timestamp {
	return warmstart.Timestamp{Wall: float64(time.Now().UnixMicro()) / 1e6, Up: boottime.Now(), Boot: bootID}
}

// bootID identifies this boot of the machine. It is empty if it cannot be read.
var bootID = func() string {
	text, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(text))
}()

var errDiskTimeout = errors.New("the disk did not answer in time")

package store

import (
	"encoding/binary"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// Costs of the two stores that were compared (docs/design/memory.md): a snapshot of 50 kB and a record of 500 bytes,
// each durable when the call returns.

func BenchmarkSnapshot(b *testing.B) {
	s, _, err := Open(b.TempDir(), "n1")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	body := make([]byte, 50<<10)
	for n := 0; b.Loop(); n++ {
		binary.LittleEndian.PutUint64(body, uint64(n))
		if err := s.WriteSnapshot(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRecord(b *testing.B) {
	s, _, err := Open(b.TempDir(), "n1")
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	if err := s.WriteSnapshot([]byte("first")); err != nil {
		b.Fatal(err)
	}
	record := make([]byte, 500)
	for n := 0; b.Loop(); n++ {
		if n%4000 == 3999 {
			if err := s.WriteSnapshot([]byte("next")); err != nil {
				b.Fatal(err)
			}
		}
		if err := s.Append(record); err != nil {
			b.Fatal(err)
		}
		if err := s.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

func benchmarkBolt(b *testing.B, size int) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "n1.db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	value := make([]byte, size)
	for n := 0; b.Loop(); n++ {
		binary.LittleEndian.PutUint64(value, uint64(n))
		err := db.Update(func(tx *bbolt.Tx) error {
			bucket, err := tx.CreateBucketIfNotExists([]byte("state"))
			if err != nil {
				return err
			}
			return bucket.Put([]byte("known"), value)
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	stats := db.Stats()
	b.ReportMetric(float64(stats.TxStats.GetPageAlloc())/float64(b.N), "pagebytes/op")
}

func BenchmarkSnapshotBolt(b *testing.B) { benchmarkBolt(b, 50<<10) }

func BenchmarkRecordBolt(b *testing.B) { benchmarkBolt(b, 500) }

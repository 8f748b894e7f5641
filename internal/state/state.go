// Package state stores what a router has learned in a folder, and restores it in the next process. It makes no
// decisions: package warmstart decides how much of it is trusted, and package jobs decides when it is written. The
// goroutine that owns the router's state never waits for a disk.
package state

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"dunereach/internal/jobrunner"
	"dunereach/internal/operator"
	"dunereach/internal/router"
	"dunereach/internal/store"
	bg "dunereach/jobs"
	"dunereach/warmstart"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Default intervals in seconds, and default limits.
const (
	defaultSnapshotInterval = 30.0            // a snapshot costs a sync of file and folder; what only the snapshot has changes within minutes
	defaultRecordInterval   = 1.0             // what a kill may lose
	defaultMB               = 32.0            // all files: three snapshots with their journals, and one being written
	defaultCPU              = 0.01            // of a core
	defaultBytes            = 1 << 20         // per second
	maxLateness             = 0.005           // of the router's timers, above which writing waits: one tick of the platform
	tickInterval            = 0.1             // seconds between two calls of Tick
	diskTimeout             = 2 * time.Second // for which the start and the shutdown wait for a disk
)

// Persister stores the state of one router in a folder.
type Persister struct {
	cfg    operator.State
	name   string
	log    *zap.Logger
	runner *jobrunner.Runner
	store  *store.Store // used only by the jobs, which run one at a time

	latestSnapshot atomic.Pointer[warmstart.Snapshot] // written by the router's goroutine; never modified once stored
	latestRecord   atomic.Pointer[warmstart.JournalRecord]

	startedAt                    time.Time
	nextRecordAt, nextSnapshotAt float64 // used only by the router's goroutine
	lastTickAt                   float64
}

// New returns the persister of a router's folder. It reads and writes nothing yet.
func New(cfg operator.State, name string, log *zap.Logger) *Persister {
	k := &Persister{cfg: cfg, name: name, log: log, startedAt: time.Now()}
	k.cfg.SnapshotInterval, k.cfg.FastStateInterval = cmp.Or(cfg.SnapshotInterval, defaultSnapshotInterval), cmp.Or(cfg.FastStateInterval, defaultRecordInterval)
	k.cfg.MaxMB, k.cfg.MaxCPU, k.cfg.MaxBytesPerSecond = cmp.Or(cfg.MaxMB, defaultMB), cmp.Or(cfg.MaxCPU, defaultCPU), cmp.Or(cfg.MaxBytesPerSecond, defaultBytes)
	k.runner = jobrunner.New(bg.Limits{CPU: k.cfg.MaxCPU, Bytes: k.cfg.MaxBytesPerSecond, MaxLateness: maxLateness}, k.logJobResult)
	const resource = "folder"
	k.runner.Add(bg.Job{Name: "snapshot", Priority: 1, Resource: resource, Interval: float64(k.cfg.SnapshotInterval), Deadline: float64(k.cfg.SnapshotInterval), RunAtShutdown: true}, k.writeSnapshot)
	k.runner.Add(bg.Job{Name: "journal", Priority: 2, Resource: resource, Interval: float64(k.cfg.FastStateInterval), Deadline: 2 * float64(k.cfg.FastStateInterval)}, k.writeRecord)
	return k
}

// Recall reads the state that an earlier process left and restores it in the router. If the disk does not answer or
// nothing can be read, the router starts without it, and this is logged.
func (k *Persister) Recall(m *router.Router) {
	type result struct {
		contents store.Contents
		err      error
	}
	results := make(chan result, 1)
	go func() {
		r, _, err := store.Load(k.cfg.Folder, k.name)
		results <- result{r, err}
	}()
	var loaded result
	select {
	case loaded = <-results:
	case <-time.After(diskTimeout):
		loaded.err = errDiskTimeout
	}
	for _, why := range loaded.contents.Skipped {
		k.log.Warn("state passed over", zap.String("why", why))
	}
	if loaded.err != nil || loaded.contents.Generation == 0 {
		k.log.Info("nothing is remembered", zap.String("folder", k.cfg.Folder), zap.Error(loaded.err))
		return
	}
	snapshot, records, err := decodeState(loaded.contents.Body, loaded.contents.Records)
	if err != nil {
		k.log.Warn("state passed over", zap.String("why", err.Error()))
		if len(snapshot.Profiles) == 0 && len(records) == 0 {
			return
		}
	}
	fingerprints, rates := m.ConfigFingerprints()
	r := warmstart.Restore(snapshot, records, timestampNow(), fingerprints, rates)
	for _, why := range r.DropReasons {
		k.log.Info("not trusted", zap.String("why", why))
	}
	m.RestoreState(r)
	k.log.Info("remembered", zap.Uint64("generation", loaded.contents.Generation), zap.Int("records", len(records)), zap.Bool("age known", r.AgesKnown),
		zap.Float64("age", r.Age), zap.Float64("of the snapshot", r.SnapshotAge), zap.Uint32("rev", r.Serial), zap.Int("engines", len(r.Engines)), zap.Bool("cut short", loaded.contents.CutShort))
}

// Run starts the goroutines. After the context has ended they end when the last snapshot is written, or after
// diskTimeout.
func (k *Persister) Run(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		// A job that still waits for the disk uses the folder, so the store stays open and locked until the process
		// ends.
		if k.runner.Run(ctx, diskTimeout) && k.store != nil {
			k.store.Close()
		}
		return nil
	})
}

// Tick is called by the goroutine that owns the router's state, about ten times a second.
func (k *Persister) Tick(now float64, r *router.Router) {
	if k.lastTickAt > 0 {
		k.runner.ObserveLateness(now - k.lastTickAt - tickInterval)
	}
	k.lastTickAt = now
	if now >= k.nextSnapshotAt {
		k.nextSnapshotAt = now + float64(k.cfg.SnapshotInterval)/2 // at the time of writing the state is at most half an interval old
		k.captureSnapshot(r)
	}
	if now >= k.nextRecordAt {
		k.nextRecordAt = now + float64(k.cfg.FastStateInterval)
		k.captureRecord(r)
	}
}

// End captures the final state, to be written at shutdown.
func (k *Persister) End(r *router.Router) {
	k.captureSnapshot(r)
	k.captureRecord(r)
}

func (k *Persister) captureSnapshot(r *router.Router) {
	snapshot := warmstart.Snapshot{At: timestampNow()}
	snapshot.Profiles, snapshot.Waits = r.SlowState()
	k.latestSnapshot.Store(&snapshot)
}

func (k *Persister) captureRecord(r *router.Router) {
	record := r.FastState()
	record.At, record.Up = timestampNow(), time.Since(k.startedAt).Seconds()
	k.latestRecord.Store(&record)
}

// writeSnapshot writes the latest captured state as a new snapshot.
func (k *Persister) writeSnapshot(_ context.Context, meter *jobrunner.Meter) error {
	snapshot, latestRecord := k.latestSnapshot.Load(), k.latestRecord.Load()
	if snapshot == nil || latestRecord == nil {
		return nil // nothing has been captured yet
	}
	combined := *snapshot
	combined.Quick = *latestRecord
	body, err := encodeSnapshot(combined)
	if err != nil {
		return err
	}
	if k.store == nil {
		if k.store, _, err = store.Open(k.cfg.Folder, k.name); err != nil {
			k.store = nil
			return err
		}
		k.store.LimitSize(int(k.cfg.MaxMB * (1 << 20)))
	}
	meter.AddBytes(len(body))
	return k.closeOnError(k.store.WriteSnapshot(body))
}

// writeRecord appends the latest fast-changing state to the journal.
func (k *Persister) writeRecord(ctx context.Context, meter *jobrunner.Meter) error {
	latestRecord := k.latestRecord.Load()
	if latestRecord == nil {
		return nil
	}
	if k.store == nil || !k.store.HasJournal() {
		return k.writeSnapshot(ctx, meter)
	}
	data, err := encodeRecord(*latestRecord)
	if err != nil {
		return err
	}
	if err = k.store.Append(data); errors.Is(err, store.ErrFull) {
		return k.writeSnapshot(ctx, meter)
	} else if err == nil {
		meter.AddBytes(len(data))
		err = k.store.Sync()
	}
	return k.closeOnError(err)
}

// closeOnError closes a store that failed. It is opened again the next time, as the folder may have been removed or
// come back.
func (k *Persister) closeOnError(err error) error {
	if err != nil {
		k.store.Close()
		k.store = nil
	}
	return err
}

// logJobResult logs the first failure of a job, and its first success afterwards.
func (k *Persister) logJobResult(job string, failures int, err error) {
	switch {
	case failures == 0:
		k.log.Info("state is kept again", zap.String("folder", k.cfg.Folder), zap.String("job", job))
	case failures == 1:
		k.log.Warn("state is not kept: served without, and tried again", zap.String("folder", k.cfg.Folder), zap.String("job", job), zap.Error(err))
	}
}

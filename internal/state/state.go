// Package state stores what a router has learned in a folder, and restores it in the next process. It decides nothing: package
// warmstart decides what is believed, package jobs when it is written. The goroutine that owns the router's state never waits for
// a disk.
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

// Standard times, in seconds, and budgets.
const (
	defaultSnapshotInterval = 30.0            // a snapshot costs a sync of file and folder; what it has alone moves within minutes
	defaultRecordInterval   = 1.0             // what a kill may lose
	defaultMB               = 32.0            // all files: three snapshots with their journals, and one being written
	defaultCPU              = 0.01            // of a core
	defaultBytes            = 1 << 20         // a second
	maxLateness             = 0.005           // of the owner's timers from which writing waits: a tick of the platform's
	tickInterval            = 0.1             // seconds between two of the owner's calls
	diskTimeout             = 2 * time.Second // that the start waits for a disk, and the end
)

// Keeper is a router's folder.
type Keeper struct {
	cfg    operator.State
	name   string
	log    *zap.Logger
	runner *jobrunner.Runner
	store  *store.Store // the jobs' alone, which run one at a time

	latestSnapshot atomic.Pointer[warmstart.Snapshot] // written by the owner, never changed after
	latestRecord   atomic.Pointer[warmstart.Record]

	startedAt                    time.Time
	nextRecordAt, nextSnapshotAt float64 // the owner's
	lastTickAt                   float64
}

// New keeper of a router's folder; nothing is read or written yet.
func New(cfg operator.State, name string, log *zap.Logger) *Keeper {
	k := &Keeper{cfg: cfg, name: name, log: log, startedAt: time.Now()}
	k.cfg.Snapshot, k.cfg.Record = cmp.Or(cfg.Snapshot, defaultSnapshotInterval), cmp.Or(cfg.Record, defaultRecordInterval)
	k.cfg.MB, k.cfg.CPU, k.cfg.Bytes = cmp.Or(cfg.MB, defaultMB), cmp.Or(cfg.CPU, defaultCPU), cmp.Or(cfg.Bytes, defaultBytes)
	k.runner = jobrunner.New(bg.Limits{CPU: k.cfg.CPU, Bytes: k.cfg.Bytes, MaxLateness: maxLateness}, k.logJobResult)
	const resource = "folder"
	k.runner.Add(bg.Job{Name: "snapshot", Priority: 1, Resource: resource, Interval: float64(k.cfg.Snapshot), Deadline: float64(k.cfg.Snapshot), RunAtShutdown: true}, k.writeSnapshot)
	k.runner.Add(bg.Job{Name: "journal", Priority: 2, Resource: resource, Interval: float64(k.cfg.Record), Deadline: 2 * float64(k.cfg.Record)}, k.writeRecord)
	return k
}

// Recall reads what an earlier process left and has the router believe it. A disk that does not answer, or nothing that can be read, is a
// start from nothing, and is said.
func (k *Keeper) Recall(m *router.Router) {
	type result struct {
		contents store.Read
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
	for _, why := range loaded.contents.Passed {
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
	fingerprints, rates := m.Prints()
	r := warmstart.Restore(snapshot, records, timestampNow(), fingerprints, rates)
	for _, why := range r.Why {
		k.log.Info("not believed", zap.String("why", why))
	}
	m.Recall(r)
	k.log.Info("remembered", zap.Uint64("generation", loaded.contents.Generation), zap.Int("records", len(records)), zap.Bool("age known", r.Sure),
		zap.Float64("age", r.Age), zap.Float64("of the snapshot", r.Old), zap.Uint32("rev", r.Serial), zap.Int("engines", len(r.Engines)), zap.Bool("cut short", loaded.contents.Cut))
}

// Run its goroutines. They end after the context does, once the last snapshot is written or patience is over.
func (k *Keeper) Run(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		// What still waits for a disk has the folder, until the process is gone and the lock with it.
		if k.runner.Run(ctx, diskTimeout) && k.store != nil {
			k.store.Close()
		}
		return nil
	})
}

// Tick is called by the owner's goroutine some ten times a second.
func (k *Keeper) Tick(now float64, r *router.Router) {
	if k.lastTickAt > 0 {
		k.runner.ObserveLateness(now - k.lastTickAt - tickInterval)
	}
	k.lastTickAt = now
	if now >= k.nextSnapshotAt {
		k.nextSnapshotAt = now + float64(k.cfg.Snapshot)/2 // what is written is half as old again at the most
		k.captureSnapshot(r)
	}
	if now >= k.nextRecordAt {
		k.nextRecordAt = now + float64(k.cfg.Record)
		k.captureRecord(r)
	}
}

// End has the last of what is known ready to be written.
func (k *Keeper) End(r *router.Router) {
	k.captureSnapshot(r)
	k.captureRecord(r)
}

func (k *Keeper) captureSnapshot(r *router.Router) {
	snapshot := warmstart.Snapshot{At: timestampNow()}
	snapshot.Profiles, snapshot.Waits = r.Slow()
	k.latestSnapshot.Store(&snapshot)
}

func (k *Keeper) captureRecord(r *router.Router) {
	record := r.Quick()
	record.At, record.Up = timestampNow(), time.Since(k.startedAt).Seconds()
	k.latestRecord.Store(&record)
}

// writeSnapshot of the latest that is known.
func (k *Keeper) writeSnapshot(_ context.Context, meter *jobrunner.Meter) error {
	snapshot, latestRecord := k.latestSnapshot.Load(), k.latestRecord.Load()
	if snapshot == nil || latestRecord == nil {
		return nil // nothing is known yet
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
		k.store.Bound(int(k.cfg.MB * (1 << 20)))
	}
	meter.Wrote(len(body))
	return k.closeOnError(k.store.Snapshot(body))
}

// writeRecord what changes fast.
func (k *Keeper) writeRecord(ctx context.Context, meter *jobrunner.Meter) error {
	latestRecord := k.latestRecord.Load()
	if latestRecord == nil {
		return nil
	}
	if k.store == nil || !k.store.Begun() {
		return k.writeSnapshot(ctx, meter)
	}
	data, err := encodeRecord(*latestRecord)
	if err != nil {
		return err
	}
	if err = k.store.Append(data); errors.Is(err, store.ErrFull) {
		return k.writeSnapshot(ctx, meter)
	} else if err == nil {
		meter.Wrote(len(data))
		err = k.store.Sync()
	}
	return k.closeOnError(err)
}

// closeOnError or not: a folder that failed is opened anew the next time, as it may have been taken away or come back.
func (k *Keeper) closeOnError(err error) error {
	if err != nil {
		k.store.Close()
		k.store = nil
	}
	return err
}

// logJobResult says so once, and once when it works again.
func (k *Keeper) logJobResult(job string, failures int, err error) {
	switch {
	case failures == 0:
		k.log.Info("state is kept again", zap.String("folder", k.cfg.Folder), zap.String("job", job))
	case failures == 1:
		k.log.Warn("state is not kept: served without, and tried again", zap.String("folder", k.cfg.Folder), zap.String("job", job), zap.Error(err))
	}
}

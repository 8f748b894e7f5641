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
	everySnapshot = 30.0            // a snapshot costs a sync of file and folder; what it has alone moves within minutes
	everyRecord   = 1.0             // what a kill may lose
	standardMB    = 32.0            // all files: three snapshots with their journals, and one being written
	standardCPU   = 0.01            // of a core
	standardBytes = 1 << 20         // a second
	lateness      = 0.005           // of the owner's timers from which writing waits: a tick of the platform's
	tick          = 0.1             // seconds between two of the owner's calls
	patience      = 2 * time.Second // that the start waits for a disk, and the end
)

// Keeper is a router's folder.
type Keeper struct {
	set    operator.State
	name   string
	log    *zap.Logger
	runner *jobrunner.Runner
	store  *store.Store // the jobs' alone, which run one at a time

	latest atomic.Pointer[warmstart.Snapshot] // written by the owner, never changed after
	quick  atomic.Pointer[warmstart.JournalRecord]

	began           time.Time
	quickAt, slowAt float64 // the owner's
	lastAt          float64
}

// New keeper of a router's folder; nothing is read or written yet.
func New(set operator.State, name string, log *zap.Logger) *Keeper {
	k := &Keeper{set: set, name: name, log: log, began: time.Now()}
	k.set.SnapshotInterval, k.set.FastStateInterval = cmp.Or(set.SnapshotInterval, everySnapshot), cmp.Or(set.FastStateInterval, everyRecord)
	k.set.MaxMB, k.set.MaxCPU, k.set.MaxBytesPerSecond = cmp.Or(set.MaxMB, standardMB), cmp.Or(set.MaxCPU, standardCPU), cmp.Or(set.MaxBytesPerSecond, standardBytes)
	k.runner = jobrunner.New(bg.Limits{CPU: k.set.MaxCPU, Bytes: k.set.MaxBytesPerSecond, MaxLateness: lateness}, k.failed)
	const folder = "folder"
	k.runner.Add(bg.Job{Name: "snapshot", Priority: 1, Resource: folder, Interval: float64(k.set.SnapshotInterval), Deadline: float64(k.set.SnapshotInterval), RunAtShutdown: true}, k.snapshot)
	k.runner.Add(bg.Job{Name: "journal", Priority: 2, Resource: folder, Interval: float64(k.set.FastStateInterval), Deadline: 2 * float64(k.set.FastStateInterval)}, k.record)
	return k
}

// Recall reads what an earlier process left and has the router believe it. A disk that does not answer, or nothing that can be read, is a
// start from nothing, and is said.
func (k *Keeper) Recall(m *router.Router) {
	type found struct {
		read store.Read
		err  error
	}
	came := make(chan found, 1)
	go func() {
		r, _, err := store.Load(k.set.Folder, k.name)
		came <- found{r, err}
	}()
	var f found
	select {
	case f = <-came:
	case <-time.After(patience):
		f.err = errSlow
	}
	for _, why := range f.read.Passed {
		k.log.Warn("state passed over", zap.String("why", why))
	}
	if f.err != nil || f.read.Generation == 0 {
		k.log.Info("nothing is remembered", zap.String("folder", k.set.Folder), zap.Error(f.err))
		return
	}
	kept, records, err := unpack(f.read.Body, f.read.Records)
	if err != nil {
		k.log.Warn("state passed over", zap.String("why", err.Error()))
		if len(kept.Profiles) == 0 && len(records) == 0 {
			return
		}
	}
	settings, rates := m.ConfigFingerprints()
	r := warmstart.Restore(kept, records, moment(), settings, rates)
	for _, why := range r.DropReasons {
		k.log.Info("not believed", zap.String("why", why))
	}
	m.RestoreState(r)
	k.log.Info("remembered", zap.Uint64("generation", f.read.Generation), zap.Int("records", len(records)), zap.Bool("age known", r.AgesKnown),
		zap.Float64("age", r.Age), zap.Float64("of the snapshot", r.SnapshotAge), zap.Uint32("rev", r.Serial), zap.Int("engines", len(r.Engines)), zap.Bool("cut short", f.read.Cut))
}

// Run its goroutines. They end after the context does, once the last snapshot is written or patience is over.
func (k *Keeper) Run(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error {
		// What still waits for a disk has the folder, until the process is gone and the lock with it.
		if k.runner.Run(ctx, patience) && k.store != nil {
			k.store.Close()
		}
		return nil
	})
}

// Tick is called by the owner's goroutine some ten times a second.
func (k *Keeper) Tick(now float64, m *router.Router) {
	if k.lastAt > 0 {
		k.runner.ObserveLateness(now - k.lastAt - tick)
	}
	k.lastAt = now
	if now >= k.slowAt {
		k.slowAt = now + float64(k.set.SnapshotInterval)/2 // what is written is half as old again at the most
		k.know(m)
	}
	if now >= k.quickAt {
		k.quickAt = now + float64(k.set.FastStateInterval)
		k.sketch(m)
	}
}

// End has the last of what is known ready to be written.
func (k *Keeper) End(m *router.Router) {
	k.know(m)
	k.sketch(m)
}

func (k *Keeper) know(m *router.Router) {
	kept := warmstart.Snapshot{At: moment()}
	kept.Profiles, kept.Waits = m.SlowState()
	k.latest.Store(&kept)
}

func (k *Keeper) sketch(m *router.Router) {
	q := m.FastState()
	q.At, q.Up = moment(), time.Since(k.began).Seconds()
	k.quick.Store(&q)
}

// snapshot of the latest that is known.
func (k *Keeper) snapshot(_ context.Context, meter *jobrunner.Meter) error {
	kept, quick := k.latest.Load(), k.quick.Load()
	if kept == nil || quick == nil {
		return nil // nothing is known yet
	}
	whole := *kept
	whole.Quick = *quick
	body, err := pack(whole)
	if err != nil {
		return err
	}
	if k.store == nil {
		if k.store, _, err = store.Open(k.set.Folder, k.name); err != nil {
			k.store = nil
			return err
		}
		k.store.Bound(int(k.set.MaxMB * (1 << 20)))
	}
	meter.AddBytes(len(body))
	return k.kept(k.store.Snapshot(body))
}

// record what changes fast.
func (k *Keeper) record(ctx context.Context, meter *jobrunner.Meter) error {
	quick := k.quick.Load()
	if quick == nil {
		return nil
	}
	if k.store == nil || !k.store.Begun() {
		return k.snapshot(ctx, meter)
	}
	text, err := packQuick(*quick)
	if err != nil {
		return err
	}
	if err = k.store.Append(text); errors.Is(err, store.ErrFull) {
		return k.snapshot(ctx, meter)
	} else if err == nil {
		meter.AddBytes(len(text))
		err = k.store.Sync()
	}
	return k.kept(err)
}

// kept or not: a folder that failed is opened anew the next time, as it may have been taken away or come back.
func (k *Keeper) kept(err error) error {
	if err != nil {
		k.store.Close()
		k.store = nil
	}
	return err
}

// failed says so once, and once when it works again.
func (k *Keeper) failed(job string, times int, err error) {
	switch {
	case times == 0:
		k.log.Info("state is kept again", zap.String("folder", k.set.Folder), zap.String("job", job))
	case times == 1:
		k.log.Warn("state is not kept: served without, and tried again", zap.String("folder", k.set.Folder), zap.String("job", job), zap.Error(err))
	}
}

package jobrunner

import (
	"context"
	"errors"
	"testing"
	"time"

	"dunereach/jobs"
)

// TestRequestFailureAndShutdownRuns: what is asked for runs, a failure is told once with its count, and the last run comes when the context ends.
func TestRequestFailureAndShutdownRuns(t *testing.T) {
	type failureReport struct {
		times int
		err   error
	}
	reports := make(chan failureReport, 10)
	r := New(jobs.Limits{}, func(_ string, n int, err error) { reports <- failureReport{n, err} })
	ran := make(chan string, 10)
	errNoDisk := errors.New("no disk")
	first := true
	request := r.Add(jobs.Job{Name: "a"}, func(_ context.Context, m *Meter) error {
		m.Wrote(10)
		ran <- "a"
		if first {
			first = false
			return errNoDisk
		}
		return nil
	})
	r.Add(jobs.Job{Name: "last", RunAtShutdown: true}, func(context.Context, *Meter) error {
		ran <- "last"
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() {
		r.Run(ctx, 10*time.Second)
		close(ended)
	}()
	request()
	if got := <-ran; got != "a" {
		t.Fatal(got)
	}
	if w := <-reports; w.times != 1 || !errors.Is(w.err, errNoDisk) {
		t.Fatalf("told %+v", w)
	}
	if got := <-ran; got != "a" { // tried again by itself
		t.Fatal(got)
	}
	if w := <-reports; w.times != 0 || w.err != nil {
		t.Fatalf("told %+v of the success after it", w)
	}
	cancel()
	if got := <-ran; got != "last" {
		t.Fatal(got)
	}
	<-ended
}

// TestStuckRunAndTimeout: a run that ends for nobody does not hold the process up for longer than its patience, and one with a limit is told.
func TestStuckRunAndTimeout(t *testing.T) {
	r := New(jobs.Limits{Parallel: 2}, func(string, int, error) {})
	timedOut, release := make(chan bool), make(chan bool)
	limited := r.Add(jobs.Job{Name: "limited", Timeout: 0.02}, func(ctx context.Context, _ *Meter) error {
		<-ctx.Done()
		close(timedOut)
		return nil
	})
	started := make(chan bool)
	stuck := r.Add(jobs.Job{Name: "stuck"}, func(context.Context, *Meter) error {
		close(started)
		<-release
		return nil
	})
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan bool)
	go func() {
		r.Run(ctx, 50*time.Millisecond)
		close(ended)
	}()
	limited()
	stuck()
	<-timedOut
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("it waits for what is stuck")
	}
}

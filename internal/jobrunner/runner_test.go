package jobrunner

import (
	"context"
	"errors"
	"testing"
	"time"

	"dunereach/jobs"
)

// TestRequestFailureAndShutdownRuns: a requested job runs, its failure is reported once with the number of failures and retried, the
// success after it is reported too, and a job with RunAtShutdown runs when the context ends.
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
		m.AddBytes(10)
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
		t.Fatalf("reported %+v", w)
	}
	if got := <-ran; got != "a" { // retried without a request
		t.Fatal(got)
	}
	if w := <-reports; w.times != 0 || w.err != nil {
		t.Fatalf("reported %+v for the success after the failure", w)
	}
	cancel()
	if got := <-ran; got != "last" {
		t.Fatal(got)
	}
	<-ended
}

// TestStuckRunAndTimeout: a run that ignores its context delays the end of Run by no more than the timeout of Run, and the context of a
// run that exceeds its own timeout is cancelled.
func TestStuckRunAndTimeout(t *testing.T) {
	r := New(jobs.Limits{MaxParallel: 2}, func(string, int, error) {})
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
		t.Fatal("Run waits for the stuck run")
	}
}

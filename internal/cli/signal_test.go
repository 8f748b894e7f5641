package cli

import (
	"context"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

const signalTimeVariable = "DUNEREACH_TEST_HANDS_OVER" // when the signal comes: before, while

// TestMain has a copy of this program hand over, as a process of its own.
func TestMain(m *testing.M) {
	when := os.Getenv(signalTimeVariable)
	if when == "" {
		os.Exit(m.Run())
	}
	stopping, stopNotify := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	terminations := make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	signalSelf := func() { syscall.Kill(os.Getpid(), syscall.SIGTERM) }
	if when == "before" {
		signalSelf()
	}
	err := execUnlessSignalled(stopNotify, terminations, func() error { // the instant of the exec
		if when == "while" {
			signalSelf()
			time.Sleep(10 * time.Second)
		}
		os.Exit(3) // it would serve on
		return nil
	})
	if err == nil && stopping.Err() != nil {
		os.Exit(0)
	}
	os.Exit(4)
}

// TestSignalAtExec: SIGTERM just before another program takes the process over ends it well, and in the instant of that ends it at
// once; it is lost neither time.
func TestSignalAtExec(t *testing.T) {
	for when, want := range map[string]syscall.WaitStatus{"before": 0, "while": syscall.WaitStatus(syscall.SIGTERM), "never": 3 << 8} {
		t.Run(when, func(t *testing.T) {
			c := exec.Command(os.Args[0])
			c.Env = append(os.Environ(), signalTimeVariable+"="+when)
			c.Run()
			if got := c.ProcessState.Sys().(syscall.WaitStatus); got != want {
				t.Errorf("it ended with %#x, want %#x", int(got), int(want))
			}
		})
	}
}

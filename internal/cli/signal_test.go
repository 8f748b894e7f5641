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

const signalTimeVariable = "DUNEREACH_TEST_HANDS_OVER" // when the signal is sent: "before" or "while" the program execs

// TestMain runs execUnlessSignalled in a child process when the variable is set.
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
	err := execUnlessSignalled(stopNotify, terminations, func() error { // in place of exec
		if when == "while" {
			signalSelf()
			time.Sleep(10 * time.Second)
		}
		os.Exit(3) // the new program would serve
		return nil
	})
	if err == nil && stopping.Err() != nil {
		os.Exit(0)
	}
	os.Exit(4)
}

// TestSignalAtExec guards against a lost SIGTERM when the process execs another program: just before exec it leads to a clean exit, and
// during exec it kills the process.
func TestSignalAtExec(t *testing.T) {
	for when, want := range map[string]syscall.WaitStatus{"before": 0, "while": syscall.WaitStatus(syscall.SIGTERM), "never": 3 << 8} {
		t.Run(when, func(t *testing.T) {
			c := exec.Command(os.Args[0])
			c.Env = append(os.Environ(), signalTimeVariable+"="+when)
			c.Run()
			if got := c.ProcessState.Sys().(syscall.WaitStatus); got != want {
				t.Errorf("wait status %#x, want %#x", int(got), int(want))
			}
		})
	}
}

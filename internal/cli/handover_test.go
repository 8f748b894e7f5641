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

const handsOver = "DUNEREACH_TEST_HANDS_OVER" // when the signal comes: before, while

// TestMain has a copy of this program hand over, as a process of its own.
func TestMain(m *testing.M) {
	when := os.Getenv(handsOver)
	if when == "" {
		os.Exit(m.Run())
	}
	asked, forget := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	endings := make(chan os.Signal, 1)
	signal.Notify(endings, syscall.SIGTERM, os.Interrupt)
	end := func() { syscall.Kill(os.Getpid(), syscall.SIGTERM) }
	if when == "before" {
		end()
	}
	err := handOver(forget, endings, func() error { // the instant of the exec
		if when == "while" {
			end()
			time.Sleep(10 * time.Second)
		}
		os.Exit(3) // it would serve on
		return nil
	})
	if err == nil && asked.Err() != nil {
		os.Exit(0)
	}
	os.Exit(4)
}

// TestSignalAtHandOver: SIGTERM just before another program takes the process over ends it well, and in the instant of that ends it at
// once; it is lost neither time.
func TestSignalAtHandOver(t *testing.T) {
	for when, want := range map[string]syscall.WaitStatus{"before": 0, "while": syscall.WaitStatus(syscall.SIGTERM), "never": 3 << 8} {
		t.Run(when, func(t *testing.T) {
			c := exec.Command(os.Args[0])
			c.Env = append(os.Environ(), handsOver+"="+when)
			c.Run()
			if got := c.ProcessState.Sys().(syscall.WaitStatus); got != want {
				t.Errorf("it ended with %#x, want %#x", int(got), int(want))
			}
		})
	}
}

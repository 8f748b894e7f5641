package logs

import (
	"context"
	"strings"
	"testing"
)

// stuck is a reader of the log that has to be waited for.
type stuck struct {
	strings.Builder
	came, goOn chan struct{}
}

func (s *stuck) Write(b []byte) (int, error) {
	s.came <- struct{}{}
	<-s.goOn
	return s.Builder.Write(b)
}

// TestStuckReader: who logs is not held up by a reader of the log that is, and the log tells how much it lacks.
func TestStuckReader(t *testing.T) {
	w, out := NewWriter(), &stuck{came: make(chan struct{}, 1000), goOn: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx, out); close(ended) }()
	w.Write([]byte("first\n"))
	<-out.came
	for range cap(w.lines) + 7 {
		w.Write([]byte("more\n"))
	}
	close(out.goOn)
	cancel()
	<-ended
	if got := out.String(); !strings.HasPrefix(got, "first\n{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":7}\nmore\n") ||
		strings.Count(got, "more\n") != cap(w.lines) {
		t.Errorf("the log has %q", got)
	}
}

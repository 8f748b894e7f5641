package logs

import (
	"context"
	"strings"
	"testing"
)

// blockedReader is a log output whose writes block until unblock is closed.
type blockedReader struct {
	strings.Builder
	writeBegan, unblock chan struct{}
}

func (s *blockedReader) Write(b []byte) (int, error) {
	s.writeBegan <- struct{}{}
	<-s.unblock
	return s.Builder.Write(b)
}

// TestBlockedReader: a blocked log output does not block the callers of the logger, and the log says how many lines were dropped.
func TestBlockedReader(t *testing.T) {
	w, out := NewWriter(), &blockedReader{writeBegan: make(chan struct{}, 1000), unblock: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { w.Run(ctx, out); close(ended) }()
	w.Write([]byte("first\n"))
	<-out.writeBegan
	for range cap(w.lines) + 7 {
		w.Write([]byte("more\n"))
	}
	close(out.unblock)
	cancel()
	<-ended
	if got := out.String(); !strings.HasPrefix(got, "first\n{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":7}\nmore\n") ||
		strings.Count(got, "more\n") != cap(w.lines) {
		t.Errorf("log is %q", got)
	}
}

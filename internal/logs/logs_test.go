package logs

import (
	"context"
	"strings"
	"testing"
)

// blockedReader is a reader of the log that has to be waited for.
type blockedReader struct {
	strings.Builder
	writeBegan, unblock chan struct{}
}

func (s *blockedReader) Write(b []byte) (int, error) {
	s.writeBegan <- struct{}{}
	<-s.unblock
	return s.Builder.Write(b)
}

// TestBlockedReader: who logs is not held up by a reader of the log that is, and the log tells how much it lacks.
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
		t.Errorf("the log has %q", got)
	}
}

package router

import "testing"

// TestReadLag guards against answers that leave when their clients have no time any more, as the router took as long to write as to read: the
// time that it took lately is taken off, within bounds, and is forgotten.
func TestReadLag(t *testing.T) {
	var l readLag
	for _, c := range []struct{ now, lag, allowed, waited, want float64 }{
		{0, 0, 4, 0, 4},          // read at once: as the client says
		{1, 0.004, 4, 0, 4},      // within the system's steps
		{2, 0.06, 4, 0.06, 3.88}, // read late
		{2, 0, 4, 0, 3.94},       // others too
		{2, 0, 0.3, 0, 0.27},     // at most a tenth
		{2.1, 5, 4, 5, -1.1},     // at most maxLag
		{12, 0, 4, 0, 4},         // long ago
	} {
		l.note(c.now, c.lag)
		if got := l.timeLeft(c.now, c.allowed, c.waited); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("%+v: %g", c, got)
		}
	}
}

package router

import (
	"testing"

	"dunereach/admission"
	"dunereach/internal/backends"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestTrace: the log traces a request by its id: how each attempt ended, its retries, and that it was rejected. A server's change of state is
// logged too.
func TestTrace(t *testing.T) {
	for name, c := range map[string]struct {
		level zapcore.Level
		want  []string
	}{
		"info": {zap.InfoLevel, []string{"attempt ended", "request retried", "attempt ended", "request retried", "attempt ended",
			"request rejected", "server changed"}},
		"debug": {zap.DebugLevel, []string{"attempt begun", "attempt ended", "attempt begun", "request retried", "attempt ended",
			"attempt begun", "request retried", "attempt ended", "request rejected", "server changed"}},
	} {
		t.Run(name, func(t *testing.T) {
			core, lines := observer.New(c.level)
			s := newTestRouter(9)
			s.log = zap.New(core)
			s.call(1, 29, "SELECT 1")
			for range 2 {
				s.pool.Abandon(&s.requests[1].attempt, admission.Rejected)
				s.pool.ReportEnds()
				s.Tick(s.now + 0.2)
			}
			s.pool.Abandon(&s.requests[1].attempt, admission.Rejected)
			s.pool.ReportEnds()
			s.Tick(s.now + 30)
			s.ServerChanged(1, admission.Ready, admission.Draining, 1, 2)
			got := messages(t, lines, "0000000000000001")
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got):\n%s", diff)
			}
		})
	}
}

// messages returns the log messages on a request or on servers' states. It checks that no line names another request.
func messages(t *testing.T, lines *observer.ObservedLogs, id string) (all []string) {
	t.Helper()
	for _, l := range lines.All() {
		request, ok := l.ContextMap()["request"]
		if ok && request != id {
			t.Errorf("%s names request %v", l.Message, request)
		}
		if ok || l.Message == "server changed" {
			all = append(all, l.Message)
		}
	}
	return all
}

// TestCloseReasons: each reason for closing a connection has a text of its own.
func TestCloseReasons(t *testing.T) {
	seen := map[string]bool{}
	for why := backends.ServerLeft; why <= backends.ServerClosed; why++ {
		if seen[why.String()] {
			t.Errorf("two reasons have the text %q", why)
		}
		seen[why.String()] = true
	}
}

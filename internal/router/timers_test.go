package router

import (
	"math"
	"testing"
)

// TestTimersOfEndedRequests guards against memory that grows with the requests that come within the longest time limit, though their clients
// have taken them back: timers of ended requests go, those of requests in progress stay.
func TestTimersOfEndedRequests(t *testing.T) {
	s := newTestRouter(9)
	s.call(1, 29, "SELECT 1")
	stays := s.lastID
	for seq := range int32(10 * minTimers) {
		s.call(seq+2, 29, "SELECT 1")
		s.ClientLeft(s.lastID)
		s.pool.ReportEnds()
	}
	if len(s.timers) > minTimers+2 {
		t.Errorf("%d timers for %d requests in progress", len(s.timers), len(s.requests))
	}
	for last := math.Inf(-1); len(s.timers) > 0; {
		next := s.timers.pop()
		if next.at < last {
			t.Fatal("the timers are out of order")
		}
		last = next.at
		if next.kind == timerWake && uint32(next.token) == stays {
			stays = 0
		}
	}
	if stays != 0 {
		t.Error("the time limit of the request in progress is gone")
	}
}

package coordserver

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"
)

// fakeCoordinator answers over a real connection, by the number of times it was asked, counted from 1.
func fakeCoordinator(t *testing.T, respond func(times int64) (status int, body any)) (addr string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status, body := respond(requests.Add(1))
		writeJSON(w, status, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), requests
}

// unresponsiveCoordinator is as one under SIGSTOP: the system takes connections for it, and nothing is answered.
func unresponsiveCoordinator(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

func respondAsLeader(int64) (int, any) { return http.StatusOK, Picture{Fence: 7} }

func redirectTo(leader string) func(int64) (int, any) {
	return func(int64) (int, any) {
		return http.StatusMisdirectedRequest, &Fault{Error: "elsewhere", Leader: leader}
	}
}

// startAt has a client take this address for the leader's first.
func startAt(c *Client, addr string) *Client {
	c.finder = agent.NewFinder([]string{addr}, 0)
	return c
}

// TestHedgedCallUnresponsive: a coordinator that does not answer holds nobody up, whichever is asked first; a stopped one is waited for 0.3 s.
func TestHedgedCallUnresponsive(t *testing.T) {
	leader, _ := fakeCoordinator(t, respondAsLeader)
	follower, _ := fakeCoordinator(t, redirectTo(""))
	stopped := unresponsiveCoordinator(t)
	addrs := []string{stopped, follower, leader}
	for _, first := range addrs {
		var p Picture
		start := time.Now()
		err := startAt(NewClient(addrs, ""), first).Ask(t.Context(), "/v1/record", nil, &p)
		if took := time.Since(start); err != nil || p.Fence != 7 || took > 3*time.Second { // by Call it is five
			t.Errorf("%v, fence %d after %v", err, p.Fence, took)
		}
	}
}

// TestHedgedCallLeaderChange: leadership moves: for a while nobody leads, and an order is repeated until somebody does.
func TestHedgedCallLeaderChange(t *testing.T) {
	const decidedAt = 6 // more than Call asks in all
	respond := func(n int64) (int, any) {
		switch {
		case n < decidedAt:
			return http.StatusMisdirectedRequest, &Fault{Error: "elsewhere"}
		case n == decidedAt:
			return http.StatusConflict, &Fault{Error: "unsure"}
		}
		return http.StatusOK, coordinator.Posted{}
	}
	a, _ := fakeCoordinator(t, respond)
	b, _ := fakeCoordinator(t, redirectTo(a))
	order := coordinator.Order{Kind: "release", Work: "w", Fence: 3}
	if err := NewClient([]string{a, b}, "").Ask(t.Context(), "/v1/order", order, &coordinator.Posted{}); err != nil {
		t.Error(err)
	}
}

// TestHedgedCallUnlistedLeader: a leader that is named, and is none of the addresses, is asked.
func TestHedgedCallUnlistedLeader(t *testing.T) {
	leader, _ := fakeCoordinator(t, respondAsLeader)
	follower, _ := fakeCoordinator(t, redirectTo(leader))
	var p Picture
	if err := NewClient([]string{follower}, "").Ask(t.Context(), "/v1/record", nil, &p); err != nil || p.Fence != 7 {
		t.Errorf("%v, fence %d", err, p.Fence)
	}
}

// TestHedgedCallDecision: a coordinator's decision is told at once and asked for once; where nobody decides, the context ends it.
func TestHedgedCallDecision(t *testing.T) {
	rejecting, requests := fakeCoordinator(t, func(int64) (int, any) { return http.StatusConflict, newFault(registry.ErrNoWork, "") })
	if err := NewClient([]string{rejecting}, "").Ask(t.Context(), "/v1/order", coordinator.Order{}, &coordinator.Posted{}); !errors.Is(err, registry.ErrNoWork) || requests.Load() != 1 {
		t.Errorf("%v, asked %d times", err, requests.Load())
	}
	follower, _ := fakeCoordinator(t, redirectTo(""))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if err := NewClient([]string{follower, unresponsiveCoordinator(t)}, "").Ask(ctx, "/v1/record", nil, &json.RawMessage{}); !errors.Is(err, coordinator.ErrElsewhere) {
		t.Errorf("where nobody leads: %v", err)
	}
}

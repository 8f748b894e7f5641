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

// fakeCoordinator responds over a real connection. respond gets the number of the request, counted from 1.
func fakeCoordinator(t *testing.T, respond func(times int64) (status int, body any)) (addr string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status, body := respond(requests.Add(1))
		writeJSON(w, status, body)
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), requests
}

// unresponsiveCoordinator is like a process under SIGSTOP: the system accepts its connections, but nothing is answered.
func unresponsiveCoordinator(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

func respondAsLeader(int64) (int, any) { return http.StatusOK, RegistrySnapshot{Fence: 7} }

func redirectTo(leader string) func(int64) (int, any) {
	return func(int64) (int, any) {
		return http.StatusMisdirectedRequest, &ErrorResponse{Error: "elsewhere", Leader: leader}
	}
}

// startAt makes the client ask this address first.
func startAt(c *Client, addr string) *Client {
	c.finder = agent.NewFinder([]string{addr}, 0)
	return c
}

// TestHedgedCallUnresponsive: an unresponsive coordinator must not block a request, whichever coordinator is asked
// first. The client waits 0.3 s for it.
func TestHedgedCallUnresponsive(t *testing.T) {
	leader, _ := fakeCoordinator(t, respondAsLeader)
	follower, _ := fakeCoordinator(t, redirectTo(""))
	stopped := unresponsiveCoordinator(t)
	addrs := []string{stopped, follower, leader}
	for _, first := range addrs {
		var p RegistrySnapshot
		start := time.Now()
		err := startAt(NewClient(addrs, ""), first).HedgedCall(t.Context(), "/v1/record", nil, &p)
		if took := time.Since(start); err != nil || p.Fence != 7 || took > 3*time.Second { // with Call it takes 5 s
			t.Errorf("%v, fence %d after %v", err, p.Fence, took)
		}
	}
}

// TestHedgedCallLeaderChange: while leadership moves there is no leader, and an order is repeated until a leader
// accepts it.
func TestHedgedCallLeaderChange(t *testing.T) {
	const unsureAt = 6 // more than the number of attempts that Call makes
	respond := func(n int64) (int, any) {
		switch {
		case n < unsureAt:
			return http.StatusMisdirectedRequest, &ErrorResponse{Error: "elsewhere"}
		case n == unsureAt:
			return http.StatusConflict, &ErrorResponse{Error: "unsure"}
		}
		return http.StatusOK, coordinator.PostResult{}
	}
	a, _ := fakeCoordinator(t, respond)
	b, _ := fakeCoordinator(t, redirectTo(a))
	order := coordinator.Order{Kind: "release", Task: "w", Fence: 3}
	if err := NewClient([]string{a, b}, "").HedgedCall(t.Context(), "/v1/order", order, &coordinator.PostResult{}); err != nil {
		t.Error(err)
	}
}

// TestHedgedCallUnlistedLeader: a leader that a follower names is asked although its address is not on the client's
// list.
func TestHedgedCallUnlistedLeader(t *testing.T) {
	leader, _ := fakeCoordinator(t, respondAsLeader)
	follower, _ := fakeCoordinator(t, redirectTo(leader))
	var p RegistrySnapshot
	if err := NewClient([]string{follower}, "").HedgedCall(t.Context(), "/v1/record", nil, &p); err != nil || p.Fence != 7 {
		t.Errorf("%v, fence %d", err, p.Fence)
	}
}

// TestHedgedCallDecision: a coordinator's decision is returned at once, and the coordinator is asked only once. Where
// no coordinator decides, the context ends the request.
func TestHedgedCallDecision(t *testing.T) {
	rejecting, requests := fakeCoordinator(t, func(int64) (int, any) { return http.StatusConflict, newFault(registry.ErrNoTask, "") })
	if err := NewClient([]string{rejecting}, "").HedgedCall(t.Context(), "/v1/order", coordinator.Order{}, &coordinator.PostResult{}); !errors.Is(err, registry.ErrNoTask) || requests.Load() != 1 {
		t.Errorf("%v after %d requests", err, requests.Load())
	}
	follower, _ := fakeCoordinator(t, redirectTo(""))
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	if err := NewClient([]string{follower, unresponsiveCoordinator(t)}, "").HedgedCall(ctx, "/v1/record", nil, &json.RawMessage{}); !errors.Is(err, coordinator.ErrNotLeader) {
		t.Errorf("without a leader: %v", err)
	}
}

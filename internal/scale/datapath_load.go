package scale

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dunereach/internal/fake"
)

// answerAfterPause lets the fake databases answer each request after a pause, until the context ends.
func (r *routerProcess) answerAfterPause(ctx context.Context, pause time.Duration) {
	for {
		select {
		case message := <-r.received:
			if message.Words[0] != "fetch" {
				continue
			}
			if pause == 0 {
				answerFetch(message)
			} else {
				time.AfterFunc(pause, func() { answerFetch(message) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// answerTogether holds the answers of the fake databases until the given number of requests has arrived or the time limit has passed.
// It then answers all of them, and later requests at once. It returns how many had arrived.
func (r *routerProcess) answerTogether(ctx context.Context, requests int, limit time.Duration) (arrived int) {
	var held []fake.Message
	timeout := time.After(limit)
gathering:
	for len(held) < requests {
		select {
		case message := <-r.received:
			if message.Words[0] == "fetch" {
				held = append(held, message)
			}
		case <-timeout:
			break gathering
		case <-ctx.Done():
			break gathering
		}
	}
	for _, message := range held {
		answerFetch(message)
	}
	go r.answerAfterPause(ctx, 0)
	return len(held)
}

func answerFetch(message fake.Message) { message.Answer("served", "count=1,ticks=5", "a\tb\tc\n") }

// lastRequestID is the last ID given to a request. IDs are unique over all clients, as a router does not accept two requests with the
// same ID.
var lastRequestID atomic.Uint64

// sendRequest sends one request and does not wait for its response.
func sendRequest(client *fake.Client) {
	client.Call("select name, price from catalogue.goods where shelf = 17 and stock > 0 order by price", "service", "lookup",
		"project", "acme", "allow", "20000", "effort", "20", "ref", fmt.Sprintf("%016x", lastRequestID.Add(1)))
}

// isCompleted reports whether a response carries a result.
func isCompleted(answer string) bool { return strings.Contains(answer, "call{ 0={") }

// openClients opens the given number of connections. On each the router has answered a health check.
func (r *routerProcess) openClients(count int) ([]*fake.Client, error) {
	const dialers = 16
	clients := make([]*fake.Client, count)
	var unanswered atomic.Int64
	inParallel(dialers, count, func(k int) {
		clients[k] = fake.NewClient(r.fakes, r.addr)
		if !clients[k].Health() {
			unanswered.Add(1)
		}
	})
	if n := unanswered.Load(); n > 0 {
		return nil, fmt.Errorf("%d of %d connections got no response to a health check", n, count)
	}
	return clients, nil
}

// inParallel calls work for 0 to count-1 from the given number of goroutines.
func inParallel(goroutines, count int, work func(k int)) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for k := int(next.Add(1)) - 1; k < count; k = int(next.Add(1)) - 1 {
				work(k)
			}
		})
	}
	group.Wait()
}

// requestOnEach sends one request on each client's connection, waits for the responses, and returns how many requests were completed.
func requestOnEach(clients []*fake.Client) int {
	const senders = 16
	var completedCount atomic.Int64
	inParallel(senders, len(clients), func(k int) {
		sendRequest(clients[k])
		if isCompleted(clients[k].NextAnswer()) {
			completedCount.Add(1)
		}
	})
	return int(completedCount.Load())
}

// sendAtRate sends requests from the clients at a total rate per second for the given time, and returns how many were completed. Each
// client waits for a response before its next request.
func sendAtRate(clients []*fake.Client, rate float64, length time.Duration) (completedCount int) {
	if rate == 0 {
		time.Sleep(length)
		return 0
	}
	gap := time.Duration(float64(len(clients)) / rate * float64(time.Second))
	start := time.Now()
	var completedRequests atomic.Int64
	var group sync.WaitGroup
	for k, client := range clients {
		group.Go(func() {
			next := start.Add(gap * time.Duration(k) / time.Duration(len(clients)))
			for ; next.Before(start.Add(length)); next = next.Add(gap) {
				time.Sleep(time.Until(next))
				sendRequest(client)
				if isCompleted(client.NextAnswer()) {
					completedRequests.Add(1)
				}
			}
		})
	}
	group.Wait()
	return int(completedRequests.Load())
}

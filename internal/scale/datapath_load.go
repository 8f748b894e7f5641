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

// answerAfter has the stand-ins of databases answer each request after a pause, until the context ends.
func (r *routerProcess) answerAfter(ctx context.Context, pause time.Duration) {
	for {
		select {
		case said := <-r.heard:
			if said.Words[0] != "fetch" {
				continue
			}
			if pause == 0 {
				answer(said)
			} else {
				time.AfterFunc(pause, func() { answer(said) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// answerTogether has them answer nothing before so many requests have come or the time is over, and then all, also what comes
// later. It gives how many had come.
func (r *routerProcess) answerTogether(ctx context.Context, requests int, limit time.Duration) (came int) {
	var held []fake.Said
	timeout := time.After(limit)
gathering:
	for len(held) < requests {
		select {
		case said := <-r.heard:
			if said.Words[0] == "fetch" {
				held = append(held, said)
			}
		case <-timeout:
			break gathering
		case <-ctx.Done():
			break gathering
		}
	}
	for _, said := range held {
		answer(said)
	}
	go r.answerAfter(ctx, 0)
	return len(held)
}

func answer(said fake.Said) { said.Answer("served", "count=1,ticks=5", "a\tb\tc\n") }

// callID numbers the calls of all clients: a router takes no two with one id.
var callID atomic.Uint64

// ask sends one request and does not wait for its answer.
func ask(client *fake.Client) {
	client.Call("select name, price from catalogue.goods where shelf = 17 and stock > 0 order by price", "service", "lookup",
		"project", "acme", "allow", "20000", "effort", "20", "ref", fmt.Sprintf("%016x", callID.Add(1)))
}

// completed tells whether an answer brings a result.
func completed(answer string) bool { return strings.Contains(answer, "call{ 0={") }

// openClients opens so many connections, on each of which the router has answered a health check.
func (r *routerProcess) openClients(count int) ([]*fake.Client, error) {
	const dialers = 16
	clients := make([]*fake.Client, count)
	var unanswered atomic.Int64
	inParallel(dialers, count, func(k int) {
		clients[k] = fake.NewClient(r.desk, r.addr)
		if !clients[k].Health() {
			unanswered.Add(1)
		}
	})
	if n := unanswered.Load(); n > 0 {
		return nil, fmt.Errorf("%d of %d connections had no answer to a health check", n, count)
	}
	return clients, nil
}

// inParallel calls work for 0 to count-1 from some goroutines.
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

// askEach has each client ask once and wait, and gives how many got a result.
func askEach(clients []*fake.Client) int {
	const askers = 16
	var good atomic.Int64
	inParallel(askers, len(clients), func(k int) {
		ask(clients[k])
		if completed(clients[k].Next()) {
			good.Add(1)
		}
	})
	return int(good.Load())
}

// paced has the clients ask so many requests a second in all for a time, each one after another, and counts the results.
func paced(clients []*fake.Client, rate float64, length time.Duration) (completedCount int) {
	if rate == 0 {
		time.Sleep(length)
		return 0
	}
	gap := time.Duration(float64(len(clients)) / rate * float64(time.Second))
	began := time.Now()
	var good atomic.Int64
	var group sync.WaitGroup
	for k, client := range clients {
		group.Go(func() {
			next := began.Add(gap * time.Duration(k) / time.Duration(len(clients)))
			for ; next.Before(began.Add(length)); next = next.Add(gap) {
				time.Sleep(time.Until(next))
				ask(client)
				if completed(client.Next()) {
					good.Add(1)
				}
			}
		})
	}
	group.Wait()
	return int(good.Load())
}

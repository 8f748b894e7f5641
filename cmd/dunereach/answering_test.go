package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	pageSize      = 6000 // bytes; a result has at most 48,000
	pagesOfResult = 8
)

// answering is how the servers of a cluster answer all requests.
type answering struct {
	pages             int           // of each result; 0: one short page
	shortest, longest time.Duration // after which a request is answered
}

// answer lets the servers answer all requests until the context ends.
func (w *cluster) answer(ctx context.Context, a answering) {
	page := "x\t\t\n"
	if a.pages > 0 {
		page = strings.Repeat(strings.Repeat("x", 57)+"\t\t\n", pageSize/60)
	}
	fields := fmt.Sprintf("count=%d,ticks=20,footprint=1", max(a.pages, 1))
	for {
		select {
		case m := <-w.received:
			switch m.Words[0] {
			case "fetch":
				delay := a.shortest
				if a.longest > a.shortest {
					delay += rand.N(a.longest - a.shortest)
				}
				time.AfterFunc(delay, func() { m.Answer("served", fields, page) })
			case "more":
				m.Answer("rows", "pos="+m.Words[2], page)
			}
		case <-ctx.Done():
			return
		}
	}
}

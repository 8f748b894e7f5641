package fake

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"dunereach/emulator/engine"
)

// RunModel answers a server's messages like a model server, in real time, until the context ends. A comment in a
// statement states its true work in core seconds, its threads and its memory: /* work=0.2 threads=1 memory=50 */.
func RunModel(ctx context.Context, set engine.Settings, in <-chan Message) {
	RunPaced(ctx, set, in, nil)
}

// RunPaced is RunModel with changes of the server's speed, each a factor of the configured speed.
func RunPaced(ctx context.Context, set engine.Settings, messages <-chan Message, pace <-chan float64) {
	p := &modelServer{start: time.Now(), model: engine.New(set, 0), running: map[uint64]Message{}, queryIDs: map[requestID]uint64{}}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		const maxDelay = 3600.0
		timer.Reset(time.Duration(min(max(p.model.Next()-p.now(), 0), maxDelay) * 1e9))
		select {
		case s, ok := <-messages:
			if !ok {
				return
			}
			p.receive(s)
		case <-timer.C:
		case factor := <-pace:
			p.model.SetSpeed(p.now(), factor)
		case <-ctx.Done():
			return
		}
		p.model.Advance(p.now())
		for _, event := range p.model.Events() {
			p.answer(event)
		}
	}
}

// requestID identifies a request; its id is unique only within its connection.
type requestID struct {
	conn net.Conn
	id   string
}

// modelServer runs requests on a model server in real time.
type modelServer struct {
	start    time.Time
	model    *engine.Engine
	running  map[uint64]Message // running requests, by the model's query id
	queryIDs map[requestID]uint64
	lastID   uint64
}

// now returns the model's time in seconds.
func (p *modelServer) now() float64 { return time.Since(p.start).Seconds() }

// receive passes a message to the model.
func (p *modelServer) receive(s Message) {
	switch id := (requestID{s.conn, s.Words[1]}); s.Words[0] {
	case "fetch":
		p.lastID++
		q := parseQuery(s)
		q.ID = p.lastID
		if !p.model.Submit(p.now(), q) {
			s.Answer("overload", "-", "")
			break
		}
		p.running[p.lastID], p.queryIDs[id] = s, p.lastID
	case "renice":
		if n, err := strconv.Atoi(s.Words[2]); err == nil {
			p.model.SetPriority(p.now(), p.queryIDs[id], n)
		}
	case "abort": // the query goes on running, but its result is dropped
		delete(p.running, p.queryIDs[id])
		delete(p.queryIDs, id)
	}
}

// answer sends the message for an event of the model to the router that waits for it.
func (p *modelServer) answer(event engine.Event) {
	s, waiting := p.running[event.ID]
	if !waiting {
		return
	}
	switch event.Kind {
	case engine.Completed:
		delete(p.running, event.ID)
		delete(p.queryIDs, requestID{s.conn, s.Words[1]})
		s.Answer("served", fmt.Sprintf("count=1,ticks=%.3f", event.Value*1000), "a\tb\tc\n")
	case engine.Progress:
		s.Answer("update", fmt.Sprintf("res=p,reading=%.3f", event.Value), "")
	case engine.Spilled:
		s.Answer("update", fmt.Sprintf("res=s,reading=%.3f", event.Value), "")
	}
}

// parseQuery reads a query from the comment in a statement and the fields of its request.
func parseQuery(s Message) engine.Query {
	q := engine.Query{Threads: 1, Priority: 1}
	for _, word := range strings.Fields(s.Body) {
		name, value, _ := strings.Cut(word, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "work":
			q.Work = v
		case "threads":
			q.Threads = v
		case "memory":
			q.Memory = v
		}
	}
	for _, field := range strings.Split(s.Words[2], ",") {
		if level, ok := strings.CutPrefix(field, "order="); ok {
			q.Priority, _ = strconv.Atoi(level)
		}
	}
	return q
}

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

// Model has one engine answer what it is sent as a model engine does, in real time, until the context ends. A statement
// tells its true work in core seconds, its threads and its memory in a comment: /* work=0.2 threads=1 memory=50 */.
func Model(ctx context.Context, set engine.Settings, heard <-chan Said) { Paced(ctx, set, heard, nil) }

// Paced is Model with changes of the engine's speed, each a factor on what was set.
func Paced(ctx context.Context, set engine.Settings, heard <-chan Said, pace <-chan float64) {
	start := time.Now()
	now := func() float64 { return time.Since(start).Seconds() }
	e := engine.New(set, 0)
	open := map[uint64]Said{} // what runs, by the model's number
	type key struct {         // an id means something on its connection only
		conn net.Conn
		id   string
	}
	ids := map[key]uint64{}
	var last uint64
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		const longest = 3600.0
		timer.Reset(time.Duration(min(max(e.Next()-now(), 0), longest) * 1e9))
		select {
		case s, ok := <-heard:
			if !ok {
				return
			}
			switch id := (key{s.conn, s.Words[1]}); s.Words[0] {
			case "fetch":
				last++
				q := query(s)
				q.ID = last
				if !e.Submit(now(), q) {
					s.Answer("overload", "-", "")
					break
				}
				open[last], ids[id] = s, last
			case "renice":
				if n, err := strconv.Atoi(s.Words[2]); err == nil {
					e.Renice(now(), ids[id], n)
				}
			case "abort": // it runs on, but nobody waits
				delete(open, ids[id])
				delete(ids, id)
			}
		case <-timer.C:
		case factor := <-pace:
			e.Pace(now(), factor)
		case <-ctx.Done():
			return
		}
		e.Advance(now())
		for _, ev := range e.Events() {
			s, waits := open[ev.ID]
			if !waits {
				continue
			}
			switch ev.What {
			case engine.Done:
				delete(open, ev.ID)
				delete(ids, key{s.conn, s.Words[1]})
				s.Answer("served", fmt.Sprintf("count=1,ticks=%.3f", ev.Value*1000), "a\tb\tc\n")
			case engine.Progress:
				s.Answer("update", fmt.Sprintf("res=p,reading=%.3f", ev.Value), "")
			case engine.Spills:
				s.Answer("update", fmt.Sprintf("res=s,reading=%.3f", ev.Value), "")
			}
		}
	}
}

// query is what a statement's comment and the fields of its send ask of the model.
func query(s Said) engine.Query {
	q := engine.Query{Threads: 1, Level: 1}
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
			q.Level, _ = strconv.Atoi(level)
		}
	}
	return q
}

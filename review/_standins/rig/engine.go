package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fetch is one request that an engine has received whole.
type Fetch struct {
	Engine    *Engine
	ID        string
	Fields    string
	Statement string
	At        float64 // seconds since the run began
	conn      *engineConn
	aborted   chan struct{}
}

type engineConn struct {
	net.Conn
	mu   sync.Mutex
	open map[string]*Fetch
}

// Engine is a sql engine: it runs whatever it gets and answers each request after the time that the statement states as /* hold=MS */.
type Engine struct {
	Name, Zone, Kind string
	Addr             string
	Draining         bool
	run              *Run
	listener         net.Listener
	mu               sync.Mutex
	fetches          []*Fetch
}

// NewEngine starts an engine.
func (r *Run) NewEngine(name, zone, kind string) *Engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.Exit(NotRun, "engine: %v", err)
	}
	e := &Engine{Name: name, Zone: zone, Kind: kind, Addr: l.Addr().String(), run: r, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.read(&engineConn{Conn: c, open: map[string]*Fetch{}})
		}
	}()
	r.OnEnd(func() { l.Close() })
	return e
}

// read reads the commands of one connection.
func (e *Engine) read(c *engineConn) {
	defer c.Close()
	defer func() { // closing the connection gives up everything open on it
		c.mu.Lock()
		defer c.mu.Unlock()
		for id, f := range c.open {
			delete(c.open, id)
			close(f.aborted)
		}
	}()
	for in := bufio.NewReader(c); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return // can't be read
		}
		switch words[0] {
		case "fetch":
			size, err := strconv.Atoi(words[len(words)-1])
			if len(words) != 4 || err != nil {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			f := &Fetch{Engine: e, ID: words[1], Fields: words[2], Statement: string(body[:size]), At: e.run.Now(), conn: c, aborted: make(chan struct{})}
			e.run.Logf("engine %s runs %s %s %.60q", e.Name, f.ID, f.Fields, f.Statement)
			e.mu.Lock()
			e.fetches = append(e.fetches, f)
			e.mu.Unlock()
			c.mu.Lock()
			c.open[f.ID] = f
			c.mu.Unlock()
			go f.serve()
		case "abort":
			c.mu.Lock()
			if f := c.open[words[1]]; f != nil {
				delete(c.open, words[1])
				close(f.aborted)
				e.run.Logf("engine %s: %s is given up", e.Name, f.ID)
			}
			c.mu.Unlock()
		case "alive":
			fmt.Fprintf(c, "%s green - 0\r\n\r\n", words[1])
		case "renice", "more", "done":
		default:
			return
		}
	}
}

// hold returns the time in seconds that the statement states, and 0.05 where it states none.
func (f *Fetch) hold() float64 {
	_, rest, ok := strings.Cut(f.Statement, "hold=")
	ms, err := strconv.Atoi(strings.TrimSpace(strings.SplitN(rest, " ", 2)[0]))
	if !ok || err != nil {
		return 0.05
	}
	return float64(ms) / 1000
}

// result returns the rows that an engine makes for a request.
func result(id string) string { return "row\t" + id + "\tok\n" }

// Unusable marks a statement that fails at an engine: its answer is an error.
const Unusable = "/* fails */"

// noteInterval is the time between notes of progress, as in the settings.
const noteInterval = 2 * time.Second

// serve answers the request after its time: with one row, or with an error where the statement can't be used. Until then it
// sends notes of progress.
func (f *Fetch) serve() {
	began, end := time.Now(), time.NewTimer(time.Duration(f.hold()*1e9))
	defer end.Stop()
	notes := time.NewTicker(noteInterval)
	defer notes.Stop()
	for {
		select {
		case <-notes.C:
			f.note(time.Since(began).Seconds() / f.hold())
		case <-f.aborted:
			return
		case <-end.C:
			if strings.Contains(f.Statement, Unusable) {
				f.answer("crashed", "-", "")
			} else {
				f.answer("served", fmt.Sprintf("count=1,ticks=%d,footprint=10", int(f.hold()*1000)), result(f.ID))
			}
			return
		}
	}
}

// note tells the share of the work that is done.
func (f *Fetch) note(share float64) {
	f.conn.mu.Lock()
	defer f.conn.mu.Unlock()
	if f.conn.open[f.ID] == f {
		fmt.Fprintf(f.conn, "%s update res=p,reading=%.3f 0\r\n\r\n", f.ID, share)
	}
}

// answer ends the request with an answer.
func (f *Fetch) answer(word, fields, body string) {
	f.conn.mu.Lock()
	defer f.conn.mu.Unlock()
	if f.conn.open[f.ID] != f {
		return
	}
	delete(f.conn.open, f.ID)
	fmt.Fprintf(f.conn, "%s %s %s %d\r\n%s\r\n", f.ID, word, fields, len(body), body)
	f.Engine.run.Logf("engine %s answers %s %s", f.Engine.Name, f.ID, word)
}

// Ran reports whether one of the engines has received a request whole.
func Ran(engines []*Engine, id string) bool {
	for _, e := range engines {
		for _, f := range e.Fetches() {
			if f.ID == id {
				return true
			}
		}
	}
	return false
}

// Fetches returns all requests received so far.
func (e *Engine) Fetches() []*Fetch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Fetch(nil), e.fetches...)
}

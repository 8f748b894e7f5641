package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"dunereach/internal/discovery"
	"dunereach/internal/fake"
	"dunereach/internal/thrift"
)

// World holds one small deployment: the record, a name server, engines, clients and the processes of a case.
type World struct {
	bin, dir string
	start    time.Time
	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	faults   []string
	procs    []*Process
	fakes    *fake.Standalone
}

// NewWorld opens the record and makes a temporary folder.
func NewWorld(bin, record string) (*World, error) {
	dir, err := os.MkdirTemp("", "dunereach-case-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &World{bin: bin, dir: dir, start: time.Now(), file: f, record: bufio.NewWriter(f), fakes: &fake.Standalone{}}, nil
}

// Now returns the seconds since the start of the case.
func (w *World) Now() float64 { return time.Since(w.start).Seconds() }

// Note writes one line to the record.
func (w *World) Note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", w.Now(), fmt.Sprintf(format, args...))
}

// Broken notes that the rule was broken.
func (w *World) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.Note("BROKEN: %s", text)
	w.mu.Lock()
	w.faults = append(w.faults, text)
	w.mu.Unlock()
}

// Close ends all processes and fakes, and returns the exit status of the case.
func (w *World) Close() int {
	for _, p := range w.procs {
		p.Kill()
	}
	w.fakes.RunCleanups()
	w.mu.Lock()
	defer w.mu.Unlock()
	status := 0
	if len(w.faults) > 0 {
		status = 1
		fmt.Fprintf(w.record, "RESULT: the rule was broken %d times\n", len(w.faults))
		fmt.Printf("broken %d times, first: %s\n", len(w.faults), w.faults[0])
	} else {
		fmt.Fprintln(w.record, "RESULT: the rule held")
		fmt.Println("held")
	}
	w.record.Flush()
	w.file.Close()
	os.RemoveAll(w.dir)
	return status
}

// Process is one process of the project.
type Process struct {
	w      *World
	name   string
	args   []string
	env    []string
	cmd    *exec.Cmd
	exited chan struct{}
	lines  []map[string]any
	mu     sync.Mutex
	log    *os.File
}

// Start starts a program of the project by a shell line, as the platform does.
func (w *World) Start(name, shell string, env ...string) (*Process, error) {
	p := &Process{w: w, name: name, args: []string{"-c", shell}, env: env}
	w.procs = append(w.procs, p)
	return p, p.Run()
}

// Run starts the process, again where it ran before.
func (p *Process) Run() error {
	p.cmd = exec.Command("/bin/sh", p.args...)
	p.cmd.Dir = filepath.Dir(p.w.bin)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + p.w.dir, "HOME=" + p.w.dir}, p.env...)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.w.Note("started %s, process %d", p.name, p.cmd.Process.Pid)
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			p.w.Note("%s: %s", p.name, lines.Text())
			var fields map[string]any
			if json.Unmarshal(lines.Bytes(), &fields) == nil {
				p.mu.Lock()
				p.lines = append(p.lines, fields)
				p.mu.Unlock()
			}
		}
		cmd.Wait()
		p.w.Note("%s has ended, status %d", p.name, cmd.ProcessState.ExitCode())
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.w.Note("signal %v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	if p.cmd != nil && p.cmd.Process != nil && !p.Ended() {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// AwaitEnd waits for the end of the process.
func (p *Process) AwaitEnd(d time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(d):
		return false
	}
}

// Logged returns the log lines with a message.
func (p *Process) Logged(message string) (all []map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		if text, _ := l["msg"].(string); strings.HasPrefix(text, message) {
			all = append(all, l)
		}
	}
	return all
}

// AwaitLog waits for a log line with a message.
func (p *Process) AwaitLog(message string, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(p.Logged(message)) > 0 {
			return true
		}
	}
	return false
}

// FreeAddr returns a free loopback address.
func FreeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Engine is a stand-in of a sql engine. Its behaviour decides on each fetch.
type Engine struct {
	w        *World
	UID      string
	Zone     string
	Kind     string
	Started  int64
	Addr     string
	listener net.Listener
	mu       sync.Mutex
	conns    map[*EngineConn]struct{}
	Handle   func(c *EngineConn, f *Fetch)
	down     bool
}

// EngineConn is one connection of a router to an engine.
type EngineConn struct {
	E    *Engine
	nc   net.Conn
	wmu  sync.Mutex
	mu   sync.Mutex
	live map[string]*Fetch
	Dead bool
}

// Fetch is one attempt as the engine received it.
type Fetch struct {
	ID, Fields, Statement string
	At                    float64
	Given                 chan struct{} // closed when the router gave it up
	once                  sync.Once
	Pages                 []string
}

// Field returns a field of the attempt.
func (f *Fetch) Field(name string) string {
	for _, pair := range strings.Split(f.Fields, ",") {
		if n, v, ok := strings.Cut(pair, "="); ok && n == name {
			return v
		}
	}
	return ""
}

func (f *Fetch) give() { f.once.Do(func() { close(f.Given) }) }

// NewEngine starts an engine at an address.
func (w *World) NewEngine(uid, zone, kind string, started int64, addr string, handle func(*EngineConn, *Fetch)) (*Engine, error) {
	e := &Engine{w: w, UID: uid, Zone: zone, Kind: kind, Started: started, Handle: handle, conns: map[*EngineConn]struct{}{}}
	return e, e.Listen(addr)
}

// Listen makes the engine accept connections.
func (e *Engine) Listen(addr string) (err error) {
	for range 50 {
		if e.listener, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.Addr, e.down = e.listener.Addr().String(), false
	l := e.listener
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := &EngineConn{E: e, nc: nc, live: map[string]*Fetch{}}
			e.mu.Lock()
			e.conns[c] = struct{}{}
			e.mu.Unlock()
			go c.read()
		}
	}()
	return nil
}

// Die ends the engine like a killed process: it resets its connections.
func (e *Engine) Die() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for c := range e.conns {
		c.Reset()
	}
}

// Reset resets a connection.
func (c *EngineConn) Reset() {
	c.nc.(*net.TCPConn).SetLinger(0)
	c.nc.Close()
}

func (c *EngineConn) read() {
	defer func() {
		c.nc.Close()
		c.mu.Lock()
		c.Dead = true
		for _, f := range c.live {
			f.give()
		}
		c.mu.Unlock()
		c.E.mu.Lock()
		delete(c.E.conns, c)
		c.E.mu.Unlock()
	}()
	for r := bufio.NewReader(c.nc); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "fetch":
			var n int
			fmt.Sscan(words[3], &n)
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			f := &Fetch{ID: words[1], Fields: words[2], Statement: string(body[:n]), At: c.E.w.Now(), Given: make(chan struct{})}
			c.mu.Lock()
			c.live[f.ID] = f
			c.mu.Unlock()
			c.E.Handle(c, f)
		case "abort", "done":
			c.mu.Lock()
			if f := c.live[words[1]]; f != nil {
				f.give()
				delete(c.live, words[1])
			}
			c.mu.Unlock()
		case "more":
			var n int
			fmt.Sscan(words[2], &n)
			c.mu.Lock()
			f := c.live[words[1]]
			c.mu.Unlock()
			if f == nil || n >= len(f.Pages) {
				c.Answer(words[1], "crashed", "-", "")
			} else {
				c.Answer(words[1], "rows", fmt.Sprintf("pos=%d", n), f.Pages[n])
			}
		case "alive":
			c.Answer(words[1], "green", "-", "")
		}
	}
}

// Raw writes bytes.
func (c *EngineConn) Raw(text string) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	io.WriteString(c.nc, text)
}

// Answer writes an answer.
func (c *EngineConn) Answer(id, word, fields, body string) {
	c.Raw(fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body))
}

// Serve answers an attempt well.
func (c *EngineConn) Serve(f *Fetch, pages []string, ticks float64) {
	c.mu.Lock()
	f.Pages = pages
	c.mu.Unlock()
	c.Answer(f.ID, "served", fmt.Sprintf("count=%d,ticks=%.1f,footprint=8", len(pages), ticks), pages[0])
}

// Listing is the name server's line for an engine.
func (e *Engine) Listing(draining bool) string {
	priority := 0
	if draining {
		priority = 1
	}
	return fmt.Sprintf("%s.%s %d 40 %s 0 %d %s", e.UID, e.Zone, priority, e.Kind, e.Started, e.Addr)
}

// Target is the configuration's entry for an engine.
func (e *Engine) Target() string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":%q,"model":%q,"pod_group":0,"state":"ready","capacity_hint":4,"boot_ms":%d}`,
		e.UID, e.Addr, e.Zone, e.Kind, e.Started)
}

// NewNameServer starts a name server.
func (w *World) NewNameServer() *fake.NameServer {
	return fake.NewNameServer(w.fakes, discovery.ServiceName)
}

// Answer is one answer that a client received.
type Answer struct {
	Word string // answered, shed, failed, closed
	Body string
	At   float64
	N    int // how many answers came
	More map[string]string
}

// Client is one connection of a client.
type Client struct {
	w      *World
	nc     net.Conn
	mu     sync.Mutex
	seq    int32
	calls  map[int32]*Call
	closed bool
	gone   chan struct{}
}

// Call is one request of a client.
type Call struct {
	Ref, Statement, Class, Key string
	Router                     int
	SentAt, Allow              float64
	Answer                     Answer
	Done                       chan struct{}
	LeftAt                     float64 // the client cancelled it or closed its connection; 0: it did not
}

// NewClient connects to a router.
func (w *World) NewClient(addr string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{w: w, nc: nc, calls: map[int32]*Call{}, gone: make(chan struct{})}
	go c.read()
	return c, nil
}

// Send sends a request.
func (c *Client) Send(call *Call, fields ...string) error {
	call.Done = make(chan struct{})
	pairs := append([]string{"service", call.Class, "ref", call.Ref, "allow", fmt.Sprint(int(call.Allow * 1000))}, fields...)
	if call.Key != "" {
		pairs = append(pairs, "lookup", call.Key)
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return net.ErrClosed
	}
	c.seq++
	seq := c.seq
	c.calls[seq] = call
	c.mu.Unlock()
	message := fake.Call(seq, call.Statement, pairs...)
	call.SentAt = c.w.Now()
	_, err := c.nc.Write(message)
	return err
}

// Cancel takes a request back.
func (c *Client) Cancel(call *Call) {
	c.mu.Lock()
	var seq int32
	for s, x := range c.calls {
		if x == call {
			seq = s
		}
	}
	c.mu.Unlock()
	if seq == 0 {
		return
	}
	b := thrift.AppendField(thrift.BeginMessage(nil, thrift.Oneway, "cancel", 0), thrift.I32, 1)
	call.LeftAt = c.w.Now()
	c.nc.Write(thrift.EndMessage(binary.BigEndian.AppendUint32(b, uint32(seq))))
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	now := c.w.Now()
	for _, x := range c.calls {
		if x.LeftAt == 0 && x.Answer.N == 0 {
			x.LeftAt = now
		}
	}
	c.mu.Unlock()
	c.nc.Close()
}

func (c *Client) read() {
	defer func() {
		c.mu.Lock()
		c.closed = true
		for _, x := range c.calls {
			if x.Answer.N == 0 {
				x.Answer = Answer{Word: "closed", At: c.w.Now(), N: 1}
				close(x.Done)
			}
		}
		c.mu.Unlock()
		c.nc.Close()
		close(c.gone)
	}()
	r := bufio.NewReader(c.nc)
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		frame := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(r, frame); err != nil {
			return
		}
		seq, a := parseAnswer(frame)
		a.At = c.w.Now()
		c.mu.Lock()
		x := c.calls[seq]
		if x == nil {
			c.mu.Unlock()
			c.w.Broken("an answer under number %d, which no request of the connection has", seq)
			continue
		}
		if x.Answer.N > 0 {
			c.mu.Unlock()
			c.w.Broken("a second answer to %s: %s", x.Ref, a.Word)
			continue
		}
		a.N = 1
		x.Answer = a
		close(x.Done)
		c.mu.Unlock()
	}
}

func parseAnswer(frame []byte) (seq int32, a Answer) {
	r := thrift.NewReader(frame)
	kind, _, seq := r.MessageHeader()
	if kind == thrift.Exception {
		return seq, Answer{Word: "failed"}
	}
	t, id := r.FieldHeader()
	if t != thrift.Struct {
		return seq, Answer{Word: "failed"}
	}
	a.More = map[string]string{}
	readMap := func() {
		for _, _, n := r.MapHeader(); n > 0; n-- {
			k := string(r.Bytes())
			a.More[k] = string(r.Bytes())
		}
	}
	switch id {
	case 1, 2:
		a.Word = map[uint16]string{1: "shed", 2: "failed"}[id]
		if t, _ := r.FieldHeader(); t == thrift.Map {
			readMap()
		}
		return seq, a
	}
	a.Word = "answered"
	for {
		t, id := r.FieldHeader()
		switch {
		case t == thrift.Stop:
			return seq, a
		case t == thrift.String && id == 1:
			a.Body = string(r.Bytes())
		case t == thrift.Map:
			readMap()
		default:
			r.Skip(t)
		}
	}
}

// AwaitReady waits until a router answers a health check with true.
func (w *World) AwaitReady(addr string, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if healthy(addr) {
			return true
		}
	}
	return false
}

func healthy(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	b := thrift.AppendField(thrift.BeginMessage(nil, thrift.Call, "health", 1), thrift.Bool, 1)
	nc.Write(thrift.EndMessage(append(b, 1)))
	head := make([]byte, 4)
	if _, err := io.ReadFull(nc, head); err != nil {
		return false
	}
	frame := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(nc, frame); err != nil {
		return false
	}
	return len(frame) > 2 && frame[len(frame)-3] == 1
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

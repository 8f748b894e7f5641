package rig

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"dunereach/internal/thrift"
)

// Outcomes of a call.
const (
	Pending  = "no answer"
	Served   = "served"
	Rejected = "refused"
	Crashed  = "failed"
)

// Call is one request of a client.
type Call struct {
	Ref       string
	Seq       int32
	Statement string
	SentAt    float64 // when its last byte was written
	Allow     float64 // seconds

	mu         sync.Mutex
	outcome    string
	body       string
	answeredAt float64
	answers    int
	done       chan struct{}
}

// Outcome returns what became of the call.
func (c *Call) Outcome() (outcome, body string, at float64, answers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome, c.body, c.answeredAt, c.answers
}

// Await waits until the call has an outcome, some seconds at most.
func (c *Call) Await(seconds float64) string {
	select {
	case <-c.done:
	case <-time.After(time.Duration(seconds * 1e9)):
	}
	outcome, _, _, _ := c.Outcome()
	return outcome
}

// Client is one connection of a client to a router.
type Client struct {
	run    *Run
	Conn   net.Conn
	mu     sync.Mutex
	seq    int32
	calls  map[int32]*Call
	health chan bool
	closed chan struct{}
	how    string
	OpenAt int // open requests when the connection ended
}

// Dial connects to a router.
func (r *Run) Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{run: r, Conn: conn, calls: map[int32]*Call{}, health: make(chan bool, 8), closed: make(chan struct{})}
	go c.read()
	return c, nil
}

// NewRef returns a new id of a request.
func NewRef() string { return fmt.Sprintf("%016x", rand.Uint64()|1) }

// Close closes the connection.
func (c *Client) Close() { c.Conn.Close() }

// Prepare makes the message of a call without sending it. fields are names and values beside ref and allow.
func (c *Client) Prepare(statement string, allow float64, fields ...string) (*Call, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	call := &Call{Ref: NewRef(), Seq: c.seq, Statement: statement, Allow: allow, outcome: Pending, done: make(chan struct{})}
	c.calls[c.seq] = call
	fields = append([]string{"ref", call.Ref, "allow", strconv.Itoa(int(allow * 1000))}, fields...)
	b := thrift.BeginMessage(nil, thrift.Call, "call", c.seq)
	b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields...)
	return call, thrift.EndMessage(thrift.AppendBytes(thrift.AppendField(b, thrift.String, 2), statement))
}

// Write sends the whole messages of calls in one write.
func (c *Client) Write(message []byte, calls ...*Call) {
	_, err := c.Conn.Write(message)
	for _, call := range calls {
		call.mu.Lock()
		call.SentAt = c.run.Now()
		call.mu.Unlock()
		if err != nil {
			c.run.Logf("client %s can't send %s: %v", c.Conn.LocalAddr(), call.Ref, err)
		} else {
			c.run.Logf("client %s sends %s seq %d allow %.1f %.60q", c.Conn.LocalAddr(), call.Ref, call.Seq, call.Allow, call.Statement)
		}
	}
}

// Call sends a request in one write.
func (c *Client) Call(statement string, allow float64, fields ...string) *Call {
	call, message := c.Prepare(statement, allow, fields...)
	c.Write(message, call)
	return call
}

// Health reports whether the router answers a health call with good.
func (c *Client) Health(limit time.Duration) bool {
	c.mu.Lock()
	c.seq++
	b := thrift.AppendField(thrift.BeginMessage(nil, thrift.Call, "health", c.seq), thrift.Bool, 1)
	c.mu.Unlock()
	c.Conn.Write(thrift.EndMessage(append(b, 1)))
	select {
	case good := <-c.health:
		return good
	case <-c.closed:
	case <-time.After(limit):
	}
	return false
}

// Closed returns how the connection has ended, "" while it is open.
func (c *Client) Closed() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.how
}

// AwaitClosed waits until the connection has ended, some seconds at most.
func (c *Client) AwaitClosed(seconds float64) bool {
	select {
	case <-c.closed:
		return true
	case <-time.After(time.Duration(seconds * 1e9)):
		return false
	}
}

// read reads answers until the connection ends.
func (c *Client) read() {
	head := make([]byte, 4)
	for {
		_, err := io.ReadFull(c.Conn, head)
		var frame []byte
		if err == nil {
			frame = make([]byte, binary.BigEndian.Uint32(head))
			_, err = io.ReadFull(c.Conn, frame)
		}
		if err != nil {
			c.mu.Lock()
			c.how = err.Error()
			open := 0
			for _, call := range c.calls {
				if outcome, _, _, _ := call.Outcome(); outcome == Pending {
					open++
				}
			}
			c.OpenAt = open
			c.mu.Unlock()
			if open > 0 {
				c.run.Logf("client %s: the connection ends (%v) with %d open requests", c.Conn.LocalAddr(), err, open)
			}
			c.Conn.Close()
			close(c.closed)
			return
		}
		c.handle(frame)
	}
}

// handle takes one answer.
func (c *Client) handle(frame []byte) {
	r := thrift.NewReader(frame)
	kind, name, seq := r.MessageHeader()
	outcome, body, good := Crashed, "", false
	if kind == thrift.Reply {
		t, id := r.FieldHeader()
		switch {
		case t == thrift.Struct && id == 0:
			outcome = Served
			for t, id := r.FieldHeader(); t != thrift.Stop; t, id = r.FieldHeader() {
				switch {
				case t == thrift.String && id == 1:
					body = string(r.Bytes())
				case t == thrift.Bool && id == 3:
					good = r.U8() == 1
				default:
					r.Skip(t)
				}
			}
		case t == thrift.Struct && id == 1:
			outcome = Rejected
		}
	}
	if string(name) == "health" {
		c.health <- good
		return
	}
	c.mu.Lock()
	call := c.calls[seq]
	c.mu.Unlock()
	if call == nil {
		c.run.Logf("client %s: answer %s to the unknown number %d", c.Conn.LocalAddr(), outcome, seq)
		return
	}
	call.mu.Lock()
	if call.answers++; call.answers == 1 {
		call.outcome, call.body, call.answeredAt = outcome, body, c.run.Now()
		close(call.done)
	}
	call.mu.Unlock()
	c.run.Logf("client %s: %s is %s", c.Conn.LocalAddr(), call.Ref, outcome)
}

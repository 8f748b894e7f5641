// Package fake has what a router talks to, for tests and the demonstration: a name server, engines and clients on
// loopback, each as its published protocol has it. Tests say what they answer; Model has an engine answer by itself.
package fake

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"dunereach/internal/dns"
	"dunereach/internal/thrift"
)

// Patience is how long tests wait for what must come; a good run waits for nothing near it.
const Patience = 20 * time.Second

// T is who uses a stand-in: a test, or a program that ends what it has begun.
type T interface {
	Helper()
	Fatal(args ...any)
	Cleanup(func())
}

// Reply is an answer that lists engines, each "uid.zone priority weight kind cell started address:port", with
// names compressed.
func Reply(id uint16, serial uint32, name string, engines ...string) []byte {
	b := dns.AppendQuery(nil, id, name)
	b[2] |= 0x84
	appendRecord := func(owner uint16, kind uint16, data []byte) {
		b = binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(b, owner), kind)
		b = append(b, 0, 1, 0, 0, 0, 0)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(data))), data...)
	}
	for _, e := range engines {
		var target, kind, cell, started, endpoint string
		var priority, weight uint16
		fmt.Sscan(e, &target, &priority, &weight, &kind, &cell, &started, &endpoint)
		addr, _ := net.ResolveTCPAddr("tcp", endpoint)
		srv := binary.BigEndian.AppendUint16(nil, priority)
		srv = binary.BigEndian.AppendUint16(srv, weight)
		srv = binary.BigEndian.AppendUint16(srv, uint16(addr.Port))
		for label := range strings.SplitSeq(target+".hosts", ".") {
			srv = append(append(srv, byte(len(label))), label...)
		}
		appendRecord(0xc00c, 33, append(srv, 0))
		pointer := 0xc000 | uint16(len(b)-len(srv)-1+6)
		appendRecord(pointer, 1, addr.IP.To4())
		var text []byte
		for _, s := range []string{"kind=" + kind, "cell=" + cell, "started=" + started} {
			text = append(append(text, byte(len(s))), s...)
		}
		appendRecord(pointer, 16, text)
	}
	binary.BigEndian.PutUint16(b[6:], uint16(3*len(engines)))
	binary.BigEndian.PutUint16(b[8:], 1)
	appendRecord(0xc00c, 6, append(binary.BigEndian.AppendUint32([]byte{0xc0, 12, 0xc0, 12}, serial), make([]byte, 16)...))
	return b
}

// NameServer answers every question with the list as last set.
type NameServer struct {
	Addr          string
	mu            sync.Mutex
	rev           uint32
	list          []string
	ignored       map[string]bool // to these addresses
	clients       map[string]bool
	down          bool          // nobody is answered
	firstQuery    chan struct{} // closed with the first question
	sent          chan struct{} // closed with the first answer that holds the list as last set
	queuedAnswers []serverList  // answers that go out before the list as last set
}

// serverList is a list of servers under a number.
type serverList struct {
	rev  uint32
	list []string
}

// NewNameServer starts a name server on loopback that answers for one name. It ends with the test.
func NewNameServer(t T, name string) *NameServer {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	n := &NameServer{Addr: c.LocalAddr().String(), clients: map[string]bool{}, firstQuery: make(chan struct{}),
		sent: make(chan struct{})}
	go func() {
		buf := make([]byte, 512)
		for {
			_, from, err := c.ReadFrom(buf)
			if err != nil {
				return
			}
			n.mu.Lock()
			if len(n.clients)+len(n.ignored) == 0 {
				close(n.firstQuery)
			}
			n.clients[from.String()] = true
			if !n.down && !n.ignored[from.String()] {
				nextAnswer := n.nextAnswer()
				c.WriteTo(Reply(binary.BigEndian.Uint16(buf), nextAnswer.rev, name, nextAnswer.list...), from)
			}
			n.mu.Unlock()
		}
	}()
	return n
}

// Set is a new event of the list.
func (n *NameServer) Set(rev uint32, engines ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rev, n.list = rev, engines
	n.sent = make(chan struct{})
}

// Stray has the next answer hold another list than the one set, as one does that was meant for somebody else or is out of date.
func (n *NameServer) Stray(rev uint32, engines ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queuedAnswers = append(n.queuedAnswers, serverList{rev, engines})
}

// Sent waits until an answer has gone out that holds the list as last set.
func (n *NameServer) Sent() {
	n.mu.Lock()
	sent := n.sent
	n.mu.Unlock()
	<-sent
}

// nextAnswer is the list that goes out next. Its caller holds the lock.
func (n *NameServer) nextAnswer() serverList {
	if len(n.queuedAnswers) > 0 {
		stray := n.queuedAnswers[0]
		n.queuedAnswers = n.queuedAnswers[1:]
		return stray
	}
	select {
	case <-n.sent:
	default:
		close(n.sent)
	}
	return serverList{n.rev, n.list}
}

// Asked waits for the first question.
func (n *NameServer) Asked() { <-n.firstQuery }

// Down has the server answer nobody, or all again.
func (n *NameServer) Down(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

// Forget answers nobody any more who has asked so far, as where a flow on the way is lost.
func (n *NameServer) Forget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ignored, n.clients = n.clients, map[string]bool{}
}

// Said is one line that an engine was sent, with the bytes behind it.
type Said struct {
	Words  []string
	Body   string
	Engine *Engine
	At     time.Time // when it was read
	conn   net.Conn
}

// Engine hands all it is sent to a channel, which engines may share.
type Engine struct {
	Addr     string
	listener net.Listener
	messages chan<- Said
}

// NewEngine starts a server on loopback that passes on what it receives. It ends with the test.
func NewEngine(t T, messages chan<- Said) *Engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Engine{Addr: l.Addr().String(), listener: l, messages: messages}
	t.Cleanup(e.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go e.read(c)
		}
	}()
	return e
}

// Close lets nobody connect any more.
func (e *Engine) Close() { e.listener.Close() }

func (e *Engine) read(c net.Conn) {
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		s := Said{Words: strings.Fields(line), Engine: e, At: time.Now(), conn: c}
		if s.Words[0] == "fetch" {
			var n int
			fmt.Sscan(s.Words[3], &n)
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			s.Body = string(body[:n])
		}
		e.messages <- s
	}
}

// Answer answers under the id of what was said.
func (s Said) Answer(word, fields, body string) {
	fmt.Fprintf(s.conn, "%s %s %s %d\r\n%s\r\n", s.Words[1], word, fields, len(body), body)
}

// Raw sends bytes as they are on the connection that it came on.
func (s Said) Raw(text string) { io.WriteString(s.conn, text) }

// Die resets the connection, as a dying process does.
func (s Said) Die() {
	s.conn.(*net.TCPConn).SetLinger(0)
	s.conn.Close()
}

// Leave closes the connection, as an engine that holds it for idle.
func (s Said) Leave() { s.conn.Close() }

// Client is one connection of a client.
type Client struct {
	t    T
	conn net.Conn
	seq  int32
}

// NewClient connects to a router and waits until it listens. The connection is closed as the test ends.
func NewClient(t T, addr string) *Client {
	t.Helper()
	for end := time.Now().Add(Patience); ; {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return &Client{t: t, conn: c}
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // not up yet
	}
}

// Call asks for a statement to be run, and gives the call's number.
func (c *Client) Call(body string, fields ...string) int32 {
	c.seq++
	c.Raw(Call(c.seq, body, fields...))
	return c.seq
}

// Call is the message that asks for a statement to be run.
func Call(seq int32, body string, fields ...string) []byte {
	b := thrift.BeginMessage(nil, thrift.Call, "call", seq)
	b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields...)
	return thrift.EndMessage(thrift.AppendBytes(thrift.AppendField(b, thrift.String, 2), body))
}

// Cancel stops waiting for a call.
func (c *Client) Cancel(seq int32) {
	b := thrift.AppendField(thrift.BeginMessage(nil, thrift.Oneway, "cancel", 0), thrift.I32, 1)
	c.Raw(thrift.EndMessage(binary.BigEndian.AppendUint32(b, uint32(seq))))
}

// Health asks whether the router is there.
func (c *Client) Health() bool {
	c.t.Helper()
	c.AskHealth()
	return c.Next() == fmt.Sprintf(`%d/%d health{ 0={ 1="" 2=[ ] 3=1 } }`, thrift.Reply, c.seq)
}

// AskHealth is the question of Health, with its answer yet to be read.
func (c *Client) AskHealth() {
	c.seq++
	b := thrift.AppendField(thrift.BeginMessage(nil, thrift.Call, "health", c.seq), thrift.Bool, 1)
	c.Raw(thrift.EndMessage(append(b, 1)))
}

// Raw sends bytes as they are. What can't be sent shows in what comes back.
func (c *Client) Raw(b []byte) { c.conn.Write(b) }

// HalfClose closes the sending half of the connection: nothing more will be asked.
func (c *Client) HalfClose() { c.conn.(*net.TCPConn).CloseWrite() }

// Leave closes the connection.
func (c *Client) Leave() { c.conn.Close() }

// Reset cuts the connection, as a client's process that dies.
func (c *Client) Reset() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}

// Next is the next answer, or how the connection ended.
func (c *Client) Next() string {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(Patience))
	head := make([]byte, 4)
	if _, err := io.ReadFull(c.conn, head); err == io.EOF {
		return "closed"
	} else if err != nil {
		return err.Error()
	}
	frame := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(c.conn, frame); err != nil {
		return err.Error()
	}
	return Show(frame)
}

// Show prints a message.
func Show(frame []byte) string {
	r := thrift.NewReader(frame)
	kind, name, seq := r.MessageHeader()
	return fmt.Sprintf("%d/%d %s%s", kind, seq, name, formatValue(&r, thrift.Struct))
}

func formatValue(r *thrift.Reader, t thrift.Type) (s string) {
	switch t {
	case thrift.Struct:
		for t, id := r.FieldHeader(); t != thrift.Stop; t, id = r.FieldHeader() {
			s += fmt.Sprintf(" %d=%s", id, formatValue(r, t))
		}
		return "{" + s + " }"
	case thrift.Map:
		for _, _, n := r.MapHeader(); n > 0; n-- {
			s += fmt.Sprintf(" %s=%s", r.Bytes(), r.Bytes())
		}
		return "[" + s + " ]"
	case thrift.Bool:
		return fmt.Sprint(r.U8())
	case thrift.I32:
		return fmt.Sprint(r.I32())
	}
	return fmt.Sprintf("%q", r.Bytes())
}

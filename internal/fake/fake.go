// Package fake implements the peers of a router for tests and the demonstration: a name server, servers and clients on
// loopback, which speak the published protocols. Tests determine the answers; RunModel answers for a server by itself.
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

// Timeout limits the waits in tests for events that must happen; passing runs stay far below it.
const Timeout = 20 * time.Second

// T is the user of a fake: a test, or a program that runs the cleanups itself.
type T interface {
	Helper()
	Fatal(args ...any)
	Cleanup(func())
}

// ListAnswer is a DNS answer that lists servers, each as "uid.zone priority weight kind cell started address:port",
// with compressed names.
func ListAnswer(id uint16, serial uint32, name string, engines ...string) []byte {
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

// NameServer answers every query with the list as last set.
type NameServer struct {
	Addr          string
	mu            sync.Mutex
	rev           uint32
	list          []string
	ignored       map[string]bool // addresses that get no answer
	clients       map[string]bool
	down          bool          // no query is answered
	firstQuery    chan struct{} // closed at the first query
	sent          chan struct{} // closed at the first answer with the list as last set
	queuedAnswers []serverList  // answers to send before the list as last set
	delay         AnswerDelay   // nil: answers are sent at once
	queries       int
}

// AnswerDelay returns for how long the answer to the n-th query is held back, and whether it is lost.
type AnswerDelay func(n int) (delay time.Duration, lost bool)

// serverList is a list of servers with its revision.
type serverList struct {
	rev  uint32
	list []string
}

// NewNameServer starts a name server on loopback that answers for one name. It stops when the test ends.
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
				n.send(c, from, ListAnswer(binary.BigEndian.Uint16(buf), nextAnswer.rev, name, nextAnswer.list...))
			}
			n.mu.Unlock()
		}
	}()
	return n
}

// send sends an answer as the delay says. The caller holds the lock.
func (n *NameServer) send(c net.PacketConn, to net.Addr, answer []byte) {
	if n.delay == nil {
		c.WriteTo(answer, to)
		return
	}
	n.queries++
	delay, lost := n.delay(n.queries)
	if !lost {
		time.AfterFunc(delay, func() { c.WriteTo(answer, to) })
	}
}

// SetDelay holds back the answers to all further queries, or loses them.
func (n *NameServer) SetDelay(delay AnswerDelay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay, n.queries = delay, 0
}

// SetList sets the list and its revision.
func (n *NameServer) SetList(rev uint32, engines ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rev, n.list = rev, engines
	n.sent = make(chan struct{})
}

// QueueAnswer makes the next answer contain another list than the one set, like an answer that was meant for another
// client or is out of date.
func (n *NameServer) QueueAnswer(rev uint32, engines ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.queuedAnswers = append(n.queuedAnswers, serverList{rev, engines})
}

// AwaitListSent waits until an answer with the list as last set has been sent.
func (n *NameServer) AwaitListSent() {
	n.mu.Lock()
	sent := n.sent
	n.mu.Unlock()
	<-sent
}

// nextAnswer returns the list to send next. The caller holds the lock.
func (n *NameServer) nextAnswer() serverList {
	if len(n.queuedAnswers) > 0 {
		next := n.queuedAnswers[0]
		n.queuedAnswers = n.queuedAnswers[1:]
		return next
	}
	select {
	case <-n.sent:
	default:
		close(n.sent)
	}
	return serverList{n.rev, n.list}
}

// AwaitQuery waits for the first query.
func (n *NameServer) AwaitQuery() { <-n.firstQuery }

// SetDown makes the server ignore all queries, or answer again.
func (n *NameServer) SetDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

// IgnoreClients stops answering all addresses that have sent queries so far, as if a network flow were lost on the way.
func (n *NameServer) IgnoreClients() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ignored, n.clients = n.clients, map[string]bool{}
}

// Message is one line that a server received, with the body after it.
type Message struct {
	Words      []string
	Body       string
	Server     *Server
	ReceivedAt time.Time // time of receipt
	conn       net.Conn
}

// Server passes all messages that it receives to a channel, which servers may share.
type Server struct {
	Addr     string
	listener net.Listener
	messages chan<- Message
}

// NewServer starts a server on loopback that passes on what it receives. It stops when the test ends.
func NewServer(t T, messages chan<- Message) *Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Server{Addr: l.Addr().String(), listener: l, messages: messages}
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

// Close stops accepting connections.
func (e *Server) Close() { e.listener.Close() }

// read passes the messages of one connection to the channel.
func (e *Server) read(c net.Conn) {
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		s := Message{Words: strings.Fields(line), Server: e, ReceivedAt: time.Now(), conn: c}
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

// Answer sends an answer with the id of the message.
func (s Message) Answer(word, fields, body string) {
	fmt.Fprintf(s.conn, "%s %s %s %d\r\n%s\r\n", s.Words[1], word, fields, len(body), body)
}

// SendRaw sends bytes unchanged on the connection of the message.
func (s Message) SendRaw(text string) { io.WriteString(s.conn, text) }

// Reset resets the connection, like a process that is killed.
func (s Message) Reset() {
	s.conn.(*net.TCPConn).SetLinger(0)
	s.conn.Close()
}

// Disconnect closes the connection, like a server that considers it idle.
func (s Message) Disconnect() { s.conn.Close() }

// Client is one client connection.
type Client struct {
	t    T
	conn net.Conn
	seq  int32
}

// NewClient connects to a router; it retries until the router listens. The connection is closed when the test ends.
func NewClient(t T, addr string) *Client {
	t.Helper()
	for end := time.Now().Add(Timeout); ; {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			t.Cleanup(func() { c.Close() })
			return &Client{t: t, conn: c}
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond) // the router does not listen yet
	}
}

// Call requests the execution of a statement and returns the sequence number of the request.
func (c *Client) Call(body string, fields ...string) int32 {
	c.seq++
	c.SendRaw(Call(c.seq, body, fields...))
	return c.seq
}

// Call returns the message that requests the execution of a statement.
func Call(seq int32, body string, fields ...string) []byte {
	b := thrift.BeginMessage(nil, thrift.Call, "call", seq)
	b = thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), fields...)
	return thrift.EndMessage(thrift.AppendBytes(thrift.AppendField(b, thrift.String, 2), body))
}

// CancelMessage returns the message that cancels a request.
func CancelMessage(seq int32) []byte {
	b := thrift.AppendField(thrift.BeginMessage(nil, thrift.Oneway, "cancel", 0), thrift.I32, 1)
	return thrift.EndMessage(binary.BigEndian.AppendUint32(b, uint32(seq)))
}

// Cancel cancels a request.
func (c *Client) Cancel(seq int32) { c.SendRaw(CancelMessage(seq)) }

// HealthMessage returns the message of a health check.
func HealthMessage(seq int32) []byte {
	b := thrift.AppendField(thrift.BeginMessage(nil, thrift.Call, "health", seq), thrift.Bool, 1)
	return thrift.EndMessage(append(b, 1))
}

// Health sends a health check and reports whether the answer is right.
func (c *Client) Health() bool {
	c.t.Helper()
	c.SendHealthCheck()
	return c.NextAnswer() == fmt.Sprintf(`%d/%d health{ 0={ 1="" 2=[ ] 3=1 } }`, thrift.Reply, c.seq)
}

// SendHealthCheck sends the request of Health without reading its answer.
func (c *Client) SendHealthCheck() {
	c.seq++
	c.SendRaw(HealthMessage(c.seq))
}

// SendRaw sends bytes unchanged. A failed write shows in the next answer that is read.
func (c *Client) SendRaw(b []byte) { c.conn.Write(b) }

// HalfClose closes the sending half of the connection: there are no further requests.
func (c *Client) HalfClose() { c.conn.(*net.TCPConn).CloseWrite() }

// Disconnect closes the connection.
func (c *Client) Disconnect() { c.conn.Close() }

// Reset resets the connection, like a client process that is killed.
func (c *Client) Reset() {
	c.conn.(*net.TCPConn).SetLinger(0)
	c.conn.Close()
}

// NextAnswer returns the next answer, or how the connection ended.
func (c *Client) NextAnswer() string {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(Timeout))
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
	return Format(frame)
}

// Format formats a message as text.
func Format(frame []byte) string {
	r := thrift.NewReader(frame)
	kind, name, seq := r.MessageHeader()
	return fmt.Sprintf("%d/%d %s%s", kind, seq, name, formatValue(&r, thrift.Struct))
}

// formatValue formats one value of a message.
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

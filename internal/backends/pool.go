// Package backends sends attempts to servers and returns their results. It manages connections, streams and pages of
// results. It makes no admission or routing decisions, and uses connections only through the interface Connection.
package backends

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"

	"dunereach/admission"
	"dunereach/internal/lineproto"
	"dunereach/internal/transport"
)

// Ref is a request's ID as clients and servers write it.
type Ref [16]byte

// Attempt is one attempt of a request, from the fetch to the last page. Its owner sets the first group of fields and
// reads the second after the attempt has ended.
type Attempt struct {
	ID               uint32 // as the admission module numbers requests
	AttemptNumber    int    // counts the request's attempts from 0
	Server           uint32
	Ref              Ref
	Profile          string
	Statement        []byte
	Token            []byte
	Priority         int
	SentAt, Deadline float64
	LeaveBy          float64 // no byte may leave from this time on; 0: no limit
	ResultUnwanted   bool    // no client waits for the result any more

	Pages        [][]byte // valid until AttemptEnded returns
	Work, Memory float64
	NeverSent    bool // no byte of it had left

	outstanding         bool
	withdrawalRequested bool // a withdrawal was requested, but bytes may have left
	unwantedNoted       bool // its connection knows that no client waits for it
	endPending          bool // the attempt has ended and the owner is not notified yet
	end                 admission.End
	conn                *conn
	written             bool
	offset              int64 // position of its bytes in the connection's output
	size                int   // number of its bytes
	pagesReceived       int
	reservedBytes       int     // memory reserved for its result, once its pages have been requested
	awaitsMemory        bool    // its first page has come, and there is no memory for the others yet
	lastPageAt          float64 // when the newest page came
}

// Outstanding reports whether the attempt's end has not been reported yet.
func (j *Attempt) Outstanding() bool { return j.outstanding }

// Owner is notified of the progress of attempts. Send, Abandon, SetPriority and UpdateServers never call it.
type Owner interface {
	AttemptEnded(j *Attempt, end admission.End)
	AttemptProgressed(j *Attempt, kind admission.ProgressKind, value float64)
	ConnLost(server uint32, how transport.Ending)
	// ResultFits reports whether there is memory for an attempt's result, of the given bytes.
	ResultFits(j *Attempt, bytes int) bool
	// ResultReserved records bytes as reserved for an attempt's result, or as released if negative.
	ResultReserved(j *Attempt, bytes int)
}

// Connection takes the bytes sent to a server.
type Connection interface {
	Append(b []byte) int64
	AppendRequest(b []byte) int64
	WriteBegun(from int64) bool
	Delivered() bool                  // all requests for which a write has begun have arrived
	BegunOutput() int64               // position up to which writes have begun
	Acknowledged(position int64) bool // all output up to the position has arrived
	Withdraw(from int64, size int) bool
	Finish()
	Drop()
	DropUnreadable()
}

// Limits are the limits of the connections.
type Limits struct {
	StreamsPerConn int     // attempts on one connection
	MaxConns       int     // connections in total
	IdleTimeout    float64 // servers close connections that are idle for this time
	StallTimeout   float64 // longest pause within a message, and longest wait for a requested page; 0: no limit
}

// Pool holds the listed servers and the connections to them. Only the owner's goroutine may use it.
type Pool struct {
	owner         Owner
	limits        Limits
	dial          func(addr netip.AddrPort, sink transport.Sink) Connection
	servers       map[uint32]*server
	conns         []*conn
	endedAttempts []*Attempt // attempts that ended within a call from the owner
	sparePages    [][]byte
	scratch       []byte
	resultMemory  resultMemory
	now           float64
	writesHeld    bool // no attempt is written

	observer Observer
	hasList  bool // a server list has been received, so changes to it are reported
}

type server struct {
	addr          netip.AddrPort
	startedAt     float64 // start of its process, in seconds; 0: long ago
	state         admission.State
	previousState admission.State // in the previous list
}

type conn struct {
	pool              *Pool
	server            uint32
	socket            Connection
	up                bool
	unreadable        bool // the input is invalid
	retired           bool // accepts no more attempts and closes when none is outstanding
	parser            lineproto.Parser
	outstanding       map[Ref]*Attempt
	waiting           []*Attempt       // attempts that wait until the connection is established
	spent             map[Ref]struct{} // IDs that ended here without a result: later messages under them are late
	usedAt            float64
	unwantedEnd       int64   // position in the output up to which there are bytes of attempts that no client waits for
	unwantedSince     float64 // since when the bytes up to there have not been known to arrive, 0: they have
	dropUndeliveredAt float64 // bytes not delivered by then must not leave any more, 0: no limit
	partialSince      float64 // when the first part of the incomplete message came, 0: none
}

// New makes a pool without servers. dial begins a connection to one.
func New(owner Owner, limits Limits, dial func(netip.AddrPort, transport.Sink) Connection) *Pool {
	return &Pool{owner: owner, limits: limits, dial: dial, servers: map[uint32]*server{},
		observer: noObserver{}}
}

// SetTime sets the current time for the calls that follow.
func (p *Pool) SetTime(now float64) { p.now = now }

// UpdateServers applies a new server list. Attempts that wait for a connection to a server that drains or is gone are
// not written any more.
func (p *Pool) UpdateServers(list []admission.Entry, addr func(uint32) netip.AddrPort) {
	for _, e := range p.servers {
		e.previousState, e.state = e.state, admission.Gone
	}
	for _, n := range list {
		e := p.servers[n.Server]
		if e == nil {
			e = &server{}
			p.servers[n.Server] = e
		}
		if a := addr(n.Server); e.addr != a || e.startedAt != n.ReadyAt { // another process: the connections lead to the one before
			if e.addr.IsValid() {
				p.retire(n.Server)
			}
			e.addr, e.startedAt = a, n.ReadyAt
		}
		e.state = n.State
	}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) { // in a fixed order, so that equal input gives equal behavior
		e := p.servers[id]
		withdrawn, running := 0, 0
		if e.state != admission.Ready {
			withdrawn, running = p.retire(id)
		}
		if p.hasList && e.state != e.previousState {
			p.observer.ServerChanged(id, e.previousState, e.state, withdrawn, running)
		}
		if e.state == admission.Gone {
			delete(p.servers, id)
		}
	}
	p.hasList = true
}

// retire ends the attempts that have not left yet at a server that accepts no more. It returns how many attempts were
// withdrawn and how many continue.
func (p *Pool) retire(id uint32) (withdrawn, running int) {
	for _, c := range p.conns {
		if c.server != id {
			continue
		}
		c.retireFor(ServerLeft)
		if !c.up {
			c.socket.Drop()
		}
		for _, j := range c.sortedAttempts() {
			if c.withdraw(j) {
				p.endLater(j, admission.Unreachable)
				withdrawn++
			}
		}
		running += len(c.outstanding)
		const writeGrace = 0.1 // seconds: enough for a writer that is only behind, and shorter than any drain's grace
		if c.dropUndeliveredAt == 0 && !c.socket.Delivered() {
			c.dropUndeliveredAt = p.now + writeGrace
		}
		c.finishIfIdle()
	}
	return withdrawn, running
}

// withdraw takes an attempt back if none of its bytes has left. The check and the removal are one atomic step.
func (c *conn) withdraw(j *Attempt) bool { return !j.written || c.socket.Withdraw(j.offset, j.size) }

// stalledSince reports whether a message or the pages of a result have made no progress since the given time. The
// server has the whole result when it sends the first page.
func (c *conn) stalledSince(since float64) bool {
	for _, j := range c.outstanding {
		if j.pagesReceived > 0 && !j.awaitsMemory && j.lastPageAt < since {
			return true
		}
	}
	return c.partialSince > 0 && c.partialSince < since
}

// sortedAttempts returns the connection's outstanding attempts in the order in which the requests came to the admission
// module.
func (c *conn) sortedAttempts() []*Attempt {
	return slices.SortedFunc(maps.Values(c.outstanding), func(a, b *Attempt) int { return cmp.Compare(a.ID, b.ID) })
}

// Send sends an attempt to its server.
func (p *Pool) Send(j *Attempt) {
	j.outstanding, j.endPending, j.written, j.conn, j.pagesReceived, j.Pages = true, false, false, nil, 0, j.Pages[:0]
	j.withdrawalRequested, j.unwantedNoted = false, false
	j.Work, j.Memory, j.NeverSent = 0, 0, false
	e := p.servers[j.Server]
	if e == nil || e.state != admission.Ready {
		p.endLater(j, admission.Withdrawn)
		return
	}
	if j.Deadline <= p.now {
		j.NeverSent = true
		p.endLater(j, admission.TimedOut)
		return
	}
	c := p.conn(j, e)
	if c == nil { // all connections are in use: nothing was written
		p.endLater(j, admission.Unreachable)
		return
	}
	j.conn, c.outstanding[j.Ref], c.usedAt = c, j, p.now
	if c.up && !p.writesHeld {
		c.writeAttempt(j)
	} else {
		c.waiting = append(c.waiting, j)
	}
}

// conn returns a connection for an attempt: the one with the fewest outstanding attempts that has room, or a new
// one rather than one in use. Invalid input ends all attempts on its connection, and an incomplete message blocks all
// messages behind it. New connections are opened up to an equal share of three quarters of the limit; the rest is for
// closing connections and for new servers. Beyond that share attempts share connections. After an attempt ended on a
// connection without its result, the request's next attempt uses another connection: a late message or a duplicate
// may still come there under the same ID.
func (p *Pool) conn(j *Attempt, e *server) *conn {
	var best *conn
	connCount := 0
	for _, c := range p.conns {
		if c.server != j.Server || c.retired {
			continue
		}
		connCount++
		_, outstanding := c.outstanding[j.Ref]
		_, spent := c.spent[j.Ref]
		if len(c.outstanding) < p.limits.StreamsPerConn && !outstanding && !spent && (best == nil || len(c.outstanding) < len(best.outstanding)) {
			best = c
		}
	}
	if best != nil && (len(best.outstanding) == 0 || connCount >= p.limits.MaxConns*3/4/len(p.servers)) || best != nil && len(p.conns) >= p.limits.MaxConns {
		return best
	}
	if len(p.conns) >= p.limits.MaxConns && !p.closeLongestIdle() {
		return nil
	}
	c := &conn{pool: p, server: j.Server, outstanding: map[Ref]*Attempt{}, spent: map[Ref]struct{}{}}
	c.socket = p.dial(e.addr, c)
	p.conns = append(p.conns, c)
	return c
}

// writeAttempt hands an attempt's bytes to the connection, unless it may not leave any more.
func (c *conn) writeAttempt(j *Attempt) {
	switch {
	case j.Deadline <= c.pool.now:
		j.NeverSent = true
		c.pool.endLater(j, admission.TimedOut)
		return
	case j.LeaveBy > 0 && j.LeaveBy <= c.pool.now:
		c.pool.endLater(j, admission.Withdrawn)
		return
	}
	j.written = true
	c.pool.observer.AttemptWriting(j)
	waitMillis := int(math.Ceil((j.Deadline - c.pool.now) * 1000))
	c.pool.scratch = lineproto.AppendFetch(c.pool.scratch[:0], j.Ref[:], j.Profile, max(waitMillis, 1), j.Priority, j.Token, j.Statement)
	j.offset, j.size = c.socket.AppendRequest(c.pool.scratch), len(c.pool.scratch)
}

// writeControl writes a message that was assembled in the pool's scratch buffer.
func (c *conn) writeControl(b []byte) {
	c.pool.scratch = b
	c.socket.Append(b)
}

// Withdraw ends an attempt of which no byte has left. Any other continues if it arrives soon.
func (p *Pool) Withdraw(j *Attempt) {
	c := j.conn
	if c == nil {
		return
	}
	if c.withdraw(j) {
		p.endLater(j, admission.Withdrawn)
		return
	}
	j.withdrawalRequested = true
	c.noteUnwanted(j)
}

// Abandon ends an outstanding attempt. If it was written, it is withdrawn or cancelled on the wire before another
// attempt leaves.
func (p *Pool) Abandon(j *Attempt, end admission.End) {
	if c := j.conn; c != nil && j.written {
		if j.NeverSent = c.withdraw(j); !j.NeverSent {
			if j.ResultUnwanted {
				c.noteUnwanted(j)
			}
			if j.pagesReceived == 0 {
				c.writeControl(lineproto.AppendAbort(p.scratch[:0], j.Ref[:]))
			} else {
				c.writeControl(lineproto.AppendDone(p.scratch[:0], j.Ref[:]))
			}
			c.addSpentID(j)
		}
		// A timeout may be caused by the connection rather than the server, so nothing more is sent there.
		if end == admission.TimedOut {
			c.retireFor(AttemptTimedOut)
		}
	} else if c != nil {
		j.NeverSent = true
	}
	p.endLater(j, end)
}

// addSpentID records that an attempt has ended here without its result.
func (c *conn) addSpentID(j *Attempt) {
	c.spent[j.Ref] = struct{}{}
	if len(c.spent) >= 10*c.pool.limits.StreamsPerConn { // old IDs must not accumulate
		c.retireFor(IDsSpent)
	}
}

// SetPriority sends the priority of a running attempt. An attempt not yet written carries it in its fetch.
func (p *Pool) SetPriority(j *Attempt) {
	if j.conn != nil && j.written && j.pagesReceived == 0 {
		j.conn.writeControl(lineproto.AppendRenice(p.scratch[:0], j.Ref[:], j.Priority))
	}
}

func (p *Pool) endLater(j *Attempt, end admission.End) {
	if j.outstanding && !j.endPending {
		j.unlink()
		j.endPending, j.end = true, end
		p.endedAttempts = append(p.endedAttempts, j)
	}
}

// unlink removes an attempt from its connection.
func (j *Attempt) unlink() {
	if c := j.conn; c != nil {
		j.conn = nil
		c.pool.releaseResult(j)
		delete(c.outstanding, j.Ref)
		for k, w := range c.waiting {
			if w == j {
				c.waiting = append(c.waiting[:k], c.waiting[k+1:]...)
				break
			}
		}
		c.usedAt = c.pool.now
		c.finishIfIdle()
	}
}

func (c *conn) finishIfIdle() {
	if c.retired && len(c.outstanding) == 0 {
		c.socket.Finish()
	}
}

func (j *Attempt) finish(p *Pool, end admission.End) {
	j.unlink()
	j.outstanding = false
	if end != admission.Completed { // a partial result is discarded, and the attempt may be sent again at once
		p.freePages(j)
	}
	p.owner.AttemptEnded(j, end)
	if end == admission.Completed {
		p.freePages(j)
	}
}

// ReportEnds reports the attempts that ended within the owner's own calls, until there are none.
func (p *Pool) ReportEnds() {
	for k := 0; k < len(p.endedAttempts); k++ {
		j := p.endedAttempts[k]
		p.freePages(j)
		j.outstanding = false
		p.owner.AttemptEnded(j, j.end)
	}
	p.endedAttempts = p.endedAttempts[:0]
}

// CloseIdle closes idle connections before the servers do, so that no attempt is sent to a connection while the
// server closes it.
func (p *Pool) CloseIdle() {
	const idleShare = 0.8 // of the servers' idle timeout: earlier by far more than any network delay
	for _, c := range p.conns {
		if c.up && len(c.outstanding) == 0 && p.now-c.usedAt > idleShare*p.limits.IdleTimeout {
			c.retireFor(IdleTooLong)
			c.finishIfIdle()
		}
	}
}

func (c *conn) Connected() {
	c.up = true
	c.writeWaiting()
	c.finishIfIdle()
}

func (c *conn) Feed(b []byte) {
	if c.unreadable { // in transit when the connection was given up
		return
	}
	if c.parser.Feed(b, c) != nil {
		c.closeUnreadable()
	} else if !c.parser.HasPartial() {
		c.partialSince = 0
	} else if c.partialSince == 0 {
		c.partialSince = c.pool.now
	}
}

// closeUnreadable closes a connection whose input is invalid, or stays incomplete. All attempts outstanding on it
// end.
func (c *conn) closeUnreadable() {
	c.unreadable, c.partialSince = true, 0
	c.retireFor(Unreadable)
	c.socket.DropUnreadable()
}

func (c *conn) Ended(how transport.Ending) {
	if how == transport.PeerFinished { // the server sends no more messages and reads nothing that leaves from now on
		c.retireFor(ServerClosed)
		for _, j := range c.sortedAttempts() {
			if c.withdraw(j) {
				c.pool.endLater(j, admission.Withdrawn)
			}
		}
		c.socket.Drop()
		return
	}
	p := c.pool
	for k, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:k], p.conns[k+1:]...)
			break
		}
	}
	if len(c.outstanding) > 0 {
		p.owner.ConnLost(c.server, how)
	}
	for _, j := range c.sortedAttempts() {
		p.endLater(j, endOfConnection(how, j.written && c.socket.WriteBegun(j.offset)))
	}
}

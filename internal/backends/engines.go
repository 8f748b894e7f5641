// Package backends carries sends to engines and their answers back: connections, streams, pages. It carries out
// what it is told and decides nothing; it knows no socket but what takes its bytes.
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

// Ref is a command's id as clients and engines write it.
type Ref [16]byte

// Job is one send, from the fetch to the last page. Its owner fills the first part and reads the second once
// it has ended.
type Job struct {
	ID        uint32 // the module's
	Number    int    // counting the command's sends from 0
	Engine    uint32
	Ref       Ref
	Profile   string
	Statement []byte
	Token     []byte
	Level     int
	At, Until float64
	LeaveBy   float64 // none of its bytes may leave from then on, 0: any time
	Unwanted  bool    // nobody waits for the result any more

	Pages        [][]byte // good until Ended returns
	Work, Memory float64
	Unsent       bool // nothing of it had left

	out      bool
	recalled bool // it was to be withdrawn, and bytes may have left
	over     bool // it has ended, and its owner is yet to be told so
	end      admission.End
	conn     *conn
	sent     bool
	from     int64 // where its bytes begin on the connection
	size     int   // how many they are
	got      int
	gotAt    float64 // when the latest page came
}

// Out tells whether the send's end is yet to be told.
func (j *Job) Out() bool { return j.out }

// Owner learns how sends go. No call comes from within Send, GiveUp, Renice or Members.
type Owner interface {
	Ended(j *Job, end admission.End)
	Noted(j *Job, kind admission.NoteKind, value float64)
	Lost(engine uint32, how transport.Ending)
}

// Line is where a connection's bytes go.
type Line interface {
	Append(b []byte) int64
	AppendRequest(b []byte) int64
	Begun(from int64) bool
	Delivered() bool // all requests that a write was begun with have arrived
	Withdraw(from int64, size int) bool
	Finish()
	Drop()
	Bad()
}

// Limits of the connections.
type Limits struct {
	Streams int     // sends on one
	Conns   int     // all together
	Idle    float64 // engines close them then
	Stall   float64 // an answer begun, and a page asked for, go on within this time, 0: any
}

// Pool is the engines of the list and the connections to them. All of it is the owner's goroutine's.
type Pool struct {
	owner   Owner
	limits  Limits
	dial    func(addr netip.AddrPort, sink transport.Sink) Line
	engines map[uint32]*engine
	conns   []*conn
	later   []*Job // ended within a call from the owner
	spare   [][]byte
	scratch []byte
	now     float64
	held    bool // no attempt is written

	observer Observer
	listed   bool // a list has come, so that changes are news
}

type engine struct {
	addr  netip.AddrPort
	state admission.State
	was   admission.State // in the list before
}

type conn struct {
	pool       *Pool
	engine     uint32
	line       Line
	up         bool
	broken     bool // what came can't be read
	retired    bool // takes no more sends, and closes once nothing is out
	parser     lineproto.Parser
	out        map[Ref]*Job
	waiting    []*Job           // until it is up
	spent      map[Ref]struct{} // given up here: an answer under these is late, and no other send's
	usedAt     float64
	unwantedAt float64 // nobody waits for what is out, and it has not arrived since then, 0: it is not so
	stuckAt    float64 // what is stuck then must not leave any more, 0: nothing is
	halfAt     float64 // an answer that is not whole yet was begun then, 0: none
}

// New makes a pool without servers; dial begins a connection to one.
func New(owner Owner, limits Limits, dial func(netip.AddrPort, transport.Sink) Line) *Pool {
	return &Pool{owner: owner, limits: limits, dial: dial, engines: map[uint32]*engine{},
		observer: silence{}}
}

// At sets the time that calls go by.
func (p *Pool) At(now float64) { p.now = now }

// Members takes the list as it is now. What waits for a connection to an engine that drains or is gone is not
// written any more.
func (p *Pool) Members(list []admission.Entry, addr func(uint32) netip.AddrPort) {
	for _, e := range p.engines {
		e.was, e.state = e.state, admission.Gone
	}
	for _, n := range list {
		e := p.engines[n.Engine]
		if e == nil {
			e = &engine{}
			p.engines[n.Engine] = e
		}
		if a := addr(n.Engine); e.addr != a {
			if e.addr.IsValid() {
				p.retire(n.Engine)
			}
			e.addr = a
		}
		e.state = n.State
	}
	for _, id := range slices.Sorted(maps.Keys(p.engines)) { // in order: equal input must act alike
		e := p.engines[id]
		withdrawn, running := 0, 0
		if e.state != admission.Ready {
			withdrawn, running = p.retire(id)
		}
		if p.listed && e.state != e.was {
			p.observer.ServerChanged(id, e.was, e.state, withdrawn, running)
		}
		if e.state == admission.Gone {
			delete(p.engines, id)
		}
	}
	p.listed = true
}

// retire ends what can be ended at a server that takes no more attempts. It returns how many attempts were withdrawn and how many go
// on.
func (p *Pool) retire(id uint32) (withdrawn, running int) {
	for _, c := range p.conns {
		if c.engine != id {
			continue
		}
		c.retireFor(ServerLeft)
		if !c.up {
			c.line.Drop()
		}
		for _, j := range c.jobs() {
			if c.withdraw(j) {
				p.endLater(j, admission.Unreachable)
				withdrawn++
			}
		}
		running += len(c.out)
		const soon = 0.1 // seconds: a writer that is only behind has written by then, and no grace of a drain is over
		if c.stuckAt == 0 && !c.line.Delivered() {
			c.stuckAt = p.now + soon
		}
		c.rest()
	}
	return withdrawn, running
}

// withdraw takes a send back of which nothing has left, in one step with the question whether it has.
func (c *conn) withdraw(j *Job) bool { return !j.sent || c.line.Withdraw(j.from, j.size) }

// stopped tells whether an answer, or the pages of a result, have not gone on since then. The engine has the whole
// result when it sends the first page.
func (c *conn) stopped(since float64) bool {
	for _, j := range c.out {
		if j.got > 0 && j.gotAt < since {
			return true
		}
	}
	return c.halfAt > 0 && c.halfAt < since
}

// jobs is all that is out on a connection, in the order in which it came to the module.
func (c *conn) jobs() []*Job {
	return slices.SortedFunc(maps.Values(c.out), func(a, b *Job) int { return cmp.Compare(a.ID, b.ID) })
}

// Send carries a command to an engine.
func (p *Pool) Send(j *Job) {
	j.out, j.over, j.sent, j.conn, j.got, j.Pages = true, false, false, nil, 0, j.Pages[:0]
	j.recalled = false
	j.Work, j.Memory, j.Unsent = 0, 0, false
	e := p.engines[j.Engine]
	if e == nil || e.state != admission.Ready {
		p.endLater(j, admission.Moot)
		return
	}
	if j.Until <= p.now {
		j.Unsent = true
		p.endLater(j, admission.TimedOut)
		return
	}
	c := p.conn(j, e)
	if c == nil { // all connections are taken: nothing was written
		p.endLater(j, admission.Unreachable)
		return
	}
	j.conn, c.out[j.Ref], c.usedAt = c, j, p.now
	if c.up && !p.held {
		c.write(j)
	} else {
		c.waiting = append(c.waiting, j)
	}
}

// conn is the one with the least out that has room for the send, a new one rather than one in use: what can't be read
// costs all that is out on its connection, and an answer that stops short holds up all behind it. A new one is had up to
// an equal share of three quarters of the connections, the rest being for those on their way out and for new engines;
// past that sends go together. A command that ended on a connection without its result goes on another: under its id a
// late answer, or a second copy, may still come there.
func (p *Pool) conn(j *Job, e *engine) *conn {
	var best *conn
	has := 0
	for _, c := range p.conns {
		if c.engine != j.Engine || c.retired {
			continue
		}
		has++
		_, out := c.out[j.Ref]
		_, spent := c.spent[j.Ref]
		if len(c.out) < p.limits.Streams && !out && !spent && (best == nil || len(c.out) < len(best.out)) {
			best = c
		}
	}
	if best != nil && (len(best.out) == 0 || has >= p.limits.Conns*3/4/len(p.engines)) || best != nil && len(p.conns) >= p.limits.Conns {
		return best
	}
	if len(p.conns) >= p.limits.Conns && !p.makeRoom() {
		return nil
	}
	c := &conn{pool: p, engine: j.Engine, out: map[Ref]*Job{}, spent: map[Ref]struct{}{}}
	c.line = p.dial(e.addr, c)
	p.conns = append(p.conns, c)
	return c
}

// write hands a send's bytes over, unless its time to leave is past.
func (c *conn) write(j *Job) {
	switch {
	case j.Until <= c.pool.now:
		j.Unsent = true
		c.pool.endLater(j, admission.TimedOut)
		return
	case j.LeaveBy > 0 && j.LeaveBy <= c.pool.now:
		c.pool.endLater(j, admission.Moot)
		return
	}
	j.sent = true
	c.pool.observer.Writing(j)
	wait := int(math.Ceil((j.Until - c.pool.now) * 1000))
	c.pool.scratch = lineproto.Fetch(c.pool.scratch[:0], j.Ref[:], j.Profile, max(wait, 1), j.Level, j.Token, j.Statement)
	j.from, j.size = c.line.AppendRequest(c.pool.scratch), len(c.pool.scratch)
}

// say writes what was put together in the pool's scratch.
func (c *conn) say(b []byte) {
	c.pool.scratch = b
	c.line.Append(b)
}

// Withdraw ends an attempt of which nothing has left. Any other goes on if it arrives soon.
func (p *Pool) Withdraw(j *Job) {
	c := j.conn
	if c == nil {
		return
	}
	if c.withdraw(j) {
		p.endLater(j, admission.Moot)
		return
	}
	j.recalled = true
}

// GiveUp ends a send that is out. One that is on its way is taken back, so that it is over on the wire before
// another leaves.
func (p *Pool) GiveUp(j *Job, end admission.End) {
	if c := j.conn; c != nil && j.sent {
		if j.Unsent = c.withdraw(j); !j.Unsent {
			if j.got == 0 {
				c.say(lineproto.Abort(p.scratch[:0], j.Ref[:]))
			} else {
				c.say(lineproto.Done(p.scratch[:0], j.Ref[:]))
			}
			c.spend(j)
		}
		// One whose time ran out may be the connection's doing, not the engine's: nothing more is sent there.
		if end == admission.TimedOut {
			c.retireFor(AttemptLate)
		}
	} else if c != nil {
		j.Unsent = true
	}
	p.endLater(j, end)
}

// spend notes that a send has ended here without its result.
func (c *conn) spend(j *Job) {
	c.spent[j.Ref] = struct{}{}
	if len(c.spent) >= 10*c.pool.limits.Streams { // ids of long ago must not pile up
		c.retireFor(IDsSpent)
	}
}

// Renice sets the priority of a send that runs. One that is yet to be written has it with its fetch.
func (p *Pool) Renice(j *Job) {
	if j.conn != nil && j.sent && j.got == 0 {
		j.conn.say(lineproto.Renice(p.scratch[:0], j.Ref[:], j.Level))
	}
}

func (p *Pool) endLater(j *Job, end admission.End) {
	if j.out && !j.over {
		j.unlink()
		j.over, j.end = true, end
		p.later = append(p.later, j)
	}
}

// unlink takes a send off its connection.
func (j *Job) unlink() {
	if c := j.conn; c != nil {
		j.conn = nil
		delete(c.out, j.Ref)
		for k, w := range c.waiting {
			if w == j {
				c.waiting = append(c.waiting[:k], c.waiting[k+1:]...)
				break
			}
		}
		c.usedAt = c.pool.now
		c.rest()
	}
}

func (c *conn) rest() {
	if c.retired && len(c.out) == 0 {
		c.line.Finish()
	}
}

func (j *Job) finish(p *Pool, end admission.End) {
	j.unlink()
	j.out = false
	if end != admission.Answered { // part of a result is nobody's, and the job may be sent again at once
		p.freePages(j)
	}
	p.owner.Ended(j, end)
	if end == admission.Answered {
		p.freePages(j)
	}
}

// Settle tells of what ended within the owner's own calls, until nothing more does.
func (p *Pool) Settle() {
	for k := 0; k < len(p.later); k++ {
		j := p.later[k]
		p.freePages(j)
		j.out = false
		p.owner.Ended(j, j.end)
	}
	p.later = p.later[:0]
}

// Tidy closes connections before their engines would, so that no send crosses a close.
func (p *Pool) Tidy() {
	const share = 0.8 // of the time after which engines close: ahead by far more than any delay
	for _, c := range p.conns {
		if c.up && len(c.out) == 0 && p.now-c.usedAt > share*p.limits.Idle {
			c.retireFor(IdleLong)
			c.rest()
		}
	}
}

func (c *conn) Up() {
	c.up = true
	c.writeWaiting()
	c.rest()
}

func (c *conn) Feed(b []byte) {
	if c.broken { // what was on its way when the connection was given up
		return
	}
	if c.parser.Feed(b, c) != nil {
		c.bad()
	} else if !c.parser.Half() {
		c.halfAt = 0
	} else if c.halfAt == 0 {
		c.halfAt = c.pool.now
	}
}

// bad: what came can't be read, or is not whole and doesn't go on. What is out here ends with the connection.
func (c *conn) bad() {
	c.broken, c.halfAt = true, 0
	c.retireFor(Unreadable)
	c.line.Bad()
}

func (c *conn) Ended(how transport.Ending) {
	if how == transport.Finished { // an engine that closes its side answers no more, and reads nothing that leaves now
		c.retireFor(ServerClosed)
		for _, j := range c.jobs() {
			if c.withdraw(j) {
				c.pool.endLater(j, admission.Moot)
			}
		}
		c.line.Drop()
		return
	}
	p := c.pool
	for k, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:k], p.conns[k+1:]...)
			break
		}
	}
	if len(c.out) > 0 {
		p.owner.Lost(c.engine, how)
	}
	for _, j := range c.jobs() {
		p.endLater(j, byConnection(how, j.sent && c.line.Begun(j.from)))
	}
}

package benchwire

import (
	"bytes"
	"fmt"
	"io"
	"math"

	"dunereach/admission"
	"dunereach/internal/settings"
	"dunereach/waittime"
)

const ms = 1e-3

// router is one hosted instance. Instances share only the reply that their actions are appended to.
type router struct {
	id         uint32
	controller *admission.Controller
	profiles   int
	fields     []string // names of the load report values, in order
	load       admission.Load
	out        *reply
}

type server struct {
	routers  map[uint32]*router
	lists    [16][]admission.Entry
	received [16]bool
	out      reply
	now      float64 // seconds
}

// Serve reads batches of events and writes a reply to each, until the input ends.
func Serve(in io.Reader, out io.Writer) error {
	s := server{routers: map[uint32]*router{}}
	var buf bytes.Buffer
	for n := 1; ; n++ {
		b, err := readBatch(in, &buf)
		if err == io.EOF {
			return nil
		}
		if err == nil {
			s.out.reset()
			err = s.processBatch(&b)
		}
		if err != nil {
			return fmt.Errorf("batch %d: %v", n, err)
		}
		if _, err = out.Write(s.out.finish()); err != nil {
			return err
		}
	}
}

func (s *server) processBatch(b *batch) error {
	s.now = b.clock * ms
	var r *router
	selected, id := false, uint32(0)
	for at := 0; at < len(b.events); at += eventSize {
		e := b.events[at : at+eventSize]
		var err error
		switch code := e[0]; code {
		case 130: // Select
			selected, id = true, be.Uint32(e[1:])
			r = s.routers[id]
		case 120: // SnapshotRows
			err = s.readList(b, e)
		case 10: // Init
			if !selected {
				err = fmt.Errorf("operation Init before any Select")
			} else {
				r, err = s.start(b, e, id)
			}
		case 20, 30, 40, 50, 60, 70, 80, 90, 100, 110:
			if r == nil {
				err = fmt.Errorf("event for an instance that was not started")
			} else if code == 100 { // Halt
				delete(s.routers, id)
				r = nil
			} else {
				err = s.handleEvent(b, e, r)
			}
		default:
			err = fmt.Errorf("unknown event")
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d): %v", at/eventSize, e[0], err)
		}
	}
	return nil
}

func (s *server) readList(b *batch, e []byte) error {
	listNumber := be.Uint16(e[1:])
	if int(listNumber) >= len(s.lists) {
		return fmt.Errorf("invalid list number %d", listNumber)
	}
	rows, err := b.tailSlice(e[3:], entrySize)
	if err != nil {
		return err
	}
	list := s.lists[listNumber][:0]
	for ; len(rows) > 0; rows = rows[entrySize:] {
		state := admission.Gone
		switch rows[16] {
		case 0:
		case 1:
			state = admission.Draining
		case 3:
			state = admission.Ready
		default:
			return fmt.Errorf("entry with unknown status %d", rows[16])
		}
		list = append(list, admission.Entry{
			Kind: int(be.Uint16(rows)), Weight: f32(rows[2:]), ReadyAt: f64(rows[6:]) * ms,
			Cell: int(be.Uint16(rows[14:])), State: state,
			Zone: int(be.Uint16(rows[17:])), Server: be.Uint32(rows[19:]),
		})
	}
	s.lists[listNumber], s.received[listNumber] = list, true
	return nil
}

func (s *server) start(b *batch, e []byte, id uint32) (*router, error) {
	text, err := b.tailSlice(e[9:], 1)
	if err != nil {
		return nil, err
	}
	parsed, err := settings.Parse(text, be.Uint64(e[1:]))
	if err != nil {
		return nil, err
	}
	r := &router{id: id, profiles: len(parsed.Profiles), fields: parsed.LoadFields, out: &s.out}
	s.routers[id] = r
	s.out.router = id
	r.recoverPanic(func() { r.controller = admission.New(parsed.Admission, s.now, r) })
	return r, nil
}

// recoverPanic calls a function of the controller and reports a panic as a GiveIn action.
func (r *router) recoverPanic(call func()) {
	defer r.reportPanic()
	call()
}

func (r *router) reportPanic() {
	if p := recover(); p != nil {
		r.out.attach(r.out.action(90), fmt.Sprint(p))
	}
}

func (s *server) handleEvent(b *batch, e []byte, r *router) error {
	s.out.router = r.id
	if r.controller == nil {
		return nil // the controller panicked at its start
	}
	defer r.reportPanic()
	m, now := r.controller, s.now
	switch e[0] {
	case 20: // PeersKnown
		scopes := [4]admission.Scope{admission.Delta, admission.Cached, admission.Full, admission.ListUnavailable}
		if e[1] > 3 {
			return fmt.Errorf("invalid list scope %d", e[1])
		}
		var list []admission.Entry
		if e[1] != 3 {
			listNumber := be.Uint16(e[6:])
			if int(listNumber) >= len(s.lists) || !s.received[listNumber] {
				return fmt.Errorf("list %d was not received before", listNumber)
			}
			list = s.lists[listNumber]
		}
		m.UpdateServers(now, scopes[e[1]], list)
	case 30: // WorkItem
		c := admission.Request{
			ID: be.Uint32(e[1:]), Profile: int(e[5]), Tenant: int(be.Uint16(e[6:])), Key: be.Uint64(e[8:]),
			TimeLeft: f64(e[16:]) * ms, Memory: f32(e[32:]), SubjectArea: uint32(f32(e[36:])), Retry: e[40]&2 != 0,
		}
		if e[40]&1 != 0 {
			c.Cost = f64(e[24:]) * ms
		}
		if c.Profile >= r.profiles {
			return fmt.Errorf("class %d does not exist, there are %d", c.Profile, r.profiles)
		}
		if math.IsNaN(c.TimeLeft) || math.IsNaN(c.Cost) {
			return fmt.Errorf("time left or cost is not a number")
		}
		m.Request(now, c)
	case 40: // UnderWay
		m.StreamStarted(now, be.Uint32(e[1:]), int(be.Uint16(e[13:])))
	case 50: // Outcome
		o := admission.Outcome{
			ID: be.Uint32(e[1:]), Latency: f64(e[7:]) * ms, Final: e[15] != 0,
			Server: be.Uint32(e[20:]), Attempt: int(be.Uint16(e[24:])), Load: r.parseLoad(e[26:]),
		}
		var err error
		if o.End, err = parseEnd(be.Uint16(e[5:])); err != nil {
			return err
		}
		if cost := be.Uint32(e[16:]); o.End == admission.Completed && cost > 0 {
			o.Work, o.Memory = float64(cost>>12)*ms, float64(cost&0xfff)*4
		}
		m.Outcome(now, o)
	case 60: // Left
		m.ClientLeft(now, be.Uint32(e[1:]))
	case 70: // Due
		m.Woken(now, be.Uint64(e[1:]))
	case 80: // Pong
		how, err := parseEnd(be.Uint16(e[1:]))
		if err != nil {
			return err
		}
		m.Probed(now, be.Uint32(e[11:]), how, f64(e[3:])*ms, r.parseLoad(e[15:]))
	case 90: // FromPeer
		data, err := b.tailSlice(e[5:], 1)
		if err != nil {
			return err
		}
		m.PeerMessage(now, int(be.Uint32(e[1:])), data)
	case 110: // StatusNote
		m.Progress(now, admission.Progress{
			ID: be.Uint32(e[1:]), Kind: admission.ProgressKind(e[5]), Attempt: int(be.Uint16(e[6:])),
			Value: f32(e[8:]), Server: be.Uint32(e[12:]),
		})
	}
	return nil
}

func parseEnd(code uint16) (admission.End, error) {
	if code%10 != 0 || code < 10 || code > 80 {
		return 0, fmt.Errorf("unknown outcome %d", code)
	}
	return admission.End(code/10 - 1), nil
}

// parseLoad reads a load report. The result is valid until the next call.
func (r *router) parseLoad(e []byte) *admission.Load {
	n := int(e[0])
	if n == 0 || n > 4 || n > len(r.fields) {
		return nil
	}
	r.load = admission.Load{Requests: -1, Waiting: -1, Cores: -1, Memory: -1, Disks: -1}
	for i := range n {
		v := f32(e[1+4*i:])
		switch r.fields[i] {
		case "active":
			r.load.Requests = v
		case "waiting":
			r.load.Waiting = v
		case "cpu":
			r.load.Cores = v
		case "x0":
			r.load.Memory = v
		case "x1":
			r.load.Disks = v
		}
	}
	return &r.load
}

// millis encodes seconds as milliseconds, rounded to whole microseconds as in the simulator.
func millis(seconds float64) uint64 { return math.Float64bits(math.Round(seconds*1e6) / 1e3) }

// The methods of admission.Host. Each appends one action to the reply, except those that the protocol has no action for.

func (r *router) Send(id, engine uint32, limit, _ float64) { // attempts leave at once, so the latest start does not matter
	f := r.out.action(30)
	be.PutUint32(f, id)
	be.PutUint64(f[4:], millis(limit))
	be.PutUint32(f[12:], engine)
}

func (r *router) Reject(id uint32, pause float64) {
	f := r.out.action(50)
	be.PutUint32(f, id)
	be.PutUint64(f[4:], millis(pause))
}

func (r *router) Fail(id uint32) { be.PutUint32(r.out.action(140), id) }

func (r *router) Cancel(id uint32, send int) {
	f := r.out.action(100)
	be.PutUint32(f, id)
	be.PutUint16(f[4:], uint16(send))
}

func (r *router) Withdraw(uint32, int) {}

func (r *router) Probe(engine uint32) { be.PutUint32(r.out.action(70), engine) }

func (r *router) Priority(id uint32, level int, grant float64) {
	f := r.out.action(110)
	be.PutUint32(f, id)
	f[4] = byte(level)
	be.PutUint32(f[5:], math.Float32bits(float32(grant)))
}

func (r *router) Wake(after float64, token uint64) {
	f := r.out.action(60)
	be.PutUint64(f, millis(max(after, 0)))
	be.PutUint64(f[8:], token)
}

func (r *router) SendToPeer(peer int, data []byte) {
	f := r.out.action(130)
	be.PutUint16(f, uint16(peer)) // -1 sets every bit: all peers
	r.out.attach(f[2:], string(data))
}

func (r *router) Watch(on bool) {
	if f := r.out.action(80); on {
		f[0] = 1
	}
}

func (r *router) ReportEstimate(uint32, waittime.TimeKind, waittime.Estimate) {} // the protocol has no action for it
func (r *router) Log(text string)                                             { r.out.attach(r.out.action(40), text) }

package admission

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"

	"dunereach/fairshare"
	"dunereach/waittime"
)

// scriptPlayer runs a script against one controller and prints its actions. A script's lines are settings (JSON over
// the defaults below) and events, each with its time. The controller's actions follow indented below the event, or
// below "at" if one of its own timers caused them.
type scriptPlayer struct {
	t           *testing.T
	b           *Controller
	now         float64
	wakes       []wake
	out         strings.Builder
	muted       bool
	lastAttempt map[uint32]Outcome // the latest attempt of each request
	attempts    map[uint32]int
	sentAt      map[uint32]float64
	load        Load

	unsent           bool // nothing of the attempt that ends had been sent
	printWithdrawals bool // withdrawals are printed
}

type wake struct {
	at    float64
	token uint64
}

func (s *scriptPlayer) print(format string, a ...any) {
	if !s.muted {
		fmt.Fprintf(&s.out, "    "+format+"\n", a...)
	}
}

func (s *scriptPlayer) Send(id, server uint32, timeout, sendBefore float64) {
	s.lastAttempt[id] = Outcome{ID: id, Server: server, Attempt: s.attempts[id]}
	s.attempts[id]++
	s.sentAt[id] = s.now
	if s.print("send %d to %d for %.3f", id, server, timeout); sendBefore > 0 {
		s.print("which leaves before %.3f", sendBefore)
	}
}
func (s *scriptPlayer) Reject(id uint32, pause float64) { s.print("shed %d, back in %.2f", id, pause) }
func (s *scriptPlayer) Fail(id uint32)                  { s.print("fail %d", id) }
func (s *scriptPlayer) Cancel(id uint32, attempt int)   { s.print("cancel %d/%d", id, attempt) }
func (s *scriptPlayer) Withdraw(id uint32, attempt int) {
	if s.printWithdrawals {
		s.print("withdraw %d/%d", id, attempt)
	}
}
func (s *scriptPlayer) Probe(server uint32)                  { s.print("probe %d", server) }
func (s *scriptPlayer) Priority(id uint32, l int, _ float64) { s.print("priority %d of %d", l, id) }
func (s *scriptPlayer) Wake(after float64, token uint64) {
	s.wakes = append(s.wakes, wake{s.now + after, token})
}
func (s *scriptPlayer) SendToPeer(peer int, data []byte) { s.print("tell %d: %x", peer, data) }
func (s *scriptPlayer) Watch(on bool)                    { s.print("watch %v", on) }
func (s *scriptPlayer) ReportEstimate(id uint32, k waittime.TimeKind, e waittime.Estimate) {
	s.print("told %d: %s %.2f, %.2f", id, k, e.P50, e.P90)
}
func (s *scriptPlayer) Log(text string) { s.print("log %s", text) }

// runUntil fires the controller's own timers up to a time.
func (s *scriptPlayer) runUntil(t float64) {
	for len(s.wakes) > 0 {
		sort.SliceStable(s.wakes, func(i, j int) bool { return s.wakes[i].at < s.wakes[j].at })
		w := s.wakes[0]
		if w.at > t {
			break
		}
		s.wakes = s.wakes[1:]
		s.now = w.at
		before := s.out.Len()
		s.b.Woken(s.now, w.token)
		if text := s.out.String(); len(text) > before {
			s.out.Reset()
			fmt.Fprintf(&s.out, "%sat %.3f\n%s", text[:before], s.now, text[before:])
		}
	}
	s.now = t
}

// emptyFleet has received nothing from other routers.
type emptyFleet struct{}

func (emptyFleet) WarmUpShare(float64, uint32, float64) (share float64, ok bool) { return 0, false }
func (emptyFleet) QuotaShare(float64, int) (share float64, ok bool)              { return 0, false }
func (emptyFleet) NextProbe(_ float64, _ uint32, _ float64, own float64) float64 { return own }
func (emptyFleet) Probed(float64, uint32, float64, bool)                         {}

func defaults() Settings {
	return Settings{Seed: 1, Routers: 1, Tick: 0.005, KindCores: []float64{8}, MaxSends: 6,
		ColdFrom: 0.35, WarmUp: 15, FallMultiple: 2, FallWindow: 1, Profiles: []Profile{
			{Target: 0.8, Stretch: 2, Benefit: 1, Threads: 1},
			{Target: 2, Stretch: 2.5, Benefit: 10, Threads: 2}}}
}

var ends = map[string]End{"answered": Completed, "errored": Errored, "turned-away": Rejected,
	"timed-out":   TimedOut,
	"unreachable": Unreachable, "cut": ConnectionLost, "cancelled": Cancelled, "moot": Withdrawn}

// playScript runs a script without its indented lines and returns it with the controller's actions.
func playScript(t *testing.T, script string) string {
	s := &scriptPlayer{t: t, lastAttempt: map[uint32]Outcome{}, attempts: map[uint32]int{}, sentAt: map[uint32]float64{}}
	set := defaults()
	for _, line := range strings.Split(strings.TrimRight(script, "\n"), "\n") {
		if strings.HasPrefix(line, " ") || strings.HasPrefix(line, "at ") {
			continue
		}
		if text, ok := strings.CutPrefix(line, "settings "); ok {
			s.must(json.Unmarshal([]byte(text), &set), line)
		} else if text, ok := strings.CutPrefix(line, "teams "); ok { // a spec; teams are numbered in its order
			var spec fairshare.Spec
			s.must(json.Unmarshal([]byte(text), &spec), line)
			tree, err := fairshare.New(spec, 0)
			s.must(err, line)
			set.Teams, set.Ageing = tree, spec.Ageing
		} else if line == "fleet" {
			set.Fleet = emptyFleet{}
		} else if line == "withdrawals" {
			s.printWithdrawals = true
		} else if line == "waits" {
			set.Waits = waittime.New(len(set.Profiles), set.MaxPause)
		} else if line != "" && !strings.HasPrefix(line, "#") {
			var at float64
			var name string
			_, err := fmt.Sscan(line, &at, &name)
			s.must(err, line)
			if s.b == nil {
				s.now = at
				s.b = New(set, at, s)
			}
			s.runUntil(at)
			fmt.Fprintln(&s.out, line)
			s.event(name, strings.Fields(line)[2:], line)
			continue
		}
		fmt.Fprintln(&s.out, line)
	}
	return s.out.String()
}

func (s *scriptPlayer) must(err error, line string) {
	if err != nil {
		s.t.Fatalf("script line %q: %v", line, err)
	}
}

// event runs one line. Its arguments are the fields in the order given below.
func (s *scriptPlayer) event(name string, args []string, line string) {
	num := func(k int) float64 {
		v := 0.0
		if k < len(args) {
			_, err := fmt.Sscan(args[k], &v)
			s.must(err, line)
		}
		return v
	}
	switch name {
	case "list", "delta": // entries as JSON
		scope, list := Full, []Entry{}
		if name == "delta" {
			scope = Delta
		}
		s.must(json.Unmarshal([]byte(strings.SplitN(line, name+" ", 2)[1]), &list), line)
		s.b.UpdateServers(s.now, scope, list)
	case "no-list":
		s.b.UpdateServers(s.now, ListUnavailable, nil)
	case "command": // id profile time-left cost [key [tenant [team [mark]]]]
		s.b.Request(s.now, Request{ID: uint32(num(0)), Profile: int(num(1)), TimeLeft: num(2), Cost: num(3),
			Key: uint64(num(4)), Tenant: int(num(5)), Team: int(num(6)), RequestKey: uint64(num(7))})
	case "crowd": // first-id count profile time-left cost [team]: that many requests at once
		for k := range int(num(1)) {
			s.b.Request(s.now, Request{ID: uint32(num(0)) + uint32(k), Profile: int(num(2)), TimeLeft: num(3),
				Cost: num(4), Team: int(num(5))})
		}
	case "spills": // id MB
		o := s.lastAttempt[uint32(num(0))]
		s.b.Progress(s.now, Progress{ID: o.ID, Server: o.Server, Attempt: o.Attempt, Kind: Spilling, Value: num(1)})
	case "warm": // count profile cost lag: requests answered one after another, not printed
		s.muted = true
		for k := range int(num(0)) {
			id := uint32(1e6 + s.now*1000 + float64(k))
			s.b.Request(s.now, Request{ID: id, Profile: int(num(1)), TimeLeft: 100, Cost: num(2)})
			s.end(id, Completed, num(3), num(2))
		}
		s.muted = false
	case "left":
		s.b.ClientLeft(s.now, uint32(num(0)))
	case "half-closed":
		s.b.HalfClosed(s.now, uint32(num(0)))
	case "unsent": // an attempt timed out before any of it was sent
		s.unsent = true
		s.end(uint32(num(0)), TimedOut, math.Round((s.now-s.sentAt[uint32(num(0))])*1e6)/1e6, 0)
		s.unsent = false
	case "note": // id share-done
		o := s.lastAttempt[uint32(num(0))]
		s.b.Progress(s.now, Progress{ID: o.ID, Server: o.Server, Attempt: o.Attempt, Kind: ShareDone, Value: num(1)})
	case "peer": // from, then its message in hex
		var data []byte
		_, err := fmt.Sscanf(args[1], "%x", &data)
		s.must(err, line)
		s.b.PeerMessage(s.now, int(num(0)), data)
	case "probed": // server requests-held
		s.load = Load{Requests: num(1)}
		s.b.Probed(s.now, uint32(num(0)), Completed, 0.001, &s.load)
	case "pass": // time passes without an event
	default: // an end: id [measured work]; of the latest attempt
		end, ok := ends[name]
		if !ok {
			s.t.Fatalf("script line %q: unknown event", line)
		}
		id := uint32(num(0))
		s.end(id, end, math.Round((s.now-s.sentAt[id])*1e6)/1e6, num(1))
	}
}

func (s *scriptPlayer) end(id uint32, end End, lag, work float64) {
	o, ok := s.lastAttempt[id]
	if !ok {
		s.t.Fatalf("request %d was not sent", id)
	}
	o.End, o.Latency, o.Work, o.Final = end, lag, work, end == Completed
	o.Unsent = s.unsent
	s.b.Outcome(s.now, o)
}

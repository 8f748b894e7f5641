// Package discovery turns what the name server tells into the module's list of engines. It knows no socket.
package discovery

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"dunereach/admission"
	"dunereach/internal/dns"
)

// Record is the name that lists all engines.
const Record = "_data._tcp.farm.lan"

// Notice is an event of the list, as the configuration has those of the start.
type Notice struct {
	Rev  uint32 `json:"rev"`
	Pool *struct {
		All     bool     `json:"all"`
		Targets []Target `json:"targets"`
	} `json:"pool"`
}

// Target is one engine in a notice.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	BootMs   float64 `json:"boot_ms"`
}

var (
	errNotAsked = errors.New("an answer to no question of ours")
	errOlder    = errors.New("an older list")
)

// Known is all that was told before the start.
type Known struct {
	Rev     uint32   `json:"rev"`
	Notices []Notice `json:"notices"`
}

// Follower holds the list as last told.
type Follower struct {
	zones, kinds []string
	rev          uint32
	partial      bool // an engine of the list of that number is not known yet
	numbers      map[string]uint32
	names        map[uint32]string
	addrs        map[uint32]netip.AddrPort
	list         []admission.Entry
	asked        [64]uint16 // ids of the last questions, ten a second: answers count for as long as news may be on its way
	next         int
}

// New makes a follower that knows no list yet; zones and kinds are the settings' names in their order.
func New(zones, kinds []string) *Follower {
	return &Follower{zones: zones, kinds: kinds, numbers: map[string]uint32{}, names: map[uint32]string{},
		addrs: map[uint32]netip.AddrPort{}}
}

// Start takes in what the configuration holds, in order: the events that are news, or none where one can't be read.
func (f *Follower) Start(k Known) (fresh bool, err error) {
	was, list, addrs := f.rev, slices.Clone(f.list), maps.Clone(f.addrs)
	listed := make(map[uint32]struct{}, len(f.list)) // the engines of f.list
	for _, e := range f.list {
		listed[e.Engine] = struct{}{}
	}
	for n, event := range k.Notices {
		if event.Rev <= was && was > 0 {
			continue
		}
		f.rev = max(f.rev, event.Rev)
		if event.Pool == nil {
			continue
		}
		if event.Pool.All {
			f.list = f.list[:0]
			clear(listed)
		}
		for _, t := range event.Pool.Targets {
			if err := f.target(t, listed); err != nil {
				f.rev, f.list, f.addrs = was, list, addrs
				return false, fmt.Errorf("known: notice %d: %v", n, err)
			}
		}
	}
	f.rev = max(f.rev, k.Rev)
	return f.rev > was, nil
}

var states = map[string]admission.State{"ready": admission.Ready, "draining": admission.Draining, "gone": admission.Gone}

// target takes in one engine of a notice. Listed are the engines of the list, kept beside it so that a list of thousands is not
// searched for each.
func (f *Follower) target(t Target, listed map[uint32]struct{}) error {
	state, ok := states[t.State]
	if !ok {
		return fmt.Errorf("engine %s has state %q", t.UID, t.State)
	}
	e := admission.Entry{Engine: f.number(t.UID), Kind: index(f.kinds, t.Kind), Zone: index(f.zones, t.Zone),
		Cell: t.Cell, Weight: t.Weight, ReadyAt: t.BootMs / 1000, State: state}
	if _, ok := listed[e.Engine]; ok {
		f.list = slices.DeleteFunc(f.list, func(o admission.Entry) bool { return o.Engine == e.Engine })
		delete(listed, e.Engine)
	}
	if state == admission.Gone {
		return nil
	}
	addr, err := netip.ParseAddrPort(t.Endpoint)
	if err != nil || e.Kind < 0 || e.Zone < 0 {
		return fmt.Errorf("engine %s: endpoint %q, kind %q, zone %q", t.UID, t.Endpoint, t.Kind, t.Zone)
	}
	f.addrs[e.Engine] = addr
	f.list = append(f.list, e)
	listed[e.Engine] = struct{}{}
	return nil
}

func index(names []string, name string) int {
	return slices.IndexFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
}

// number gives an engine the same number at every router, since routers share a cold engine out by it.
func (f *Follower) number(uid string) uint32 {
	uid = strings.ToLower(uid) // as names in DNS are compared
	if n, ok := f.numbers[uid]; ok {
		return n
	}
	h := fnv.New32a()
	h.Write([]byte(uid))
	n := h.Sum32()
	for f.names[n] != "" || n == 0 { // another has it: rare, and all routers that know both agree
		n++
	}
	f.numbers[uid], f.names[n] = n, uid
	return n
}

// Name is the id of an engine as the list has it.
func (f *Follower) Name(engine uint32) string { return f.names[engine] }

// Addr is where an engine listens.
func (f *Follower) Addr(engine uint32) netip.AddrPort { return f.addrs[engine] }

// List is all engines that are ready or drain.
func (f *Follower) List() []admission.Entry { return f.list }

// Ready is how many engines are ready.
func (f *Follower) Ready() (n int) {
	for _, e := range f.list {
		if e.State == admission.Ready {
			n++
		}
	}
	return n
}

// Rev is the number of the last event taken in.
func (f *Follower) Rev() uint32 { return f.rev }

// Question asks for the list. The id is by chance, since who guesses it could answer in the server's place.
func (f *Follower) Question(b []byte) []byte {
	var id [2]byte
	rand.Read(id[:])
	f.asked[f.next%len(f.asked)] = binary.BigEndian.Uint16(id[:])
	f.next++
	return dns.Query(b, binary.BigEndian.Uint16(id[:]), Record)
}

// Answer takes in what the name server sends; fresh is false where the list in hand is as new. A list is news even
// where single engines in it can't be used, or the drains beside them would go unheard: those are left out, and the
// error tells of the last. An engine whose own records are missing beside its place in the list is not gone: it stays
// as it was known, and one that was not known has the list asked for again.
func (f *Follower) Answer(msg []byte) (fresh bool, err error) {
	l, err := dns.Parse(msg, Record)
	if err != nil {
		return false, err
	}
	if k := slices.Index(f.asked[:min(f.next, len(f.asked))], l.ID); k < 0 {
		return false, errNotAsked
	}
	if l.Serial < f.rev { // events are counted from 1 at each start: the number never wraps
		return false, errOlder
	} else if l.Serial == f.rev && !f.partial {
		return false, nil
	}
	var odd error
	partial := false
	list := make([]admission.Entry, 0, len(l.Services))
	addrs := make(map[uint32]netip.AddrPort, len(l.Services))
	for _, s := range l.Services {
		uid, rest, _ := strings.Cut(s.Name, ".")
		zone, _, _ := strings.Cut(rest, ".")
		e := admission.Entry{Zone: index(f.zones, zone), Kind: -1, Weight: float64(s.Weight) / 10, State: admission.Ready}
		if s.Priority > 0 {
			e.State = admission.Draining
		}
		if !s.Addr.IsValid() || len(s.Text) == 0 {
			odd = fmt.Errorf("engine %s: records are missing", uid)
			n := f.numbers[uid] // 0, which no engine has, for one never heard of
			if k := slices.IndexFunc(f.list, func(o admission.Entry) bool { return o.Engine == n }); k >= 0 {
				was := f.list[k]
				was.State, addrs[n] = e.State, f.addrs[n]
				list = append(list, was)
			} else {
				partial = true
			}
			continue
		}
		for _, t := range s.Text {
			key, value, _ := strings.Cut(t, "=")
			switch key {
			case "kind":
				e.Kind = index(f.kinds, value)
			case "cell":
				e.Cell, err = strconv.Atoi(value)
			case "started":
				e.ReadyAt, err = strconv.ParseFloat(value, 64)
				e.ReadyAt /= 1000
			}
			if err != nil {
				break
			}
		}
		if err != nil || uid == "" || e.Zone < 0 || e.Kind < 0 {
			odd = fmt.Errorf("engine %s left out: zone %q, text %q, address %v", uid, zone, s.Text, s.Addr)
			err = nil
			continue
		}
		e.Engine = f.number(uid)
		addrs[e.Engine] = netip.AddrPortFrom(s.Addr, s.Port)
		list = append(list, e)
	}
	const most = 1000 // names: sends and log lines outlive an engine's place in the list, but not by so many engines
	for uid, n := range f.numbers {
		if len(f.numbers) > most && !slices.ContainsFunc(list, func(e admission.Entry) bool { return e.Engine == n }) {
			delete(f.numbers, uid)
			delete(f.names, n)
		}
	}
	f.rev, f.partial, f.list, f.addrs = l.Serial, partial, list, addrs
	return true, odd
}

package discovery

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"dunereach/admission"
	"dunereach/internal/dns"
)

// HandleAnswer processes an answer of the name server. changed means that the usable list has changed. An error reports
// a problem, but the answer may have been applied nevertheless: servers with invalid records are left out, as
// rejecting the whole list would ignore the drains in it, and the error names the last of them. A server that is
// listed without its own records is not gone: it stays as it was known.
func (f *Follower) HandleAnswer(msg []byte) (changed bool, err error) {
	parsed, err := dns.Parse(msg, ServiceName)
	if err != nil {
		return false, UnreadableAnswer{err}
	}
	query := f.queryNumber(parsed.ID)
	if query == 0 {
		return false, UnreadableAnswer{errUnexpectedID}
	}
	if bytes.Equal(msg[idSize:], f.lastAgreed) {
		return f.agreed(query), f.lastProblem
	}
	list, problem := f.buildList(parsed)
	changed, err = f.update(list, query)
	if list.equal(f.current) {
		f.lastAgreed, f.lastProblem = append(f.lastAgreed[:0], msg[idSize:]...), problem
	}
	f.forgetNames()
	if err == nil {
		err = problem
	}
	return changed, err
}

// UnreadableAnswer is the error of an answer that can't be parsed or answers no query of this router. Any other error
// comes with an answer that was read.
type UnreadableAnswer struct{ error }

// idSize is the size of the ID at the start of a message.
const idSize = 2

// buildList converts the records of an answer to a list. The error describes the last server that can't be used.
func (f *Follower) buildList(parsed dns.List) (list *snapshot, problem error) {
	list = newSnapshot(parsed.Serial, len(parsed.Services))
	for _, s := range parsed.Services {
		uid, rest, _ := strings.Cut(s.Name, ".")
		state := admission.Ready
		if s.Priority > 0 {
			state = admission.Draining
		}
		if !s.Addr.IsValid() || len(s.Texts) == 0 {
			problem = fmt.Errorf("server %s: address or text record is missing", uid)
			e, addr, ok := f.current.find(f.serverNumbers[uid]) // an unknown name gives 0, which no server has
			if !ok {
				list.incomplete = true
				continue
			}
			e.State = state
			list.add(e, addr)
			continue
		}
		zone, _, _ := strings.Cut(rest, ".")
		e := admission.Entry{Zone: indexFold(f.zones, zone), Kind: -1, Weight: float64(s.Weight) / 10, State: state}
		if err := f.parseTexts(&e, s.Texts); err != nil || uid == "" || e.Zone < 0 || e.Kind < 0 {
			problem = fmt.Errorf("server %s left out: zone %q, text %q, address %v", uid, zone, s.Texts, s.Addr)
			continue
		}
		e.Server = f.number(uid)
		list.add(e, netip.AddrPortFrom(s.Addr, s.Port))
	}
	return list, problem
}

// parseTexts parses the text records of a server.
func (f *Follower) parseTexts(e *admission.Entry, texts []string) (err error) {
	for _, t := range texts {
		key, value, _ := strings.Cut(t, "=")
		switch key {
		case "kind":
			e.Kind = indexFold(f.kinds, value)
		case "cell":
			e.Cell, err = strconv.Atoi(value)
		case "started":
			e.ReadyAt, err = strconv.ParseFloat(value, 64)
			e.ReadyAt /= 1000
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// maxNames limits the server names that are kept. Attempts and log lines outlive a server's entry in the list, but
// not by so many servers.
const maxNames = 1000

// forgetNames drops the names of servers that are in no current list, if there are more than maxNames.
func (f *Follower) forgetNames() {
	for uid, n := range f.serverNumbers {
		if len(f.serverNumbers) <= maxNames {
			return
		}
		if !f.current.has(n) && !f.usable.has(n) {
			delete(f.serverNumbers, uid)
			delete(f.serverNames, n)
			delete(f.drains, n)
		}
	}
}

package discovery

import (
	"bytes"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"dunereach/admission"
	"dunereach/internal/dns"
)

// Answer takes in what the name server sends. Fresh: what may be used has changed. An error tells what is odd, and does not mean that
// nothing was taken in: servers that can't be used are left out, or the drains beside them would go unheard, and the error tells of the
// last. A server whose own records are missing beside its place in the list is not gone: it stays as it was known.
func (f *Follower) Answer(msg []byte) (fresh bool, err error) {
	told, err := dns.Parse(msg, Record)
	if err != nil {
		return false, Unread{err}
	}
	if !slices.Contains(f.asked[:min(f.next, len(f.asked))], told.ID) {
		return false, Unread{errNotAsked}
	}
	if bytes.Equal(msg[idSize:], f.lastAgreed) {
		return f.agree(), f.lastOdd
	}
	list, odd := f.read(told)
	fresh, err = f.weigh(list)
	if list.agrees(f.held) {
		f.lastAgreed, f.lastOdd = append(f.lastAgreed[:0], msg[idSize:]...), odd
	}
	f.forget()
	if err == nil {
		err = odd
	}
	return fresh, err
}

// Unread is the error of an answer that is none, or none to a question of ours. Any other error comes with an answer that was read.
type Unread struct{ error }

// idSize is the size of the id at the front of a message.
const idSize = 2

// read turns the records of an answer into a list. The error tells of the last server that can't be used.
func (f *Follower) read(told dns.List) (list *snapshot, odd error) {
	list = newSnapshot(told.Serial, len(told.Services))
	for _, s := range told.Services {
		uid, rest, _ := strings.Cut(s.Name, ".")
		state := admission.Ready
		if s.Priority > 0 {
			state = admission.Draining
		}
		if !s.Addr.IsValid() || len(s.Text) == 0 {
			odd = fmt.Errorf("engine %s: records are missing", uid)
			e, addr, ok := f.held.find(f.numbers[uid]) // 0, which no server has, for one never heard of
			if !ok {
				list.partial = true
				continue
			}
			e.State = state
			list.add(e, addr)
			continue
		}
		zone, _, _ := strings.Cut(rest, ".")
		e := admission.Entry{Zone: index(f.zones, zone), Kind: -1, Weight: float64(s.Weight) / 10, State: state}
		if err := f.describe(&e, s.Text); err != nil || uid == "" || e.Zone < 0 || e.Kind < 0 {
			odd = fmt.Errorf("engine %s left out: zone %q, text %q, address %v", uid, zone, s.Text, s.Addr)
			continue
		}
		e.Engine = f.number(uid)
		list.add(e, netip.AddrPortFrom(s.Addr, s.Port))
	}
	return list, odd
}

// describe reads the texts of a server.
func (f *Follower) describe(e *admission.Entry, texts []string) (err error) {
	for _, t := range texts {
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
			return err
		}
	}
	return nil
}

// mostNames bounds the names that are kept: sends and log lines outlive a server's place in the list, but not by so many servers.
const mostNames = 1000

// forget drops names of servers that no list in use has, past the bound.
func (f *Follower) forget() {
	for uid, n := range f.numbers {
		if len(f.numbers) <= mostNames {
			return
		}
		if !f.held.has(n) && !f.used.has(n) {
			delete(f.numbers, uid)
			delete(f.names, n)
			delete(f.drains, n)
		}
	}
}

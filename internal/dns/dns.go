// Package dns asks for the records that list the engines and reads the answer (RFC 1035, SRV of RFC 2782).
// It knows no socket.
package dns

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"strings"
)

var be = binary.BigEndian

const (
	typeA   = 1
	typeSOA = 6
	typeTXT = 16
	typeSRV = 33
	classIN = 1
)

// Service is one engine: its SRV record with what stands beside it.
type Service struct {
	Name             string // target, lower case, without the last dot
	Priority, Weight uint16
	Port             uint16
	Addr             netip.Addr // not valid: no A record came
	Text             []string
}

// List is an answer.
type List struct {
	ID       uint16
	Serial   uint32
	Services []Service
}

// Query is a question for the SRV records of a name.
func Query(b []byte, id uint16, name string) []byte {
	b = be.AppendUint16(b, id)
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, typeSRV, 0, classIN)
}

var (
	errShort  = errors.New("message ends early")
	errName   = errors.New("name can't be read")
	errAnswer = errors.New("no answer to such a question")
	errCode   = errors.New("the server answers with an error")
	errCut    = errors.New("truncated")
	errSerial = errors.New("no serial")
)

// Parse reads a whole answer to a Query for a name. Whether its ID was asked is the caller's to know.
func Parse(msg []byte, name string) (list List, err error) {
	if len(msg) < 12 {
		return list, errShort
	}
	flags := be.Uint16(msg[2:])
	list.ID = be.Uint16(msg)
	switch {
	case flags&0x8000 == 0 || be.Uint16(msg[4:]) != 1:
		return list, errAnswer
	case flags&0x0200 != 0:
		return list, errCut
	case flags&0x000f != 0:
		return list, errCode
	}
	asked, at, err := readName(msg, 12)
	if err != nil {
		return list, err
	}
	if asked != name || len(msg) < at+4 || be.Uint16(msg[at:]) != typeSRV || be.Uint16(msg[at+2:]) != classIN {
		return list, errAnswer
	}
	at += 4
	addrs, texts, serial := map[string]netip.Addr{}, map[string][]string{}, false
	records := int(be.Uint16(msg[6:])) + int(be.Uint16(msg[8:])) + int(be.Uint16(msg[10:]))
	for range records {
		var owner string
		if owner, at, err = readName(msg, at); err != nil {
			return list, err
		}
		if len(msg) < at+10 {
			return list, errShort
		}
		kind, class, size := be.Uint16(msg[at:]), be.Uint16(msg[at+2:]), int(be.Uint16(msg[at+8:]))
		at += 10
		if len(msg) < at+size {
			return list, errShort
		}
		data, end := msg[at:at+size], at+size
		switch {
		case class != classIN:
		case kind == typeSRV && owner == name:
			if size < 7 {
				return list, errShort
			}
			s := Service{Priority: be.Uint16(data), Weight: be.Uint16(data[2:]), Port: be.Uint16(data[4:])}
			var after int
			if s.Name, after, err = readName(msg, at+6); err != nil {
				return list, err
			}
			if after != end {
				return list, errName
			}
			list.Services = append(list.Services, s)
		case kind == typeA && size == 4:
			addrs[owner] = netip.AddrFrom4([4]byte(data))
		case kind == typeTXT:
			for t := data; len(t) > 0; t = t[1+int(t[0]):] {
				if len(t) < 1+int(t[0]) {
					return list, errShort
				}
				texts[owner] = append(texts[owner], string(t[1:1+int(t[0])]))
			}
		case kind == typeSOA:
			_, after, err := readName(msg, at)
			if err == nil {
				_, after, err = readName(msg, after)
			}
			if err != nil {
				return list, err
			}
			if after+20 != end {
				return list, errShort
			}
			list.Serial, serial = be.Uint32(msg[after:]), true
		}
		at = end
	}
	if !serial {
		return list, errSerial
	}
	for k := range list.Services {
		s := &list.Services[k]
		s.Addr, s.Text = addrs[s.Name], texts[s.Name]
	}
	return list, nil
}

// readName reads a name, compressed or not, and gives where it ends. Each pointer must lead further back than
// the last, so none can lead in a circle.
func readName(msg []byte, at int) (name string, end int, err error) {
	var b [255]byte
	n, lowest := 0, at
	for end = -1; ; {
		if at >= len(msg) {
			return "", 0, errShort
		}
		size := int(msg[at])
		switch {
		case size == 0:
			if end < 0 {
				end = at + 1
			}
			return string(b[:max(n-1, 0)]), end, nil
		case size < 0x40:
			if at+1+size > len(msg) {
				return "", 0, errShort
			}
			if n+size+1 > len(b)-1 {
				return "", 0, errName
			}
			for _, c := range msg[at+1 : at+1+size] {
				if c >= 'A' && c <= 'Z' {
					c += 'a' - 'A'
				}
				b[n] = c
				n++
			}
			b[n] = '.'
			n++
			at += 1 + size
		case size >= 0xc0:
			if at+2 > len(msg) {
				return "", 0, errShort
			}
			if end < 0 {
				end = at + 2
			}
			to := int(be.Uint16(msg[at:]) & 0x3fff)
			if to >= lowest {
				return "", 0, errName
			}
			at, lowest = to, to
		default:
			return "", 0, errName
		}
	}
}

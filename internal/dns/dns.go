// Package dns writes the DNS query for the records that list the database servers and parses the response (RFC 1035; SRV records, RFC
// 2782). It does no I/O.
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

// Service is one server: its SRV record with the A and TXT records of its target.
type Service struct {
	Name             string // the target in lower case, without the trailing dot
	Priority, Weight uint16
	Port             uint16
	Addr             netip.Addr // the zero Addr if there was no A record
	Texts            []string
}

// List is a parsed response.
type List struct {
	ID       uint16
	Serial   uint32
	Services []Service
}

// AppendQuery appends a query for the SRV records of a name.
func AppendQuery(b []byte, id uint16, name string) []byte {
	b = be.AppendUint16(b, id)
	b = append(b, 1, 0, 0, 1, 0, 0, 0, 0, 0, 0) // recursion desired, one question
	for label := range strings.SplitSeq(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0, 0, typeSRV, 0, classIN)
}

var (
	errShort        = errors.New("message ends early")
	errName         = errors.New("name can't be read")
	errNoMatch      = errors.New("response does not match the query")
	errResponseCode = errors.New("name server returned an error code")
	errTruncated    = errors.New("truncated")
	errSerial       = errors.New("response has no SOA record")
)

// headerSize is the length of a message's header, recordHeaderSize that of the fixed fields after a record's owner name (RFC 1035,
// section 4.1).
const (
	headerSize       = 12
	recordHeaderSize = 10
)

// Bits of the flags in a header.
const (
	flagResponse     = 0x8000
	flagTruncated    = 0x0200
	maskResponseCode = 0x000f
)

// Parse reads a complete response to a query for the SRV records of a name. It does not check the response's ID. If it returns an error,
// the list holds the records read before.
func Parse(msg []byte, name string) (list List, err error) {
	p := parser{msg: msg, name: name, addrs: map[string]netip.Addr{}, texts: map[string][]string{}}
	if err := p.question(); err != nil {
		return p.list, err
	}
	records := int(be.Uint16(msg[6:])) + int(be.Uint16(msg[8:])) + int(be.Uint16(msg[10:]))
	for range records {
		if err := p.record(); err != nil {
			return p.list, err
		}
	}
	if !p.hasSerial {
		return p.list, errSerial
	}
	for k := range p.list.Services {
		s := &p.list.Services[k]
		s.Addr, s.Texts = p.addrs[s.Name], p.texts[s.Name]
	}
	return p.list, nil
}

// parser holds the state while one message is read.
type parser struct {
	msg       []byte
	name      string // the name of the query
	at        int    // offset of the next record
	list      List
	hasSerial bool                  // an SOA record was read
	addrs     map[string]netip.Addr // by owner name, like texts
	texts     map[string][]string
}

// question reads the header and the question, which must be the one of the query.
func (p *parser) question() error {
	if len(p.msg) < headerSize {
		return errShort
	}
	flags := be.Uint16(p.msg[2:])
	p.list.ID = be.Uint16(p.msg)
	switch {
	case flags&flagResponse == 0 || be.Uint16(p.msg[4:]) != 1:
		return errNoMatch
	case flags&flagTruncated != 0:
		return errTruncated
	case flags&maskResponseCode != 0:
		return errResponseCode
	}
	questionName, at, err := readName(p.msg, headerSize)
	if err != nil {
		return err
	}
	if questionName != p.name || len(p.msg) < at+4 || be.Uint16(p.msg[at:]) != typeSRV || be.Uint16(p.msg[at+2:]) != classIN {
		return errNoMatch
	}
	p.at = at + 4
	return nil
}

// record reads the next record. Records of other classes and types are skipped.
func (p *parser) record() error {
	owner, at, err := readName(p.msg, p.at)
	if err != nil {
		return err
	}
	if len(p.msg) < at+recordHeaderSize {
		return errShort
	}
	kind, class, size := be.Uint16(p.msg[at:]), be.Uint16(p.msg[at+2:]), int(be.Uint16(p.msg[at+8:]))
	at += recordHeaderSize
	if len(p.msg) < at+size {
		return errShort
	}
	data := p.msg[at : at+size]
	p.at = at + size
	switch {
	case class != classIN:
	case kind == typeSRV && owner == p.name:
		return p.service(at, data)
	case kind == typeA && size == 4:
		p.addrs[owner] = netip.AddrFrom4([4]byte(data))
	case kind == typeTXT:
		return p.text(owner, data)
	case kind == typeSOA:
		return p.soa(at)
	}
	return nil
}

// service reads the data of an SRV record, which begins at offset at.
func (p *parser) service(at int, data []byte) error {
	if len(data) < 7 {
		return errShort
	}
	target, after, err := readName(p.msg, at+6)
	if err != nil {
		return err
	}
	if after != p.at {
		return errName
	}
	s := Service{Name: target, Priority: be.Uint16(data), Weight: be.Uint16(data[2:]), Port: be.Uint16(data[4:])}
	p.list.Services = append(p.list.Services, s)
	return nil
}

// text reads the strings of a TXT record.
func (p *parser) text(owner string, data []byte) error {
	for len(data) > 0 {
		end := 1 + int(data[0])
		if len(data) < end {
			return errShort
		}
		p.texts[owner] = append(p.texts[owner], string(data[1:end]))
		data = data[end:]
	}
	return nil
}

// soa reads the serial of an SOA record, which follows two names.
func (p *parser) soa(at int) error {
	_, after, err := readName(p.msg, at)
	if err == nil {
		_, after, err = readName(p.msg, after)
	}
	if err != nil {
		return err
	}
	if after+20 != p.at {
		return errShort
	}
	p.list.Serial, p.hasSerial = be.Uint32(p.msg[after:]), true
	return nil
}

// readName reads a name, compressed or not, and returns the offset after it. Each compression pointer must point further back than the
// previous one, so that pointers can't form a loop.
func readName(msg []byte, at int) (name string, end int, err error) {
	var b [255]byte
	n, pointerLimit := 0, at
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
			if to >= pointerLimit {
				return "", 0, errName
			}
			at, pointerLimit = to, to
		default:
			return "", 0, errName
		}
	}
}

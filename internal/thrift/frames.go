// Package thrift reads and writes the framed transport and strict binary protocol of Apache Thrift: a splitter of streams into
// frames, a reader of one frame, and functions that append values. It does no I/O and is independent of any service.
package thrift

import (
	"encoding/binary"
	"fmt"
)

// MaxFrame is the longest frame that is accepted, in bytes: a statement and some fields are far shorter.
const MaxFrame = 128 << 10

var be = binary.BigEndian

// FrameSplitter splits a stream of bytes into frames. It buffers only the bytes of an incomplete frame.
type FrameSplitter struct {
	buffered []byte
	missing  int // bytes of a discarded frame that are yet to come; 0: no frame is being discarded
}

// maxKeptBuffer is the largest buffer, in bytes, that is kept while no frame is incomplete. There are hundreds of connections, and messages come
// in one piece mostly.
const maxKeptBuffer = 1 << 10

// lengthSize is the size of a frame's length field, in bytes.
const lengthSize = 4

// Feed adds bytes and calls each with every frame that is complete. It returns an error if a frame is too long. A frame is valid only
// during the call. Of a discarded frame only its beginning is passed on.
func (f *FrameSplitter) Feed(b []byte, each func(frame []byte) error) error {
	if f.missing > 0 {
		skipped := min(f.missing, len(b))
		f.missing -= skipped
		if f.missing > 0 {
			return nil
		}
		beginning := f.buffered[lengthSize:]
		f.buffered = nil
		if err := each(beginning); err != nil {
			return err
		}
		b = b[skipped:]
	}
	if len(f.buffered) > 0 {
		f.buffered = append(f.buffered, b...)
		b = f.buffered
	}
	for len(b) >= lengthSize {
		n := be.Uint32(b)
		if n > MaxFrame {
			return fmt.Errorf("frame of %d bytes", n)
		}
		if len(b) < lengthSize+int(n) {
			break
		}
		if err := each(b[lengthSize : lengthSize+n]); err != nil {
			return err
		}
		b = b[lengthSize+n:]
	}
	if f.buffered = append(f.buffered[:0], b...); len(f.buffered) == 0 && cap(f.buffered) > maxKeptBuffer {
		f.buffered = nil
	}
	return nil
}

// Buffered returns the number of buffered bytes.
func (f *FrameSplitter) Buffered() int { return len(f.buffered) }

// KeptOfDiscarded is how many bytes are kept of a discarded frame, its length included: enough for the header of every message that a
// service defines.
const KeptOfDiscarded = 64

// Discardable reports whether discarding the incomplete frame would free memory.
func (f *FrameSplitter) Discardable() bool {
	return f.missing == 0 && len(f.buffered) > KeptOfDiscarded
}

// DiscardIncomplete frees the memory of the incomplete frame but for its beginning. The rest of the frame is skipped when it arrives. The
// frame must be Discardable.
func (f *FrameSplitter) DiscardIncomplete() {
	f.missing = lengthSize + int(be.Uint32(f.buffered)) - len(f.buffered)
	f.buffered = append([]byte(nil), f.buffered[:KeptOfDiscarded]...)
}

// Type is the type of a value on the wire.
type Type byte

// The types of the binary protocol with their protocol numbers. Stop ends the fields of a struct.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
	UUID   Type = 16
)

// Kind is the kind of a message.
type Kind byte

// The kinds of messages with their protocol numbers.
const (
	Call      Kind = 1
	Reply     Kind = 2
	Exception Kind = 3
	Oneway    Kind = 4
)

const versionStrict = 0x80010000

// Reader reads values from a frame. After the first value that can't be read, Failed is set and all values are zero.
type Reader struct {
	b      []byte
	Failed bool
}

// NewReader returns a reader of one frame; the frame comes without its length field.
func NewReader(frame []byte) Reader { return Reader{b: frame} }

func (r *Reader) fail() { r.Failed, r.b = true, nil }

func (r *Reader) next(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.fail()
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

// U8 reads a byte.
func (r *Reader) U8() byte {
	if v := r.next(1); v != nil {
		return v[0]
	}
	return 0
}

// U16 reads an unsigned 16-bit integer, the form of field ids.
func (r *Reader) U16() uint16 {
	if v := r.next(2); v != nil {
		return be.Uint16(v)
	}
	return 0
}

// I32 reads a signed 32-bit integer.
func (r *Reader) I32() int32 {
	if v := r.next(4); v != nil {
		return int32(be.Uint32(v))
	}
	return 0
}

// Bytes reads a string or binary value. The result shares the memory of the frame.
func (r *Reader) Bytes() []byte { return r.next(int(r.I32())) }

// MessageHeader reads the header of a message.
func (r *Reader) MessageHeader() (kind Kind, name []byte, seq int32) {
	v := uint32(r.I32())
	if v&0xffff0000 != versionStrict {
		r.fail()
		return
	}
	return Kind(v), r.Bytes(), r.I32()
}

// FieldHeader reads the header of a field. It returns Stop at the end of a struct and after a failure.
func (r *Reader) FieldHeader() (Type, uint16) {
	t := Type(r.U8())
	if t == Stop {
		return Stop, 0
	}
	return t, r.U16()
}

// MapHeader reads the header of a map.
func (r *Reader) MapHeader() (key, value Type, n int32) {
	key, value, n = Type(r.U8()), Type(r.U8()), r.I32()
	if n < 0 || int(n) > len(r.b) { // a false count: each pair takes more than one byte
		r.fail()
		n = 0
	}
	return
}

// Skip skips a value of a type.
func (r *Reader) Skip(t Type) { r.skip(t, 0) }

func (r *Reader) skip(t Type, depth int) {
	const maxDepth = 32 // no sender nests this many levels; the limit keeps a frame's content from growing the stack
	if depth > maxDepth {
		r.fail()
		return
	}
	switch t {
	case Bool, Byte:
		r.next(1)
	case I16:
		r.next(2)
	case I32:
		r.next(4)
	case Double, I64:
		r.next(8)
	case UUID:
		r.next(16)
	case String:
		r.Bytes()
	case Struct:
		for {
			t, _ := r.FieldHeader()
			if t == Stop {
				return
			}
			r.skip(t, depth+1)
		}
	case Map:
		for k, v, n := r.MapHeader(); n > 0 && !r.Failed; n-- {
			r.skip(k, depth+1)
			r.skip(v, depth+1)
		}
	case Set, List:
		t := Type(r.U8())
		for n := r.I32(); n > 0 && !r.Failed; n-- {
			r.skip(t, depth+1)
		}
	default:
		r.fail()
	}
}

// BeginMessage starts the frame of a message and replaces the content of b. The other functions append to the frame, and EndMessage ends
// it.
func BeginMessage(b []byte, kind Kind, name string, seq int32) []byte {
	b = append(b[:0], 0, 0, 0, 0)
	b = be.AppendUint32(b, versionStrict|uint32(kind))
	b = AppendBytes(b, name)
	return be.AppendUint32(b, uint32(seq))
}

// EndMessage ends the struct of a message and sets the length of its frame.
func EndMessage(b []byte) []byte {
	b = append(b, byte(Stop))
	be.PutUint32(b, uint32(len(b)-4))
	return b
}

// AppendField appends the header of a field: its type and id.
func AppendField(b []byte, t Type, id uint16) []byte { return be.AppendUint16(append(b, byte(t)), id) }

// AppendBytes appends a string with its length.
func AppendBytes(b []byte, s string) []byte {
	return append(be.AppendUint32(b, uint32(len(s))), s...)
}

// AppendStringLength appends the length of a string; the caller appends its bytes.
func AppendStringLength(b []byte, n int) []byte { return be.AppendUint32(b, uint32(n)) }

// AppendBool appends a boolean value.
func AppendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

// AppendStringMap appends a map of strings, given as alternating keys and values.
func AppendStringMap(b []byte, pairs ...string) []byte {
	b = append(b, byte(String), byte(String))
	b = be.AppendUint32(b, uint32(len(pairs)/2))
	for _, s := range pairs {
		b = AppendBytes(b, s)
	}
	return b
}

// Types of the protocol's own ApplicationException.
const (
	UnknownMethod int32 = 1
	ProtocolError int32 = 7
)

// ExceptionFrame returns the complete frame of an ApplicationException, the reply to a call that the service does not answer itself.
func ExceptionFrame(b []byte, name string, seq int32, kind int32, text string) []byte {
	b = BeginMessage(b, Exception, name, seq)
	b = AppendBytes(AppendField(b, String, 1), text)
	b = be.AppendUint32(AppendField(b, I32, 2), uint32(kind))
	return EndMessage(b)
}

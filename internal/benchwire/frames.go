// Package benchwire implements the simulator's wire protocol: it converts frames of events into calls on the hosted admission
// controllers, and their actions into frames. It makes no admission decision itself.
package benchwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

const (
	eventSize  = 48
	actionSize = 24
	entrySize  = 23
	headerSize = 12 // header of a batch without the length field
)

var be = binary.BigEndian

func f64(b []byte) float64 { return math.Float64frombits(be.Uint64(b)) }
func f32(b []byte) float64 { return float64(math.Float32frombits(be.Uint32(b))) }

// batch is one frame of events. Events and tail are not decoded yet.
type batch struct {
	clock  float64 // milliseconds
	events []byte  // count x eventSize
	tail   []byte
}

// readBatch reads one frame into buf, which is reused. It returns io.EOF if the input ends between frames.
func readBatch(r io.Reader, buf *bytes.Buffer) (b batch, err error) {
	var head [4]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if n == 0 && err == io.EOF {
			return b, io.EOF
		}
		return b, fmt.Errorf("frame length truncated after %d bytes", n)
	}
	size := be.Uint32(head[:])
	if size < headerSize {
		return b, fmt.Errorf("frame of %d bytes is shorter than its header", size)
	}
	buf.Reset()
	// The buffer grows with the bytes that arrive, so a false length allocates nothing.
	if n, err := io.CopyN(buf, r, int64(size)); err != nil {
		if errors.Is(err, io.EOF) {
			return b, fmt.Errorf("frame of %d bytes truncated after %d", size, n)
		}
		return b, err
	}
	p := buf.Bytes()
	count := uint64(be.Uint32(p[8:]))
	if count*eventSize > uint64(len(p)-headerSize) {
		return b, fmt.Errorf("%d records do not fit a frame of %d bytes", count, size)
	}
	b.clock = f64(p)
	if math.IsNaN(b.clock) || math.IsInf(b.clock, 0) {
		return b, fmt.Errorf("clock is not a finite number")
	}
	end := headerSize + int(count)*eventSize
	b.events, b.tail = p[headerSize:end], p[end:]
	return b, nil
}

// tailSlice returns the part of the tail that a field gives as an offset and a length in units of unit bytes.
func (b *batch) tailSlice(field []byte, unit uint64) ([]byte, error) {
	off, n := uint64(be.Uint32(field)), uint64(be.Uint32(field[4:]))*unit
	if off+n > uint64(len(b.tail)) {
		return nil, fmt.Errorf("reference to bytes %d to %d exceeds the tail of %d bytes", off, off+n, len(b.tail))
	}
	return b.tail[off : off+n], nil
}

// reply collects actions and their tail; both buffers are reused between batches.
type reply struct {
	head, tail []byte
	router     uint32 // the instance whose actions are appended
	lastNamed  uint32 // the instance last named in this reply, valid if anyNamed
	anyNamed   bool
}

func (o *reply) reset() {
	o.head = append(o.head[:0], 0, 0, 0, 0, 0, 0, 0, 0)
	o.tail, o.anyNamed = o.tail[:0], false
}

// action appends a zero-filled action of the current instance and returns its fields. An action that names the instance (code 10) goes
// first if the instance has changed.
func (o *reply) action(code byte) []byte {
	if !o.anyNamed || o.lastNamed != o.router {
		o.anyNamed, o.lastNamed = true, o.router
		be.PutUint32(o.appendAction(10), o.router)
	}
	return o.appendAction(code)
}

func (o *reply) appendAction(code byte) []byte {
	n := len(o.head)
	var zero [actionSize]byte
	o.head = append(o.head, zero[:]...)
	o.head[n] = code
	return o.head[n+1:]
}

// attach appends data to the tail and writes its offset and length into field.
func (o *reply) attach(field []byte, data string) {
	be.PutUint32(field, uint32(len(o.tail)))
	be.PutUint32(field[4:], uint32(len(data)))
	o.tail = append(o.tail, data...)
}

func (o *reply) finish() []byte {
	be.PutUint32(o.head, uint32((len(o.head)-8)/actionSize))
	be.PutUint32(o.head[4:], uint32(len(o.head)-8+len(o.tail)))
	return append(o.head, o.tail...)
}

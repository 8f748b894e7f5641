package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"

	"dunereach/internal/fake"
	"dunereach/internal/thrift"
)

// encodeMessage returns a frame whose struct has the fields that arguments appends.
func encodeMessage(kind thrift.Kind, name string, seq int32, arguments func(b []byte) []byte) []byte {
	return thrift.EndMessage(append(arguments(thrift.BeginMessage(nil, kind, name, seq)), byte(thrift.Stop)))
}

func appendMap(b []byte, pairs ...string) []byte {
	return thrift.AppendStringMap(thrift.AppendField(b, thrift.Map, 1), pairs...)
}

func appendBody(b []byte, body string) []byte {
	return thrift.AppendBytes(thrift.AppendField(b, thrift.String, 2), body)
}

// appendUnknown appends fields of every type that the service does not know.
func appendUnknown(b []byte) []byte {
	const id = 9
	for kind, value := range map[thrift.Type][]byte{
		thrift.Bool: {1}, thrift.Byte: {7}, thrift.Double: make([]byte, 8), thrift.I16: make([]byte, 2), thrift.I32: make([]byte, 4),
		thrift.I64: make([]byte, 8), thrift.String: {0, 0, 0, 1, 'x'}, thrift.Struct: {byte(thrift.Bool), 0, 1, 1, 0},
		thrift.Map:  {byte(thrift.Byte), byte(thrift.Bool), 0, 0, 0, 1, 7, 1},
		thrift.Set:  {byte(thrift.I16), 0, 0, 0, 1, 0, 1},
		thrift.List: {byte(thrift.List), 0, 0, 0, 1, byte(thrift.Byte), 0, 0, 0, 2, 1, 2},
	} {
		b = append(thrift.AppendField(b, kind, id), value...)
	}
	return b
}

// writeInPieces writes the bytes to the connection of a client in pieces of the given size.
func writeInPieces(c *fake.Client, text []byte, piece int) {
	for len(text) > 0 {
		n := min(piece, len(text))
		c.SendRaw(text[:n])
		text = text[n:]
	}
}

// TestForms: a request in any form that the protocol allows is served like one in the usual form, whether it arrives whole, in
// pieces of any size, or together with others in one piece.
func TestForms(t *testing.T) {
	w := newCluster(t, 1)
	w.waitForLog("serving")
	const body = "SELECT 1 FROM sales_17.orders"
	usual := func() []string {
		w.lastRef++
		return []string{"service", "lookup", "ref", fmt.Sprintf("%016x", w.lastRef), "allow", "30000", "project", "acme"}
	}
	forms := map[string]func(b []byte) []byte{
		"usual":      func(b []byte) []byte { return appendBody(appendMap(b, usual()...), body) },
		"body first": func(b []byte) []byte { return appendMap(appendBody(b, body), usual()...) },
		"with estimates": func(b []byte) []byte {
			return appendBody(appendMap(b, append(usual(), "effort", "820.0", "memory", "96")...), body)
		},
		"decimals": func(b []byte) []byte {
			return appendBody(appendMap(b, append(usual(), "effort", "1.5e2", "memory", ".5")...), body)
		},
		"unknown names":  func(b []byte) []byte { return appendBody(appendMap(b, append(usual(), "trace", "", "", "x")...), body) },
		"unknown fields": func(b []byte) []byte { return appendUnknown(appendBody(appendMap(appendUnknown(b), usual()...), body)) },
		"capital digits": func(b []byte) []byte {
			return appendBody(appendMap(b, append(usual()[:2], "ref", fmt.Sprintf("ABCDEF%010X", w.lastRef), "allow", "30000", "project", "acme")...), body)
		},
		"fields backwards": func(b []byte) []byte {
			fields := usual()
			return appendBody(appendMap(b, fields[6], fields[7], fields[4], fields[5], fields[2], fields[3], fields[0], fields[1]), body)
		},
	}
	for name, form := range forms {
		for _, piece := range []int{1, 2, 5, 64, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d", name, piece), func(t *testing.T) {
				c := fake.NewClient(t, w.addr)
				writeInPieces(c, encodeMessage(thrift.Call, "call", 1, form), piece)
				s := w.receive("fetch")
				if s.Body != body {
					t.Errorf("the server received %q", s.Body)
				}
				s.Answer("served", "count=1", "x\t\t\n")
				w.expectAnswer(c, resultMessage(1, "x\t\t\n"))
				c.Disconnect()
			})
		}
	}
	t.Run("several in one piece", func(t *testing.T) {
		c := fake.NewClient(t, w.addr)
		one := encodeMessage(thrift.Call, "call", 1, forms["usual"])
		health := encodeMessage(thrift.Call, "health", 2, func(b []byte) []byte { return b })
		two := encodeMessage(thrift.Call, "call", 3, forms["body first"])
		cancel := encodeMessage(thrift.Oneway, "cancel", 4, func(b []byte) []byte {
			return binary.BigEndian.AppendUint32(thrift.AppendField(b, thrift.I32, 1), 3)
		})
		three := encodeMessage(thrift.Call, "call", 5, forms["usual"])
		c.SendRaw(bytes.Join([][]byte{one, health, two, cancel, three}, nil))
		w.expectAnswer(c, `2/2 health{ 0={ 1="" 2=[ ] 3=1 } }`)
		go answerRequests(w) // the cancelled request may already have been sent, or may have been withdrawn
		got := map[string]bool{c.NextAnswer(): true}
		got[c.NextAnswer()] = true
		if !got[resultMessage(1, "x\t\t\n")] || !got[resultMessage(5, "x\t\t\n")] {
			t.Errorf("the client got %v", got)
		}
	})
}

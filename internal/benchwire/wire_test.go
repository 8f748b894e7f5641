package benchwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"math"
	"strings"
	"testing"

	"dunereach/admission"
	"dunereach/internal/settings"

	"github.com/google/go-cmp/cmp"
)

const initSettings = `{"Balancers":2,"Me":0,"Classes":[{"Aim":800,"Deadline":4000,"Effect":"safe","Worth":1}],"Tick":5,
	"Limits":{"SendCap":6},"Later":{"Unknown":1}}`

func pad(s string, size int) string { return s + strings.Repeat("00", size-len(s)/2) }

func hex32(v int) string {
	var b [4]byte
	be.PutUint32(b[:], uint32(v))
	return hex.EncodeToString(b[:])
}

// frame builds a batch of events, given in hex, and a tail.
func frame(tail string, events ...string) []byte {
	body := "40c06e2000000000" + hex32(len(events))
	for _, e := range events {
		body += pad(e, eventSize)
	}
	body += hex.EncodeToString([]byte(tail))
	return mustHex(hex32(len(body)/2) + body)
}

func serve(t *testing.T, in ...[]byte) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(in, nil)), &out)
	return hex.EncodeToString(out.Bytes()), err
}

const (
	selectEvent = "8200000003"
	workEvent   = "1e5d3a91c400000091f03b7c55d20a64406e0000000000004028000000000000" + "43c0000041300000" + "01"
)

var (
	initEvent  = "0a0000000000000001" + "00000000" + hex32(len(initSettings))
	listEvent  = "780000" + hex32(len(initSettings)) + "00000002"
	peersEvent = "1401000000290000"
	// The list of the protocol's documentation: two servers, both ready.
	listRows = string(mustHex("00003f8000000000000000000000000003000003124a07" + "00003fc0000040b7d4000000000000000300002c9011f2"))
)

func mustHex(s string) []byte {
	b, err := hex.DecodeString(s)
	if err != nil {
		panic(err)
	}
	return b
}

// TestDocumentedFrames checks the example frames of the protocol's documentation, byte for byte.
func TestDocumentedFrames(t *testing.T) {
	got, err := serve(t, mustHex("0000000c40c06e200000000000000000"))
	if diff := cmp.Diff("0000000000000000", got); diff != "" || err != nil {
		t.Errorf("empty batch: %v\n%s", err, diff)
	}
	// A start with a list, then a request: the reply wakes the instance later and sends the request to a server of the list.
	got, err = serve(t, frame(initSettings+listRows, selectEvent, initEvent, listEvent, peersEvent), frame("", selectEvent, workEvent))
	if err != nil {
		t.Fatal(err)
	}
	second := got[len(got)-2*(8+3*actionSize):]
	want := "00000003" + hex32(3*actionSize) + pad("0a00000003", actionSize) +
		pad("3c"+"406cc00000000000"+"000000015d3a91c4", actionSize) +
		pad("1e5d3a91c4"+"406e000000000000"+"03124a07", actionSize)
	if diff := cmp.Diff(want, second); diff != "" {
		t.Errorf("reply to the documented request:\n%s", diff)
	}
	// Every action, as printed in the documentation.
	var o reply
	o.reset()
	o.router = 3
	r := &router{id: 3, out: &o}
	r.Send(0x5d3a91c4, 0x03124a07, 0.08, 0)
	r.Wake(0.5, 0x4d)
	r.Reject(0x0e6f2b19, 0.25)
	r.Fail(0x0e6f2b19)
	r.Cancel(0x5d3a91c4, 0)
	r.Probe(0x2c9011f2)
	r.Priority(0x5d3a91c4, 2, 640)
	r.Watch(true)
	r.SendToPeer(-1, []byte("hi 7"))
	r.Log("two servers known")
	var lines []string
	for b := o.head[8:]; len(b) > 0; b = b[actionSize:] {
		lines = append(lines, hex.EncodeToString(b[:actionSize]))
	}
	wantLines := []string{"0a00000003", "1e5d3a91c4405400000000000003124a07", "3c407f400000000000000000000000004d",
		"320e6f2b19406f400000000000", "8c0e6f2b19", "645d3a91c40000", "462c9011f2", "6e5d3a91c40244200000", "5001",
		"82ffff0000000000000004", "280000000400000011"}
	for k := range wantLines {
		wantLines[k] = pad(wantLines[k], actionSize)
	}
	if diff := cmp.Diff(wantLines, lines); diff != "" || string(o.tail) != "hi 7two servers known" {
		t.Errorf("actions, tail %q:\n%s", o.tail, diff)
	}
}

// TestHaltAndRestart: a halt and a restart in one batch drop all state, so that an outcome of an attempt from before is ignored; a list
// number refers to the list as it is at the time of the event.
func TestHaltAndRestart(t *testing.T) {
	outcome := "325d3a91c4000a4032800000000000010001106003124a07"
	got, err := serve(t, frame(initSettings+listRows, selectEvent, initEvent, listEvent, peersEvent, workEvent, "64", initEvent, peersEvent, outcome))
	if err != nil || strings.Count(got, "1e5d3a91c4") != 1 {
		t.Errorf("%v, reply %s", err, got)
	}
}

func TestSettings(t *testing.T) {
	all, err := settings.Parse([]byte(`{"Classes":[{"Aim":800,"AimStretch":2,"Deadline":4000,"DedupWindow":5000,"Effect":"keyed",
		"Group":"cell","Worth":3,"RunsIn":[1],"ByArrival":true}],"FamilyInfo":{"Dop":[4]},"Obligations":{"FurtherRatio":0.1,
		"LookBack":10000,"KeyRest":500}}`), 7)
	want := admission.Settings{Seed: 7, Routers: 1, KeyRest: 0.5, BudgetShare: 0.1, BudgetWindow: 10,
		Profiles: []admission.Profile{{Target: 0.8, Stretch: 2, Benefit: 3, Effect: admission.IdempotentByKey,
			Group: admission.GroupCell, Window: 5, Ordered: true, Zones: []int{1}, Threads: 4}}}
	if diff := cmp.Diff(want, all.Admission); diff != "" || err != nil {
		t.Errorf("%v\n%s", err, diff)
	}
}

// TestBadInput: invalid input leads to an error of one line and not to a panic, and a false length allocates nothing.
func TestBadInput(t *testing.T) {
	good := frame(initSettings+listRows, selectEvent, initEvent, listEvent, peersEvent)
	for name, in := range map[string][]byte{
		"cut length":     {0, 0},
		"cut frame":      good[:len(good)-3],
		"huge length":    mustHex("ffffffff40c06e2000000000"),
		"short frame":    mustHex("00000003000000"),
		"absurd count":   mustHex("0000000c40c06e2000000000ffffffff"),
		"bad code":       frame("", selectEvent, "07"),
		"no instance":    frame("", workEvent),
		"tail too short": frame("", selectEvent, "0a0000000000000001"+"00000000"+"ffffffff"),
		"rows too short": frame("", "78000000000000ffffffff"),
		"list number":    frame("", "780099"),
		"unset list":     frame(initSettings, selectEvent, initEvent, "1402000000000005"),
		"bad settings":   frame("{", selectEvent, "0a0000000000000001"+"0000000000000001"),
		"bad class":      frame(initSettings, selectEvent, initEvent, "1e0000000109"),
		"bad outcome":    frame(initSettings, selectEvent, initEvent, "320000000100ff"),
	} {
		if _, err := serve(t, in); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := serve(t, good); err != nil {
		t.Errorf("end of input between frames: %v", err)
	}
}

func FuzzServe(f *testing.F) {
	f.Add(frame(initSettings+listRows, selectEvent, initEvent, listEvent, peersEvent, workEvent))
	f.Add(frame(initSettings, selectEvent, initEvent, "64", workEvent))
	f.Add(frame("", selectEvent, "46000000000000004d"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_ = Serve(bytes.NewReader(in), io.Discard) // must return, with or without an error
	})
}

// TestLoadReport: the values of a load report are in the order that the settings give.
func TestLoadReport(t *testing.T) {
	var e [17]byte
	e[0] = 2
	be.PutUint32(e[1:], math.Float32bits(0.5))
	be.PutUint32(e[5:], math.Float32bits(12))
	r := &router{fields: []string{"cpu", "active"}}
	if diff := cmp.Diff(&admission.Load{Requests: 12, Waiting: -1, Cores: 0.5, Memory: -1, Disks: -1}, r.parseLoad(e[:])); diff != "" {
		t.Error(diff)
	}
}

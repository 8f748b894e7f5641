package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dunereach/internal/fake"
	"dunereach/internal/thrift"

	"golang.org/x/sys/unix"
)

var (
	floodTable  = flag.String("flood-table", "", "play all floods of TestFloodsOnPartOfCore with `CLIENTS/PARTS`, such as 60/4, and print a table")
	floodLength = flag.Duration("flood-length", 3*time.Second, "length of a play of TestFloodsOnPartOfCore")
)

const (
	usualClients   = 6
	usualInterval  = 100 * time.Millisecond
	usualTimeout   = 831 * time.Millisecond
	usualSlack     = 50 * time.Millisecond // by which an answer may be late, as the protocol says of each time limit
	floodBatch     = 32                    // messages in one write
	floodMemoryMB  = 32
	floodSockets   = 256
	maxFlood       = 10 * time.Minute // after which a process that floods ends by itself
	busyLoopScript = "while :; do :; done"
)

// onCores calls start with the calling thread on those cores of the machine for which use returns true, which processes that it starts
// inherit.
func onCores(t testing.TB, use func(n, cores int) bool, start func()) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, cores unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		t.Fatal(err)
	}
	for n, number := 0, 0; n < before.Count(); number++ {
		if before.IsSet(number) {
			if use(n, before.Count()) {
				cores.Set(number)
			}
			n++
		}
	}
	if cores.Count() == 0 {
		cores = before
	}
	if err := unix.SchedSetaffinity(0, &cores); err != nil {
		t.Fatal(err)
	}
	defer unix.SchedSetaffinity(0, &before)
	start()
}

// startOnPart starts the router on one core, which busy processes share with it so that it gets one part of the given number.
func (w *cluster) startOnPart(parts int) {
	onCores(w.t, func(n, cores int) bool { return n == cores-1 }, func() {
		for range parts - 1 {
			busy := exec.Command("sh", "-c", busyLoopScript)
			if err := busy.Start(); err != nil {
				w.t.Fatal(err)
			}
			w.t.Cleanup(func() { busy.Process.Kill(); busy.Wait() })
		}
		w.start()
	})
}

// usualOutcome counts what the clients saw that send little.
type usualOutcome struct{ sent, served, notServed, late, lost atomic.Int64 }

func (o *usualOutcome) String() string {
	return fmt.Sprintf("%d sent, %d served, %d not served, %d late, %d lost", o.sent.Load(), o.served.Load(), o.notServed.Load(), o.late.Load(), o.lost.Load())
}

// usualClient is a client that sends a request each interval on one connection.
type usualClient struct {
	*fake.Client
	t       testing.TB
	outcome *usualOutcome
	mu      sync.Mutex
	sentAt  map[int32]time.Time // of requests that have no answer yet
}

// runUsual runs one and counts the outcomes.
func (o *usualOutcome) runUsual(ctx context.Context, w *cluster, client int) {
	u := &usualClient{Client: fake.NewClient(w.t, w.addr), t: w.t, outcome: o, sentAt: map[int32]time.Time{}}
	done := make(chan struct{})
	go func() { u.readAnswers(); close(done) }()
	ticker := time.NewTicker(usualInterval)
	defer ticker.Stop()
	for n := int32(1); ctx.Err() == nil; n++ {
		u.send(client, n)
		<-ticker.C
	}
	const lateAnswers = 2 * time.Second // how long late answers are waited for
	time.Sleep(lateAnswers)
	u.Disconnect()
	<-done
	o.lost.Add(int64(len(u.sentAt)))
}

func (u *usualClient) send(client int, seq int32) {
	b := fake.Call(seq, "SELECT 1", "service", "lookup", "project", "acme", "allow", fmt.Sprint(usualTimeout.Milliseconds()), "effort", "20", "memory", "1",
		"ref", fmt.Sprintf("%08x%08x", client, seq))
	u.mu.Lock()
	u.sentAt[seq] = time.Now()
	u.mu.Unlock()
	u.outcome.sent.Add(1)
	u.SendRaw(b)
}

// readAnswers counts answers until the connection ends.
func (u *usualClient) readAnswers() {
	for {
		answer := u.NextAnswer()
		var kind, seq int32
		if _, err := fmt.Sscanf(answer, "%d/%d ", &kind, &seq); err != nil {
			return
		}
		u.count(seq, strings.Contains(answer, " 0={"))
	}
}

// count counts an answer.
func (u *usualClient) count(seq int32, served bool) {
	u.mu.Lock()
	at, open := u.sentAt[seq]
	delete(u.sentAt, seq)
	u.mu.Unlock()
	switch {
	case !open:
		u.t.Errorf("a second answer to %d", seq)
	case time.Since(at) > usualTimeout+usualSlack:
		u.outcome.late.Add(1)
	case served:
		u.outcome.served.Add(1)
	default:
		u.outcome.notServed.Add(1)
	}
}

// flood is what a client sends at full speed.
type flood struct {
	name string
	// batch returns the messages of one write of a client.
	batch      func(client, n int) []byte
	reconnects bool // each batch goes on a connection of its own
}

func floodCall(client, n, k int, fields ...string) []byte {
	return fake.Call(int32(n*floodBatch+k+1), "SELECT 1", append([]string{"service", "lookup", "project", "acme", "allow", "831", "effort", "20", "memory", "1",
		"ref", fmt.Sprintf("%04x%012x", 0xf000+client, n*floodBatch+k)}, fields...)...)
}

// batchOf returns a function that makes a batch of messages.
func batchOf(message func(client, n, k int) []byte) func(client, n int) []byte {
	return func(client, n int) (b []byte) {
		for k := range floodBatch {
			b = append(b, message(client, n, k)...)
		}
		return b
	}
}

var floods = []flood{
	{name: "none"},
	{name: "withdrawn", batch: batchOf(func(client, n, k int) []byte {
		return append(floodCall(client, n, k), fake.CancelMessage(int32(n*floodBatch+k+1))...)
	})},
	{name: "withdrawn together", batch: func(client, n int) (b []byte) {
		for k := range floodBatch {
			b = append(b, floodCall(client, n, k)...)
		}
		for k := range floodBatch {
			b = append(b, fake.CancelMessage(int32(n*floodBatch+k+1))...)
		}
		return b
	}},
	{name: "withdrawn, long deadlines", batch: batchOf(func(client, n, k int) []byte {
		seq := int32(n*floodBatch + k + 1)
		call := fake.Call(seq, "SELECT 1", "service", "order", "project", "acme", "allow", "30000", "effort", "20", "memory", "1",
			"ref", fmt.Sprintf("%04x%012x", 0xf000+client, n*floodBatch+k))
		return append(call, fake.CancelMessage(seq)...)
	})},
	{name: "requests", batch: batchOf(func(client, n, k int) []byte { return floodCall(client, n, k) })},
	{name: "unknown names", batch: batchOf(func(client, n, k int) []byte {
		return fake.Call(int32(n*floodBatch+k+1), "SELECT 1", "service", fmt.Sprint("class", n, k), "project", fmt.Sprint("tenant", n, k), "allow", "831",
			"ref", fmt.Sprintf("%04x%012x", 0xf000+client, n*floodBatch+k))
	})},
	{name: "unusable", batch: batchOf(func(client, n, k int) []byte {
		return fake.Call(int32(n*floodBatch+k+1), "SELECT 1", "service", "lookup")
	})},
	{name: "unknown methods", batch: batchOf(func(client, n, k int) []byte {
		return thrift.EndMessage(thrift.BeginMessage(nil, thrift.Call, fmt.Sprint("method", n, k), int32(n*floodBatch+k+1)))
	})},
	{name: "health checks", batch: batchOf(func(client, n, k int) []byte {
		return fake.HealthMessage(int32(n*floodBatch + k + 1))
	})},
	{name: "cancels", batch: batchOf(func(client, n, k int) []byte { return fake.CancelMessage(int32(n*floodBatch + k + 1)) })},
	{name: "many fields", batch: func(client, n int) []byte {
		pairs := make([]string, 2*8000)
		return fake.Call(int32(n+1), "SELECT 1", pairs...)
	}},
	{name: "unreadable", batch: batchOf(func(client, n, k int) []byte { return []byte{0, 0, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8} }), reconnects: true},
	{name: "new connections", batch: func(client, n int) (b []byte) {
		for k := range 16 {
			b = append(b, append(floodCall(client, n, k), fake.CancelMessage(int32(n*floodBatch+k+1))...)...)
		}
		return b
	}, reconnects: true},
	{name: "closed", batch: func(client, n int) (b []byte) {
		for k := range 16 {
			b = append(b, floodCall(client, n, k)...)
		}
		return b
	}, reconnects: true},
}

// run sends batches at full speed until the context ends, and reads all answers.
func (f flood) run(ctx context.Context, addr string, client int) {
	for n := 0; ctx.Err() == nil; {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { nc.Close() })
		go io.Copy(io.Discard, nc)
		for ctx.Err() == nil {
			if _, err = nc.Write(f.batch(client, n)); err != nil {
				break
			}
			if n++; f.reconnects {
				break
			}
		}
		stop()
		nc.Close()
	}
}

// play lets a number of clients flood a router that gets a part of a core, beside usual clients.
func (f flood) play(t *testing.T, clients, parts int) *usualOutcome {
	w := prepareCluster(t, 3, floodSockets)
	w.replaceConfig(`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, floodMemoryMB))
	w.replaceConfig(`"Name":"lookup","Aim":20000,"Deadline":30000`, fmt.Sprintf(`"Name":"lookup","Aim":400,"Deadline":%d`, usualTimeout.Milliseconds()))
	w.startOnPart(parts)
	w.waitForLog("serving")
	go func() {
		for range w.logLines {
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), *floodLength)
	defer cancel()
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	go w.answer(serving, answering{shortest: 20 * time.Millisecond, longest: 1020 * time.Millisecond}) // often about as long as clients wait
	outcome := &usualOutcome{}
	var group sync.WaitGroup
	for k := range usualClients {
		group.Go(func() { outcome.runUsual(ctx, w, 1+k) })
	}
	if f.batch != nil {
		defer f.start(t, w.addr, clients)()
	}
	group.Wait()
	peak := w.peakMemory()
	t.Logf("%-20s %d clients, 1/%d of a core: %v; %.0f MB", f.name, clients, parts, outcome, peak)
	if peak > floodMemoryMB {
		t.Errorf("the router took %.0f MB of %d", peak, floodMemoryMB)
	}
	w.cmd.Process.Kill()
	return outcome
}

// Variables of the environment that make the test binary flood a router instead of testing.
const floodKindVariable, floodAddrVariable, floodClientsVariable = "TEST_FLOOD", "TEST_FLOOD_ADDR", "TEST_FLOOD_CLIENTS"

// start floods a router from a process of its own, so that the time of usual clients is not the flood's. It returns a function that ends it.
func (f flood) start(t *testing.T, addr string, clients int) (stop func()) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), floodKindVariable+"="+f.name, floodAddrVariable+"="+addr, fmt.Sprint(floodClientsVariable, "=", clients))
	cmd.Stderr = os.Stderr
	onCores(t, func(n, cores int) bool { return n < cores-3 }, func() {
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
	})
	stop = sync.OnceFunc(func() { cmd.Process.Kill(); cmd.Wait() })
	t.Cleanup(stop)
	return stop
}

// floodFromEnvironment floods a router if the environment says so; it does not return then.
func floodFromEnvironment() {
	name, addr := os.Getenv(floodKindVariable), os.Getenv(floodAddrVariable)
	if name == "" {
		return
	}
	clients := 1
	fmt.Sscan(os.Getenv(floodClientsVariable), &clients)
	ctx, cancel := context.WithTimeout(context.Background(), maxFlood) // the test ends it before
	defer cancel()
	var group sync.WaitGroup
	for _, f := range floods {
		for k := range clients {
			if f.name == name {
				group.Go(func() { f.run(ctx, addr, k) })
			}
		}
	}
	group.Wait()
	os.Exit(0)
}

// TestFloodsOnPartOfCore guards against answers that come too late, or never, because others send small, unusable, large or withdrawn requests at
// full speed, on one connection or on ever new ones, while the router has a part of a core. docs/CAPACITY.md has the whole table.
func TestFloodsOnPartOfCore(t *testing.T) {
	clients, parts := 8, 2
	played := map[string]bool{"withdrawn": true, "requests": true, "health checks": true, "many fields": true, "closed": true}
	if *floodTable != "" {
		if _, err := fmt.Sscanf(*floodTable, "%d/%d", &clients, &parts); err != nil {
			t.Fatalf("-flood-table: %v", err)
		}
		played = nil
	}
	for _, f := range floods {
		if played != nil && !played[f.name] {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			if o := f.play(t, clients, parts); o.late.Load() > 0 || o.lost.Load() > 0 {
				t.Errorf("usual clients: %v", o)
			}
		})
	}
}

package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dunereach/internal/fake"
)

const (
	slowClients    = 480 // at once; with 1,024 descriptors clients get 506
	slowPlay       = 4 * time.Second
	manyFields     = 8000
	keptStatement  = 14 << 10 // bytes; a request that is just within what buffers are kept for
	largeStatement = 100 << 10
)

// slowRequest returns a request with a statement of the given size.
func slowRequest(seq int32, client, n, size int) []byte {
	return limitsRequest(seq, 5000+client, n, "SELECT '"+strings.Repeat("x", size)+"'")
}

// slowKinds are the ways in which clients take memory with what they send.
var slowKinds = map[string]func(ctx context.Context, c *fake.Client, client int){
	"write slowly": func(ctx context.Context, c *fake.Client, client int) {
		for n := 0; ctx.Err() == nil; n++ {
			for b := slowRequest(int32(n+1), client, n, largeStatement); len(b) > 0 && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
				piece := b[:min(len(b), 2000)]
				c.SendRaw(piece)
				b = b[len(piece):]
			}
		}
	},
	"stop half way": func(ctx context.Context, c *fake.Client, client int) {
		b := slowRequest(1, client, 0, largeStatement)
		c.SendRaw(b[:len(b)/2])
		<-ctx.Done()
	},
	"many fields": func(ctx context.Context, c *fake.Client, client int) {
		b := fake.Call(1, "SELECT 1", make([]string, 2*manyFields)...)
		for n := 1; ctx.Err() == nil; n++ {
			binary.BigEndian.PutUint32(b[16:], uint32(n)) // the sequence number: behind length, version and name
			c.SendRaw(b)
			time.Sleep(200 * time.Millisecond)
		}
	},
	"many fields, stopped half way": func(ctx context.Context, c *fake.Client, client int) {
		b := fake.Call(1, "SELECT 1", make([]string, 2*manyFields)...)
		c.SendRaw(b[:len(b)/2])
		<-ctx.Done()
	},
	"requests and results that just fit": func(ctx context.Context, c *fake.Client, client int) {
		for n := 0; ctx.Err() == nil; n++ {
			c.SendRaw(slowRequest(int32(n+1), client, n, keptStatement))
			time.Sleep(500 * time.Millisecond)
		}
	},
}

// TestSlowWriters guards against memory over the limit, and requests of others without an answer, while hundreds of clients write slowly, stop
// half way through a large request, or send very many short fields.
func TestSlowWriters(t *testing.T) {
	for name, run := range slowKinds {
		t.Run(name, func(t *testing.T) {
			r := playSlowWriters(t, run)
			t.Logf("%d sent, %d served, %d rejected, %d late, %d lost, %.0f MB", r.sent.Load(), r.served.Load(), r.rejected.Load(), r.late.Load(),
				r.lost.Load(), r.peakMB)
			if r.lost.Load() > 0 || r.late.Load() > 0 || r.peakMB > resultsMemoryMB {
				t.Errorf("requests of usual clients were late or lost, or the memory is over %d MB", resultsMemoryMB)
			}
		})
	}
}

// playSlowWriters lets hundreds of clients run beside usual ones, and returns what those saw.
func playSlowWriters(t *testing.T, run func(ctx context.Context, c *fake.Client, client int)) *limitsResult {
	w := prepareCluster(t, 2, 1024)
	w.replaceConfig(`"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, resultsMemoryMB))
	w.start()
	w.waitForLog("serving")
	go func() {
		for range w.logLines {
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), slowPlay)
	defer cancel()
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	go w.answer(serving, answering{pages: 2}) // just within what buffers are kept for
	r := &limitsResult{}
	var usual, slow sync.WaitGroup
	for k := range slowClients {
		c := fake.NewClient(t, w.addr)
		slow.Go(func() { run(ctx, c, k); c.Disconnect() })
		slow.Go(func() { readUntilClosed(ctx, c) })
	}
	for k := range usualClients {
		usual.Go(func() { r.runLimited(ctx, w, 1+k) })
	}
	usual.Wait()
	r.peakMB = w.peakMemory()
	slow.Wait()
	return r
}

// readUntilClosed reads answers until the connection or the context has ended.
func readUntilClosed(ctx context.Context, c *fake.Client) {
	for ctx.Err() == nil && !strings.Contains(c.NextAnswer(), "closed") {
	}
}

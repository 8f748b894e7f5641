// Halfmessages plays case 1: bad clients send messages that are shorter than their lengths say, while sound clients have requests open.
package main

import (
	"encoding/binary"
	"fmt"
	"strings"
	"sync"

	"dunereach/review/_standins/rig"
)

const (
	memoryMB       = 64  // the pages: 32 to 192
	sockets        = 512 // the pages: 256 to 1,024
	soundClients   = 12  // the pages: a third of the descriptors at most
	badClients     = 180 // the pages: hundreds
	longBadClients = 90  // of these send most of a message of 120 KB, the others part of one of 2 to 5 KB
	waves          = 3
	grace          = 0.5 // seconds by which an answer may be late and earns nothing
)

func main() {
	r := rig.New()
	engines := []*rig.Engine{r.NewEngine("s-1", "bole-dc", "std-16"), r.NewEngine("s-2", "bole-dc", "std-16"), r.NewEngine("s-3", "bole-dc", "std-8")}
	names := r.NewNameServer(engines...)
	router := r.NewRouter("n1", memoryMB, sockets, names, rig.PlanningSettings(), engines)
	router.Start()

	sound := make([]*rig.Client, soundClients)
	for k := range sound {
		var err error
		if sound[k], err = r.Dial(router.Listen); err != nil {
			r.Exit(rig.NotRun, "client: %v", err)
		}
	}
	// A statement with a list of values, 9 KB, sent in one write. Half of the clients send it, half send short commands at once.
	long := "select a, b, c from sales_17.orders where id in (" + strings.Repeat("1234567, ", 1000) + "0) /* hold=50 */"
	var calls []*rig.Call
	var clients []*rig.Client // of each call
	note := func(c *rig.Client, all ...*rig.Call) {
		for _, call := range all {
			calls, clients = append(calls, call), append(clients, c)
		}
	}
	for range waves {
		var ended sync.WaitGroup
		for _, c := range sound {
			if c.Closed() == "" {
				note(c, c.Call("select a, b, c from sales_17.orders /* hold=2500 */", 15, rig.Report("5000")...))
			}
		}
		rig.Sleep(0.3)
		if r.Trouble {
			for k := range badClients {
				ended.Go(func() { badClient(r, router.Listen, k) })
			}
		}
		rig.Sleep(0.5)
		for range 4 {
			for k, c := range sound {
				switch {
				case c.Closed() != "":
				case k%2 == 0:
					note(c, c.Call(long, 4, rig.Lookup("50")...))
				default:
					note(c, sendAtOnce(c)...)
				}
			}
			rig.Sleep(0.3)
		}
		ended.Wait()
		rig.Sleep(1.5)
	}
	for k, call := range calls { // until it has its answer, none can come any more, or it is over time
		for call.Await(0.05) == rig.Pending && clients[k].Closed() == "" && r.Now() < call.SentAt+call.Allow+grace {
		}
	}

	counts, running, unsent := map[string]int{}, 0, 0
	for _, call := range calls {
		outcome, _, _, _ := call.Outcome()
		counts[outcome]++
		switch {
		case outcome != rig.Pending:
		case rig.Ran(engines, call.Ref):
			running++
		default:
			unsent++
		}
	}
	closed := 0
	for _, c := range sound {
		if c.Closed() != "" && c.OpenAt > 0 {
			closed++
		}
	}
	router.CopyLog(12, "unreadable message from client", "panic", "fatal")
	text := fmt.Sprintf("requests of sound clients: %d, %v; without an answer: %d that an engine ran, %d others; connections of sound clients that the router closed with requests open: %d of %d",
		len(calls), counts, running, unsent, closed, soundClients)
	if running > 0 || router.Ended() {
		r.Exit(rig.Broken, "%s", text)
	}
	r.Exit(rig.Held, "%s", text)
}

// sendAtOnce sends some short commands in one write, 4.6 KB together.
func sendAtOnce(c *rig.Client) (calls []*rig.Call) {
	const commands = 20 // the pages: up to 32 open requests on a connection
	var message []byte
	for n := range commands {
		call, m := c.Prepare(fmt.Sprintf("select a from sales_17.orders where id = %d /* hold=50 */", n), 4, rig.Lookup("50")...)
		calls, message = append(calls, call), append(message, m...)
	}
	c.Write(message, calls...)
	return calls
}

// badClient sends a message that is shorter than its length says, and reads until the router closes the connection.
func badClient(r *rig.Run, addr string, k int) {
	size := 118000
	if short := k - longBadClients; short >= 0 {
		sizes := [...]int{3000, 400, 40}
		step := short * len(sizes) / (badClients - longBadClients)
		size = sizes[step]
		rig.Sleep(0.2 + 0.05*float64(step))
	}
	c, err := r.Dial(addr)
	if err != nil {
		r.Logf("bad client %d: %v", k, err)
		return
	}
	defer c.Close()
	began := r.Now()
	message := binary.BigEndian.AppendUint32(nil, uint32(size+2000))
	message = append(message, 0x80, 1, 0, 1, 0, 0, 0, 4)
	message = append(message, "call"...)
	message = append(message, make([]byte, size+4-len(message))...)
	c.Conn.Write(message)
	closed := c.AwaitClosed(6)
	r.Logf("bad client %d sent %d of %d bytes; closed by the router: %v, after %.1f s", k, size, size+2000, closed, r.Now()-began)
}

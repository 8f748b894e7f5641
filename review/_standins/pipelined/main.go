// Pipelined plays case 2: bad clients keep the router's client connections busy, and a sound client sends several commands at once on a
// new connection.
package main

import (
	"fmt"

	"dunereach/review/_standins/rig"
)

const (
	memoryMB     = 64  // the pages: 32 to 192
	sockets      = 256 // the pages: 256 to 1,024
	soundClients = 60  // the pages: a third of the descriptors at most
	badClients   = 100 // the pages: hundreds
	probes       = 10  // connections on which a sound client sends commands at once
	atOnce       = 4   // commands; the pages: up to 32 open requests on a connection
	grace        = 0.5 // seconds by which an answer may be late and earns nothing
)

func main() {
	r := rig.New()
	engines := []*rig.Engine{r.NewEngine("s-1", "bole-dc", "std-16"), r.NewEngine("s-2", "bole-dc", "std-16"), r.NewEngine("s-3", "bole-dc", "std-8")}
	names := r.NewNameServer(engines...)
	router := r.NewRouter("n1", memoryMB, sockets, names, rig.PlanningSettings(), engines)
	router.Start()
	busy := func(n int, who, end string) {
		for range n {
			c, err := r.Dial(router.Listen)
			if err != nil {
				r.Exit(rig.NotRun, "%s client: %v", who, err)
			}
			c.Call("select a, b, c from sales_17.orders /* hold=3000 */ "+end, 15, rig.Report("6000")...)
		}
	}
	busy(soundClients, "sound", "")
	if r.Trouble {
		busy(badClients, "bad", rig.Unusable)
	}
	rig.Sleep(0.5)
	lost, refused, served, resent, unread := 0, 0, 0, 0, 0
	for n := range probes {
		statements := make([]string, atOnce)
		for k := range statements {
			statements[k] = fmt.Sprintf("select a from sales_17.orders where id = %d /* hold=50 */", n*atOnce+k)
		}
		for try := 0; try < 2 && len(statements) > 0; try++ {
			c, err := r.Dial(router.Listen)
			if err != nil {
				r.Exit(rig.NotRun, "client: %v", err)
			}
			var calls []*rig.Call
			var message []byte
			for _, s := range statements {
				call, m := c.Prepare(s, 4, rig.Lookup("50")...)
				calls, message = append(calls, call), append(message, m...)
			}
			c.Write(message, calls...)
			statements = nil
			answered := false
			for _, call := range calls {
				for call.Await(0.05) == rig.Pending && c.Closed() == "" && r.Now() < call.SentAt+call.Allow+grace {
				}
				answered = answered || call.Await(0) != rig.Pending
			}
			for _, call := range calls {
				switch outcome, _, _, _ := call.Outcome(); {
				case outcome == rig.Rejected:
					refused++
				case outcome == rig.Served:
					served++
				case outcome == rig.Pending && try == 0:
					statements = append(statements, call.Statement) // it crossed the close: it is sent once more, on a new connection
					resent++
				case outcome == rig.Pending && !answered: // the connection may have been shut unread, which the page allows
					unread++
				case outcome == rig.Pending:
					lost++
				}
			}
			c.Close()
		}
		rig.Sleep(0.1)
	}
	router.CopyLog(5, "too many clients", "panic")
	router.CopyLog(3, "clients' connections")
	text := fmt.Sprintf("%d commands on %d connections: %d served, %d refused, %d sent again; of these without an answer: %d behind one that was answered, %d on connections with no answer at all (not counted)", probes*atOnce, probes, served, refused, resent, lost, unread)
	if lost > 0 || router.Ended() {
		r.Exit(rig.Broken, "%s", text)
	}
	r.Exit(rig.Held, "%s", text)
}

// Slownames plays case 3: the name server takes 2.5 s for each answer, and an engine begins to drain.
package main

import (
	"fmt"
	"math"

	"dunereach/review/_standins/rig"
)

const (
	memoryMB    = 64
	sockets     = 512
	answerDelay = 2.5  // seconds from a query to its answer
	mustBeTold  = 7.0  // seconds after which an event counts as told, whether an answer arrived or not
	drainGrace  = 0.25 // seconds, as in the settings
	slack       = 0.05 // seconds by which every time limit is longer on sockets
)

func main() {
	r := rig.New()
	engines := []*rig.Engine{r.NewEngine("s-1", "bole-dc", "std-16"), r.NewEngine("s-2", "bole-dc", "std-16"), r.NewEngine("s-3", "bole-dc", "std-8")}
	names := r.NewNameServer(engines...)
	router := r.NewRouter("n1", memoryMB, sockets, names, rig.PlanningSettings(), engines)
	router.Start()
	c, err := r.Dial(router.Listen)
	if err != nil {
		r.Exit(rig.NotRun, "client: %v", err)
	}
	load := func(seconds float64) {
		for end := r.Now() + seconds; r.Now() < end; {
			c.Call("select a from sales_17.orders where id = 1 /* hold=50 */", 4, rig.Lookup("50")...)
			rig.Sleep(0.05)
		}
	}
	load(2)
	if r.Trouble {
		names.SetDelay(answerDelay)
		r.Logf("the name server takes %.1f s for each answer from now on", answerDelay)
	}
	load(6)
	engines[0].Draining = true
	drained := r.Now()
	firstTold, answers := math.Inf(1), 0
	names.OnTold(func(serial uint32) {
		if serial != 2 {
			return
		}
		if answers++; answers == 1 {
			firstTold = r.Now()
			r.Logf("the first answer that tells the drain of s-1 is sent")
		}
	})
	names.SetList(2, engines...)
	r.Logf("s-1 begins to drain")
	load(14)
	rig.Sleep(0.2)
	names.OnTold(nil)

	before, after, last := 0, 0, 0.0
	for _, f := range engines[0].Fetches() {
		switch {
		case f.At <= drained:
			before++
		case f.At > drained+mustBeTold+drainGrace+slack:
			after++
			fallthrough
		default:
			last = f.At - drained
		}
	}
	router.CopyLog(6, "list of engines", "name server", "panic")
	text := fmt.Sprintf("s-1 got %d commands before its drain; the first answer that told it was sent after %.1f s, %d such answers in all; %d new commands later than %.1f s after it, the last %.1f s after",
		before, firstTold-drained, answers, after, mustBeTold+drainGrace+slack, last)
	if before == 0 {
		r.Exit(rig.NotRun, "%s", text)
	}
	if after > 0 || router.Ended() {
		r.Exit(rig.Broken, "%s", text)
	}
	r.Exit(rig.Held, "%s", text)
}

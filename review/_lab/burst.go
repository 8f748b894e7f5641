package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// burst: usual clients send as many requests at once as a connection carries, and read all answers at once. Without the trouble each
// sends one after another.
func burst(w *World, trouble bool) error {
	mb, sockets, conns, each := envInt("MB", 32), envInt("SOCKETS", 1024), envInt("CONNS", 4), envInt("EACH", 32)
	page := strings.Repeat(strings.Repeat("r", 95)+"\ty\tz\n", 60)
	var pages []string
	for range 8 {
		pages = append(pages, page)
	}
	whole := strings.Join(pages, "")
	answered, ran := map[string]int{}, map[string]bool{}
	var mu sync.Mutex
	var engines []*Engine
	for n := range 3 {
		e, err := w.NewEngine(fmt.Sprintf("e-%d", n+1), "hall", "small", 0, "127.0.0.1:0", func(c *EngineConn, f *Fetch) {
			w.Note("%s runs %s", c.E.UID, f.ID)
			mu.Lock()
			ran[f.ID] = true
			mu.Unlock()
			time.AfterFunc(30*time.Millisecond, func() { c.Serve(f, pages, 20) })
		})
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	names := w.NewNameServer()
	var list, targets []string
	for _, e := range engines {
		list, targets = append(list, e.Listing(false)), append(targets, e.Target())
	}
	names.SetList(1, list...)
	addr := FreeAddr("127.0.0.1")
	config := filepath.Join(w.dir, "config.json")
	os.WriteFile(config, []byte(fmt.Sprintf(`{"name":"n1","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
"nameserver":%q,"known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[%s]}}]},
"settings":{"Balancers":1,"Me":0,"MyZone":0,"Tick":5,"Discovery":"push","OverShareWorth":0.1,"Dcs":["hall"],"Kinds":["small"],
"Classes":[{"Name":"quick","Aim":1500,"AimStretch":2,"Deadline":5000,"Effect":"safe","Worth":1}],
"FamilyInfo":{"CpuOfKind":[16],"Dop":[1],"RanksHeeded":true},"Realms":[{"Name":"house","QuotaPerS":1000}],
"Limits":{"ConnIdle":30000,"ConnectTimeout":250,"MaxStreams":100,"MaxRetryAfter":500,"OpenCap":10000,"RetryAfter":true,"SendCap":4},
"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":15000}}}`, addr, mb, sockets, names.Addr, strings.Join(targets, ","))), 0o600)
	router, err := w.Start("n1", "exec bin/dunereach", "BALANCER_NAME=n1", "BALANCER_LISTEN="+addr, "BALANCER_CONFIG="+config)
	if err != nil {
		return err
	}
	defer func() {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", router.cmd.Process.Pid))
		for _, l := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(l, "VmHWM") {
				w.Note("the router's memory at most: %s", strings.Join(strings.Fields(l), " "))
			}
		}
	}()
	if !w.AwaitReady(addr, 20*time.Second) {
		return fmt.Errorf("not ready")
	}
	for round := range envInt("ROUNDS", 10) {
		var all sync.WaitGroup
		for range conns {
			c, err := w.NewClient(addr)
			if err != nil {
				return err
			}
			var open []*Call
			for range each {
				open = append(open, &Call{Ref: newRef(), Class: "quick", Statement: "select 1 from t_1.a", Allow: 5})
			}
			all.Go(func() {
				defer c.Close()
				for _, x := range open {
					w.Note("sent %s", x.Ref)
					if c.Send(x, "project", "house", "effort", "20", "memory", "8") != nil {
						x.Answer.Word = "not sent"
						continue
					}
					if !trouble {
						<-x.Done
					}
				}
				closed := 0
				for _, x := range open {
					if x.Done != nil {
						select {
						case <-x.Done:
						case <-time.After(7 * time.Second):
						}
					}
					w.Note("%s: %s at %.3f, %d bytes", x.Ref, x.Answer.Word, x.Answer.At, len(x.Answer.Body))
					mu.Lock()
					answered[x.Answer.Word]++
					forwarded := ran[x.Ref]
					mu.Unlock()
					switch {
					case x.Answer.Word == "closed" && forwarded:
						if closed++; closed == 1 {
							break // the answer to one may have begun
						}
						w.Broken("round %d: an engine has run request %s, and the router closed its connection without an answer", round, x.Ref)
					case x.Answer.N == 0 && x.SentAt > 0:
						w.Broken("round %d: no answer to %s", round, x.Ref)
					case x.Answer.Word == "answered" && x.Answer.Body != whole:
						w.Broken("round %d: a wrong answer to %s", round, x.Ref)
					}
				}
			})
		}
		all.Wait()
		time.Sleep(1300 * time.Millisecond) // 128 requests in 1.3 s and more: fewer than 110 a second
	}
	w.Note("%v", answered)
	return nil
}

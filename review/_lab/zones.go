package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones: a zone is evacuated by an order that is agreed on. Then the routers are restarted one after another, with settings that name one
// zone more. Without the trouble they are restarted with the settings that they had.
func zones(w *World, trouble bool) error {
	keepers, _, err := w.StartCoordinators()
	if err != nil {
		return err
	}
	names := []string{"hall", "yard", "dock"}
	var mu sync.Mutex
	sends := map[string]int{}
	engines := map[string]*Engine{}
	add := func(zone string) error {
		for n := range 2 {
			e, err := w.NewEngine(fmt.Sprintf("e-%s-%d", zone, n+1), zone, "small", 0, "127.0.0.1:0", func(c *EngineConn, f *Fetch) {
				w.Note("%s in %s got %s", c.E.UID, zone, f.ID)
				mu.Lock()
				sends[zone]++
				mu.Unlock()
				time.AfterFunc(20*time.Millisecond, func() { c.Serve(f, []string{"a\tb\tc\n"}, 20) })
			})
			if err != nil {
				return err
			}
			engines[e.UID] = e
		}
		return nil
	}
	for _, zone := range names {
		if err := add(zone); err != nil {
			return err
		}
	}
	nameServer := w.NewNameServer()
	rev := 0
	var targets []string
	publish := func() {
		rev++
		var list []string
		targets = nil
		for _, uid := range sortedKeys(engines) {
			list, targets = append(list, engines[uid].Listing(false)), append(targets, engines[uid].Target())
		}
		nameServer.SetList(uint32(rev), list...)
	}
	publish()
	operator := filepath.Join(w.dir, "operator.json")
	os.WriteFile(operator, []byte(fmt.Sprintf(`{"fleet":{"keepers":["%s"],"folder":%q}}`, strings.Join(keepers, `","`), filepath.Join(w.dir, "fences"))), 0o600)
	var addrs []string
	for range 3 {
		addrs = append(addrs, FreeAddr("127.0.0.1"))
	}
	configure := func(n int, zones []string, own string) {
		me := 0
		for k, z := range zones {
			if z == own {
				me = k
			}
		}
		text := fmt.Sprintf(`{"name":"n%d","listen":%q,"seed":"8c1f30d27a5be96%d","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"nameserver":%q,"known":{"rev":%d,"notices":[{"rev":%d,"pool":{"rev":%d,"all":true,"targets":[%s]}}]},
"settings":{"Balancers":3,"Me":%d,"MyZone":%d,"Tick":5,"Discovery":"push","OverShareWorth":0.1,"Dcs":["%s"],"Kinds":["small"],
"Classes":[{"Name":"quick","Aim":500,"AimStretch":2,"Deadline":3000,"Effect":"safe","Worth":1}],
"FamilyInfo":{"CpuOfKind":[4],"Dop":[1],"RanksHeeded":true},"Realms":[{"Name":"house","QuotaPerS":1000}],
"Limits":{"ConnIdle":30000,"ConnectTimeout":250,"MaxStreams":100,"MaxRetryAfter":500,"OpenCap":10000,"RetryAfter":true,"SendCap":4},
"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":15000}}}`,
			n+1, addrs[n], n, nameServer.Addr, rev, rev, rev, strings.Join(targets, ","), n, me, strings.Join(zones, `","`))
		os.WriteFile(filepath.Join(w.dir, fmt.Sprint("config", n)), []byte(text), 0o600)
	}
	var routers []*Process
	for n := range 3 {
		configure(n, names, names[n])
		p, err := w.Start(fmt.Sprint("n", n+1), "exec bin/dunereach", fmt.Sprint("BALANCER_NAME=n", n+1), "BALANCER_LISTEN="+addrs[n],
			"BALANCER_CONFIG="+filepath.Join(w.dir, fmt.Sprint("config", n)), "DUNEREACH_OPERATOR="+operator)
		if err != nil {
			return err
		}
		routers = append(routers, p)
	}
	for _, addr := range addrs {
		if !w.AwaitReady(addr, 20*time.Second) {
			return fmt.Errorf("a router is not ready")
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 3 {
		for range 4 {
			clients.Go(func() { w.calmClient(addrs[n], stop) })
		}
	}
	fleet := func(args ...string) (string, error) {
		out, err := exec.Command(filepath.Join(w.bin, "dunefleet"), append(append([]string{"fleet"}, args...), "--keepers", strings.Join(keepers, ","))...).CombinedOutput()
		w.Note("fleet %v: %v: %s", args, err, strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", " | "))
		return string(out), err
	}
	counts := func(d time.Duration) map[string]int {
		mu.Lock()
		clear(sends)
		mu.Unlock()
		time.Sleep(d)
		mu.Lock()
		defer mu.Unlock()
		n := map[string]int{}
		for z, k := range sends {
			n[z] = k
		}
		w.Note("sends by zone in %v: %v", d, n)
		return n
	}
	time.Sleep(12 * time.Second)
	counts(2 * time.Second)
	out, err := fleet("evacuate", "dock")
	if err != nil || !strings.Contains(out, "agreed") {
		return fmt.Errorf("the order was not agreed on: %v", err)
	}
	time.Sleep(8 * time.Second)
	if n := counts(4 * time.Second); n["dock"] > 0 {
		return fmt.Errorf("the zone was not evacuated in the first place: %v", n)
	}
	after := names
	if trouble {
		after = []string{"annex", "hall", "yard", "dock"}
		if err := add("annex"); err != nil {
			return err
		}
		publish()
	}
	for n, p := range routers {
		configure(n, after, names[n])
		p.Signal(syscall.SIGTERM)
		if !p.AwaitEnd(10 * time.Second) {
			return fmt.Errorf("a router does not end")
		}
		if err := p.Run(); err != nil {
			return err
		}
		if !w.AwaitReady(addrs[n], 20*time.Second) {
			return fmt.Errorf("a router is not ready again")
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(25 * time.Second)
	n := counts(10 * time.Second)
	fleet("plan")
	if n["dock"] > 0 {
		w.Broken("25 s after the last restart the evacuated zone dock got %d sends in 10 s: %v", n["dock"], n)
	}
	close(stop)
	clients.Wait()
	return nil
}

// calmClient sends a request after each answer, and connects again where its connection ends.
func (w *World) calmClient(addr string, stop <-chan struct{}) {
	for {
		c, err := w.NewClient(addr)
		for err == nil {
			select {
			case <-stop:
				c.Close()
				return
			case <-time.After(60 * time.Millisecond):
			}
			x := &Call{Ref: newRef(), Class: "quick", Statement: "select * from t_1.a", Allow: 3}
			if err = c.Send(x, "project", "house", "effort", "20", "memory", "8"); err == nil {
				<-x.Done
				if x.Answer.Word == "closed" {
					break
				}
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

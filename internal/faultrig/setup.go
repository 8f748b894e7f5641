package faultrig

// This file sets up a fleet: folders, addresses, proxies and configurations.

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"dunereach/emulator/engine"
	"dunereach/emulator/scenario"
	"dunereach/internal/discovery"
	"dunereach/internal/fake"
)

// Options of a rig in addition to its scenario.
type Options struct {
	WarmServers    bool     // the servers started long ago
	Quota          float64  // quota in requests per second of the tenant of all clients; 0: 1000
	Clients        []int    // clients of each router, if there is load; nil: one each
	TaskKinds      []string // kinds of tasks that routers are candidates for; nil: all
	LinkFaults     bool     // proxies between routers and servers, for faults in these links
	ServerCores    float64  // cores of each model server; 0: servers that answer in 3 ms instead
	HiddenZone     int      // zone (from 1) that is not in the server lists at first; 0: none; requires LinkFaults
	WorkPerRequest float64  // core seconds of each request; 0: 0.005
	LatencyTarget  int      // latency target in ms; 0: 1000
	SaveState      bool     // routers save their learned state in a folder
}

// New returns a fleet for a scenario. Start starts its processes.
func New(f scenario.File, bin, dir string, log func(string)) (*Rig, error) {
	return NewWith(f, Options{}, bin, dir, log)
}

// NewWith is New with options.
func NewWith(f scenario.File, options Options, bin, dir string, log func(string)) (*Rig, error) {
	r := &Rig{options: options, file: f, bin: bin, dir: dir, procs: map[string]*process{}, proxies: map[string]*proxy{}, fakes: &fake.Standalone{}, log: log,
		addressPrefix: fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256)), startedAt: time.Now(), stop: make(chan struct{}), startRequests: make(chan func())}
	if r.log == nil {
		r.log = func(string) {}
	}
	r.audit = newAudit(r)
	// Pdeathsig ends a process with the thread that started it. Start all on one thread that lives until the rig is closed.
	go func() {
		runtime.LockOSThread()
		for start := range r.startRequests {
			start()
		}
	}()
	if len(f.Events) > 0 || f.Routers > 0 {
		if f.Routers > 90 || f.Coordinators > 9 {
			return nil, errors.New("at most 90 routers and 9 coordinators are supported")
		}
	}
	r.nameServer = fake.NewNameServer(r.fakes, discovery.ServiceName)
	var targets []string
	serversStartedMs := time.Now().Add(-time.Second).UnixMilli()
	if options.WarmServers {
		serversStartedMs = 0
	}
	r.hung = make([]atomic.Bool, f.Servers)
	for n := range f.Servers {
		messages := make(chan fake.Message, 1000)
		e := fake.NewServer(r.fakes, messages)
		if options.ServerCores > 0 {
			modelMessages := make(chan fake.Message, 1000)
			ctx, cancel := context.WithCancel(context.Background())
			r.fakes.Cleanup(cancel)
			pace := make(chan float64)
			r.paceChanges = append(r.paceChanges, pace)
			go fake.RunPaced(ctx, engine.Settings{Cores: options.ServerCores, MaxQueries: 256, Knee: 2, ContentionLoss: 0.3}, modelMessages, pace)
			go r.forwardToModel(n, messages, modelMessages)
		} else {
			go r.answerRequests(n, messages)
		}
		r.serverAddrs = append(r.serverAddrs, e.Addr)
		r.serverList = append(r.serverList, fmt.Sprintf("e-%d.%s 0 10 std 0 %d %s", n+1, f.Zone(n), serversStartedMs, e.Addr))
		targets = append(targets, fmt.Sprintf(`{"uid":"e-%d","endpoint":"%s","az":"%s","model":"std","state":"ready","boot_ms":%d}`, n+1, e.Addr, f.Zone(n), serversStartedMs))
	}
	r.serversStartedMs = serversStartedMs
	r.nameServer.SetList(1, r.serverList...)
	if err := r.configure(targets); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// configure creates the folders, proxies and configuration files of all processes.
func (r *Rig) configure(targets []string) error {
	var spec, addrs []string
	for n := range r.file.Coordinators {
		name := fmt.Sprint("k", n+1)
		front, back := fmt.Sprint(r.addressPrefix, 101+n, ":7000"), fmt.Sprint(r.addressPrefix, 11+n, ":7000")
		spec = append(spec, fmt.Sprintf("%s=%s@%s", name, front, r.file.Zone(n)))
		addrs = append(addrs, front)
		p := &process{name: name, zone: r.file.Zone(n), addr: front, folder: filepath.Join(r.dir, name)}
		p.args = []string{"dunekeep", "run", p.folder, "--listen", back, "--from", host(back)}
		r.procs[name] = p
		l, err := newProxy(front, back, name, r.processAt)
		if err != nil {
			return err
		}
		r.proxies[name] = l
	}
	for n := range r.file.Coordinators {
		name := fmt.Sprint("k", n+1)
		args := []string{"init", r.procs[name].folder, "--name", name, "--keepers", strings.Join(spec, ","),
			"--lease", fmt.Sprint(r.file.Lease), "--drift", fmt.Sprint(r.file.Drift)}
		if n > 0 {
			args = append(args, "--record", r.registryToken)
		}
		out, err := exec.Command(filepath.Join(r.bin, "dunekeep"), args...).CombinedOutput()
		if err != nil {
			return fmt.Errorf("dunekeep init: %v: %s", err, out)
		}
		r.registryToken = strings.TrimSpace(string(out))
	}
	var zones []string
	for n := range r.file.Zones {
		zones = append(zones, fmt.Sprintf(`"z%d"`, n+1))
	}
	for n := range r.file.Routers {
		name := fmt.Sprint("n", n+1)
		ip := fmt.Sprint(r.addressPrefix, 121+n)
		p := &process{name: name, zone: r.file.Zone(n), addr: ip + ":4100", folder: filepath.Join(r.dir, name)}
		if err := os.MkdirAll(p.folder, 0o700); err != nil {
			return err
		}
		targets, nameServer := targets, r.nameServer.Addr
		if r.options.LinkFaults {
			var err error
			if targets, nameServer, err = r.newRouterList(name); err != nil {
				return err
			}
		}
		config, operators := filepath.Join(p.folder, "config.json"), filepath.Join(p.folder, "operator.json")
		text := fmt.Sprintf(`{"seed":"%016x","limits":{"cores":1,"memory_mb":192,"sockets":1024},"nameserver":"%s",
			"known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[%s]}}]},
			"settings":{"Balancers":%d,"Me":%d,"MyZone":%d,"Tick":5,"Dcs":[%s],"Kinds":["std"],"Discovery":"push","OverShareWorth":0.1,
			"Classes":[{"Name":"lookup","Aim":%d,"Deadline":5000,"Effect":"safe","Worth":1},
				{"Name":"order","Aim":%d,"Deadline":5000,"Effect":"unsafe","Worth":1}],
			"FamilyInfo":{"CpuOfKind":[%d],"RanksHeeded":true},"Realms":[{"Name":"acme","QuotaPerS":%v}],
			"Limits":{"ConnIdle":30000,"ConnectTimeout":250,"MaxStreams":100,"MaxRetryAfter":500,"OpenCap":1000,"RetryAfter":true,"SendCap":6},
			"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":7200000}}}`,
			rand.Uint64(), nameServer, strings.Join(targets, ","), r.file.Routers, n, n%r.file.Zones, strings.Join(zones, ","),
			cmp.Or(r.options.LatencyTarget, 1000), cmp.Or(r.options.LatencyTarget, 1000), cores, cmp.Or(r.options.Quota, 1000))
		fleet := map[string]any{"keepers": addrs, "zone": p.zone, "region": "r", "from": ip, "trace": true}
		if r.file.PersistentFolders {
			fleet["folder"] = filepath.Join(p.folder, "state")
		}
		if r.options.TaskKinds != nil {
			fleet["works"] = r.options.TaskKinds
		}
		section := map[string]any{}
		if r.file.Coordinators > 0 {
			section["fleet"] = fleet
		}
		if r.options.SaveState {
			section["state"] = map[string]any{"folder": filepath.Join(p.folder, "kept"), "snapshot_s": 2, "record_s": 0.5}
		}
		operator, _ := json.Marshal(section)
		for path, t := range map[string]string{config: text, operators: string(operator)} {
			if err := os.WriteFile(path, []byte(t), 0o600); err != nil {
				return err
			}
		}
		p.args = []string{"dunereach"}
		p.env = []string{"BALANCER_NAME=" + name, "BALANCER_LISTEN=" + p.addr, "BALANCER_CONFIG=" + config, "DUNEREACH_OPERATOR=" + operators}
		r.procs[name] = p
	}
	return nil
}

// routerList is the server list of one router, with the addresses of its own proxies.
type routerList struct {
	server     *fake.NameServer
	proxyAddrs []string // by server
	serial     uint32
}

// newRouterList starts a name server and a proxy to each server for one router.
func (r *Rig) newRouterList(name string) (targets []string, nameServerAddr string, err error) {
	o := &routerList{server: fake.NewNameServer(r.fakes, discovery.ServiceName)}
	for n, addr := range r.serverAddrs {
		e := fmt.Sprint("e", n+1)
		l, err := newProxy("127.0.0.1:0", addr, e, func(string) string { return name })
		if err != nil {
			return nil, "", err
		}
		r.proxies[name+" "+e] = l
		o.proxyAddrs = append(o.proxyAddrs, l.listener.Addr().String())
		if n%r.file.Zones != r.options.HiddenZone-1 {
			targets = append(targets, fmt.Sprintf(`{"uid":"e-%d","endpoint":"%s","az":"%s","model":"std","state":"ready","boot_ms":%d}`, n+1, o.proxyAddrs[n], r.file.Zone(n), r.serversStartedMs))
		}
	}
	r.routerLists = append(r.routerLists, o)
	o.publish(r, r.options.HiddenZone, 0, 0)
	return targets, o.server.Addr, nil
}

// publish publishes the list without one zone (from 1), and with the servers of another zone as started at the given
// time in milliseconds.
func (o *routerList) publish(r *Rig, omittedZone, restartedZone int, serversStartedMs int64) {
	var list []string
	for n, proxyAddr := range o.proxyAddrs {
		if n%r.file.Zones == omittedZone-1 {
			continue
		}
		start := r.serversStartedMs
		if n%r.file.Zones == restartedZone-1 {
			start = serversStartedMs
		}
		list = append(list, fmt.Sprintf("e-%d.%s 0 10 std 0 %d %s", n+1, r.file.Zone(n), start, proxyAddr))
	}
	o.serial++
	o.server.SetList(o.serial, list...)
}

// PublishServerLists publishes a list with all zones to all routers. The servers of one zone (from 1, 0: none) have
// just started by it.
func (r *Rig) PublishServerLists(zone int) {
	for _, o := range r.routerLists {
		o.publish(r, 0, zone, time.Now().UnixMilli())
	}
}

// forwardToModel records the messages of a model server and passes them on.
func (r *Rig) forwardToModel(n int, messages <-chan fake.Message, model chan<- fake.Message) {
	for {
		select {
		case s := <-messages:
			if s.Words[0] == "fetch" {
				r.audit.attemptReceived(n, s.Body, strings.Contains(","+s.Words[2]+",", ",order=0,"))
			}
			select {
			case model <- s:
			case <-r.stop:
				return
			}
		case <-r.stop:
			return
		}
	}
}

// host returns the host part of an address.
func host(addr string) string {
	h, _, _ := net.SplitHostPort(addr)
	return h
}

// processAt returns the name of the process with a source address.
func (r *Rig) processAt(ip string) string {
	var n int
	if _, err := fmt.Sscan(strings.TrimPrefix(ip, r.addressPrefix), &n); err != nil {
		return ip
	}
	if n > 120 {
		return fmt.Sprint("n", n-120)
	}
	return fmt.Sprint("k", n-10)
}

// answerRequests answers all requests of a server after 3 ms, unless it is hung, and counts them.
func (r *Rig) answerRequests(n int, messages <-chan fake.Message) {
	for {
		select {
		case s := <-messages:
			if s.Words[0] == "fetch" {
				r.audit.attemptReceived(n, s.Body, strings.Contains(","+s.Words[2]+",", ",order=0,"))
				if r.hung[n].Load() {
					r.audit.addHungProbe(n, s.Body)
					break
				}
				time.AfterFunc(3*time.Millisecond, func() { s.Answer("served", "count=1,ticks=5", "x\t\t\n") })
			}
		case <-r.stop:
			return
		}
	}
}

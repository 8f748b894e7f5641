// Package demo runs a router with fake servers, name server and clients for some seconds and prints the results of two
// teams.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"dunereach/emulator/engine"
	"dunereach/internal/discovery"
	"dunereach/internal/fake"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Options of a demonstration.
type Options struct {
	RouterPath      string  // path of the program
	Seconds         float64 // duration of the load
	Servers         int
	PlanningClients int // clients of the team planning, each with one report at a time
	ClerksClients   int // clients of the team clerks, each with one lookup at a time
}

// team is the results of one team.
type team struct {
	name                string
	mu                  sync.Mutex
	completed, rejected int
	failed              int
	waits, latency      []float64 // before the first attempt, and in total; ms
	inTime              int
}

const (
	cores = 4
	// Latency targets of the profiles.
	lookupTarget, reportTarget = 800.0, 4000.0 // ms
)

// Run runs the demonstration and prints the table.
func Run(ctx context.Context, o Options, out io.Writer) error {
	d := &fake.Standalone{}
	defer d.RunCleanups()
	dir, err := os.MkdirTemp("", "dunereach-demo")
	if err != nil {
		return err
	}
	d.Cleanup(func() { os.RemoveAll(dir) })
	ctx, cancel := context.WithCancel(ctx)
	d.Cleanup(cancel)
	routerFiles, err := o.setUp(ctx, d, dir)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, o.RouterPath, "serve")
	cmd.Env = append(os.Environ(), "BALANCER_NAME=demo", "BALANCER_LISTEN="+routerFiles.addr, "BALANCER_CONFIG="+routerFiles.config, "DUNEREACH_OPERATOR="+routerFiles.operators)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	d.Cleanup(func() { log.Close() })
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%s: %v (run `make build` to build it)", o.RouterPath, err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	fmt.Fprintf(out, "A router at %s, %d model engines of %d cores, a name server; %.0f s of load by two teams of equal weight:\n"+
		"planning requests reports of 1 core second, %d at a time; clerks sends lookups continuously, %d at a time.\n\n",
		routerFiles.addr, o.Servers, cores, o.Seconds, o.PlanningClients, o.ClerksClients)
	planning, clerks := o.load(d, routerFiles.addr)
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err = <-exited:
	case <-time.After(fake.Timeout):
		err = fmt.Errorf("the router did not exit in time")
	}
	if err != nil {
		text, _ := os.ReadFile(log.Name())
		return fmt.Errorf("%v\n%s", err, text)
	}
	return printTable(out, planning, clerks)
}

// files is the router's listen address and the paths of its files.
type files struct{ addr, config, operators string }

// setUp starts a name server and model servers, and writes the router's files to a folder.
func (o *Options) setUp(ctx context.Context, d *fake.Standalone, dir string) (f files, err error) {
	nameServer := fake.NewNameServer(d, discovery.ServiceName)
	var list, targets []string
	for k := range o.Servers {
		messages := make(chan fake.Message, 1000) // more than the sessions of a server, so that readers never block
		e := fake.NewServer(d, messages)
		go fake.RunModel(ctx, engine.Settings{Cores: cores, MaxQueries: 64, Knee: 2, ContentionLoss: 0.3, ProgressInterval: 2}, messages)
		list = append(list, fmt.Sprintf("e-%d.hall 0 10 small 0 0 %s", k, e.Addr))
		targets = append(targets, fmt.Sprintf(`{"uid":"e-%d","endpoint":"%s","az":"hall","model":"small","state":"ready"}`, k, e.Addr))
	}
	nameServer.SetList(1, list...)
	f.addr = fmt.Sprintf("127.%d.%d.%d:4100", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254)) // a random loopback address, used by this router only
	f.config, f.operators = filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.json")
	if err := write(f.config, configuration(f.addr, nameServer.Addr, targets)); err != nil {
		return f, err
	}
	if err := write(f.operators, teamsFile); err != nil {
		return f, err
	}
	return f, nil
}

// load runs the clients of both teams for the configured time and returns the results of the teams.
func (o *Options) load(d *fake.Standalone, addr string) (planning, clerks *team) {
	planning, clerks = &team{name: "planning"}, &team{name: "clerks"}
	until := time.Now().Add(time.Duration(o.Seconds * 1e9))
	var clients sync.WaitGroup
	for k := range o.PlanningClients + o.ClerksClients {
		clients.Go(func() {
			if k < o.PlanningClients {
				planning.client(d, addr, uint64(k), until, "report", "hq", 1, 2, reportTarget)
			} else {
				clerks.client(d, addr, uint64(k), until, "lookup", "depot", 0.05, 1, lookupTarget)
			}
		})
	}
	clients.Wait()
	return planning, clerks
}

// printTable prints a line for each team.
func printTable(out io.Writer, teams ...*team) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "team\tcompleted\tin time\trejected\tfailed\twaited p50\tp90 (ms)\ttook p50\tp90 (ms)\t")
	for _, t := range teams {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t\n", t.name, t.completed, t.inTime, t.rejected, t.failed,
			quantile(t.waits, 0.5), quantile(t.waits, 0.9), quantile(t.latency, 0.5), quantile(t.latency, 0.9))
	}
	return table.Flush()
}

// quantile returns a quantile of x, NaN if x is empty. It sorts x.
func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return math.NaN()
	}
	stat.SortWeighted(x, nil)
	return stat.Quantile(q, stat.Empirical, x, nil)
}

var responseField = regexp.MustCompile(`(cooldown|waited)=(\d+)`)

// client sends one request after another until the end of the load, and pauses for as long as a rejection asks for.
func (t *team) client(d *fake.Standalone, addr string, seed uint64, until time.Time, profile, tenant string, work, threads, target float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	size := distuv.LogNormal{Mu: math.Log(work) - 0.2, Sigma: math.Sqrt(0.4), Src: rnd}
	c := fake.NewClient(d, addr)
	for n := 0; time.Now().Before(until); n++ {
		cost := size.Rand()
		began := time.Now()
		c.Call(fmt.Sprintf("select * from plan_%d.legs /* work=%.4f threads=%.0f */", n%5, cost, threads),
			"service", profile, "project", tenant, "allow", "15000", "ref", fmt.Sprintf("%08x%08x", seed, n),
			"effort", fmt.Sprintf("%.1f", cost*1000))
		answer := c.NextAnswer()
		pause := t.recordAnswer(answer, time.Since(began).Seconds()*1000, target)
		time.Sleep(pause)
	}
}

// recordAnswer counts an answer and returns the pause that a rejection asks for.
func (t *team) recordAnswer(answer string, latency, target float64) (pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fields := map[string]float64{}
	for _, m := range responseField.FindAllStringSubmatch(answer, -1) {
		fields[m[1]], _ = strconv.ParseFloat(m[2], 64)
	}
	switch {
	case strings.Contains(answer, "call{ 0={"):
		t.completed++
		t.latency, t.waits = append(t.latency, latency), append(t.waits, fields["waited"])
		if latency <= target {
			t.inTime++
		}
	case strings.Contains(answer, "call{ 1={"):
		t.rejected++
		return time.Duration(fields["cooldown"] * 1e6)
	default:
		t.failed++
	}
	return 0
}

func write(path, text string) error { return os.WriteFile(path, []byte(text), 0o600) }

const teamsFile = `{
  "teams": [
    {"name": "office", "weight": 1},
    {"name": "planning", "under": "office", "weight": 1, "tenants": ["hq"]},
    {"name": "clerks", "under": "office", "weight": 1, "tenants": ["depot"]}
  ],
  "budgets": {"default": "clerks"},
  "waits": {"fields": true}
}`

// configuration returns the router's configuration file.
func configuration(addr, nameServerAddr string, targets []string) string {
	text, _ := json.Marshal(map[string]any{
		"name": "demo", "listen": addr, "seed": "8c1f30d27a5be964", "nameserver": nameServerAddr,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"rev": 1, "notices": []any{map[string]any{"rev": 1, "pool": map[string]any{"rev": 1,
			"all": true, "targets": json.RawMessage("[" + strings.Join(targets, ",") + "]")}}}},
		"settings": json.RawMessage(fmt.Sprintf(`{"Balancers":1,"Tick":5,"Discovery":"push","OverShareWorth":1,"Dcs":["hall"],
			"Kinds":["small"],"Classes":[
			{"Name":"lookup","Aim":%v,"AimStretch":0,"Deadline":15000,"Effect":"safe","Worth":1},
			{"Name":"report","Aim":%v,"AimStretch":0,"Deadline":15000,"Effect":"safe","Worth":10}],
			"FamilyInfo":{"CpuOfKind":[%d],"Dop":[1,2],"RanksHeeded":true},
			"Realms":[{"Name":"hq","QuotaPerS":10000},{"Name":"depot","QuotaPerS":10000}],
			"Limits":{"ConnIdle":30000,"ConnectTimeout":250,"MaxStreams":100,"MaxRetryAfter":1000,"OpenCap":10000,"RetryAfter":true,
			"SendCap":4},"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":15000}}`,
			lookupTarget, reportTarget, cores)),
	})
	return string(text)
}

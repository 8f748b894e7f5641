package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dunereach/internal/discovery"
	"dunereach/internal/fake"
	"dunereach/internal/script"

	"github.com/google/go-cmp/cmp"
)

var program string

func TestMain(m *testing.M) {
	floodFromEnvironment()
	script.BuildAndRun(m, func(dir string) { program = filepath.Join(dir, "dunereach") }, "../dunecheck", ".")
}

// writeSettings writes a configuration and, unless it is empty, an operators' file to a folder. It returns the environment that
// names both.
func writeSettings(dir, configText, operatorText string) []string {
	config, operator := filepath.Join(dir, "config.json"), ""
	os.WriteFile(config, []byte(configText), 0o600)
	if operatorText != "" {
		operator = filepath.Join(dir, "operator.json")
		os.WriteFile(operator, []byte(operatorText), 0o600)
	}
	return append(os.Environ(), "BALANCER_CONFIG="+config, "DUNEREACH_OPERATOR="+operator)
}

// TestCheck: both the check command and the start of the router report an unusable file in one line, with the place and the cause of
// the error.
func TestCheck(t *testing.T) {
	good, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, old, new, operator, want string }{
		{"as it is", "", "", "", ""},
		{"a good operators' file", "", "", `{"teams":[{"name":"a","weight":1,"tenants":["house"]}],"budgets":{"default":"a"}}`, ""},
		{"target", `"Aim": 500`, `"Aim": -500`, "", "/Classes/0/Aim: -500 is negative"},
		{"memory", `"memory_mb": 192`, `"memory_mb": -1`, "", "/limits/memory_mb: -1 is negative"},
		{"a key that is none", "", "", `{"budget":{}}`, "/: unknown key 'budget'"},
		{"a weight", "", "", `{"teams":[{"name":"a","weight":0}],"budgets":{"default":"a"}}`, "/teams/0/weight: 0 is not over 0"},
		{"a subset of nothing", "", "", `{"subset":{"size":0}}`, "/subset/size: 0 is"},
		{"a subset without a size", "", "", `{"subset":{}}`, "/subset: "},
		{"two routers of a name", "", "", `{"subset":{"size":8,"routers":[{"name":"a","zone":"hall"},{"name":"a","zone":"hall"}]}}`,
			`/subset/routers/1/name: "a" is the name of router 0 of the list too`},
		{"two routers of a place", "", "", `{"subset":{"size":8,"routers":[{"name":"a","zone":"hall"},{"name":"b","zone":"hall","place":0}]}}`,
			`/subset/routers/1/place: 0 is the place of "a" too`},
		{"a router in no zone", "", "", `{"subset":{"size":8,"routers":[{"name":"a","zone":"loft"}]}}`, `/subset/routers/0/zone: "loft" is no zone`},
		{"nearness beyond what is safe", "", "", `{"subset":{"size":8,"near":0.6,"region":0.5,"regions":{"x":["hall"]}}}`, "/subset/near: 0.6"},
		{"a zone without a weight", "", "", `{"subset":{"size":8,"zones":{"hall":1}}}`, `/subset/zones: zone "yard" of the settings is missing`},
		{"a zone of weight 0", "", "", `{"subset":{"size":8,"zones":{"hall":1,"yard":0}}}`, "/subset/zones/yard: 0 is no weight"},
		{"a region of no zone", "", "", `{"subset":{"size":8,"regions":{"x":["loft"]}}}`, `/subset/regions/x/0: "loft" is no zone`},
		{"no JSON", "", "", `{"teams":`, "line 1, column 9: unexpected end of JSON input"},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := writeSettings(t.TempDir(), strings.Replace(string(good), c.old, c.new, 1), c.operator)
			checked := exec.Command(program, "check")
			checked.Env = env
			out, err := checked.CombinedOutput()
			if c.want == "" {
				if err != nil {
					t.Fatalf("%v: %s", err, out)
				}
				return
			}
			if status := checked.ProcessState.ExitCode(); status != 2 || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), c.want) {
				t.Errorf("check: status %d, output %q, want %q", status, out, c.want)
			}
			served := exec.Command(program)
			served.Env = env
			out, _ = served.CombinedOutput()
			if status := served.ProcessState.ExitCode(); status != 1 || !strings.Contains(string(out), c.want) {
				t.Errorf("start: status %d, output %q, want %q", status, out, c.want)
			}
		})
	}
}

// testSettings has one server kind and three profiles: an idempotent one, a non-idempotent one that must never run twice, and one
// that runs requests in the order of arrival.
const testSettings = `{"Balancers":1,"Tick":5,"Dcs":["east"],"Kinds":["std"],"Discovery":"push",
	"Classes":[{"Name":"lookup","Aim":20000,"Deadline":30000,"Effect":"safe","Worth":1},
		{"Name":"order","Aim":20000,"Deadline":30000,"Effect":"unsafe","Worth":1},
		{"Name":"ledger","Aim":20000,"Deadline":30000,"Effect":"safe","ByArrival":true,"Worth":1}],
	"FamilyInfo":{"CpuOfKind":[8],"RanksHeeded":true},"Realms":[{"Name":"acme","QuotaPerS":1000}],
	"Limits":{"ConnIdle":30000,"ConnectTimeout":5000,"MaxStreams":100,"MaxRetryAfter":500,"OpenCap":1000,"RetryAfter":true,"SendCap":6},
	"Obligations":{"ColdFrom":0.35,"DrainGrace":250,"Fall":1000,"FallMultiple":2,"WarmUp":15000}}`

// cluster is a router with fakes of the servers and the name server that it connects to.
type cluster struct {
	t            testing.TB
	addr         string
	configPath   string
	operatorPath string // the operators' file; empty: none
	nameServer   *fake.NameServer
	servers      []*fake.Server
	received     chan fake.Message // messages that reach the servers
	text         string            // contents of the configuration file
	cmd          *exec.Cmd
	logLines     chan string
	lastRef      int // id of the last request

	descriptorLimit int      // descriptor limit of the router's process; 0: the limit of the test
	extraEnv        []string // of the router, beside the required variables
}

func newCluster(t testing.TB, servers int) *cluster { return newClusterWithLimit(t, servers, 1024) }

// newClusterWithLimit returns a cluster whose router is started, with the given descriptor limit in its configuration.
func newClusterWithLimit(t testing.TB, servers, descriptors int) *cluster {
	w := prepareCluster(t, servers, descriptors)
	w.start()
	return w
}

// prepareCluster returns a cluster whose router is not yet started.
func prepareCluster(t testing.TB, servers, descriptors int) *cluster {
	w := &cluster{t: t, nameServer: fake.NewNameServer(t, discovery.ServiceName), received: make(chan fake.Message, 1000)}
	// The router gets an address of its own: on a shared address, a port that was free may belong to a server by the time it starts.
	w.addr = fmt.Sprintf("127.%d.%d.%d:4100", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	var targets []string
	for k := range servers {
		w.servers = append(w.servers, fake.NewServer(t, w.received))
		targets = append(targets, fmt.Sprintf(`{"uid":"s-%d","endpoint":"%s","az":"east","model":"std","state":"ready"}`,
			k, w.servers[k].Addr))
	}
	w.configPath = filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":%d},"nameserver":"%s",
		"known":{"rev":1,"notices":[{"rev":1,"pool":{"rev":1,"all":true,"targets":[%s]}}]},"settings":%s}`,
		descriptors, w.nameServer.Addr, strings.Join(targets, ","), testSettings)
	w.text = text
	if err := os.WriteFile(w.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return w
}

// replaceConfig replaces a part of the configuration. Call it before the router starts.
func (w *cluster) replaceConfig(old, text string) {
	w.t.Helper()
	if !strings.Contains(w.text, old) {
		w.t.Fatalf("the configuration has no %q", old)
	}
	w.text = strings.Replace(w.text, old, text, 1)
	if err := os.WriteFile(w.configPath, []byte(w.text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// configFromPipe replaces the configuration file by a named pipe, so that a reader waits for the contents.
func (w *cluster) configFromPipe() {
	os.Remove(w.configPath)
	if err := syscall.Mkfifo(w.configPath, 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// writeOperatorFile writes the operators' file.
func (w *cluster) writeOperatorFile(text string) {
	w.operatorPath = filepath.Join(filepath.Dir(w.configPath), "operator.json")
	if err := os.WriteFile(w.operatorPath, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

func (w *cluster) routerCommand() *exec.Cmd {
	cmd := exec.Command(program)
	cmd.Env = append([]string{"BALANCER_NAME=n1", "BALANCER_LISTEN=" + w.addr, "BALANCER_CONFIG=" + w.configPath,
		"DUNEREACH_OPERATOR=" + w.operatorPath}, w.extraEnv...)
	return cmd
}

func (w *cluster) start() {
	w.cmd, w.logLines = w.routerCommand(), make(chan string, 1000)
	if w.descriptorLimit > 0 {
		w.cmd = withDescriptorLimit(w.cmd, w.descriptorLimit)
	}
	out, err := w.cmd.StderrPipe()
	if err == nil {
		err = w.cmd.Start()
	}
	if err != nil {
		w.t.Fatal(err)
	}
	cmd, logLines := w.cmd, w.logLines
	w.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			logLines <- s.Text()
		}
		close(logLines)
	}()
}

// waitForLog waits for a log line that contains part.
func (w *cluster) waitForLog(part string) {
	w.t.Helper()
	timeout := time.After(fake.Timeout)
	for {
		select {
		case line, ok := <-w.logLines:
			if strings.Contains(line, part) {
				return
			}
			if !ok {
				w.t.Fatalf("the log ended without %q", part)
			}
		case <-timeout:
			w.t.Fatalf("no %q in the log", part)
		}
	}
}

// receive waits for the next message that a server receives. It must start with the given verb.
func (w *cluster) receive(verb string) fake.Message {
	w.t.Helper()
	select {
	case s := <-w.received:
		if s.Words[0] != verb {
			w.t.Fatalf("a server received %q, want %s", s.Words, verb)
		}
		return s
	case <-time.After(fake.Timeout):
		w.cmd.Process.Kill()
		for line := range w.logLines {
			w.t.Log(line)
		}
		w.t.Fatalf("no server received %s", verb)
	}
	return fake.Message{}
}

// request sends a statement with a client timeout in milliseconds and returns its sequence number.
func (w *cluster) request(c *fake.Client, profile string, timeoutMs int, statement string) int32 {
	w.lastRef++
	return c.Call(statement, "service", profile, "project", "acme", "allow", fmt.Sprint(timeoutMs), "ref", fmt.Sprintf("%016x", w.lastRef))
}

// completeRequest lets a server run a request and checks that the client receives the result.
func (w *cluster) completeRequest(c *fake.Client, profile string) fake.Message {
	w.t.Helper()
	seq := w.request(c, profile, 30000, "SELECT 1")
	s := w.receive("fetch")
	s.Answer("served", "count=1", "x\t\t\n")
	w.expectAnswer(c, resultMessage(seq, "x\t\t\n"))
	return s
}

func (w *cluster) expectAnswer(c *fake.Client, want string) {
	w.t.Helper()
	if diff := cmp.Diff(want, c.NextAnswer()); diff != "" {
		w.t.Fatalf("the client got (-want +got):\n%s", diff)
	}
}

func (w *cluster) waitForExit(status int) {
	w.t.Helper()
	for range w.logLines { // until the process closes it
	}
	w.cmd.Wait()
	if got := w.cmd.ProcessState.ExitCode(); got != status {
		w.t.Errorf("exit status %d, want %d", got, status)
	}
}

func resultMessage(seq int32, body string) string {
	return fmt.Sprintf(`2/%d call{ 0={ 1=%q 2=[ ] 3=1 } }`, seq, body)
}

func TestServed(t *testing.T) {
	w := newCluster(t, 1)
	c := fake.NewClient(t, w.addr)
	if !c.Health() {
		t.Fatal("not ready")
	}
	one, two := w.request(c, "lookup", 30000, "SELECT 'a\r\nb' FROM sales_17.orders"), w.request(c, "order", 30000, "UPDATE sales_3.x")
	first, second := w.receive("fetch"), w.receive("fetch")
	if second.Words[1] < first.Words[1] { // they arrive on separate connections
		first, second = second, first
	}
	if first.Body != "SELECT 'a\r\nb' FROM sales_17.orders" || !strings.HasPrefix(first.Words[2], "kind=lookup,ms=") {
		t.Errorf("the server received %q, %q", first.Words, first.Body)
	}
	second.Answer("served", "count=1,ticks=12.5,footprint=4", "")
	w.expectAnswer(c, resultMessage(two, ""))
	first.Answer("update", "res=p,reading=0.5", "")
	first.Answer("served", "count=3,ticks=820,footprint=96", "1\t2\t3\n")
	w.receive("more").Answer("rows", "pos=1", "4\t5\t6\n")
	w.receive("more").Answer("rows", "pos=2", "7\t8\t9\n")
	w.expectAnswer(c, resultMessage(one, "1\t2\t3\n4\t5\t6\n7\t8\t9\n"))
	w.receive("done")
}

// TestSilentEngine: a request that no server answers is rejected before the client timeout, with a time after which to retry. An
// answer that arrives later is dropped.
func TestSilentEngine(t *testing.T) {
	w := newCluster(t, 1)
	c := fake.NewClient(t, w.addr)
	seq := w.request(c, "lookup", 300, "SELECT 1")
	late := w.receive("fetch")
	w.expectAnswer(c, fmt.Sprintf(`2/%d call{ 1={ 1=[ cooldown=250 ] } }`, seq))
	w.receive("abort")
	late.Answer("served", "count=1", "old\t\t\n")
	w.completeRequest(c, "lookup")
}

// TestFailed: a request that may have run and must not run twice fails. An idempotent request is retried on another server, and
// no part of the lost result reaches the client.
func TestFailed(t *testing.T) {
	w := newCluster(t, 2)
	c := fake.NewClient(t, w.addr)
	seq := w.request(c, "order", 30000, "UPDATE sales_3.x")
	w.receive("fetch").Reset()
	w.expectAnswer(c, fmt.Sprintf(`2/%d call{ 2={ 1=[ ] } }`, seq))
	seq = w.request(c, "lookup", 30000, "SELECT 1")
	first := w.receive("fetch")
	first.Answer("served", "count=2", "old\t\t\n")
	w.receive("more").Reset()
	again := w.receive("fetch")
	if again.Server == first.Server || again.Words[1] != first.Words[1] {
		t.Errorf("retry %q has another id or is at the same server", again.Words)
	}
	again.Answer("served", "count=1", "new\t\t\n")
	w.expectAnswer(c, resultMessage(seq, "new\t\t\n"))
}

// TestSpoilt: an unreadable answer ends only the attempt that it belongs to. Other attempts at that server continue, and the
// request is retried on another server. A duplicate of a good answer has no effect.
func TestSpoilt(t *testing.T) {
	w := newCluster(t, 2)
	c := fake.NewClient(t, w.addr)
	var open []fake.Message
	var seqs []int32
	for range 4 {
		seqs = append(seqs, w.request(c, "lookup", 30000, "SELECT 1"))
		open = append(open, w.receive("fetch"))
	}
	open[0].SendRaw(open[0].Words[1] + " served count=1 3000000000\r\nnoise")
	again := w.receive("fetch")
	if again.Words[1] != open[0].Words[1] || again.Server == open[0].Server {
		t.Errorf("retry %q has another id or is at the same server", again.Words)
	}
	for k, s := range append([]fake.Message{again}, open[1:]...) {
		s.Answer("served", "count=1", "x\t\t\n")
		s.Answer("served", "count=1", "y\t\t\n")
		w.expectAnswer(c, resultMessage(seqs[k], "x\t\t\n"))
	}
	w.completeRequest(c, "lookup")
}

// TestRefused: a server that refuses connections has run nothing, so even a non-idempotent request is retried on another
// server.
func TestRefused(t *testing.T) {
	w := newCluster(t, 2)
	w.servers[0].Close()
	c := fake.NewClient(t, w.addr)
	for range 6 {
		if s := w.completeRequest(c, "order"); s.Server != w.servers[1] {
			t.Error("an unreachable server received a request")
		}
	}
}

// TestDrain: once the drain of a server is reported it receives no new requests, and requests that run there complete.
func TestDrain(t *testing.T) {
	w := newCluster(t, 2)
	c := fake.NewClient(t, w.addr)
	entry := func(k, priority int) string {
		return fmt.Sprintf("s-%d.east %d 10 std 0 0 %s", k, priority, w.servers[k].Addr)
	}
	running := w.request(c, "lookup", 30000, "SELECT 1")
	there := w.receive("fetch")
	drains := 0
	if there.Server == w.servers[1] {
		drains = 1
	}
	w.nameServer.SetList(2, entry(drains, 1), entry(1-drains, 0))
	w.waitForLog(`"list of engines","rev":2`)
	for range 20 {
		if s := w.completeRequest(c, "lookup"); s.Server == there.Server {
			t.Fatal("a draining server received a request")
		}
	}
	there.Answer("served", "count=1", "y\t\t\n")
	w.expectAnswer(c, resultMessage(running, "y\t\t\n"))
}

// TestClients: a client that cancels gets no answer. A client whose messages can't be parsed loses its own connection, and no
// other.
func TestClients(t *testing.T) {
	w := newCluster(t, 1)
	c, bad := fake.NewClient(t, w.addr), fake.NewClient(t, w.addr)
	cancelled := w.request(c, "lookup", 30000, "SELECT 1")
	runs := w.receive("fetch") // a cancel before the attempt is sent would withdraw the request
	c.Cancel(cancelled)
	if !c.Health() { // its answer shows that the cancel was read
		t.Error("not ready")
	}
	runs.Answer("served", "count=1", "unwanted\t\t\n")
	bad.SendRaw([]byte("GET / HTTP/1.1\r\n\r\n"))
	if got := bad.NextAnswer(); got != "closed" && !strings.Contains(got, "reset") {
		t.Errorf("a client that speaks another protocol got %q", got)
	}
	seq := w.request(c, "nobody's", 30000, "SELECT 1")
	w.expectAnswer(c, fmt.Sprintf(`2/%d call{ 2={ 1=[ ] } }`, seq))
	w.completeRequest(c, "lookup")
}

// TestCrowd: connections without requests, or with part of one, are closed to free descriptors for others. A connection with an
// open request stays open.
func TestCrowd(t *testing.T) {
	w := newClusterWithLimit(t, 1, 48) // 18 of them for clients
	c := fake.NewClient(t, w.addr)
	seq := w.request(c, "lookup", 30000, "SELECT 1")
	open := w.receive("fetch")
	var crowd []*fake.Client
	for k := range 60 {
		crowd = append(crowd, fake.NewClient(t, w.addr))
		if k%2 == 0 {
			crowd[k].SendRaw([]byte{0, 0, 0, 50, 0x80})
		}
	}
	w.completeRequest(fake.NewClient(t, w.addr), "lookup")
	for _, c := range crowd {
		if got := c.NextAnswer(); got != "closed" && !strings.Contains(got, "reset") {
			t.Errorf("a client without requests got %q", got)
		}
	}
	open.Answer("served", "count=1", "x\t\t\n")
	w.expectAnswer(c, resultMessage(seq, "x\t\t\n"))
}

// TestEnd: after SIGTERM a router still accepts requests, answers all, and exits with status 0. A new process with the same name and
// address starts without state.
func TestEnd(t *testing.T) {
	w := newCluster(t, 1)
	c := fake.NewClient(t, w.addr)
	one := w.request(c, "lookup", 30000, "SELECT 1")
	first := w.receive("fetch")
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.waitForLog("asked to end")
	if c.Health() {
		t.Error("still ready")
	}
	w.completeRequest(c, "lookup")
	first.Answer("served", "count=1", "one\t\t\n")
	w.expectAnswer(c, resultMessage(one, "one\t\t\n"))
	w.expectAnswer(c, "closed")
	w.waitForExit(0)

	w.start()
	c = fake.NewClient(t, w.addr)
	if !c.Health() {
		t.Error("not ready after a new start")
	}
	w.completeRequest(c, "lookup")
}

// TestReload: SIGHUP, also several in a row, makes the router read its configuration again while open requests continue. The new name
// server applies at once, and answers of the old one are ignored. An unreadable file changes nothing.
func TestReload(t *testing.T) {
	w := newCluster(t, 2)
	c := fake.NewClient(t, w.addr)
	seq := w.request(c, "lookup", 30000, "SELECT 1")
	open := w.receive("fetch")
	good, err := os.ReadFile(w.configPath)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text string, log string) {
		os.WriteFile(w.configPath, []byte(text), 0o600)
		w.cmd.Process.Signal(syscall.SIGHUP)
		w.cmd.Process.Signal(syscall.SIGHUP)
		w.waitForLog(log)
	}
	reload(string(good[:len(good)/2]), "new configuration not taken")
	nameServer := fake.NewNameServer(t, discovery.ServiceName)
	other := strings.Replace(string(good), w.nameServer.Addr, nameServer.Addr, 1)
	reload(strings.Replace(other, "192", "96", 1), `"kept until a restart":["limits"]`)
	w.nameServer.SetList(9)
	nameServer.SetList(2, fmt.Sprintf("s-1.east 0 10 std 0 0 %s", w.servers[1].Addr))
	w.waitForLog(`"list of engines","rev":2`)
	for range 9 {
		if s := w.completeRequest(c, "lookup"); s.Server != w.servers[1] {
			t.Error("a removed server received a request")
		}
	}
	open.Answer("served", "count=1", "y\t\t\n")
	w.expectAnswer(c, resultMessage(seq, "y\t\t\n"))
	w.cmd.Process.Signal(syscall.SIGTERM)
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.waitForLog("asked to end")
	w.completeRequest(c, "lookup")
	w.expectAnswer(c, "closed")
	w.waitForExit(0)
}

// TestNoStart: a router that can't start reports the reason in one line and exits with a nonzero status.
func TestNoStart(t *testing.T) {
	w := newCluster(t, 1)
	w.waitForLog("serving")
	good, err := os.ReadFile(w.configPath)
	if err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(map[string]any){
		"listen":     func(map[string]any) {}, // address in use
		"nameserver": func(m map[string]any) { m["nameserver"] = "nowhere" },
		"seed":       func(m map[string]any) { m["seed"] = 7 },
		"no classes": func(m map[string]any) { m["settings"] = map[string]any{} },
		"known":      func(m map[string]any) { m["known"] = map[string]any{"notices": []any{7}} },
		"is not set": nil,
	} {
		cmd := w.routerCommand()
		if change == nil {
			cmd.Env = nil
		} else {
			var m map[string]any
			json.Unmarshal(good, &m)
			change(m)
			text, _ := json.Marshal(m)
			os.WriteFile(w.configPath, text, 0o600)
		}
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("want one line with %q and a status, got %v and %s", want, err, out)
		}
	}
}

// TestTeams: the operators' file enables budgets and wait figures: a request names its team, and answers and rejections report
// waits. SIGHUP reloads the file, an invalid one changes nothing, and settings that need a restart are logged.
func TestTeams(t *testing.T) {
	w := prepareCluster(t, 1, 1024)
	w.writeOperatorFile(`{"teams":[{"name":"a","weight":1,"tenants":["acme"]},{"name":"b","weight":1}],
		"budgets":{"default":"a","by_call":true},"waits":{"fields":true}}`)
	w.start()
	c := fake.NewClient(t, w.addr)
	if w.waitForLog("serving"); !c.Health() {
		t.Fatal("not ready")
	}
	completeAs := func(team string) string {
		w.lastRef++
		c.Call("select 1", "service", "lookup", "project", "acme", "team", team, "allow", "20000", "ref", fmt.Sprintf("%016x", w.lastRef))
		w.receive("fetch").Answer("served", "count=1,ticks=5", "a\tb\tc\n")
		return c.NextAnswer()
	}
	fields := regexp.MustCompile(`2=\[ wait_p50=\d+ wait_p90=\d+ waited=0 \]`)
	if got := completeAs("b"); !fields.MatchString(got) {
		t.Errorf("an answer has no wait fields: %s", got)
	}
	completeAs("nobody")
	reload := func(text, line string) {
		t.Helper()
		w.writeOperatorFile(text)
		w.cmd.Process.Signal(syscall.SIGHUP)
		w.waitForLog(line)
	}
	reload(`{"teams":[{"name":"a","weight":0}],"budgets":{"default":"a"}}`, "/teams/0/weight: 0 is not over 0")
	if got := completeAs("b"); !fields.MatchString(got) {
		t.Errorf("an invalid file changed the answer: %s", got)
	}
	reload(`{"teams":[{"name":"c","weight":1,"tenants":["acme"]}],"budgets":{"default":"c"},"waits":{"fields":false}}`,
		`"kept until a restart":[]`)
	if got := completeAs("b"); strings.Contains(got, "wait_p50") {
		t.Errorf("an answer has wait fields although the file disables them: %s", got)
	}
	reload(`{}`, `"kept until a restart":["teams","waits"]`)
	completeAs("b")
}

// BenchmarkThrift measures requests from client to server and back, with the router on one core: 32 connections, each with one
// request at a time, and a server that answers at once.
func BenchmarkThrift(b *testing.B) {
	w := newCluster(b, 1)
	go func() {
		for s := range w.received {
			if s.Words[0] == "fetch" {
				s.Answer("served", "count=1,ticks=5", "a\tb\tc\n")
			}
		}
	}()
	w.waitForLog("serving")
	const clients = 32
	var group sync.WaitGroup
	for k := range clients {
		c := fake.NewClient(b, w.addr)
		group.Go(func() {
			for n := k; n < b.N; n += clients {
				c.Call("select 1", "service", "lookup", "project", "acme", "allow", "20000", "ref", fmt.Sprintf("%016x", n+1))
				if got := c.NextAnswer(); !strings.Contains(got, "call{ 0={") {
					b.Error(got)
					return
				}
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commands/s")
}

// TestExpected: where the operators' file says so, a new configuration that fails its expectations is not applied, and one that
// meets them is.
func TestExpected(t *testing.T) {
	w := prepareCluster(t, 1, 1024)
	folder := filepath.Join(filepath.Dir(w.configPath), "expectations")
	os.Mkdir(folder, 0o700)
	expectGrace := func(grace string) {
		os.WriteFile(filepath.Join(folder, "a.json"), []byte(`{"expectations":[{"name":"grace","says":"The grace is a quarter of a second.",
			"given":{"seconds":2,"traffic":[{"name":"t","profile":"lookup","rate":20,"work":0.1}]},
			"holds":[{"always":{"on":"send","that":"grace == `+grace+`"}}]}]}`), 0o600)
	}
	w.writeOperatorFile(fmt.Sprintf(`{"expect":{"folder":%q,"refuse":true}}`, folder))
	expectGrace("0.5")
	w.start()
	w.waitForLog("serving")
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.waitForLog("it fails its expectations: failed  grace: The grace is a quarter of a second.")
	expectGrace("0.25")
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.waitForLog(`"msg":"new configuration"`)
}

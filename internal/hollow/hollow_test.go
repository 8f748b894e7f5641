package hollow

import (
	"context"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"dunereach/internal/boottime"
	"dunereach/internal/coordserver"

	"go.uber.org/zap"
)

// startTestCoordinator runs one coordinator in this process and returns its address.
func startTestCoordinator(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	folder := t.TempDir()
	if _, err := coordserver.Init(folder, "c1", "c1="+address+"@z1", "", 2, 0.05); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- coordserver.Serve(ctx, folder, coordserver.Options{}, zap.NewNop()) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return address
}

// startTestWorker runs a worker in this process behind the line protocol of a worker process, and returns a function that executes commands.
func startTestWorker(t *testing.T, coordinator string, routers int) func(Command) Report {
	t.Helper()
	commands, in := io.Pipe()
	out, reports := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- NewWorker().Serve(commands, reports) }()
	w := newLineClient(in, out)
	do := func(c Command) Report {
		t.Helper()
		report, err := w.do(c)
		if err != nil {
			t.Fatalf("%s: %v", c.Action, err)
		}
		return report
	}
	t.Cleanup(func() {
		in.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	do(Command{Action: Configure, Setup: &Setup{Coordinators: []string{coordinator}, Routers: routers, Databases: 30,
		Zones: []Zone{{"z1", "north"}, {"z2", "south"}}}})
	return do
}

// waitForReport polls the worker until its report meets the condition.
func waitForReport(t *testing.T, do func(Command) Report, goal string, condition func(Report) bool) Report {
	t.Helper()
	const timeout = 20 * time.Second
	var report Report
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if report = do(Command{Action: CollectReports}); condition(report) {
			return report
		}
	}
	t.Fatalf("%s: %+v", goal, report)
	return report
}

// TestRouters checks that sessions open, that a cold database gets an owner whose acts are reported once, that crashed routers return
// under new sessions, and that routers behind a cut link are not confirmed until it is healed.
func TestRouters(t *testing.T) {
	address := startTestCoordinator(t)
	do := startTestWorker(t, address, 4)
	do(Command{Action: Start, Routers: []int{1, 2, 3, 4}})
	report := waitForReport(t, do, "waiting for all sessions to open", func(r Report) bool { return r.Open == 4 })
	if report.Live != 4 || report.Listed != 4*30 {
		t.Errorf("%d routers run, with %d databases in all lists", report.Live, report.Listed)
	}
	do(Command{Action: SetDemand, Demand: &Demand{ColdDatabases: 1}})
	audit := NewAuditor()
	waitForReport(t, do, "waiting for an act of an owner", func(r Report) bool {
		audit.Add(r.Acts)
		return r.Held >= 1 && len(audit.acts) > 2
	})
	waitForReport(t, do, "waiting for granted shares", func(r Report) bool {
		audit.Add(r.Acts)
		return r.Shares == 4
	})
	do(Command{Action: Crash, Routers: []int{1, 2}})
	do(Command{Action: ResetConfirmed})
	do(Command{Action: Start, Routers: []int{1, 2}})
	waitForReport(t, do, "waiting for the crashed routers to return", func(r Report) bool {
		audit.Add(r.Acts)
		return r.Confirmed == 4
	})
	do(Command{Action: Cut, Region: "south", Addresses: []string{address}})
	do(Command{Action: ResetConfirmed})
	time.Sleep(2500 * time.Millisecond) // longer than the wait for an answer already in transit, and than a lease
	if cut := do(Command{Action: ResetConfirmed}); cut.Live != 4 {
		t.Errorf("%d routers run", cut.Live)
	}
	waitForReport(t, do, "waiting for confirmations in the other region", func(r Report) bool {
		audit.Add(r.Acts)
		return r.Confirmed == 2
	})
	do(Command{Action: Heal})
	waitForReport(t, do, "waiting for all routers to be confirmed", func(r Report) bool {
		audit.Add(r.Acts)
		return r.Confirmed == 4
	})
	audit.Check()
	if audit.Stale != 0 || audit.Acts == 0 {
		t.Errorf("%d acts, %d stale: %v", audit.Acts, audit.Stale, audit.Violations)
	}
	if traffic := do(Command{Action: CollectReports}); traffic.ByPath["/v1/beat"].Requests == 0 || traffic.Bytes < traffic.ByPath["/v1/beat"].Bytes {
		t.Errorf("traffic: %+v", traffic)
	}
}

// TestWorkerRefuses checks that the worker answers an invalid command with an error and keeps running.
func TestWorkerRefuses(t *testing.T) {
	w := NewWorker()
	if _, err := w.Execute(Command{Action: CollectReports}); err == nil {
		t.Error("a worker without a setup executes a command")
	}
	if _, err := w.Execute(Command{Action: Configure}); err == nil {
		t.Error("a configure command without a setup is accepted")
	}
	if _, err := w.Execute(Command{Action: Configure, Setup: &Setup{Zones: []Zone{{"z1", "north"}}, Coordinators: []string{"127.0.0.1:1"}}}); err != nil {
		t.Fatal(err)
	}
	if _, err := w.Execute(Command{Action: "dance"}); err == nil {
		t.Error("an unknown action is accepted")
	}
	if _, err := w.Execute(Command{Action: SetDemand}); err == nil {
		t.Error("a load command without a demand is accepted")
	}
	many := make([]int, maxRouters+1)
	for n := range many {
		many[n] = n + 1
	}
	if _, err := w.Execute(Command{Action: Start, Routers: many}); err == nil || w.report().Live != 0 {
		t.Error("more routers than the limit of a process are started")
	}
	if _, err := w.Execute(Command{Action: Start, Routers: []int{1, 1}}); err == nil {
		t.Error("a router is started twice")
	}
	w.end(w.numbers(), func(r *router) { r.cancel() })
}

// TestAuditor checks that acts after the lease end, under an older fence or under another router's fence are stale, and no others.
func TestAuditor(t *testing.T) {
	good := []Act{{"t", "a", 1, 10, 12}, {"t", "a", 1, 11, 13}, {"t", "b", 2, 14, 16}, {"u", "a", 3, 14, 16}}
	for _, c := range []struct {
		name   string
		acts   []Act
		stale  int
		reason string
	}{
		{"in order", good, 0, ""},
		{"added out of order", []Act{good[2], good[0], good[1]}, 0, ""},
		{"an expired lease", append(good[:1:1], Act{"t", "a", 1, 13, 12.5}), 1, "lease"},
		{"an older fence", append(good[:3:3], Act{"t", "a", 1, 15, 17}), 1, "acted under fence 2"},
		{"another router's fence", append(good[:2:2], Act{"t", "b", 1, 11.5, 13}), 1, "fence issued to a"},
	} {
		a := NewAuditor()
		a.Add(c.acts)
		a.Check()
		if a.Stale != c.stale || a.Acts != len(c.acts) || c.reason != "" && !strings.Contains(strings.Join(a.Violations, " "), c.reason) {
			t.Errorf("%s: %d of %d stale: %v", c.name, a.Stale, a.Acts, a.Violations)
		}
	}
}

// startEchoServer starts a server that echoes the data of each connection, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go io.Copy(conn, conn)
		}
	}()
	return listener.Addr().String()
}

// sendByte sends one byte and returns whether the connection answers, stays silent or ends.
func sendByte(conn net.Conn) string {
	const timeout = 200 * time.Millisecond
	if _, err := conn.Write([]byte("x")); err != nil {
		return "ends"
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := conn.Read(make([]byte, 1))
	if wait, ok := err.(net.Error); ok && wait.Timeout() {
		return "is silent"
	}
	if err != nil {
		return "ends"
	}
	return "answers"
}

// TestLinks checks that a cut link drops data, both from routers to coordinators and between coordinators, and that healing it ends only
// the connections that lost data.
func TestLinks(t *testing.T) {
	target := startEchoServer(t)
	network := NewNetwork(map[string]string{"10.9.9.9:1": target})
	relayed, err := newRelay("127.0.0.1:0", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(relayed.close)
	for _, c := range []struct {
		name string
		dial func(ctx context.Context) (net.Conn, error)
		cut  func()
		heal func()
	}{
		{"a router's", func(ctx context.Context) (net.Conn, error) { return network.Dial("south")(ctx, "tcp", "10.9.9.9:1") },
			func() { network.Cut("south", []string{"10.9.9.9:1"}) }, network.Heal},
		{"a coordinator's", func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", relayed.listener.Addr().String())
		}, func() { relayed.cutFrom([]string{"127.0.0.1"}) }, relayed.heal},
	} {
		used, err := c.dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got := sendByte(used); got != "answers" {
			t.Errorf("%s link %s", c.name, got)
		}
		c.cut()
		if got := sendByte(used); got != "is silent" {
			t.Errorf("%s cut link %s", c.name, got)
		}
		c.heal()
		if got := sendByte(used); got != "ends" {
			t.Errorf("%s connection that lost data %s", c.name, got)
		}
		again, err := c.dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if got := sendByte(again); got != "answers" {
			t.Errorf("%s healed link %s", c.name, got)
		}
		c.cut()
		c.heal()
		if got := sendByte(again); got != "answers" {
			t.Errorf("%s connection that lost no data %s", c.name, got)
		}
	}
	network.Cut("south", []string{"10.9.9.9:1"})
	began := boottime.Now()
	if _, err := network.Dial("south")(t.Context(), "tcp", "10.9.9.9:1"); err == nil || boottime.Now()-began < connectTimeout.Seconds()-0.01 {
		t.Errorf("a connection over a cut link: %v after %.2f s", err, boottime.Now()-began)
	}
	if conn, err := network.Dial("north")(t.Context(), "tcp", "10.9.9.9:1"); err != nil || sendByte(conn) != "answers" {
		t.Errorf("another region's link: %v", err)
	}
}

// TestUsage checks the resource usage that is read for this process, and the peak of several readings.
func TestUsage(t *testing.T) {
	u, err := usageOf(os.Getpid())
	if err != nil || u.MemoryMB <= 1 || u.Descriptors < 3 || u.TransferredBytes <= 0 {
		t.Errorf("%+v %v", u, err)
	}
	if _, err := usageOf(-1); err == nil {
		t.Error("a process that does not exist has a usage")
	}
	var p Peak
	p.RaiseTo(Peak{CPU: 1, Processes: 4})
	p.RaiseTo(Peak{CPU: 0.5, Processes: 5, MemoryMB: 7})
	if want := (Peak{CPU: 1, Processes: 5, MemoryMB: 7}); p != want {
		t.Errorf("%+v", p)
	}
}

package scale

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// buildRouter builds the router where routerProgram looks for it.
func buildRouter(t *testing.T) {
	t.Helper()
	folder := t.TempDir()
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", filepath.Join(folder, "bin")+"/", "dunereach/cmd/dunereach").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	t.Chdir(folder)
}

// A real router completes the requests of the load generator, its usage is read from the kernel, and a reloaded list is in force when
// reload returns.
func TestRouterProcess(t *testing.T) {
	buildRouter(t)
	r, err := startRouter(routerOptions{databases: 40, descriptors: 1024})
	if err != nil {
		t.Fatal(err)
	}
	defer r.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.answerAfterPause(ctx, 0)
	before, err := r.readUsage()
	if err != nil {
		t.Fatal(err)
	}
	const connections = 30
	clients, err := r.openClients(connections)
	if err != nil {
		t.Fatal(err)
	}
	if completed := requestOnEach(clients); completed != connections {
		t.Errorf("%d of %d requests were completed", completed, connections)
	}
	if completed := sendAtRate(clients, 200, 300*time.Millisecond); completed < 55 || completed > 65 {
		t.Errorf("200 requests a second for 0.3 s: %d were completed", completed)
	}
	after, err := r.readUsage()
	if err != nil {
		t.Fatal(err)
	}
	if opened := after.Descriptors - before.Descriptors; opened < connections+1 || opened > 2*connections+fakeDatabases {
		t.Errorf("%v more descriptors for %d clients", opened, connections)
	}
	if after.ProcessorTime <= before.ProcessorTime || after.ResidentKB < 1000 {
		t.Errorf("usage before %+v, after %+v", before, after)
	}
	if reloadTime, err := r.reload(1); err != nil || reloadTime <= 0 {
		t.Errorf("reload of the configuration: %v, %v", reloadTime, err)
	}
}

// As many requests at once as there are databases each reach a database.
func TestRequestsAtOnceReachEachDatabase(t *testing.T) {
	const databases = 60
	buildRouter(t)
	if _, reached, err := requestEachDatabase(databases, 1024, routerTimeout); err != nil || reached != databases {
		t.Errorf("%d of %d requests reached a database: %v", reached, databases, err)
	}
}

package demo

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"dunereach/emulator/scenario"
	"dunereach/internal/faultrig"
)

// RunFleet starts three coordinators and four routers, ends two owners, one by SIGKILL and one by SIGTERM, and prints
// which router takes over and when.
func RunFleet(bin string, out io.Writer) error {
	dir, err := os.MkdirTemp("", "dunereach-demo")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	const lease = 2.0
	r, err := faultrig.New(scenario.File{Name: "demo", Coordinators: 3, Routers: 4, Zones: 2, Servers: 2, Lease: lease, Drift: 0.05, PersistentFolders: true}, bin, dir, nil)
	if err != nil {
		return err
	}
	defer r.Close()
	fmt.Fprintf(out, "Three coordinators and four routers in two zones, leases of %g s. Two servers are cold: each has a task, whose owner grants\nshares of its allowance (rule 4).\n\n", lease)
	if err := r.Start(); err != nil {
		return err
	}
	runCommand := func(args ...string) error {
		c := exec.Command(filepath.Join(bin, "dunefleet"), append([]string{"fleet", "--keepers", strings.Join(r.CoordinatorAddrs(), ",")}, args...)...)
		text, err := c.CombinedOutput()
		fmt.Fprintf(out, "$ dunereach fleet %s\n%s\n", strings.Join(args, " "), text)
		return err
	}
	if err := r.Await("dealt"); err != nil {
		return fmt.Errorf("%v\n%s", err, r.LogTails())
	}
	for _, subcommand := range []string{"status", "sessions", "owners"} {
		if err := runCommand(subcommand); err != nil {
			return err
		}
	}
	for _, removal := range []struct{ action, description string }{{"kill", "is killed (SIGKILL)"}, {"end", "is asked to exit (SIGTERM)"}} {
		owner := r.RememberOwner()
		if owner == "" {
			if err := r.Await("owned"); err != nil {
				return err
			}
			owner = r.RememberOwner()
		}
		began := time.Now()
		if err := r.Do(removal.action, owner); err != nil {
			return err
		}
		if err := r.Await("moved"); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s, the owner of the first task, %s; %s acts on it %.2f s later.\n\n", owner, removal.description, r.Owner(), time.Since(began).Seconds())
		if err := r.Await("owned"); err != nil {
			return err
		}
		if err := runCommand("owners"); err != nil {
			return err
		}
	}
	f := r.Figures()
	fmt.Fprintf(out, "%d acts, %d of them under a stale fence; at most %.2f of an allowance in use at any time.\n", f.Acts, f.StaleActs, f.MaxInUse)
	if len(f.Violations) > 0 {
		return fmt.Errorf("%s", strings.Join(f.Violations, "\n"))
	}
	return nil
}

package agentdriver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"
	"dunereach/internal/coordserver"
	"dunereach/internal/netaddr"
	"dunereach/internal/operator"

	"github.com/spf13/cobra"
)

// registryTimeout bounds how long status waits for the registry, which needs a quorum: twice the time in which
// coordinators elect a leader.
const registryTimeout = 4 * time.Second

// FleetCommand returns the command `dunereach fleet` with its subcommands.
func FleetCommand() *cobra.Command {
	var addrs []string
	var asJSON bool
	root := &cobra.Command{Use: "fleet", Short: "Show and control the tasks done on behalf of all routers", Args: cobra.NoArgs,
		Long: `Fleet asks the coordinators named in the section fleet of the operators' file, or by --keepers. It prints what a majority of
them has agreed on; only status prints each coordinator's own state.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.PersistentFlags().StringSliceVar(&addrs, "keepers", nil, "addresses and ports of the coordinators")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	client := func(c *cobra.Command) (*coordserver.Client, context.Context, context.CancelFunc, error) {
		if len(addrs) == 0 {
			path, _ := c.Flags().GetString("operator")
			file, err := operator.Load(path, func([]byte) error { return nil })
			if err != nil {
				return nil, nil, nil, err
			}
			if file.Fleet == nil {
				return nil, nil, nil, errors.New("no coordinators: pass their addresses with --keepers, or an operators' file with a section fleet with --operator")
			}
			addrs = file.Fleet.Coordinators
		}
		for _, addr := range addrs {
			if err := netaddr.CheckPrivate(addr); err != nil {
				return nil, nil, nil, err
			}
		}
		ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
		return coordserver.NewClient(addrs, ""), ctx, cancel, nil
	}
	addTable := func(use, short string, print func(io.Writer, coordserver.RegistrySnapshot)) {
		root.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			conn, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			var snapshot coordserver.RegistrySnapshot
			if err := conn.HedgedCall(ctx, "/v1/record", nil, &snapshot); err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), withOwnerNames(snapshot))
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			print(w, snapshot)
			return w.Flush()
		}})
	}
	addTable("owners", "Print the tasks, their owners and fences", func(w io.Writer, snapshot coordserver.RegistrySnapshot) {
		fmt.Fprintln(w, "work\towner\tfence\tzone\t")
		for _, row := range snapshot.Tasks {
			owner := snapshot.Owners[row.Name]
			if owner == "" {
				owner = "-"
			}
			if row.ReleaseRequested {
				owner += " (release requested)"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t\n", row.Name, owner, row.Fence, row.Zone)
		}
	})
	addTable("sessions", "Print the routers that take part", func(w io.Writer, snapshot coordserver.RegistrySnapshot) {
		fmt.Fprintln(w, "router\tsession\tincarnation\tzone\tregion\t\t")
		for _, row := range snapshot.Sessions {
			note := ""
			if row.Superseded {
				note = "superseded by a newer process"
			}
			fmt.Fprintf(w, "%s\t%d\t%x\t%s\t%s\t%s\t\n", row.Name, row.ID, row.Incarnation, row.Zone, row.Region, note)
		}
	})
	addPlanCommands(root, &asJSON, client)
	root.AddCommand(subsetCommand(&asJSON))
	root.AddCommand(&cobra.Command{Use: "status", Short: "Print each coordinator's own state, and how many routers take part", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			conn, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			var statuses []*coordinator.Status
			var snapshot coordserver.RegistrySnapshot
			var registryErr error
			var both sync.WaitGroup
			both.Go(func() { statuses = conn.Statuses(ctx, addrs) })
			both.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, registryTimeout)
				defer cancel()
				registryErr = conn.HedgedCall(ctx, "/v1/record", nil, &snapshot)
			})
			both.Wait()
			out := c.OutOrStdout()
			if asJSON {
				v := map[string]any{"keepers": statuses, "agreed": registryErr == nil}
				if registryErr == nil {
					v["sessions"], v["works"], v["fence"] = len(snapshot.Sessions), len(snapshot.Tasks), snapshot.Fence
				}
				return printJSON(out, v)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "keeper\taddress\tstate\tterm\tagreed\tleads for\t")
			for n, status := range statuses {
				if status == nil {
					fmt.Fprintf(w, "?\t%s\tdoes not answer\t\t\t\t\n", addrs[n])
					continue
				}
				leaderFor := ""
				if status.LeaderFor > 0 {
					leaderFor = fmt.Sprintf("%.0f s", status.LeaderFor)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t\n", status.Name, addrs[n], status.State, status.Term, status.Applied, leaderFor)
			}
			w.Flush()
			if registryErr != nil {
				return fmt.Errorf("nothing can be agreed: %v; routers serve on without it", registryErr)
			}
			_, err = fmt.Fprintf(out, "\n%d routers take part, %d tasks, highest fence %d, leases of %g s\n", len(snapshot.Sessions), len(snapshot.Tasks), snapshot.Fence, snapshot.Lease)
			return err
		}})
	root.AddCommand(&cobra.Command{Use: "release WORK", Short: "Ask a task's owner to release it", Args: cobra.ExactArgs(1),
		Long: `Release asks the owner, which releases the task when it receives the request; another router then gets the task under a new
fence. An owner that cannot be reached keeps the task until its lease runs out.`,
		RunE: func(c *cobra.Command, args []string) error {
			conn, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			if err := release(ctx, conn, args[0]); err != nil {
				return fmt.Errorf("%s: %v", args[0], err)
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), "asked")
			return err
		}})
	return root
}

// release asks the present owner of a task to release it. The order names the owner's fence, so it can be repeated
// until a leader has accepted it: a repeated order never asks a later owner.
func release(ctx context.Context, client *coordserver.Client, task string) error {
	var snapshot coordserver.RegistrySnapshot
	if err := client.HedgedCall(ctx, "/v1/record", nil, &snapshot); err != nil {
		return err
	}
	i := slices.IndexFunc(snapshot.Tasks, func(t registry.Task) bool { return t.Name == task })
	if i < 0 || snapshot.Tasks[i].Owner == 0 {
		return registry.ErrNoTask
	}
	order := coordinator.Order{Kind: "release", Task: task, Fence: snapshot.Tasks[i].Fence}
	return client.HedgedCall(ctx, "/v1/order", order, &coordinator.PostResult{})
}

// namedSnapshot is a snapshot of the registry for scripts, in which each task has its owner's name beside the number of
// the session.
type namedSnapshot struct {
	coordserver.RegistrySnapshot
	Tasks []namedTask `json:"works"`
}

type namedTask struct {
	registry.Task
	Owner string `json:"owner,omitempty"` // the router's name, empty for a free task
}

func withOwnerNames(snapshot coordserver.RegistrySnapshot) namedSnapshot {
	result := namedSnapshot{RegistrySnapshot: snapshot, Tasks: []namedTask{}}
	for _, task := range snapshot.Tasks {
		result.Tasks = append(result.Tasks, namedTask{task, snapshot.Owners[task.Name]})
	}
	return result
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

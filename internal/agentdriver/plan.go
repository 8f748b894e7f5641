package agentdriver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
	"dunereach/internal/coordserver"

	"github.com/spf13/cobra"
)

// addPlanCommands adds the commands that show the fleet's plan and give operators' orders about it.
func addPlanCommands(root *cobra.Command, asJSON *bool, client func(*cobra.Command) (*coordserver.Client, context.Context, context.CancelFunc, error)) {
	// loadPlan reads the plan and the operators' orders from the registry.
	loadPlan := func(conn *coordserver.Client, ctx context.Context) (p failover.PublishedPlan, o failover.Orders, err error) {
		var snapshot coordserver.RegistrySnapshot
		if err = conn.HedgedCall(ctx, "/v1/record", nil, &snapshot); err != nil {
			return p, o, err
		}
		found := false
		for _, task := range snapshot.Tasks {
			switch {
			case len(task.Annotation) == 0:
			case task.Name == agent.PlanTask:
				found, err = true, json.Unmarshal(task.Annotation, &p)
			case task.Name == agent.OrdersTask:
				err = json.Unmarshal(task.Annotation, &o)
			}
			if err != nil {
				return p, o, fmt.Errorf("%s: %v", task.Name, err)
			}
		}
		if !found {
			err = errors.New("there is no plan yet: all zones are healthy, or the routers have just started")
		}
		return p, o, err
	}
	root.AddCommand(&cobra.Command{Use: "plan", Short: "Print where each zone's work goes", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		conn, ctx, cancel, err := client(c)
		if err != nil {
			return err
		}
		defer cancel()
		p, o, err := loadPlan(conn, ctx)
		if err != nil {
			return err
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), map[string]any{"plan": p, "orders": o})
		}
		fmt.Fprintf(c.OutOrStdout(), "plan %d: %s\n", p.Epoch, p.Reason)
		if o.Freeze {
			fmt.Fprintln(c.OutOrStdout(), "frozen by an operator")
		}
		return printPlan(c.OutOrStdout(), p, p.Plan)
	}})
	addOrder := func(use, short, long string, takesZone bool, change func(o *failover.Orders, z int)) {
		var dryRun, force bool
		cmd := &cobra.Command{Use: use, Short: short, Long: long}
		cmd.Args = cobra.NoArgs
		if takesZone {
			cmd.Args = cobra.ExactArgs(1)
		}
		cmd.RunE = func(c *cobra.Command, args []string) error {
			conn, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			p, o, err := loadPlan(conn, ctx)
			if err != nil && takesZone {
				return err
			}
			z := -1
			if takesZone {
				if z = slices.Index(p.Zones, args[0]); z < 0 {
					return fmt.Errorf("no zone is called %q: there are %v", args[0], p.Zones)
				}
				for len(o.Evacuate) < len(p.Zones) {
					o.Evacuate = append(o.Evacuate, false)
				}
			}
			change(&o, z)
			if takesZone && o.Evacuate[z] {
				problem, err := previewEvacuation(c.OutOrStdout(), p, o)
				if err != nil {
					return err
				}
				if problem != "" && !force {
					return fmt.Errorf("%s; nothing was done (--force does it anyway)", problem)
				}
			}
			if dryRun {
				_, err = fmt.Fprintln(c.OutOrStdout(), "nothing was done")
				return err
			}
			body, err := json.Marshal(o)
			if err != nil {
				return err
			}
			if err := conn.Call(ctx, "/v1/order", coordinator.Order{Kind: "say", Task: agent.OrdersTask, Body: body}, &coordinator.PostResult{}); err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), "agreed")
			return err
		}
		cmd.Flags().BoolVar(&dryRun, "dry-run", false, "print what it would do")
		if takesZone {
			cmd.Flags().BoolVar(&force, "force", false, "do it even if the other zones can't carry the load")
		}
		root.AddCommand(cmd)
	}
	addOrder("evacuate ZONE", "Move a zone's work to other zones", "Evacuate prints the load that each zone would get and what would be rejected. It refuses if the other zones can't carry the load.",
		true, func(o *failover.Orders, z int) { o.Evacuate[z] = true })
	addOrder("restore ZONE", "Return work to a zone in steps", "", true, func(o *failover.Orders, z int) { o.Evacuate[z] = false })
	addOrder("freeze", "Keep the plan as it is", "", false, func(o *failover.Orders, _ int) { o.Freeze = true })
	addOrder("thaw", "Let the plan change automatically again", "", false, func(o *failover.Orders, _ int) { o.Freeze = false })
	addOrder("unbound", "Remove the limit on the work moved per minute", "", false, func(o *failover.Orders, _ int) { o.Unlimited = true })
	addOrder("bound", "Restore the limit on the work moved per minute", "", false, func(o *failover.Orders, _ int) { o.Unlimited = false })
}

// previewEvacuation prints the plan that would result from the orders' evacuated zones. problem is empty if the other
// zones can carry the load.
func previewEvacuation(out io.Writer, p failover.PublishedPlan, o failover.Orders) (problem string, err error) {
	n := len(p.Demand)
	if n == 0 || len(p.PlanCapacity) != n || p.Plan.Check(n) != nil {
		return "", errors.New("the plan has no load figures yet")
	}
	capacity, distance := slices.Clone(p.PlanCapacity), make([][]float64, n)
	for z := range distance {
		distance[z] = make([]float64, n)
		for y := range distance[z] {
			if y != z {
				distance[z][y] = 1
			}
		}
		if z < len(o.Evacuate) && o.Evacuate[z] {
			capacity[z] = 0
		}
	}
	preview := p
	preview.PlanCapacity = capacity
	planned := failover.Solve(failover.Problem{Demand: p.Demand, Pinned: make([]float64, n), Capacity: capacity, RoundTrip: distance})
	if err := printPlan(out, preview, planned); err != nil {
		return "", err
	}
	demand, served := 0.0, 0.0
	for z, load := range planned.Load(p.Demand) {
		demand, served = demand+p.Demand[z], served+load
	}
	if rejected := demand - served; rejected > 0.01*demand {
		return fmt.Sprintf("%.1f of %.1f core seconds a second would be shed", rejected, demand), nil
	}
	return "", nil
}

func printPlan(out io.Writer, p failover.PublishedPlan, plan failover.Plan) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	zoneName := func(z int) string {
		if z < len(p.Zones) {
			return p.Zones[z]
		}
		return fmt.Sprint(z)
	}
	fmt.Fprint(w, "from\\to\t")
	for z := range plan.Share {
		fmt.Fprintf(w, "%s\t", zoneName(z))
	}
	fmt.Fprintln(w, "shed\t")
	for o, row := range plan.Share {
		fmt.Fprintf(w, "%s\t", zoneName(o))
		sum := 0.0
		for _, x := range row {
			fmt.Fprintf(w, "%.0f %%\t", 100*x)
			sum += x
		}
		fmt.Fprintf(w, "%.0f %%\t\n", 100*math.Max(1-sum, 0))
	}
	if len(p.Demand) == len(plan.Share) && len(p.PlanCapacity) == len(plan.Share) {
		fmt.Fprint(w, "load\t")
		for _, x := range plan.Load(p.Demand) {
			fmt.Fprintf(w, "%.1f\t", x)
		}
		fmt.Fprint(w, "\t\nof\t")
		for _, x := range p.PlanCapacity {
			fmt.Fprintf(w, "%.1f\t", x)
		}
		fmt.Fprintln(w, "\t")
	}
	return w.Flush()
}

package agentdriver

import (
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"dunereach/fleet/failover"

	"github.com/spf13/cobra"
)

// addPlanCommands adds the commands that show the fleet's plan and give operators' orders about it.
func addPlanCommands(root *cobra.Command, asJSON *bool, client clientFunc) {
	root.AddCommand(&cobra.Command{Use: "plan", Short: "Print where each zone's work goes", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		conn, ctx, cancel, err := client(c)
		if err != nil {
			return err
		}
		defer cancel()
		p, o, _, err := loadPlan(ctx, conn)
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
		root.AddCommand(orderCommand(use, short, long, takesZone, change, client))
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

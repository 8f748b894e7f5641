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

// planWords is what operators see of the fleet's plan, and say of it.
func planWords(root *cobra.Command, asJSON *bool, client func(*cobra.Command) (*coordserver.Client, context.Context, context.CancelFunc, error)) {
	// agreed is the plan and the operators' words on it, as the record has them.
	agreed := func(k *coordserver.Client, ctx context.Context) (p failover.PublishedPlan, o failover.Orders, err error) {
		var picture coordserver.Picture
		if err = k.Ask(ctx, "/v1/record", nil, &picture); err != nil {
			return p, o, err
		}
		found := false
		for _, w := range picture.Works {
			switch {
			case len(w.Annotation) == 0:
			case w.Name == agent.PlanTask:
				found, err = true, json.Unmarshal(w.Annotation, &p)
			case w.Name == agent.OrdersTask:
				err = json.Unmarshal(w.Annotation, &o)
			}
			if err != nil {
				return p, o, fmt.Errorf("%s: %v", w.Name, err)
			}
		}
		if !found {
			err = errors.New("there is no plan yet: all is well, or routers have only just begun")
		}
		return p, o, err
	}
	root.AddCommand(&cobra.Command{Use: "plan", Short: "Print where each zone's work goes", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		k, ctx, cancel, err := client(c)
		if err != nil {
			return err
		}
		defer cancel()
		p, o, err := agreed(k, ctx)
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
		return table(c.OutOrStdout(), p, p.Plan)
	}})
	say := func(use, short, long string, zone bool, change func(o *failover.Orders, z int)) {
		var dry, force bool
		cmd := &cobra.Command{Use: use, Short: short, Long: long}
		cmd.Args = cobra.NoArgs
		if zone {
			cmd.Args = cobra.ExactArgs(1)
		}
		cmd.RunE = func(c *cobra.Command, args []string) error {
			k, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			p, o, err := agreed(k, ctx)
			if err != nil && zone {
				return err
			}
			z := -1
			if zone {
				if z = slices.Index(p.Zones, args[0]); z < 0 {
					return fmt.Errorf("no zone is called %q: there are %v", args[0], p.Zones)
				}
				for len(o.Evacuate) < len(p.Zones) {
					o.Evacuate = append(o.Evacuate, false)
				}
			}
			change(&o, z)
			if zone && o.Evacuate[z] {
				wrong, err := rehearse(c.OutOrStdout(), p, o)
				if err != nil {
					return err
				}
				if wrong != "" && !force {
					return fmt.Errorf("%s; nothing was done (--force does it all the same)", wrong)
				}
			}
			if dry {
				_, err = fmt.Fprintln(c.OutOrStdout(), "nothing was done")
				return err
			}
			body, err := json.Marshal(o)
			if err != nil {
				return err
			}
			if err := k.Call(ctx, "/v1/order", coordinator.Order{Kind: "say", Task: agent.OrdersTask, Body: body}, &coordinator.PostResult{}); err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), "agreed")
			return err
		}
		cmd.Flags().BoolVar(&dry, "dry-run", false, "print what it would do")
		if zone {
			cmd.Flags().BoolVar(&force, "force", false, "also where others can't carry it")
		}
		root.AddCommand(cmd)
	}
	say("evacuate ZONE", "Have a zone's work go elsewhere", "Evacuate prints the load that each zone would get and what would be shed, and refuses where the others can't carry it.",
		true, func(o *failover.Orders, z int) { o.Evacuate[z] = true })
	say("restore ZONE", "Let work return to a zone, in steps", "", true, func(o *failover.Orders, z int) { o.Evacuate[z] = false })
	say("freeze", "Keep the plan as it is", "", false, func(o *failover.Orders, _ int) { o.Freeze = true })
	say("thaw", "Let the plan change by itself again", "", false, func(o *failover.Orders, _ int) { o.Freeze = false })
	say("unbound", "Lift the bound on what is moved in a minute", "", false, func(o *failover.Orders, _ int) { o.Unlimited = true })
	say("bound", "Set the bound on what is moved in a minute again", "", false, func(o *failover.Orders, _ int) { o.Unlimited = false })
}

// rehearse prints what a plan would be with the zones away that orders name, and tells what is wrong with it, "": nothing.
func rehearse(out io.Writer, p failover.PublishedPlan, o failover.Orders) (wrong string, err error) {
	n := len(p.Demand)
	if n == 0 || len(p.PlanCapacity) != n || p.Plan.Check(n) != nil {
		return "", errors.New("the plan tells no loads yet")
	}
	room, way := slices.Clone(p.PlanCapacity), make([][]float64, n)
	for z := range way {
		way[z] = make([]float64, n)
		for y := range way[z] {
			if y != z {
				way[z][y] = 1
			}
		}
		if z < len(o.Evacuate) && o.Evacuate[z] {
			room[z] = 0
		}
	}
	q := p
	q.PlanCapacity = room
	to := failover.Solve(failover.Problem{Demand: p.Demand, Pinned: make([]float64, n), Capacity: room, RoundTrip: way})
	if err := table(out, q, to); err != nil {
		return "", err
	}
	asked, served := 0.0, 0.0
	for z, load := range to.Load(p.Demand) {
		asked, served = asked+p.Demand[z], served+load
	}
	if shed := asked - served; shed > 0.01*asked {
		return fmt.Sprintf("%.1f of %.1f core seconds a second would be shed", shed, asked), nil
	}
	return "", nil
}

func table(out io.Writer, p failover.PublishedPlan, plan failover.Plan) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	name := func(z int) string {
		if z < len(p.Zones) {
			return p.Zones[z]
		}
		return fmt.Sprint(z)
	}
	fmt.Fprint(w, "from\\to\t")
	for z := range plan.Share {
		fmt.Fprintf(w, "%s\t", name(z))
	}
	fmt.Fprintln(w, "shed\t")
	for o, row := range plan.Share {
		fmt.Fprintf(w, "%s\t", name(o))
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

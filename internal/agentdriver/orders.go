package agentdriver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/failover"
	"dunereach/fleet/registry"
	"dunereach/internal/coordserver"

	"github.com/spf13/cobra"
)

// This file gives operators' orders about the fleet's plan. An order changes a part of what is agreed on: it is made from the agreed
// orders, names their version, and is made anew if others were agreed on meanwhile.

// clientFunc returns a client of the coordinators for one command.
type clientFunc func(*cobra.Command) (*coordserver.Client, context.Context, context.CancelFunc, error)

// errNoPlan is the error of a fleet that has made no plan yet.
var errNoPlan = errors.New("there is no plan yet: all zones are healthy, or the routers have just started")

// loadPlan reads the plan, the operators' orders and the version of these from the registry. Without a plan it returns errNoPlan beside the
// orders.
func loadPlan(ctx context.Context, client *coordserver.Client) (p failover.PublishedPlan, o failover.Orders, version uint64, err error) {
	var snapshot coordserver.RegistrySnapshot
	if err = client.HedgedCall(ctx, "/v1/record", nil, &snapshot); err != nil {
		return p, o, 0, err
	}
	found := false
	for _, task := range snapshot.Tasks {
		switch {
		case len(task.Annotation) == 0:
		case task.Name == agent.PlanTask:
			found, err = true, json.Unmarshal(task.Annotation, &p)
		case task.Name == agent.OrdersTask:
			version, err = task.AnnotationFence, json.Unmarshal(task.Annotation, &o)
		}
		if err != nil {
			return p, o, 0, fmt.Errorf("%s: %v", task.Name, err)
		}
	}
	if !found {
		err = errNoPlan
	}
	return p, o, version, err
}

// order is an operator's order.
type order struct {
	change        func(o *failover.Orders, z int)
	zone          string // that it is about, empty: none
	dryRun, force bool
}

// orderCommand returns a command that gives an order.
func orderCommand(use, short, long string, takesZone bool, change func(o *failover.Orders, z int), client clientFunc) *cobra.Command {
	given := order{change: change}
	cmd := &cobra.Command{Use: use, Short: short, Long: long, Args: cobra.NoArgs, RunE: func(c *cobra.Command, args []string) error {
		conn, ctx, cancel, err := client(c)
		if err != nil {
			return err
		}
		defer cancel()
		if takesZone {
			given.zone = args[0]
		}
		return given.give(ctx, conn, c.OutOrStdout())
	}}
	cmd.Flags().BoolVar(&given.dryRun, "dry-run", false, "print what it would do")
	if takesZone {
		cmd.Args = cobra.ExactArgs(1)
		cmd.Flags().BoolVar(&given.force, "force", false, "do it even if the other zones can't carry the load")
	}
	return cmd
}

// give makes the order from the agreed ones and has it agreed on. If another order is agreed on first, it is made anew.
func (d *order) give(ctx context.Context, client *coordserver.Client, out io.Writer) error {
	const maxAttempts = 8
	for attempt := 1; ; attempt++ {
		err := d.giveOnce(ctx, client, out)
		if !errors.Is(err, registry.ErrConflict) || attempt == maxAttempts || ctx.Err() != nil {
			return err
		}
	}
}

// giveOnce is one attempt of give. Its error is registry.ErrConflict if another order was agreed on meanwhile.
func (d *order) giveOnce(ctx context.Context, client *coordserver.Client, out io.Writer) error {
	p, agreed, version, err := loadPlan(ctx, client)
	if err != nil && (d.zone != "" || !errors.Is(err, errNoPlan)) {
		return err
	}
	changed, err := d.apply(p, agreed, out)
	if err != nil {
		return err
	}
	if d.dryRun {
		_, err = fmt.Fprintln(out, "nothing was done")
		return err
	}
	body, err := json.Marshal(changed)
	if err != nil {
		return err
	}
	message := coordinator.Order{Kind: "say", Task: agent.OrdersTask, Body: body, Replaces: &version}
	if err := client.HedgedCall(ctx, "/v1/order", message, &coordinator.PostResult{}); err != nil { // a copy that comes late changes nothing
		return err
	}
	_, err = fmt.Fprintln(out, "agreed")
	return err
}

// apply returns the agreed orders with this one. It refuses an evacuation whose load the other zones can't carry.
func (d *order) apply(p failover.PublishedPlan, agreed failover.Orders, out io.Writer) (failover.Orders, error) {
	changed := agreed
	changed.Evacuate = slices.Clone(agreed.Evacuate)
	if d.zone == "" {
		d.change(&changed, -1)
		return changed, nil
	}
	z := slices.Index(p.Zones, d.zone)
	if z < 0 {
		return changed, fmt.Errorf("no zone is called %q: there are %v", d.zone, p.Zones)
	}
	for len(changed.Evacuate) < len(p.Zones) {
		changed.Evacuate = append(changed.Evacuate, false)
	}
	d.change(&changed, z)
	if !changed.Evacuate[z] {
		return changed, nil
	}
	problem, err := previewEvacuation(out, p, changed)
	if err == nil && problem != "" && !d.force {
		err = fmt.Errorf("%s; nothing was done (--force does it anyway)", problem)
	}
	return changed, err
}

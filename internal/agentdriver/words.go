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

// agreedWait is how long status waits for what a majority has agreed on: twice as long as coordinators take to choose a leader.
const agreedWait = 4 * time.Second

// Words is `dunereach fleet` and what follows it.
func Words() *cobra.Command {
	var addrs []string
	var asJSON bool
	root := &cobra.Command{Use: "fleet", Short: "See and steer work done on behalf of all routers", Args: cobra.NoArgs,
		Long: `Fleet asks the keepers, which the operators' file names in its section fleet, or --keepers. What it prints is what a majority
of them agreed on; status alone is each keeper's own word.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.PersistentFlags().StringSliceVar(&addrs, "keepers", nil, "addresses and ports of the keepers")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	client := func(c *cobra.Command) (*coordserver.Client, context.Context, context.CancelFunc, error) {
		if len(addrs) == 0 {
			path, _ := c.Flags().GetString("operator")
			f, err := operator.Load(path, func([]byte) error { return nil })
			if err != nil {
				return nil, nil, nil, err
			}
			if f.Fleet == nil {
				return nil, nil, nil, errors.New("no keepers: name them by --keepers, or an operators' file with a section fleet by --operator")
			}
			addrs = f.Fleet.Coordinators
		}
		for _, a := range addrs {
			if err := netaddr.CheckPrivate(a); err != nil {
				return nil, nil, nil, err
			}
		}
		ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
		return coordserver.NewClient(addrs, ""), ctx, cancel, nil
	}
	see := func(use, short string, print func(io.Writer, coordserver.Picture)) {
		root.AddCommand(&cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			k, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			var p coordserver.Picture
			if err := k.Ask(ctx, "/v1/record", nil, &p); err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), named(p))
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			print(w, p)
			return w.Flush()
		}})
	}
	see("owners", "Print the works, their owners and fences", func(w io.Writer, p coordserver.Picture) {
		fmt.Fprintln(w, "work\towner\tfence\tzone\t")
		for _, x := range p.Works {
			owner := p.Owners[x.Name]
			if owner == "" {
				owner = "-"
			}
			if x.ReleaseRequested {
				owner += " (asked to let go)"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t\n", x.Name, owner, x.Fence, x.Zone)
		}
	})
	see("sessions", "Print the routers that take part", func(w io.Writer, p coordserver.Picture) {
		fmt.Fprintln(w, "router\tsession\tincarnation\tzone\tregion\t\t")
		for _, x := range p.Sessions {
			note := ""
			if x.Superseded {
				note = "a newer process has its name"
			}
			fmt.Fprintf(w, "%s\t%d\t%x\t%s\t%s\t%s\t\n", x.Name, x.ID, x.Incarnation, x.Zone, x.Region, note)
		}
	})
	planWords(root, &asJSON, client)
	root.AddCommand(subsetWord(&asJSON))
	root.AddCommand(&cobra.Command{Use: "status", Short: "Print each keeper's own word, and how many take part", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			k, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			var all []*coordinator.Status
			var p coordserver.Picture
			var agreed error
			var both sync.WaitGroup
			both.Go(func() { all = k.Each(ctx, addrs) })
			both.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, agreedWait)
				defer cancel()
				agreed = k.Ask(ctx, "/v1/record", nil, &p)
			})
			both.Wait()
			out := c.OutOrStdout()
			if asJSON {
				v := map[string]any{"keepers": all, "agreed": agreed == nil}
				if agreed == nil {
					v["sessions"], v["works"], v["fence"] = len(p.Sessions), len(p.Works), p.Fence
				}
				return printJSON(out, v)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "keeper\taddress\tstate\tterm\tagreed\tleads for\t")
			for n, s := range all {
				if s == nil {
					fmt.Fprintf(w, "?\t%s\tdoes not answer\t\t\t\t\n", addrs[n])
					continue
				}
				led := ""
				if s.LeaderFor > 0 {
					led = fmt.Sprintf("%.0f s", s.LeaderFor)
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t\n", s.Name, addrs[n], s.State, s.Term, s.Applied, led)
			}
			w.Flush()
			if agreed != nil {
				return fmt.Errorf("nothing can be agreed: %v; routers serve on without it", agreed)
			}
			_, err = fmt.Fprintf(out, "\n%d routers take part, %d works, highest fence %d, leases of %g s\n", len(p.Sessions), len(p.Works), p.Fence, p.Lease)
			return err
		}})
	root.AddCommand(&cobra.Command{Use: "release WORK", Short: "Ask a work's owner to let go of it", Args: cobra.ExactArgs(1),
		Long: `Release asks; the owner lets go when it hears of it, and another router gets the work under a new fence. It takes nothing from
an owner that does not hear: that one's lease runs out.`,
		RunE: func(c *cobra.Command, args []string) error {
			k, ctx, cancel, err := client(c)
			if err != nil {
				return err
			}
			defer cancel()
			if err := release(ctx, k, args[0]); err != nil {
				return fmt.Errorf("%s: %v", args[0], err)
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), "asked")
			return err
		}})
	return root
}

// release asks the present owner of a work to let go of it. The order names the owner's fence, so that it may be repeated until a
// coordinator that leads has taken it: a repetition asks no later owner.
func release(ctx context.Context, client *coordserver.Client, work string) error {
	var picture coordserver.Picture
	if err := client.Ask(ctx, "/v1/record", nil, &picture); err != nil {
		return err
	}
	at := slices.IndexFunc(picture.Works, func(x registry.Task) bool { return x.Name == work })
	if at < 0 || picture.Works[at].Owner == 0 {
		return registry.ErrNoTask
	}
	order := coordinator.Order{Kind: "release", Task: work, Fence: picture.Works[at].Fence}
	return client.Ask(ctx, "/v1/order", order, &coordinator.PostResult{})
}

// namedPicture is a picture of the record for scripts, in which each work has its owner's name beside the session's number.
type namedPicture struct {
	coordserver.Picture
	Works []namedWork `json:"works"`
}

type namedWork struct {
	registry.Task
	Owner string `json:"owner,omitempty"` // the router's name, none: free
}

func named(picture coordserver.Picture) namedPicture {
	result := namedPicture{Picture: picture, Works: []namedWork{}}
	for _, work := range picture.Works {
		result.Works = append(result.Works, namedWork{work, picture.Owners[work.Name]})
	}
	return result
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

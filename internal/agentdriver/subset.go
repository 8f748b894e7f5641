package agentdriver

import (
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"dunereach/fleet/subset"
	"dunereach/internal/config"
	"dunereach/internal/discovery"
	"dunereach/internal/subsets"

	"github.com/spf13/cobra"
)

// subsetCommand returns the command `dunereach fleet subset`, which computes from the files alone, as routers do, which
// routers hold which databases.
func subsetCommand(asJSON *bool) *cobra.Command {
	width := 1
	command := &cobra.Command{Use: "subset [ROUTER|DATABASE]", Short: "Print which routers talk to which databases, and why", Args: cobra.MaximumNArgs(1),
		Long: `Subset reads the configuration that BALANCER_CONFIG names, with the databases known at the start, and the operators' file, and
computes the subsets that routers choose. With the name of a router it prints the databases that the router holds, with that of a
database the routers that hold it. The routers are those listed in the section subset, and the one that the configuration is for.
Sizes are balanced over this list of databases: a router whose list has grown or shrunk since by less than a twentieth may hold a
few others.`}
	command.Flags().IntVar(&width, "width", 1, "the width of the subsets, a power of two; subsets grow to greater widths when more servers are needed")
	command.RunE = func(c *cobra.Command, args []string) error {
		path, _ := c.Flags().GetString("operator")
		cfg, err := config.Load(os.Getenv, path, func([]byte) error { return nil })
		if err != nil {
			return err
		}
		result, err := newFleetSubsets(&cfg, width)
		if err != nil {
			return err
		}
		var output tablePrinter = result.overview()
		if len(args) == 1 {
			if output, err = result.lookUp(args[0]); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), output)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		output.print(w)
		return w.Flush()
	}
	return command
}

// tablePrinter is a result that is printed as a table or as JSON.
type tablePrinter interface{ print(w io.Writer) }

// fleetSubsets has the subsets that all known routers choose.
type fleetSubsets struct {
	cfg       *config.Config
	databases []subset.Database
	routers   []routerSubset
}

// routerSubset is one router with its subset.
type routerSubset struct {
	subsets.Chooser
	choice subset.Selection
}

// newFleetSubsets lets each router choose from the databases known at the start.
func newFleetSubsets(cfg *config.Config, width int) (*fleetSubsets, error) {
	if cfg.Operator.Subset == nil {
		return nil, errors.New("no subsets: name an operators' file with a section subset by --operator")
	}
	list := discovery.New(cfg.Settings.Zones, cfg.Settings.Kinds)
	if _, err := list.ApplyConfig(cfg.Known); err != nil {
		return nil, err
	}
	setup := subsets.New(cfg)
	result := &fleetSubsets{cfg: cfg, databases: setup.Databases(list.List(), list.Name)}
	pool := subset.NewPool(result.databases)
	choosers := []subsets.Chooser{}
	for k := range cfg.Operator.Subset.Routers {
		choosers = append(choosers, setup.ListedRouter(k))
	}
	if cfg.Operator.Subset.Find(cfg.Name) < 0 {
		choosers = append(choosers, setup.OwnRouter(cfg))
	}
	for _, chooser := range choosers {
		choice, err := chooser.Choose(pool, width)
		if err != nil {
			return nil, fmt.Errorf("subset: %v", err)
		}
		result.routers = append(result.routers, routerSubset{chooser, choice})
	}
	return result, nil
}

// zoneOf returns the name of a zone, or "-" where it has none.
func (s *fleetSubsets) zoneOf(zone int) string {
	if zone >= 0 && zone < len(s.cfg.Settings.Zones) {
		return s.cfg.Settings.Zones[zone]
	}
	return "-"
}

// subsetOverview has one row for each router, and how evenly databases are held.
type subsetOverview struct {
	Databases  int         `json:"databases"`
	Routers    []routerRow `json:"routers"`
	MostToMean float64     `json:"most_to_mean,omitempty"` // by weight, over the known routers
}

type routerRow struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Place  int    `json:"place"` // negative: unknown
	Held   int    `json:"held"`
	Near   int    `json:"near"`
	Needed int    `json:"needed"`
	Grown  int    `json:"grown"`
	Whole  bool   `json:"whole"`
}

func (s *fleetSubsets) overview() *subsetOverview {
	o := &subsetOverview{Databases: len(s.databases)}
	holders, total := make([]float64, len(s.databases)), 0
	for _, r := range s.routers {
		row := routerRow{Name: r.Router.Name, Zone: s.zoneOf(r.Router.Zone), Place: r.Router.Number, Held: len(r.choice.Members),
			Grown: r.choice.Excess, Whole: r.choice.WholePool}
		for _, m := range r.choice.Members {
			holders[m.Index] += 1 / subset.NormalizeWeight(s.databases[m.Index].Weight)
			if m.InOwnZone {
				row.Near++
			}
			if m.Reason == subset.Required {
				row.Needed++
			}
		}
		total += row.Held
		o.Routers = append(o.Routers, row)
	}
	weight, highest := 0.0, 0.0
	for k := range s.databases {
		weight += subset.NormalizeWeight(s.databases[k].Weight)
		highest = max(highest, holders[k])
	}
	if total > 0 {
		o.MostToMean = highest / (float64(total) / weight)
	}
	return o
}

func (o *subsetOverview) print(w io.Writer) {
	fmt.Fprintln(w, "router\tzone\tplace\theld\tnear\tneeded\tgrown\t")
	for _, r := range o.Routers {
		held := fmt.Sprint(r.Held)
		if r.Whole {
			held = "all"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t\n", r.Name, r.Zone, r.Place, held, r.Near, r.Needed, r.Grown)
	}
	fmt.Fprintf(w, "\n%d databases, %d routers; the most widely held database has %.2f times the mean by weight\n", o.Databases, len(o.Routers), o.MostToMean)
}

// subsetMembers lists the databases that one router holds, or the routers that hold one database.
type subsetMembers struct {
	Router   string         `json:"router,omitempty"`
	Database string         `json:"database,omitempty"`
	Rows     []subsetMember `json:"holds"`
}

type subsetMember struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Reason string `json:"reason"`
	Near   bool   `json:"near"`
}

// lookUp returns the list for one router or for one database.
func (s *fleetSubsets) lookUp(name string) (*subsetMembers, error) {
	h := &subsetMembers{Rows: []subsetMember{}}
	known := false
	for _, r := range s.routers {
		if r.Router.Name != name {
			continue
		}
		h.Router, known = name, true
		for _, m := range r.choice.Members {
			d := &s.databases[m.Index]
			h.Rows = append(h.Rows, subsetMember{d.Name, s.zoneOf(d.Zone), reasonText(&r, m), m.InOwnZone})
		}
		return h, nil
	}
	for _, r := range s.routers {
		for _, m := range r.choice.Members {
			if s.databases[m.Index].Name == name {
				h.Rows = append(h.Rows, subsetMember{r.Router.Name, s.zoneOf(r.Router.Zone), reasonText(&r, m), m.InOwnZone})
			}
		}
	}
	for k := range s.databases {
		known = known || s.databases[k].Name == name
	}
	if h.Database = name; !known {
		return nil, fmt.Errorf("no router and no database is called %q", name)
	}
	return h, nil
}

func reasonText(r *routerSubset, m subset.Member) string {
	if m.Reason == subset.Required {
		return "needed for " + r.Options.Requirements[m.Requirement].Name
	}
	return m.Reason.String()
}

func (h *subsetMembers) print(w io.Writer) {
	heading := "database"
	if h.Database != "" {
		heading = "router"
	}
	fmt.Fprintf(w, "%s\tzone\twhy\t\t\n", heading)
	for _, x := range h.Rows {
		near := ""
		if x.Near {
			near = "near"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", x.Name, x.Zone, x.Reason, near)
	}
}

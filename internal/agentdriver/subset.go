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

// subsetWord is `dunereach fleet subset`: who holds whom, worked out from the files alone as the routers do.
func subsetWord(asJSON *bool) *cobra.Command {
	width := 1
	command := &cobra.Command{Use: "subset [ROUTER|DATABASE]", Short: "Print which routers talk to which databases, and why", Args: cobra.MaximumNArgs(1),
		Long: `Subset reads the configuration that BALANCER_CONFIG names, with the databases known at the start, and the operators' file, and
works out what routers choose. With the name of a router it prints the databases that it holds, with that of a database the
routers that hold it. Routers are those of the list in the section subset, or else the one that the configuration is for. Sizes are
evened out by this list of databases: a router whose list has grown or shrunk since by less than a twentieth may hold a few others.`}
	command.Flags().IntVar(&width, "width", 1, "the width of the subsets, a power of two: what they are in need")
	command.RunE = func(c *cobra.Command, args []string) error {
		path, _ := c.Flags().GetString("operator")
		cfg, err := config.Load(os.Getenv, path, func([]byte) error { return nil })
		if err != nil {
			return err
		}
		chart, err := newSubsetChart(&cfg, width)
		if err != nil {
			return err
		}
		var view subsetPrinter = chart.overview()
		if len(args) == 1 {
			if view, err = chart.find(args[0]); err != nil {
				return err
			}
		}
		if *asJSON {
			return printJSON(c.OutOrStdout(), view)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		view.print(w)
		return w.Flush()
	}
	return command
}

// subsetPrinter is a view that is printed as a table or as JSON.
type subsetPrinter interface{ print(w io.Writer) }

// subsetChart is what all routers known choose.
type subsetChart struct {
	cfg       *config.Config
	databases []subset.Database
	routers   []chosen
}

// chosen is one router with its subset.
type chosen struct {
	subsets.Chooser
	choice subset.Selection
}

// newSubsetChart has each router choose from the databases known at the start.
func newSubsetChart(cfg *config.Config, width int) (*subsetChart, error) {
	if cfg.Operator.Subset == nil {
		return nil, errors.New("no subsets: name an operators' file with a section subset by --operator")
	}
	list := discovery.New(cfg.Settings.Zones, cfg.Settings.Kinds)
	if _, err := list.ApplyConfig(cfg.Known); err != nil {
		return nil, err
	}
	setup := subsets.New(cfg)
	chart := &subsetChart{cfg: cfg, databases: setup.Databases(list.List(), list.Name)}
	pool := subset.NewPool(chart.databases)
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
		chart.routers = append(chart.routers, chosen{chooser, choice})
	}
	return chart, nil
}

// zoneOf is the name of a zone, or its number where it has none.
func (s *subsetChart) zoneOf(zone int) string {
	if zone >= 0 && zone < len(s.cfg.Settings.Zones) {
		return s.cfg.Settings.Zones[zone]
	}
	return "-"
}

// subsetOverview is one row a router, and how evenly databases are held.
type subsetOverview struct {
	Databases  int         `json:"databases"`
	Routers    []routerRow `json:"routers"`
	MostToMean float64     `json:"most_to_mean,omitempty"` // by weight; of the routers that are known
}

type routerRow struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Place  int    `json:"place"` // negative: not known
	Held   int    `json:"held"`
	Near   int    `json:"near"`
	Needed int    `json:"needed"`
	Grown  int    `json:"grown"`
	Whole  bool   `json:"whole"`
}

func (s *subsetChart) overview() *subsetOverview {
	o := &subsetOverview{Databases: len(s.databases)}
	places, total := make([]float64, len(s.databases)), 0
	for _, r := range s.routers {
		row := routerRow{Name: r.Router.Name, Zone: s.zoneOf(r.Router.Zone), Place: r.Router.Number, Held: len(r.choice.Members),
			Grown: r.choice.Excess, Whole: r.choice.WholePool}
		for _, m := range r.choice.Members {
			places[m.Index] += 1 / subset.NormalizeWeight(s.databases[m.Index].Weight)
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
	weight, most := 0.0, 0.0
	for k := range s.databases {
		weight += subset.NormalizeWeight(s.databases[k].Weight)
		most = max(most, places[k])
	}
	if total > 0 {
		o.MostToMean = most / (float64(total) / weight)
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
	fmt.Fprintf(w, "\n%d databases, %d routers; the database held by most has %.2f of the mean by weight\n", o.Databases, len(o.Routers), o.MostToMean)
}

// holdings is what one router holds, or who holds one database.
type holdings struct {
	Router   string    `json:"router,omitempty"`
	Database string    `json:"database,omitempty"`
	Holds    []holding `json:"holds"`
}

type holding struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Reason string `json:"reason"`
	Near   bool   `json:"near"`
}

// find gives the view of one router, or of one database.
func (s *subsetChart) find(name string) (*holdings, error) {
	h := &holdings{Holds: []holding{}}
	known := false
	for _, r := range s.routers {
		if r.Router.Name != name {
			continue
		}
		h.Router, known = name, true
		for _, m := range r.choice.Members {
			d := &s.databases[m.Index]
			h.Holds = append(h.Holds, holding{d.Name, s.zoneOf(d.Zone), reasonOf(&r, m), m.InOwnZone})
		}
		return h, nil
	}
	for _, r := range s.routers {
		for _, m := range r.choice.Members {
			if s.databases[m.Index].Name == name {
				h.Holds = append(h.Holds, holding{r.Router.Name, s.zoneOf(r.Router.Zone), reasonOf(&r, m), m.InOwnZone})
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

func reasonOf(r *chosen, m subset.Member) string {
	if m.Reason == subset.Required {
		return "needed for " + r.Options.Requirements[m.Requirement].Name
	}
	return m.Reason.String()
}

func (h *holdings) print(w io.Writer) {
	who := "database"
	if h.Database != "" {
		who = "router"
	}
	fmt.Fprintf(w, "%s\tzone\twhy\t\t\n", who)
	for _, x := range h.Holds {
		near := ""
		if x.Near {
			near = "near"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t\n", x.Name, x.Zone, x.Reason, near)
	}
}

// Dunedemo runs a router with stand-ins for all it talks to and tells how two teams fared.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"dunereach/internal/demo"
	"dunereach/internal/seconds"

	"github.com/spf13/cobra"
)

func main() {
	var o demo.Options
	root := &cobra.Command{Use: "dunedemo", Short: "Run a router with stand-ins for all it talks to", Args: cobra.NoArgs,
		Long: `Dunedemo starts a router on loopback with a stand-in name server, model engines and the clients of two teams, for some
seconds, and ends in a table of what became of their commands. It needs nothing but the programs of this repository.`,
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo.Run(c.Context(), o, os.Stdout)
		}}
	self, _ := os.Executable()
	f := root.Flags()
	f.StringVar(&o.Router, "router", filepath.Join(filepath.Dir(self), "dunereach"), "the router's program")
	o.Seconds = 10
	f.Var((*seconds.Flag)(&o.Seconds), "seconds", "how long the clients ask: 30s, 1m, or a number of seconds")
	f.IntVar(&o.Engines, "engines", 2, "model engines of four cores")
	f.IntVar(&o.Planner, "planners", 6, "clients that ask for reports, one at a time each")
	f.IntVar(&o.Flood, "clerks", 120, "clients that look up without end")
	root.AddCommand(&cobra.Command{Use: "fleet", Short: "Three keepers and four routers: an owner is killed, another ended", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return demo.Fleet(filepath.Dir(self), os.Stdout) }})
	ctx, stopNotify := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopNotify()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "dunedemo:", err)
		os.Exit(1)
	}
}

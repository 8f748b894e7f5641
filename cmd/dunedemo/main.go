// Dunedemo runs a router with fakes for all that it connects to and prints the results of the clients of two teams.
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
	root := &cobra.Command{Use: "dunedemo", Short: "Run a router with fakes for all that it connects to", Args: cobra.NoArgs,
		Long: `Dunedemo starts a router on loopback with a fake name server, simulated database servers and the clients of two teams.
It runs for some seconds and prints a table with the outcomes of their requests. It needs only the programs of this repository.`,
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return demo.Run(c.Context(), o, os.Stdout)
		}}
	self, _ := os.Executable()
	f := root.Flags()
	f.StringVar(&o.RouterPath, "router", filepath.Join(filepath.Dir(self), "dunereach"), "path of the router's program")
	o.Seconds = 10
	f.Var((*seconds.Flag)(&o.Seconds), "seconds", "how long the clients send requests: 30s, 1m, or a number of seconds")
	f.IntVar(&o.Servers, "engines", 2, "number of simulated servers, each with four cores")
	f.IntVar(&o.PlanningClients, "planners", 6, "number of clients that request reports, one at a time each")
	f.IntVar(&o.ClerksClients, "clerks", 120, "number of clients that send lookups continuously")
	root.AddCommand(&cobra.Command{Use: "fleet", Short: "Run three coordinators and four routers; kill one owner and stop another", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return demo.RunFleet(filepath.Dir(self), os.Stdout) }})
	ctx, stopNotify := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopNotify()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "dunedemo:", err)
		os.Exit(1)
	}
}

// Dunekeep is one coordinator of a fleet. The coordinators replicate the registry: the sessions of routers, and for each task its owner
// and fence.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dunereach/internal/coordserver"
	"dunereach/internal/logs"
	"dunereach/internal/seconds"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

func main() {
	signal.Ignore(syscall.SIGPIPE) // a log reader that closes its pipe must not end the coordinator
	signal.Ignore(syscall.SIGXFSZ) // reaching the file size limit is reported as a write error, like a full disk
	ctx, stopNotify := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopNotify()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "dunekeep:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	root := &cobra.Command{Use: "dunekeep", Short: "Run a coordinator of a fleet of routers", SilenceErrors: true, SilenceUsage: true,
		Long: `Dunekeep is one of the three or five coordinators that replicate a fleet's registry. Routers can serve without
coordinators; with them, one router does certain tasks on behalf of all (docs/fleet.md). The folder holds the persistent state of the
coordinator: it must not be copied, shared or restored from a backup.`}
	var name, coordinators, registryToken, listen, zone, peer string
	lease := seconds.Flag(4)
	var drift float64
	var options coordserver.Options
	initCommand := &cobra.Command{Use: "init FOLDER", Short: "Create the folder of a coordinator of a new registry", Args: cobra.ExactArgs(1),
		Long: `Init creates a registry. Run it once for each coordinator with the same --keepers. The first run prints the token of the
registry; pass it to the others with --record. All coordinators must run before the registry can be used.`,
		Example: `  dunekeep init /var/lib/dunekeep --name k1 --keepers k1=10.0.0.1:7001@east,k2=10.0.0.2:7001@east,k3=10.0.1.1:7001@west`,
		RunE: func(c *cobra.Command, args []string) error {
			id, err := coordserver.Init(args[0], name, coordinators, registryToken, float64(lease), drift)
			if err == nil {
				_, err = fmt.Fprintln(c.OutOrStdout(), id.Token)
			}
			return err
		}}
	f := initCommand.Flags()
	f.StringVar(&name, "name", "", "name of this coordinator, one of --keepers")
	f.StringVar(&coordinators, "keepers", "", "all coordinators: NAME=ADDRESS:PORT@ZONE, separated by commas")
	f.StringVar(&registryToken, "record", "", "token of the registry, for all but the first coordinator")
	f.Var(&lease, "lease", "time after which the tasks of a router that sends no heartbeat go to others: 2s, 500ms, or a number of seconds")
	f.Float64Var(&drift, "drift", 0.05, "largest relative error of the speed of any process's clock")
	initCommand.MarkFlagRequired("name")
	initCommand.MarkFlagRequired("keepers")
	joinCommand := &cobra.Command{Use: "join FOLDER", Short: "Create the folder of a coordinator that joins or replaces a lost one", Args: cobra.ExactArgs(1),
		Long: `Join asks the running coordinators to add this one. A coordinator of the same name is removed for good: its folder is
considered lost, and it is never accepted again. A majority of the coordinators must be running.`,
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), 20*time.Second)
			defer cancel()
			id, err := coordserver.Join(ctx, args[0], name, listen, zone, peer)
			if err == nil {
				_, err = fmt.Fprintf(c.OutOrStdout(), "coordinator %d of registry %s\n", id.ID, id.Token)
			}
			return err
		}}
	f = joinCommand.Flags()
	f.StringVar(&name, "name", "", "name of this coordinator")
	f.StringVar(&listen, "listen", "", "address and port to listen on")
	f.StringVar(&zone, "zone", "", "zone of this coordinator")
	f.StringVar(&peer, "ask", "", "address and port of a running coordinator")
	for _, n := range [...]string{"name", "listen", "ask"} {
		joinCommand.MarkFlagRequired(n)
	}
	runCommand := &cobra.Command{Use: "run FOLDER", Short: "Run the coordinator until SIGTERM", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			writer, flushLog := logs.Start(os.Stderr)
			defer flushLog()
			return coordserver.Serve(c.Context(), args[0], options, logs.New(writer, zap.InfoLevel))
		}}
	f = runCommand.Flags()
	f.StringVar(&options.Listen, "listen", "", "address and port to listen on, if it differs from the address that the others use")
	f.StringVar(&options.LocalAddr, "from", "", "source address of connections to other coordinators")
	root.AddCommand(initCommand, joinCommand, runCommand)
	return root
}

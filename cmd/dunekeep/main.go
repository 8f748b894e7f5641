// Dunekeep is one keeper of a fleet's record: who has a session, which work has which owner under which fence.
package main

import (
	"context"
	"errors"
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
	"golang.org/x/sync/errgroup"
)

func main() {
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is an error that is told, like a full disk
	ctx, stopNotify := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopNotify()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "dunekeep:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	root := &cobra.Command{Use: "dunekeep", Short: "Keep the record of a fleet of routers", SilenceErrors: true, SilenceUsage: true,
		Long: `Dunekeep is one of the three or five keepers of a fleet's record. Routers serve without it; with it they do some work once
for all (docs/fleet.md). Its folder is its memory: it must not be copied, shared or put back from a backup.`}
	var name, coordinators, registryToken, listen, zone, peer string
	lease := seconds.Flag(4)
	var drift float64
	var options coordserver.Options
	initCommand := &cobra.Command{Use: "init FOLDER", Short: "Make the folder of one keeper of a new record", Args: cobra.ExactArgs(1),
		Long: `Init begins a record. Run it once for each keeper, with the same --keepers; the first prints the record's token, which the
others are given by --record. All of them have to run before the record begins.`,
		Example: `  dunekeep init /var/lib/dunekeep --name k1 --keepers k1=10.0.0.1:7001@east,k2=10.0.0.2:7001@east,k3=10.0.1.1:7001@west`,
		RunE: func(c *cobra.Command, args []string) error {
			id, err := coordserver.Init(args[0], name, coordinators, registryToken, float64(lease), drift)
			if err == nil {
				_, err = fmt.Fprintln(c.OutOrStdout(), id.Token)
			}
			return err
		}}
	f := initCommand.Flags()
	f.StringVar(&name, "name", "", "this keeper's name, one of --keepers")
	f.StringVar(&coordinators, "keepers", "", "all keepers: NAME=ADDRESS:PORT@ZONE, separated by commas")
	f.StringVar(&registryToken, "record", "", "the record's token, for all but the first keeper")
	f.Var(&lease, "lease", "after which a silent router's works are given to others: 2s, 500ms, or a number of seconds")
	f.Float64Var(&drift, "drift", 0.05, "by what share any process's clock may run fast or slow")
	initCommand.MarkFlagRequired("name")
	initCommand.MarkFlagRequired("keepers")
	joinCommand := &cobra.Command{Use: "join FOLDER", Short: "Make the folder of a keeper that joins, or takes a lost one's place", Args: cobra.ExactArgs(1),
		Long: `Join asks the keepers that run to take this one in. One of the same name leaves the record for good: its folder is taken to
be lost, and it would never be believed again. It needs a majority of keepers.`,
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), 20*time.Second)
			defer cancel()
			id, err := coordserver.Join(ctx, args[0], name, listen, zone, peer)
			if err == nil {
				_, err = fmt.Fprintf(c.OutOrStdout(), "keeper %d of record %s\n", id.ID, id.Token)
			}
			return err
		}}
	f = joinCommand.Flags()
	f.StringVar(&name, "name", "", "this keeper's name")
	f.StringVar(&listen, "listen", "", "address and port that it listens on")
	f.StringVar(&zone, "zone", "", "its zone")
	f.StringVar(&peer, "ask", "", "address and port of a keeper that runs")
	for _, n := range [...]string{"name", "listen", "ask"} {
		joinCommand.MarkFlagRequired(n)
	}
	runCommand := &cobra.Command{Use: "run FOLDER", Short: "Keep the record until SIGTERM", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			writer := logs.NewWriter()
			ctx, stopWriter := context.WithCancel(context.Background())
			var group errgroup.Group
			group.Go(func() error {
				writer.Run(ctx, os.Stderr)
				return nil
			})
			err := coordserver.Serve(c.Context(), args[0], options, logs.New(writer, zap.InfoLevel))
			stopWriter()
			return errors.Join(err, group.Wait())
		}}
	f = runCommand.Flags()
	f.StringVar(&options.Listen, "listen", "", "address and port to listen on, where others come by another than they know it by")
	f.StringVar(&options.From, "from", "", "address that calls to other keepers come from")
	root.AddCommand(initCommand, joinCommand, runCommand)
	return root
}

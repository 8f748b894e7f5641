// Package cli is the router's command line. With no words it serves as its environment says, which is how the
// platform starts it.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os/exec"
	"runtime"

	"dunereach/deploy"
	"dunereach/internal/config"
	"dunereach/internal/operator"
	"dunereach/internal/router"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

// Version of this source; the changelog says what came when.
const Version = "0.2.0-dev"

// configError is a fault in what the operator wrote, as against one of the program or the machine.
type configError struct{ error }

// Status is the status that a program ends with on an error: 2 where check found a fault, what a companion ended with,
// else 1.
func Status(err error) int {
	var c *exec.ExitError
	if errors.As(err, &c) {
		return c.ExitCode()
	}
	var u configError
	if errors.As(err, &u) {
		return 2
	}
	return 1
}

// Said tells whether a companion has said already what is wrong.
func Said(err error) bool {
	var c *exec.ExitError
	return errors.As(err, &c)
}

// With is what a program is linked with beside the router.
type With struct {
	Fleet func(config.Config, *zap.Logger) (router.Fleet, error)              // a router's part in the fleet; nil: dunefleet has it
	State func(set operator.State, name string, log *zap.Logger) router.State // what it keeps in a folder; nil: dunefleet has it
	Words *cobra.Command                                                      // `fleet` and what follows it
}

// Run carries out one command line.
func Run(args []string, env func(string) string, out, log io.Writer, extensions With) error {
	operatorFile := env(operator.Variable)
	load := func() (config.Config, error) { return config.Load(env, operatorFile, checkOperatorFile) }
	serveCommand := func(*cobra.Command, []string) error { return serve(load, extensions, log) }
	root := &cobra.Command{
		Use:   "dunereach",
		Short: "An admission controller for queries on a pool of engines",
		Long: `Dunereach is one router. It takes commands from clients, decides for each whether, when and where it runs, has an
engine run it, and passes the result back.

It is told where it is by its environment:

  BALANCER_CONFIG      the configuration: limits, name server, engines known at the start, settings
  BALANCER_NAME        its name, in place of the file's
  BALANCER_LISTEN      address and port for clients, in place of the file's
  DUNEREACH_OPERATOR   the operators' own file; none: everything that it could name is off
  DUNEREACH_LOG_LEVEL  debug: a line on every attempt, none left out; info, the default; warn; error

With no command it serves. SIGHUP has it read both files again, SIGTERM ends it once all is answered.`,
		Example: `  make demo                                              # a router with stand-ins for all it talks to
  BALANCER_CONFIG=deploy/example.json dunereach check
  BALANCER_CONFIG=deploy/example.json dunereach serve --operator deploy/operator.json`,
		Args: cobra.NoArgs, RunE: serveCommand, SilenceErrors: true, SilenceUsage: true,
	}
	root.PersistentFlags().StringVar(&operatorFile, "operator", operatorFile,
		"the operators' file (default: what "+operator.Variable+" names)")
	root.AddCommand(&cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM, as with no command at all", Args: cobra.NoArgs, RunE: serveCommand,
	}, &cobra.Command{
		Use: "check", Short: "Read configuration and operators' file and say what is wrong with them",
		Long: `Check reads what serve would read and starts nothing. Where something is wrong it says in one line what and where, and
ends with status 2.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := load()
			if err != nil {
				return configError{err}
			}
			if f := c.Operator.Fleet; f != nil {
				fmt.Fprintf(out, "fleet: %d keepers\n", len(f.Keepers))
			}
			if s := c.Operator.State; s != nil {
				fmt.Fprintf(out, "state: kept in %s\n", s.Folder)
			}
			fmt.Fprintf(out, "good: %d profiles, %d tenants, %d teams\n", len(c.Settings.Profiles), len(c.Settings.Tenants),
				len(c.Operator.Teams))
			return nil
		},
	}, &cobra.Command{
		Use: "expect", Short: "Check routing expectations without sending traffic (dunereach expect --help)",
		DisableFlagParsing: true, // dunecheck's
		RunE: func(_ *cobra.Command, args []string) error {
			return runChecker(append([]string{"expect"}, args...), out, log)
		},
	}, &cobra.Command{
		Use: "state", Short: "Look at what routers keep in a folder (dunereach state --help)",
		DisableFlagParsing: true, // dunecheck's
		RunE: func(_ *cobra.Command, args []string) error {
			return runChecker(append([]string{"state"}, args...), out, log)
		},
	}, &cobra.Command{
		Use: "schema", Short: "Print the JSON schema of the operators' file", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := out.Write(deploy.OperatorSchema)
			return err
		},
	}, &cobra.Command{
		Use: "version", Short: "Print version and platform", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintf(out, "dunereach %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	})
	if extensions.Words == nil {
		extensions.Words = &cobra.Command{Use: "fleet", Short: "See and steer work done on behalf of all routers (dunereach fleet --help)",
			DisableFlagParsing: true, // dunefleet's
			RunE:               func(*cobra.Command, []string) error { return execProgram(fleetProgram, args) }}
	}
	root.AddCommand(extensions.Words)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(log)
	return root.Execute()
}

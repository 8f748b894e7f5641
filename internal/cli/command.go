// Package cli implements the router's command line. Without arguments the router serves with the configuration that its
// environment names, which is how the platform starts it.
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

// Version is the version of this source; the changelog lists the changes of each version.
const Version = "0.2.0-dev"

// configError marks an error in a file that the operator wrote, as opposed to a fault of the program or the machine.
type configError struct{ error }

// ExitStatus returns the exit status for an error: that of the program that was run, where its failure is the error; 2
// where the check command found an error in a file; else 1.
func ExitStatus(err error) int {
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

// AlreadyReported reports whether the error is the failure of another program, which has printed its own error message.
func AlreadyReported(err error) bool {
	var c *exec.ExitError
	return errors.As(err, &c)
}

// Extensions are the parts that only some programs link beside the router.
type Extensions struct {
	Fleet        func(config.Config, *zap.Logger) (router.Fleet, error)              // the router's membership in the fleet; nil: only dunefleet has it
	State        func(set operator.State, name string, log *zap.Logger) router.State // the state kept in a folder; nil: only dunefleet has it
	FleetCommand *cobra.Command                                                      // the command `fleet` with its subcommands
}

// Run executes one command line.
func Run(args []string, env func(string) string, out, log io.Writer, extensions Extensions) error {
	operatorFile := env(operator.EnvVariable)
	load := func() (config.Config, error) { return config.Load(env, operatorFile, checkOperatorFile) }
	serveCommand := func(*cobra.Command, []string) error { return serve(load, extensions, log) }
	root := &cobra.Command{
		Use:   "dunereach",
		Short: "An admission controller for queries on a pool of database servers",
		Long: `Dunereach runs one router. The router accepts requests from clients, decides for each request whether, when and on
which server it runs, sends it to that server, and returns the result to the client.

It is configured by environment variables:

  BALANCER_CONFIG      path of the configuration file: limits, name server, servers known at the start, settings
  BALANCER_NAME        name of this router; overrides the file
  BALANCER_LISTEN      address and port for clients; overrides the file
  DUNEREACH_OPERATOR   path of the operators' file; if unset, all subsystems that it configures are off
  DUNEREACH_LOG_LEVEL  debug (one line per attempt, without sampling), info (the default), warn or error

Without a command it serves. SIGHUP reloads both files. SIGTERM stops the router after all requests are answered.`,
		Example: `  make demo                                              # a router with fakes for all that it connects to
  BALANCER_CONFIG=deploy/example.json dunereach check
  BALANCER_CONFIG=deploy/example.json dunereach serve --operator deploy/operator.json`,
		Args: cobra.NoArgs, RunE: serveCommand, SilenceErrors: true, SilenceUsage: true,
	}
	root.PersistentFlags().StringVar(&operatorFile, "operator", operatorFile,
		"path of the operators' file (default: the value of "+operator.EnvVariable+")")
	root.AddCommand(&cobra.Command{
		Use: "serve", Short: "Serve until SIGTERM (the default command)", Args: cobra.NoArgs, RunE: serveCommand,
	}, &cobra.Command{
		Use: "check", Short: "Check the configuration and the operators' file",
		Long: `Check reads the files that serve would read and starts nothing. If a file is invalid it prints one line with the place
and the cause, and exits with status 2.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			c, err := load()
			if err != nil {
				return configError{err}
			}
			if f := c.Operator.Fleet; f != nil {
				fmt.Fprintf(out, "fleet: %d coordinators\n", len(f.Coordinators))
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
		DisableFlagParsing: true, // dunecheck parses the flags
		RunE: func(_ *cobra.Command, args []string) error {
			return runChecker(append([]string{"expect"}, args...), out, log)
		},
	}, &cobra.Command{
		Use: "state", Short: "Inspect the state that routers keep in a folder (dunereach state --help)",
		DisableFlagParsing: true, // dunecheck parses the flags
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
	if extensions.FleetCommand == nil {
		extensions.FleetCommand = &cobra.Command{Use: "fleet", Short: "Inspect and control the tasks that routers do for the whole fleet (dunereach fleet --help)",
			DisableFlagParsing: true, // dunefleet parses the flags
			RunE:               func(*cobra.Command, []string) error { return execProgram(fleetProgram, args) }}
	}
	root.AddCommand(extensions.FleetCommand)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(log)
	return root.Execute()
}

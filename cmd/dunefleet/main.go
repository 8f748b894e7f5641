// Dunefleet is the router with fleet membership and with state kept in a folder. Dunereach execs it if the operators' file has a section
// fleet or state.
package main

import (
	"fmt"
	"os"

	"dunereach/internal/agentdriver"
	"dunereach/internal/cli"
	"dunereach/internal/config"
	"dunereach/internal/operator"
	"dunereach/internal/router"
	"dunereach/internal/state"

	"go.uber.org/zap"
)

func main() {
	extensions := cli.Extensions{FleetCommand: agentdriver.FleetCommand(), Fleet: func(c config.Config, log *zap.Logger) (router.Fleet, error) { return agentdriver.New(c, log) },
		State: func(cfg operator.State, name string, log *zap.Logger) router.State { return state.New(cfg, name, log) }}
	if err := cli.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr, extensions); err != nil {
		if !cli.AlreadyReported(err) {
			fmt.Fprintln(os.Stderr, "dunereach:", err)
		}
		os.Exit(cli.ExitStatus(err))
	}
}

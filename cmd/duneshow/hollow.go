package main

import (
	"os"

	"dunereach/internal/hollow"
	"dunereach/internal/measure"
	"dunereach/internal/scale"

	"github.com/spf13/cobra"
)

// hollowCommand returns the command with which the scale tests start a process of hollow routers.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow", Short: "Run hollow routers controlled by commands on standard input (used by the command scale)", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return hollow.NewWorker().Serve(os.Stdin, os.Stdout) }}
}

// controlCommand returns the command that measures one part of control alone.
func controlCommand() *cobra.Command {
	routers := 0
	command := &cobra.Command{Use: "control", Short: "Measure one part of the scale tests' control alone"}
	command.PersistentFlags().IntVar(&routers, "routers", scale.TargetRouters, "the largest number of routers")
	for _, part := range scale.ControlParts {
		command.AddCommand(&cobra.Command{Use: part.Name, Short: part.Description, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			rows, err := part.Run(routers)
			if err == nil && !measure.Print(os.Stdout, rows) {
				err = errBelowBound
			}
			return err
		}})
	}
	return command
}

package main

import (
	"os"

	"dunereach/internal/hollow"
	"dunereach/internal/measure"
	"dunereach/internal/scale"

	"github.com/spf13/cobra"
)

// hollowCommand serves hollow routers to the scale tests, which start it.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow", Short: "Serve hollow routers by commands on standard input (a part of scale)", Hidden: true, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return hollow.NewWorker().Serve(os.Stdin, os.Stdout) }}
}

// controlCommand measures one part of control alone.
func controlCommand() *cobra.Command {
	routers := 0
	command := &cobra.Command{Use: "control", Short: "Measure one part of the scale tests' control alone"}
	command.PersistentFlags().IntVar(&routers, "routers", scale.TargetRouters, "the largest size")
	for _, part := range scale.ControlParts {
		command.AddCommand(&cobra.Command{Use: part.Name, Short: part.About, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			rows, err := part.Run(routers)
			if err == nil && !measure.Print(os.Stdout, rows) {
				err = errBelowBound
			}
			return err
		}})
	}
	return command
}

// Duneshow measures one subsystem and checks the results against their bounds, for example `duneshow budgets`. It exits with status 1 if
// a result misses its bound.
package main

import (
	"errors"
	"fmt"
	"os"

	"dunereach/internal/measure"
	"dunereach/internal/seconds"

	"github.com/spf13/cobra"
)

var errBelowBound = errors.New("a measured value misses its bound")

func main() {
	root := &cobra.Command{Use: "duneshow", Short: "Measure one subsystem and check the results against their bounds", SilenceUsage: true,
		SilenceErrors: true}
	for _, s := range measure.Subsystems {
		root.AddCommand(subsystemCommand(s))
	}
	root.AddCommand(&cobra.Command{Use: "fleet-seeds FROM COUNT SECONDS", Short: "Simulate a fleet with random faults in virtual time and print the results as JSON",
		Args: cobra.ExactArgs(3), RunE: func(_ *cobra.Command, args []string) error {
			var from, count uint64
			if _, err := fmt.Sscan(args[0]+" "+args[1], &from, &count); err != nil {
				return err
			}
			length, err := seconds.Parse(args[2])
			if err != nil {
				return err
			}
			out, err := measure.RunSeedsJSON(from, count, length)
			if err == nil {
				_, err = fmt.Printf("%s\n", out)
			}
			return err
		}})
	root.AddCommand(&cobra.Command{Use: "fleet-explore FROM COUNT SECONDS", Short: "Simulate a fleet with random faults in virtual time, on all cores; fails if a run breaks a rule or the runs take too long",
		Args: cobra.ExactArgs(3), RunE: func(_ *cobra.Command, args []string) error {
			var from, count uint64
			if _, err := fmt.Sscan(args[0]+" "+args[1], &from, &count); err != nil {
				return err
			}
			length, err := seconds.Parse(args[2])
			if err != nil {
				return err
			}
			rows, err := measure.ExploreSeeds(from, count, length)
			if err == nil && !measure.Print(os.Stdout, rows) {
				err = errBelowBound
			}
			return err
		}})
	root.AddCommand(&cobra.Command{Use: "state-writer DIR", Short: "Write state to a folder until killed (used by the command state)", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return measure.WriteState(args[0]) }})
	root.AddCommand(&cobra.Command{Use: "state-late with|without SECONDS", Short: "Print the 99th percentile of timer lateness in an owner (used by the command state)", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			length, err := seconds.Parse(args[1])
			if err != nil {
				return err
			}
			p99, err := measure.TimerLateness(args[0] == "with", length)
			if err == nil {
				_, err = fmt.Println(p99)
			}
			return err
		}})
	root.AddCommand(&cobra.Command{Use: "zone-days FROM COUNT", Short: "Simulate random days of zone faults by shares of load; fails if a day breaks a rule", Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var from, count uint64
			if _, err := fmt.Sscan(args[0]+" "+args[1], &from, &count); err != nil {
				return err
			}
			broken, planned, offered, plans, err := measure.RandomDays(from, count)
			if err != nil {
				return err
			}
			for _, b := range broken {
				fmt.Println(b)
			}
			fmt.Printf("%d days, %d plans: planned at most %.4f of a zone, really offered %.4f; %d days with a rule broken\n", count, plans, planned, offered, len(broken))
			if len(broken) > 0 {
				return errBelowBound
			}
			return nil
		}})
	root.AddCommand(&cobra.Command{Use: "zone-charts FOLDER", Short: "Write charts of three simulated days of zone faults", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			tables, err := measure.WriteCharts(args[0])
			if err == nil {
				fmt.Println(tables)
			}
			return err
		}})
	root.AddCommand(&cobra.Command{Use: "soak-fleet MINUTES", Short: "Run five coordinators and forty routers as processes under random faults", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var minutes float64
			if _, err := fmt.Sscan(args[0], &minutes); err != nil {
				return err
			}
			return measure.Soak(os.Stdout, minutes)
		}})
	root.AddCommand(scaleCommand(), hollowCommand(), controlCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "duneshow:", err)
		os.Exit(1)
	}
}

// subsystemCommand returns the command that measures one subsystem.
func subsystemCommand(subsystem measure.Subsystem) *cobra.Command {
	short := false
	command := &cobra.Command{Use: subsystem.Name, Short: subsystem.Description, Args: cobra.NoArgs}
	command.Flags().BoolVar(&short, "short", false, "run the short form used by CI: fewer cases, the same bounds")
	command.RunE = func(*cobra.Command, []string) error {
		run := subsystem.Run
		if short {
			run = subsystem.Short
		}
		rows, err := run()
		if err != nil {
			return err
		}
		if !measure.Print(os.Stdout, rows) {
			return errBelowBound
		}
		return nil
	}
	return command
}

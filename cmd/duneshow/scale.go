package main

import (
	"fmt"
	"os"

	"dunereach/internal/measure"
	"dunereach/internal/scale"

	"github.com/spf13/cobra"
)

// scaleCommand returns the command that measures how cost grows with the size of a fleet, for all parts or the named ones.
func scaleCommand() *cobra.Command {
	short := false
	command := &cobra.Command{
		Use:   "scale [PART ...]",
		Short: "Measure how cost grows with the size of a fleet; parts are datapath, service, primary, control and subset",
	}
	command.Flags().BoolVar(&short, "short", false, "run the short form used by CI: smaller sizes, under half a minute per part")
	command.RunE = func(_ *cobra.Command, names []string) error {
		parts := scale.Parts
		if len(names) > 0 {
			parts = nil
		}
		for _, name := range names {
			part, err := scale.FindPart(name)
			if err != nil {
				return err
			}
			parts = append(parts, part)
		}
		return runScale(parts, short)
	}
	return command
}

// runScale runs parts one after another, so that they don't disturb each other's timings. It prints the results of all parts before it
// fails.
func runScale(parts []scale.Part, short bool) error {
	passed := true
	for _, part := range parts {
		fmt.Printf("# %s: %s\n", part.Name, part.Description)
		rows, err := part.Run(short)
		if err != nil {
			return fmt.Errorf("%s: %w", part.Name, err)
		}
		passed = measure.Print(os.Stdout, rows) && passed
	}
	if !passed {
		return errBelowBound
	}
	return nil
}

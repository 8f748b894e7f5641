// Dunecheck does for the router what needs libraries that would cost it memory: it checks a text of the operators' file,
// given on standard input, against the schema, with `expect` tries routing expectations, and with `state` looks at what routers
// keep. Status 2 and one line on standard error where something can't be read, 1 where expectations do not hold or a folder is
// damaged.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"dunereach/internal/expect"
	"dunereach/internal/operator/schema"
	"dunereach/internal/state"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{Use: "dunecheck", Short: "Check the operators' file (standard input), routing expectations or what routers keep",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			text, err := io.ReadAll(os.Stdin)
			if err != nil {
				return err
			}
			return schema.Check(text)
		}}
	root.AddCommand(expect.Command(os.Getenv, os.Stdout, schema.CheckExpectations))
	root.AddCommand(state.Command(os.Stdout))
	switch err := root.Execute(); {
	case errors.Is(err, expect.ErrNotHeld), errors.Is(err, state.ErrDamaged):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

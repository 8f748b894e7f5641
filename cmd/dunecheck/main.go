// Dunecheck does the checks for the router whose libraries would cost the router memory. It checks the text of an operators' file on
// standard input against the schema; `expect` checks routing expectations, and `state` inspects the state that routers keep. It exits
// with status 2 and one line on standard error if something can't be read, and with status 1 if expectations fail or a folder is damaged.
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
	root := &cobra.Command{Use: "dunecheck", Short: "Check the operators' file (on standard input), routing expectations or the state that routers keep",
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

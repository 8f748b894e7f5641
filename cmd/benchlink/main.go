// Benchlink hosts admission controllers for the simulator: it reads batches of events on standard input and writes the actions to
// standard output.
package main

import (
	"fmt"
	"os"

	"dunereach/internal/benchwire"
)

func main() {
	if err := benchwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

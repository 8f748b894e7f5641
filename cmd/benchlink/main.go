// Benchlink hosts the decision module on the bench's wire: standard input to standard output.
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

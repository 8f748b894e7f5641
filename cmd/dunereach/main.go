// Dunereach is one router: it accepts requests from clients and forwards them to database servers.
package main

import (
	"fmt"
	"os"

	"dunereach/internal/cli"
)

func main() {
	if err := cli.Run(os.Args[1:], os.Getenv, os.Stdout, os.Stderr, cli.Extensions{}); err != nil {
		if !cli.AlreadyReported(err) {
			fmt.Fprintln(os.Stderr, "dunereach:", err)
		}
		os.Exit(cli.ExitStatus(err))
	}
}

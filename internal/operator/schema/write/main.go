// Write regenerates the schemas under deploy/; `make schema` runs it from the root of the repository.
package main

import (
	"fmt"
	"os"

	"dunereach/internal/operator/schema"
)

func main() {
	for path, generate := range map[string]func() ([]byte, error){
		"deploy/operator.schema.json":    schema.Operator,
		"deploy/expectation.schema.json": schema.Expectations,
		"deploy/scenario.schema.json":    schema.Scenarios,
	} {
		text, err := generate()
		if err == nil {
			err = os.WriteFile(path, text, 0o644)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "schema:", err)
			os.Exit(1)
		}
	}
}

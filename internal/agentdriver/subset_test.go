package agentdriver

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// TestSubsetCommand: which routers hold which databases, and why, is computed from the files alone.
func TestSubsetCommand(t *testing.T) {
	t.Setenv("BALANCER_CONFIG", filepath.Join("..", "..", "deploy", "example.json"))
	file := filepath.Join(t.TempDir(), "operator.json")
	text := `{"subset":{"size":2,"room":0,"least":1,"routers":[{"name":"a","zone":"hall"},{"name":"b","zone":"yard"}]}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, want string }{
		{"subset", "4 databases, 3 routers"}, // the router of the configuration is not on the list, and is added to it
		{"subset a", "needed for profile archive"},
		{"subset e-3", "needed for kind 1"},
		{"subset e-3 --json", `"database": "e-3"`},
		{"subset nobody", `no router and no database is called "nobody"`},
		{"subset --operator=", "no subsets: name an operators' file"},
	} {
		var out strings.Builder
		root := &cobra.Command{Use: "dunereach", SilenceErrors: true, SilenceUsage: true}
		root.PersistentFlags().String("operator", file, "")
		root.AddCommand(FleetCommand())
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append([]string{"fleet"}, strings.Fields(c.args)...))
		if err := root.Execute(); err != nil {
			out.WriteString(err.Error())
		}
		if !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %s does not contain %q", c.args, out.String(), c.want)
		}
	}
}

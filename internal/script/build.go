package script

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// BuildAndRun builds programs of this repository, passes the folder that they are in to setDir, runs a package's tests, and ends the
// process with their status. It is called by TestMain.
func BuildAndRun(m *testing.M, setDir func(dir string), packages ...string) {
	dir, err := os.MkdirTemp("", "dunereach")
	if err == nil {
		var out []byte
		if out, err = exec.Command("go", append([]string{"build", "-buildvcs=false", "-o", dir}, packages...)...).CombinedOutput(); err != nil {
			err = fmt.Errorf("%v\n%s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	setDir(dir)
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

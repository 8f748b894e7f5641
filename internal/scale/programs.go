package scale

import (
	"errors"
	"os"
	"path/filepath"
)

// routerProgram is where the router's binary stands: in bin/ below the working directory, or beside this program.
func routerProgram() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	for _, path := range []string{"bin/dunereach", filepath.Join(filepath.Dir(self), "dunereach")} {
		if _, err := os.Stat(path); err == nil {
			return filepath.Abs(path)
		}
	}
	return "", errors.New("no bin/dunereach: `make build` makes it")
}

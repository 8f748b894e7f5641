package cli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunereach/internal/config"
)

// The fleet's platform refuses other programs (fork and exec answer ENOSYS). As `run` starts the router, with no
// operators' file, reading the configuration and taking it again at SIGHUP must start none. The test binary has no
// dunecheck beside it, so any start would come back as an error; the second half shows that it does.
func TestNoProgramStartedWithoutOperatorsFile(t *testing.T) {
	configFile := filepath.Join("..", "..", "deploy", "example.json")
	env := func(k string) string {
		return map[string]string{"BALANCER_CONFIG": configFile, "BALANCER_NAME": "r1", "BALANCER_LISTEN": "127.0.0.1:0"}[k]
	}
	cfg, err := config.Load(env, "", checkOperatorFile)
	if err != nil {
		t.Fatalf("without an operators' file the configuration is read in-process: %v", err)
	}
	if err := checkExpectations(context.Background(), cfg); err != nil {
		t.Fatalf("without an operators' file SIGHUP starts no check: %v", err)
	}

	operatorFile := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operatorFile, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = config.Load(env, operatorFile, checkOperatorFile)
	if err == nil || !strings.Contains(err.Error(), "dunecheck") {
		t.Fatalf("an operators' file is checked by the program beside: got %v", err)
	}
}

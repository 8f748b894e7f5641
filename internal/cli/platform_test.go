package cli

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dunereach/internal/config"
)

// TestNoProgramStartedWithoutOperatorsFile: the fleet's platform forbids other programs (fork and exec return ENOSYS). Without an
// operators' file, as the platform starts the router, loading the configuration and reloading it at SIGHUP must therefore start none.
// The test binary has no dunecheck in its folder, so any start would return an error; the second half of the test shows that it does.
func TestNoProgramStartedWithoutOperatorsFile(t *testing.T) {
	configFile := filepath.Join("..", "..", "deploy", "example.json")
	env := func(k string) string {
		return map[string]string{"BALANCER_CONFIG": configFile, "BALANCER_NAME": "r1", "BALANCER_LISTEN": "127.0.0.1:0"}[k]
	}
	cfg, err := config.Load(env, "", checkOperatorFile)
	if err != nil {
		t.Fatalf("loading without an operators' file: %v", err)
	}
	if err := checkExpectations(context.Background(), cfg); err != nil {
		t.Fatalf("checking expectations without an operators' file: %v", err)
	}

	operatorFile := filepath.Join(t.TempDir(), "operator.json")
	if err := os.WriteFile(operatorFile, []byte(`{}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = config.Load(env, operatorFile, checkOperatorFile)
	if err == nil || !strings.Contains(err.Error(), "dunecheck") {
		t.Fatalf("loading with an operators' file but without dunecheck: got %v, want an error that names dunecheck", err)
	}
}

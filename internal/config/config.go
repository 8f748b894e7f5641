// Package config reads the configuration of a router: environment variables and the JSON file that they name.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"dunereach/fairshare"
	"dunereach/internal/discovery"
	"dunereach/internal/operator"
	"dunereach/internal/settings"
)

// Config is the configuration of one router.
type Config struct {
	Name       string
	Listen     netip.AddrPort
	NameServer netip.AddrPort
	Limits     Limits
	Known      discovery.ConfiguredList
	Settings   settings.Settings
	Operator   operator.File
	Files      [2]string      // paths that were read: the configuration's and the operators'
	Budgets    fairshare.Spec // the teams of the operators' file
}

// Limits are the resources that the router may use. Zero means no limit.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type configFile struct {
	Name       string                   `json:"name"`
	Listen     string                   `json:"listen"`
	Seed       string                   `json:"seed"`
	Limits     Limits                   `json:"limits"`
	NameServer string                   `json:"nameserver"`
	Known      discovery.ConfiguredList `json:"known"`
	Settings   json.RawMessage          `json:"settings"`
}

// Load reads the configuration and the operators' file, where one is named. Name and address in the environment override those of
// the file. check validates the text of the operators' file.
func Load(env func(string) string, operatorFile string, check func([]byte) error) (c Config, err error) {
	path := env("BALANCER_CONFIG")
	if path == "" {
		return c, fmt.Errorf("BALANCER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("configuration: %v", err)
	}
	if c, err = Parse(text, env("BALANCER_NAME"), env("BALANCER_LISTEN")); err != nil {
		return c, err
	}
	c.Files = [2]string{path, operatorFile}
	if c.Operator, err = operator.Load(operatorFile, check); err != nil {
		return c, err
	}
	if c.Budgets, err = c.Operator.Spec(c.Settings.Tenants); err == nil {
		err = c.Operator.Fleet.Check()
	}
	if err == nil {
		err = c.Operator.CheckSubset(c.Settings.Zones)
	}
	if err != nil {
		return c, fmt.Errorf("operators' file %s: %v", operatorFile, err)
	}
	return c, nil
}

// Parse reads the text of a configuration file; a non-empty name or listen overrides the file's.
func Parse(text []byte, name, listen string) (c Config, err error) {
	var f configFile
	if err = json.Unmarshal(text, &f); err != nil {
		return c, fmt.Errorf("configuration: %v", err)
	}
	if name == "" {
		name = f.Name
	}
	if listen == "" {
		listen = f.Listen
	}
	for _, l := range [...]struct {
		name  string
		value float64
	}{{"cores", f.Limits.Cores}, {"memory_mb", f.Limits.MemoryMB}, {"sockets", float64(f.Limits.Sockets)}} {
		if l.value < 0 {
			return c, fmt.Errorf("configuration: /limits/%s: %v is negative", l.name, l.value)
		}
	}
	c = Config{Name: name, Limits: f.Limits, Known: f.Known}
	if c.Listen, err = netip.ParseAddrPort(listen); err != nil {
		return c, fmt.Errorf("configuration: address to listen on: %v", err)
	}
	if c.NameServer, err = netip.ParseAddrPort(f.NameServer); err != nil {
		return c, fmt.Errorf("configuration: nameserver: %v", err)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("configuration: seed: %v", err)
	}
	if c.Settings, err = settings.Parse(f.Settings, seed); err != nil {
		return c, fmt.Errorf("configuration: %v", err)
	}
	return c, nil
}

package coordserver

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"time"

	"dunereach/fleet/agent"
	"dunereach/fleet/coordinator"
	"dunereach/fleet/registry"
	"dunereach/internal/netaddr"
)

// ParseCoordinators parses a list such as "k1=127.0.0.1:7001@east,k2=...". Each item has a name, an address and, after
// the @, a zone.
func ParseCoordinators(text string) (coordinators []registry.Coordinator, err error) {
	names := map[string]bool{}
	for n, item := range strings.Split(text, ",") {
		name, rest, ok := strings.Cut(strings.TrimSpace(item), "=")
		addr, zone, _ := strings.Cut(rest, "@")
		if !ok || name == "" {
			return nil, fmt.Errorf("coordinator %d, %q: must be NAME=ADDRESS:PORT or NAME=ADDRESS:PORT@ZONE", n+1, item)
		}
		if err := netaddr.CheckPrivate(addr); err != nil {
			return nil, fmt.Errorf("coordinator %q: %v", name, err)
		}
		if names[name] {
			return nil, fmt.Errorf("coordinator %q is named twice", name)
		}
		names[name] = true
		coordinators = append(coordinators, registry.Coordinator{ID: uint64(n + 1), Name: name, Addr: addr, Zone: zone})
	}
	if len(coordinators) != 1 && len(coordinators) != 3 && len(coordinators) != 5 {
		return nil, fmt.Errorf("%d coordinators: a registry starts with one (for trials), three or five", len(coordinators))
	}
	return coordinators, nil
}

// Init creates the folder of one coordinator of a new registry. Without a token the coordinator must be the first of
// the list, and a token is generated.
func Init(folder, name, keepers, token string, lease, drift float64) (Identity, error) {
	coordinators, err := ParseCoordinators(keepers)
	if err != nil {
		return Identity{}, err
	}
	id := Identity{Name: name, Peers: coordinators, Fresh: true, Token: token}
	for _, coord := range coordinators {
		if coord.Name == name {
			id.ID, id.Listen, id.Zone = coord.ID, coord.Addr, coord.Zone
		}
	}
	switch {
	case id.ID == 0:
		return id, fmt.Errorf("%q is not one of the coordinators", name)
	case token == "" && id.ID != 1:
		return id, fmt.Errorf("%q is not the first coordinator: pass --record with the token that `dunekeep init` printed for %q", name, coordinators[0].Name)
	case token == "":
		var random [8]byte
		rand.Read(random[:])
		id.Token = hex.EncodeToString(random[:])
	}
	if len(id.Token) > 64 || strings.Trim(id.Token, "0123456789abcdef") != "" {
		return id, fmt.Errorf("%q is not a registry token", id.Token)
	}
	initial, err := coordinator.InitialState(coordinators, lease, drift)
	if err != nil {
		return id, err
	}
	return id, Create(folder, id, initial)
}

// Join registers a new coordinator with the running ones and creates its folder. It may replace a coordinator that was
// lost.
func Join(ctx context.Context, folder, name, listen, zone, contact string) (Identity, error) {
	for _, addr := range [...]string{listen, contact} {
		if err := netaddr.CheckPrivate(addr); err != nil {
			return Identity{}, err
		}
	}
	client := NewClient([]string{contact}, "")
	var random [8]byte
	rand.Read(random[:])
	order := coordinator.Order{Kind: "join", Identity: binary.BigEndian.Uint64(random[:]) | 1, Name: name, Addr: listen, Zone: zone} // not 0
	var number uint64
	for {
		err := client.Call(ctx, "/v1/order", order, &number)
		if err == nil {
			break
		}
		// While no leader is elected the order is repeated. A coordinator that was added but has not started yet gets
		// the same ID again.
		retryable := false
		for _, transientErr := range []error{coordinator.ErrNotLeader, coordinator.ErrBusy, coordinator.ErrOutcomeUnknown, agent.ErrNoAnswer} {
			retryable = retryable || errors.Is(err, transientErr)
		}
		if !retryable || ctx.Err() != nil {
			return Identity{}, err
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	var snapshot RegistrySnapshot
	if err := client.Call(ctx, "/v1/record", nil, &snapshot); err != nil {
		return Identity{}, err
	}
	status, err := fetchStatus(ctx, client.http, contact)
	if err != nil {
		return Identity{}, err
	}
	id := Identity{ID: number, Name: name, Listen: listen, Zone: zone, Token: status.Registry, Peers: snapshot.Coordinators}
	return id, Create(folder, id, coordinator.PersistedState{})
}

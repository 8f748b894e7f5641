package coordserver

import (
	"context"
	"crypto/rand"
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

// ParseKeepers reads "k1=127.0.0.1:7001@east,k2=...": name, address and, after the @, zone.
func ParseKeepers(text string) (coordinators []registry.Keeper, err error) {
	names := map[string]bool{}
	for n, item := range strings.Split(text, ",") {
		name, rest, ok := strings.Cut(strings.TrimSpace(item), "=")
		addr, zone, _ := strings.Cut(rest, "@")
		if !ok || name == "" {
			return nil, fmt.Errorf("keeper %d, %q: NAME=ADDRESS:PORT or NAME=ADDRESS:PORT@ZONE is wanted", n+1, item)
		}
		if err := netaddr.Check(addr); err != nil {
			return nil, fmt.Errorf("keeper %q: %v", name, err)
		}
		if names[name] {
			return nil, fmt.Errorf("keeper %q is named twice", name)
		}
		names[name] = true
		coordinators = append(coordinators, registry.Keeper{ID: uint64(n + 1), Name: name, Addr: addr, Zone: zone})
	}
	if len(coordinators) != 1 && len(coordinators) != 3 && len(coordinators) != 5 {
		return nil, fmt.Errorf("%d keepers: one (for trying out), three or five can begin a record", len(coordinators))
	}
	return coordinators, nil
}

// Init makes the folder of one of a new record's keepers. No token: this is the first, and a token is drawn.
func Init(folder, name, keepers, token string, lease, drift float64) (Identity, error) {
	coordinators, err := ParseKeepers(keepers)
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
		return id, fmt.Errorf("%q is none of the keepers", name)
	case token == "" && id.ID != 1:
		return id, fmt.Errorf("%q is not the first keeper: give --record with what `dunekeep init` printed for %q", name, coordinators[0].Name)
	case token == "":
		var random [8]byte
		rand.Read(random[:])
		id.Token = hex.EncodeToString(random[:])
	}
	if len(id.Token) > 64 || strings.Trim(id.Token, "0123456789abcdef") != "" {
		return id, fmt.Errorf("%q is no token of a record", id.Token)
	}
	initial, err := coordinator.Begin(coordinators, lease, drift)
	if err != nil {
		return id, err
	}
	return id, Create(folder, id, initial)
}

// Join makes the folder of a keeper that takes the place of one that was lost, or comes to the others.
func Join(ctx context.Context, folder, name, listen, zone, contact string) (Identity, error) {
	for _, addr := range [...]string{listen, contact} {
		if err := netaddr.Check(addr); err != nil {
			return Identity{}, err
		}
	}
	client := NewClient([]string{contact}, "")
	var number uint64
	for {
		err := client.Call(ctx, "/v1/order", coordinator.Order{Kind: "join", Name: name, Addr: listen, Zone: zone}, &number)
		if err == nil {
			break
		}
		// While the others choose a leader it is asked retryable; one that was taken in and has not started is told its number retryable.
		retryable := false
		for _, transientErr := range []error{coordinator.ErrElsewhere, coordinator.ErrBusy, coordinator.ErrUnsure, agent.ErrNoAnswer} {
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
	var snapshot Picture
	if err := client.Call(ctx, "/v1/record", nil, &snapshot); err != nil {
		return Identity{}, err
	}
	status, err := fetchStatus(ctx, client.http, contact)
	if err != nil {
		return Identity{}, err
	}
	id := Identity{ID: number, Name: name, Listen: listen, Zone: zone, Token: status.Record, Peers: snapshot.Keepers}
	return id, Create(folder, id, coordinator.Stored{})
}

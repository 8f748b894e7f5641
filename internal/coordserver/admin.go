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
func ParseKeepers(text string) (all []registry.Coordinator, err error) {
	names := map[string]bool{}
	for n, part := range strings.Split(text, ",") {
		name, rest, ok := strings.Cut(strings.TrimSpace(part), "=")
		addr, zone, _ := strings.Cut(rest, "@")
		if !ok || name == "" {
			return nil, fmt.Errorf("keeper %d, %q: NAME=ADDRESS:PORT or NAME=ADDRESS:PORT@ZONE is wanted", n+1, part)
		}
		if err := netaddr.CheckPrivate(addr); err != nil {
			return nil, fmt.Errorf("keeper %q: %v", name, err)
		}
		if names[name] {
			return nil, fmt.Errorf("keeper %q is named twice", name)
		}
		names[name] = true
		all = append(all, registry.Coordinator{ID: uint64(n + 1), Name: name, Addr: addr, Zone: zone})
	}
	if len(all) != 1 && len(all) != 3 && len(all) != 5 {
		return nil, fmt.Errorf("%d keepers: one (for trying out), three or five can begin a record", len(all))
	}
	return all, nil
}

// Init makes the folder of one of a new record's keepers. No token: this is the first, and a token is drawn.
func Init(folder, name, keepers, token string, lease, drift float64) (Identity, error) {
	all, err := ParseKeepers(keepers)
	if err != nil {
		return Identity{}, err
	}
	id := Identity{Name: name, Peers: all, Fresh: true, Token: token}
	for _, k := range all {
		if k.Name == name {
			id.ID, id.Listen, id.Zone = k.ID, k.Addr, k.Zone
		}
	}
	switch {
	case id.ID == 0:
		return id, fmt.Errorf("%q is none of the keepers", name)
	case token == "" && id.ID != 1:
		return id, fmt.Errorf("%q is not the first keeper: give --record with what `dunekeep init` printed for %q", name, all[0].Name)
	case token == "":
		var b [8]byte
		rand.Read(b[:])
		id.Token = hex.EncodeToString(b[:])
	}
	if len(id.Token) > 64 || strings.Trim(id.Token, "0123456789abcdef") != "" {
		return id, fmt.Errorf("%q is no token of a record", id.Token)
	}
	stored, err := coordinator.InitialState(all, lease, drift)
	if err != nil {
		return id, err
	}
	return id, Create(folder, id, stored)
}

// Join makes the folder of a keeper that takes the place of one that was lost, or comes to the others.
func Join(ctx context.Context, folder, name, listen, zone, ask string) (Identity, error) {
	for _, a := range [...]string{listen, ask} {
		if err := netaddr.CheckPrivate(a); err != nil {
			return Identity{}, err
		}
	}
	c := NewClient([]string{ask}, "")
	var n uint64
	for {
		err := c.Call(ctx, "/v1/order", coordinator.Order{Kind: "join", Name: name, Addr: listen, Zone: zone}, &n)
		if err == nil {
			break
		}
		// While the others choose a leader it is asked again; one that was taken in and has not started is told its number again.
		again := false
		for _, e := range []error{coordinator.ErrNotLeader, coordinator.ErrBusy, coordinator.ErrOutcomeUnknown, agent.ErrNoAnswer} {
			again = again || errors.Is(err, e)
		}
		if !again || ctx.Err() != nil {
			return Identity{}, err
		}
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	var now Picture
	if err := c.Call(ctx, "/v1/record", nil, &now); err != nil {
		return Identity{}, err
	}
	st, err := askStatus(ctx, c.http, ask)
	if err != nil {
		return Identity{}, err
	}
	id := Identity{ID: n, Name: name, Listen: listen, Zone: zone, Token: st.Registry, Peers: now.Keepers}
	return id, Create(folder, id, coordinator.PersistedState{})
}

// Package netaddr checks which addresses control traffic may use.
package netaddr

import (
	"fmt"
	"net/netip"
)

// CheckPrivate returns an error for an address that coordinators may not listen on or be called at: only loopback and private ranges are
// allowed. Coordinators and routers do not authenticate each other, so whoever reaches the port could end sessions and take tasks.
func CheckPrivate(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not an address with a port: %v", addr, err)
	}
	if ip := a.Addr().Unmap(); !ip.IsLoopback() && !ip.IsPrivate() {
		return fmt.Errorf("%s is neither a loopback nor a private address: coordinators and routers do not authenticate their peers", addr)
	}
	return nil
}

// Package netaddr tells which addresses the fleet's own talk may use.
package netaddr

import (
	"fmt"
	"net/netip"
)

// Check an address that keepers listen on or that is called: loopback and private ranges only. Keepers and routers know each
// other by nothing but what they say, so whoever reaches the port could end sessions and take works.
func Check(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("%q is no address with a port: %v", addr, err)
	}
	if ip := a.Addr().Unmap(); !ip.IsLoopback() && !ip.IsPrivate() {
		return fmt.Errorf("%s is neither a loopback nor a private address: keepers and routers trust whoever reaches them", addr)
	}
	return nil
}

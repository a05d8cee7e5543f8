package collector

import (
	"net/netip"
	"time"
)

// Address adds a finding if the value is not of the form IP:port with a port other than
// zero.
func (c *Collector) Address(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		c.Add(key, "%q is not an address of the form IP:port", address)
	}
}

// Range adds a finding if a duration is below lowest or above highest.
func (c *Collector) Range(key string, d, lowest, highest time.Duration) {
	if d < lowest || d > highest {
		c.Add(key, "is %s; expected %s to %s", d, lowest, highest)
	}
}

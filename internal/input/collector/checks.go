package collector

import (
	"net/netip"
	"time"
)

// Address finds a value that is not of the form IP:port.
func (c *Collector) Address(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		c.Add(key, "%q is not an address of the form IP:port", address)
	}
}

// Range finds a duration that is not between two others, both allowed.
func (c *Collector) Range(key string, d, lowest, highest time.Duration) {
	if d < lowest || d > highest {
		c.Add(key, "is %s; expected %s to %s", d, lowest, highest)
	}
}

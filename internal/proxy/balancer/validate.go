package balancer

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
)

const (
	// MaxSlots is the largest number of slots of an upstream.
	MaxSlots = 1 << 16
	// MaxClockOffset bounds how far a time of another node may lie in the future. The clocks of VMs
	// differ by much less.
	MaxClockOffset = time.Hour
	// MaxVersionBytes is the longest name of a version. Records travel often, so it is short.
	MaxVersionBytes = 128
)

// InvalidMemberError reports that a member record has a field that no node writes.
type InvalidMemberError struct {
	Node string
	// Field is the name of the field.
	Field string
}

func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("record of member %q: field %s is missing or out of range", e.Node, e.Field)
}

// Validate returns an *InvalidMemberError if no node would write such a record of itself.
func (m Member) Validate(now time.Time) error {
	latest := now.Add(MaxClockOffset)
	checks := []struct {
		field string
		valid bool
	}{
		{"Node", m.Node != ""},
		{"Address", validAddress(m.Address)},
		{"Start", m.Start > 0 && m.Start <= latest.UnixNano()},
		{"LinkRate", m.LinkRate >= 0 && !math.IsInf(m.LinkRate, 0)},
		{"Slots", m.Slots >= 0 && m.Slots <= MaxSlots},
		{"Born", m.Born <= latest.UnixMilli()},
		{"DrainStart", m.DrainStart >= 0 && m.DrainStart <= latest.UnixMilli()},
		{"Version", len(m.Version) <= MaxVersionBytes},
		{"ColdUntil", m.ColdUntil >= 0 && m.ColdUntil <= latest.UnixMilli()},
	}
	for _, c := range checks {
		if !c.valid {
			return &InvalidMemberError{Node: m.Node, Field: c.field}
		}
	}
	return nil
}

// validAddress reports whether an address is a host with a port from 1 to 65535.
func validAddress(address string) bool {
	host, service, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	port, err := strconv.ParseUint(service, 10, 16)
	return err == nil && port > 0
}

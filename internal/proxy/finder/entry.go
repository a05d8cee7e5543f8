package finder

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/recorder"
)

// entry is a node's entry in the store.
type entry struct {
	balancer.Member
	// Drains holds the drains that the node has to know after a restart. An entry of an earlier
	// release has none; that of the current instance is in the record of the member.
	Drains []recorder.Drain `json:"drains,omitempty"`
}

// KeyError reports that an entry describes another node than its key names.
type KeyError struct {
	Key  string
	Node string
}

func (e *KeyError) Error() string { return fmt.Sprintf("entry %q describes member %q", e.Key, e.Node) }

// decodeEntry returns the entry under a key. Any writer may have left the value there: the error is
// that of the JSON decoder, a *KeyError or a *balancer.InvalidMemberError.
func decodeEntry(key string, value []byte, now time.Time) (entry, error) {
	var e entry
	if err := json.Unmarshal(value, &e); err != nil {
		return e, err
	}
	if key != keyPrefix+e.Node {
		return e, &KeyError{Key: key, Node: e.Node}
	}
	if !e.validDrains(now) {
		return e, &balancer.InvalidMemberError{Node: e.Node, Field: "drains"}
	}
	return e, e.Validate(now)
}

// validDrains reports whether a node may have written the drains.
func (e entry) validDrains(now time.Time) bool {
	latest := now.Add(balancer.MaxClockOffset).UnixMilli()
	return len(e.Drains) <= recorder.MaxOwnDrains && !slices.ContainsFunc(e.Drains, func(d recorder.Drain) bool {
		return d.Instance == "" || d.Start <= 0 || d.Start > latest
	})
}

// drains returns all drains in the entry, one for each incarnation.
func (e entry) drains() []recorder.Drain {
	current := recorder.Drain{Instance: e.Instance, Born: e.Born, Start: e.DrainStart}
	listed := slices.ContainsFunc(e.Drains, func(d recorder.Drain) bool { return d.Incarnation() == current.Incarnation() })
	if e.DrainStart == 0 || listed {
		return e.Drains
	}
	return append(slices.Clone(e.Drains), current)
}

// holds reports whether the entry has the drain.
func (e entry) holds(d recorder.Drain) bool { return slices.Contains(e.drains(), d) }

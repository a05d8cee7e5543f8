package dispatcher

import (
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// Identities reads and sets what identifies the client in the header fields of a call.
type Identities interface {
	// TakeKey removes the client's key and any account from the call. It returns the key, and
	// whether the call had exactly one in the expected form.
	TakeKey(call *carrier.Call) (string, bool)
	// SetAccount sets the account that the upstream is told.
	SetAccount(call *carrier.Call, name string)
}

// authenticate sets the account on whose behalf a call is made, and returns it, nil if there is none,
// or the reason for which the call is refused. A nested call has the account of its parent. A call
// whose ID names a parent that this node does not run, as after a restart, is not refused as if its
// caller lacked a key. The calls of a table without accounts are left as they are.
func (d *Dispatcher) authenticate(t *router.Table, event *Event, parent executor.Parent) (*router.Account, carrier.Reason) {
	if !t.HasAccounts() {
		return nil, ""
	}
	call := &event.Call
	key, hasKey := d.Identities.TakeKey(call)
	if event.Nested {
		d.setAccount(event, parent.Account)
		return t.Account(parent.Account), ""
	}
	if hasKey {
		if account, known := t.FindAccount(key); known {
			d.setAccount(event, account.Name)
			return account, ""
		}
	}
	route := t.Route(call.Host, call.Target)
	switch {
	case route == nil || route.Public:
		return nil, ""
	case hasKey:
		return nil, carrier.KeyUnknown
	case call.Parent != "":
		return nil, carrier.ParentUnknown
	default:
		return nil, carrier.KeyMissing
	}
}

func (d *Dispatcher) setAccount(event *Event, name string) {
	if name == "" {
		return
	}
	event.Account = name
	d.Identities.SetAccount(&event.Call, name)
}

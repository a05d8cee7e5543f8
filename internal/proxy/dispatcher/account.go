package dispatcher

import (
	"context"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/account/rationer"
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

// Quotas takes tokens for calls of accounts that have a limit.
type Quotas interface {
	// Take takes a token and waits for it a short time at most.
	Take(ctx context.Context, account string, limit rationer.Limit, remaining time.Duration) rationer.Verdict
	// Return takes back the token of a call that did not run.
	Return(account string)
}

// ration takes a token for a call of an account with a limit, and reports whether the call is refused
// with the result. Nested calls cost none: their parents have paid.
func (d *Dispatcher) ration(ctx context.Context, t *router.Table, event *Event, account *router.Account) (carrier.Result, bool) {
	if d.Quotas == nil || event.Nested || !account.Limited() {
		return carrier.Result{}, false
	}
	route := t.Route(event.Call.Host, event.Call.Target)
	if route == nil {
		return carrier.Result{}, false
	}
	limit := rationer.Limit{Rate: account.Rate, Burst: account.Burst}
	verdict := d.Quotas.Take(ctx, account.Name, limit, timeoutOf(event.Call, router.Match{Route: route}))
	event.overQuota = verdict.Over
	switch {
	case verdict.Admitted:
		event.hasToken = true
		return carrier.Result{}, false
	case verdict.Unavailable:
		return carrier.Result{Outcome: carrier.NotRun, Reason: carrier.QuotaUnavailable, Wait: verdict.Wait}, true
	default:
		return carrier.Result{Outcome: carrier.NotRun, Reason: carrier.OverQuota, Wait: verdict.Wait}, true
	}
}

// returnToken gives back the token of a call that did not run.
func (d *Dispatcher) returnToken(e Event) {
	if e.hasToken && e.Result.Outcome == carrier.NotRun {
		d.Quotas.Return(e.Account)
	}
}

// objectiveOf returns the objective of a call. Calls of an account that asks for more than its quota
// count as late, so that they wait behind those of others while upstreams lack capacity.
func objectiveOf(match router.Match, e *Event) time.Duration {
	if e.overQuota {
		return 0
	}
	return match.Objective - e.Waited
}

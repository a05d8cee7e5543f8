package meter

import (
	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/observe/auditor"
)

// ObserveAccount makes the metrics show the use of an account and its refusals.
func (m *Meter) ObserveAccount(a *accountant.Account) { m.registry.MustRegister(auditor.New(a)) }

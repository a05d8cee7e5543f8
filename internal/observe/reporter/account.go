package reporter

import (
	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/observe/auditor"
)

// ObserveAccount makes the metrics show the use of an account and its refusals.
func (r *Reporter) ObserveAccount(a *accountant.Account) { r.registry.MustRegister(auditor.New(a)) }

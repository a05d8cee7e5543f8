package router

import (
	"slices"

	"github.com/tamarackscale/tamarackscale/internal/account/authenticator"
)

// Account is a client of the deployment.
type Account struct {
	Name string
	// Keys are the keys that identify the account. Those of a Table are nil: it finds accounts by
	// the hashes of their keys.
	Keys []authenticator.Key `json:",omitempty"`
	// Priority orders the calls of accounts; 0 is the most urgent.
	Priority int
	// Rate limits the calls per second, over all nodes, and Burst is how many may come at once in
	// addition; a Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a != nil && a.Rate > 0 }

// maxRanks is the number of ranks that queues and the loads that nodes exchange distinguish.
const maxRanks = 4

// accounts holds the accounts of a Table.
type accounts struct {
	list   []*Account
	byName map[string]*Account
	keys   *authenticator.Index
	// accountOrder and routeOrder hold the distinct priorities of accounts and of routes.
	accountOrder []int
	routeOrder   []int
}

// newAccounts returns the accounts of a configuration, nil if it has none. Accounts that did not
// change, their names and their keys are those of the previous table, so that thousands of them take
// memory once.
func newAccounts(c *Configuration, previous *accounts) *accounts {
	if len(c.Accounts) == 0 {
		return nil
	}
	if previous == nil {
		previous = &accounts{}
	}
	a := &accounts{list: make([]*Account, len(c.Accounts))}
	var credentials []authenticator.Credential
	unchanged := len(c.Accounts) == len(previous.list)
	for i := range c.Accounts {
		account := c.Accounts[i]
		for _, key := range account.Keys {
			credentials = append(credentials, authenticator.Credential{Key: key, Account: i})
		}
		a.list[i] = previous.intern(account)
		unchanged = unchanged && a.list[i] == previous.list[i]
		a.accountOrder = append(a.accountOrder, account.Priority)
	}
	a.keys = authenticator.New(credentials, previous.keys)
	if unchanged {
		a.list, a.byName = previous.list, previous.byName
	} else {
		a.byName = make(map[string]*Account, len(a.list))
		for _, account := range a.list {
			a.byName[account.Name] = account
		}
	}
	for i := range c.Routes {
		a.routeOrder = append(a.routeOrder, c.Routes[i].Rank)
	}
	a.accountOrder, a.routeOrder = distinct(a.accountOrder), distinct(a.routeOrder)
	return a
}

// intern returns the account without its keys, which is the known one if nothing else has changed.
func (a *accounts) intern(account Account) *Account {
	if known := a.byName[account.Name]; known != nil && known.Priority == account.Priority &&
		known.Rate == account.Rate && known.Burst == account.Burst {
		return known
	}
	account.Keys = nil
	return &account
}

func distinct(values []int) []int {
	slices.Sort(values)
	return slices.Compact(values)
}

// rank returns the rank of a call by the priorities of its account and its route. The pairs of
// priorities that the configuration has are ordered by account first. If they need more ranks than
// there are, those of the less urgent routes of an account priority share one, the most urgent
// account priorities get a rank more than others, and account priorities beyond the last rank count
// as the last.
func (a *accounts) rank(accountPriority, routePriority int) int {
	group, _ := slices.BinarySearch(a.accountOrder, accountPriority)
	within, _ := slices.BinarySearch(a.routeOrder, routePriority)
	groups := min(len(a.accountOrder), maxRanks)
	group = min(group, groups-1)
	needed := len(a.routeOrder)
	each, extra := maxRanks/groups, maxRanks%groups
	first := 0
	for i := range group {
		first += min(needed, widthOf(i, each, extra))
	}
	return first + min(within, widthOf(group, each, extra)-1)
}

// widthOf returns the number of ranks of the account priority at a position.
func widthOf(position, each, extra int) int {
	if position < extra {
		return each + 1
	}
	return each
}

// HasAccounts reports whether calls need a key, unless their route is public.
func (t *Table) HasAccounts() bool { return t.accounts != nil }

// FindAccount returns the account that a key identifies, and whether there is one.
func (t *Table) FindAccount(key string) (*Account, bool) {
	if t.accounts == nil {
		return nil, false
	}
	i, found := t.accounts.keys.Lookup(key)
	if !found {
		return nil, false
	}
	return t.accounts.list[i], true
}

// Account returns the account of a name; nil if there is none.
func (t *Table) Account(name string) *Account {
	if t.accounts == nil {
		return nil
	}
	return t.accounts.byName[name]
}

// LimitedAccounts returns the accounts that have a quota.
func (t *Table) LimitedAccounts() []*Account {
	if t.accounts == nil {
		return nil
	}
	var limited []*Account
	for _, account := range t.accounts.list {
		if account.Limited() {
			limited = append(limited, account)
		}
	}
	return limited
}

// Ranked returns the match with the rank of the calls of an account, which is nil for calls without
// one. These are as urgent as those of the least urgent account.
func (t *Table) Ranked(m Match, account *Account) Match {
	if t.accounts == nil {
		return m
	}
	priority := t.accounts.accountOrder[len(t.accounts.accountOrder)-1]
	if account != nil {
		priority = account.Priority
	}
	rank := t.accounts.rank(priority, m.Rank)
	if rank != m.Rank {
		m.Route = &m.entry.ranked[rank]
	}
	return m
}

// rankedRoutes returns copies of a route with each rank.
func rankedRoutes(r *Route) []Route {
	ranked := make([]Route, maxRanks)
	for rank := range ranked {
		ranked[rank] = *r
		ranked[rank].Rank = rank
	}
	return ranked
}

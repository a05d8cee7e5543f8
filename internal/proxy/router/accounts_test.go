package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/account/authenticator"
)

// priorities returns a table whose accounts and routes have the given priorities.
func priorities(accounts, routes []int) *Table {
	c := Configuration{Version: 1}
	for i, p := range accounts {
		c.Accounts = append(c.Accounts, Account{Name: string(rune('a' + i)), Priority: p})
	}
	for i, p := range routes {
		r := route("h", "/"+string(rune('a'+i))+"/", Backend{"s", 1})
		r.Rank = p
		c.Routes = append(c.Routes, r)
	}
	return New(c, nil, 0)
}

// Guards against an order of calls that puts the route's priority before the account's, and against
// ranks that queues do not know.
func TestRankOrdersByAccountThenByRoute(t *testing.T) {
	cases := []struct {
		accounts, routes []int
		// want holds for each account the ranks of its calls by route.
		want [][]int
	}{
		{[]int{0}, []int{0, 1, 2}, [][]int{{0, 1, 2}}},
		{[]int{3, 3}, []int{0, 1, 2, 3, 4}, [][]int{{0, 1, 2, 3, 3}, {0, 1, 2, 3, 3}}},
		{[]int{0, 1}, []int{0, 1}, [][]int{{0, 1}, {2, 3}}},
		{[]int{5, 0}, []int{0, 7, 9}, [][]int{{2, 3, 3}, {0, 1, 1}}},
		{[]int{0, 1, 2}, []int{0, 1, 2}, [][]int{{0, 1, 1}, {2, 2, 2}, {3, 3, 3}}},
		{[]int{0, 1, 2}, []int{1}, [][]int{{0}, {1}, {2}}},
		{[]int{0, 1, 2, 3, 4, 9}, []int{0, 1}, [][]int{{0, 0}, {1, 1}, {2, 2}, {3, 3}, {3, 3}, {3, 3}}},
	}
	Convey("The ranks of all pairs of priorities", t, func() {
		for _, c := range cases {
			t1 := priorities(c.accounts, c.routes)
			least := 0
			for i, want := range c.want {
				for j, rank := range want {
					match, found := t1.Lookup("h", "/"+string(rune('a'+j))+"/", "")
					So(found, ShouldBeTrue)
					account := t1.Account(string(rune('a' + i)))
					So(t1.Ranked(match, account).Rank, ShouldEqual, rank)
					least = max(least, rank)
				}
			}
			match, _ := t1.Lookup("h", "/"+string(rune('a'+len(c.routes)-1))+"/", "")
			So(t1.Ranked(match, nil).Rank, ShouldEqual, least)
		}
	})
	Convey("Without accounts the rank is the route's", t, func() {
		t1 := priorities(nil, []int{7})
		match, _ := t1.Lookup("h", "/a/", "")
		So(t1.Ranked(match, nil), ShouldResemble, match)
		So(match.Rank, ShouldEqual, 7)
	})
}

// Guards against a removed key that stays valid, and against memory that grows with each version.
func TestAccountsOfVersions(t *testing.T) {
	version := func(number int64, previous *Table, rate float64, keys ...authenticator.Key) *Table {
		return New(Configuration{Version: number, Accounts: []Account{
			{Name: "a", Keys: keys, Rate: rate}, {Name: "b", Keys: []authenticator.Key{"kb"}},
		}}, previous, 0)
	}
	Convey("An account is found by the keys of the version, and shared while it does not change", t, func() {
		t1 := version(1, nil, 5, "k1", "k2")
		account, found := t1.FindAccount("k2")
		So(found, ShouldBeTrue)
		So(account.Name, ShouldEqual, "a")
		So(account.Keys, ShouldBeNil)
		So(t1.Accounts, ShouldBeNil)
		t2 := version(2, t1, 5, "k1")
		_, found = t2.FindAccount("k2")
		So(found, ShouldBeFalse)
		So(t2.Account("a"), ShouldEqual, account)
		t3 := version(3, t2, 6, "k1")
		So(t3.Account("a").Rate, ShouldEqual, 6)
		So(t3.Account("b"), ShouldEqual, t1.Account("b"))
		So(t3.LimitedAccounts(), ShouldHaveLength, 1)
		t4 := New(Configuration{Version: 4}, t3, 0)
		So(t4.HasAccounts(), ShouldBeFalse)
		_, found = t4.FindAccount("k1")
		So(found, ShouldBeFalse)
	})
}

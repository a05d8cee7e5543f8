package authenticator

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func credentials(accounts, keys int) []Credential {
	var list []Credential
	for account := range accounts {
		for key := range keys {
			list = append(list, Credential{Key: Key(fmt.Sprintf("key-%d-%d", account, key)), Account: account})
		}
	}
	return list
}

// Guards against a client that is served as another account, or with a key that was removed.
func TestKeyIdentifiesItsAccountOnly(t *testing.T) {
	Convey("Each key finds its account, and nothing else finds one", t, func() {
		const accounts = 300
		index := New(credentials(accounts, 3), nil)
		for _, c := range credentials(accounts, 3) {
			account, found := index.Lookup(string(c.Key))
			So(found, ShouldBeTrue)
			So(account, ShouldEqual, c.Account)
		}
		for _, key := range []string{"", "key-1", "key-1-3", "KEY-1-1", "key-1-1 ", "[key]"} {
			_, found := index.Lookup(key)
			So(found, ShouldBeFalse)
		}
	})
	Convey("A removed key finds none in the next index", t, func() {
		first := New(credentials(3, 2), nil)
		next := New(credentials(3, 1), first)
		_, found := next.Lookup("key-1-1")
		So(found, ShouldBeFalse)
		_, found = next.Lookup("key-1-0")
		So(found, ShouldBeTrue)
	})
}

// Guards against memory that grows with each version, of which several come a second.
func TestVersionsWithTheSameKeysShareTheIndex(t *testing.T) {
	Convey("The index is replaced only if the keys change", t, func() {
		first := New(credentials(5, 2), nil)
		So(New(credentials(5, 2), first), ShouldEqual, first)
		So(New(credentials(6, 2), first), ShouldNotEqual, first)
	})
}

// Guards against keys in logs and errors, which print values with %v and the like or as JSON.
func TestKeyIsNeverPrinted(t *testing.T) {
	Convey("No format shows the key", t, func() {
		c := Credential{Key: "secret", Account: 1}
		for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
			So(fmt.Sprintf(format, c), ShouldNotContainSubstring, "secret")
			So(fmt.Sprintf(format, c.Key), ShouldEqual, redacted)
		}
		text, err := json.Marshal(c)
		So(err, ShouldBeNil)
		So(string(text), ShouldNotContainSubstring, "secret")
	})
}

func BenchmarkLookup(b *testing.B) {
	index := New(credentials(10_000, 2), nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, found := index.Lookup("key-5000-1"); !found {
			b.Fatal("key is not found")
		}
	}
}

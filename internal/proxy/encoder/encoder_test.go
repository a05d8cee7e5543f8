package encoder

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// configuration returns a configuration of n routes as operators write it. The routes
// in changed lead to another service.
func configuration(version, n int, changed ...int) []byte {
	other := map[int]bool{}
	for _, i := range changed {
		other[i] = true
	}
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"listeners":[{"host":"shop.example","policy":[`, version)
	for i := range n {
		service := "first"
		if other[i] {
			service = "second"
		}
		fmt.Fprintf(&b, `{"name":"r-%d","kind":"idempotent","match":{"prefix":"/p%d/"},"action":{"service":%q,"max_attempts":2}},`, i, i, service)
	}
	b.WriteString(`]}]}`)
	return []byte(b.String())
}

// size returns the size of a message's content in bytes. It counts 8 bytes for the
// offset and the length of each step.
func size(m Message) int {
	total := len(m.Compressed)
	for _, s := range m.Steps {
		total += len(s.Literal) + 8
	}
	return total
}

// transfer encodes the newest version of from, decodes it with to and adds it to to.
func transfer(from, to *History, have int64) (Message, []byte) {
	m, err := from.Encode(have)
	So(err, ShouldBeNil)
	data, err := to.Decode(m)
	So(err, ShouldBeNil)
	to.Add(m.Version, data)
	return m, data
}

func TestLargeConfigurationsAreEncodedCompactly(t *testing.T) {
	Convey("A relay and a node of its availability zone", t, func() {
		var relay, node History
		relay.Add(3, configuration(3, 1100))
		m, data := transfer(&relay, &node, 0)
		So(string(data), ShouldEqual, string(configuration(3, 1100)))
		So(size(m), ShouldBeLessThan, len(data)/8)
		Convey("A version that changes three routes is a patch of less than 1000 bytes", func() {
			relay.Add(7, configuration(7, 1100, 5, 6, 900))
			m, data := transfer(&relay, &node, 3)
			So(string(data), ShouldEqual, string(configuration(7, 1100, 5, 6, 900)))
			So(m.Base, ShouldEqual, 3)
			So(size(m), ShouldBeLessThan, 1000)
		})
		Convey("Added and removed routes are sent as a patch too", func() {
			relay.Add(8, configuration(8, 1400, 1))
			relay.Add(9, configuration(9, 700))
			m, data := transfer(&relay, &node, 3)
			So(string(data), ShouldEqual, string(configuration(9, 700)))
			So(m.Base, ShouldEqual, 3)
		})
		Convey("A requester whose version is no longer in the history gets the whole configuration", func() {
			for v := 10; v < 10+maxVersions; v++ {
				relay.Add(int64(v), configuration(v, 20))
			}
			m, data := transfer(&relay, &node, 3)
			So(m.Base, ShouldEqual, 0)
			So(string(data), ShouldEqual, string(configuration(9+maxVersions, 20)))
		})
	})
}

// A requester whose history differs from what the sender assumes, or that gets a corrupt
// message, must not bring a configuration into force that nobody wrote.
func TestMismatchedMessagesAreRejected(t *testing.T) {
	Convey("Decoding fails if it does not yield the encoded configuration", t, func() {
		var relay, node, other History
		relay.Add(1, configuration(1, 10))
		relay.Add(2, configuration(2, 10, 4))
		m, err := relay.Encode(1)
		So(err, ShouldBeNil)
		_, err = node.Decode(m)
		So(err, ShouldNotBeNil)
		other.Add(1, []byte(strings.Repeat("x}", 4000)))
		_, err = other.Decode(m)
		var checksumErr *ChecksumError
		So(err, ShouldHaveSameTypeAs, checksumErr)
		m.Steps = []Step{{Offset: 1 << 20, Length: 10}}
		other.Add(1, nil)
		_, err = other.Decode(m)
		So(err, ShouldNotBeNil)
		_, err = node.Decode(Message{Version: 3, Compressed: []byte("no deflate")})
		So(err, ShouldNotBeNil)
	})
}

func FuzzPatchYieldsTheNewText(f *testing.F) {
	f.Add("a}b}c}", "a}c}b}")
	f.Add("", "x")
	f.Add("}}", "}}}")
	f.Fuzz(func(t *testing.T, before, after string) {
		var from, to History
		from.Add(1, []byte(before))
		to.Add(1, []byte(before))
		from.Add(2, []byte(after))
		m, err := from.Encode(1)
		if err != nil {
			t.Fatal(err)
		}
		data, err := to.Decode(m)
		if err != nil || string(data) != after {
			t.Fatalf("decoded %q with error %v, want %q", data, err, after)
		}
	})
}

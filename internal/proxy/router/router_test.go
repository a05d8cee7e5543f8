package router

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func table(routes ...Route) *Table { return New(Configuration{Version: 1, Routes: routes}, nil, 0) }

func route(host, prefix string, backends ...Backend) Route {
	return Route{Name: host + prefix, Host: host, Prefix: prefix, Backends: backends}
}

// Guards against calls that take the route of another host or of a shorter prefix, because
// of the configured order, the case or port of the host, or the query of the target.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	t1 := table(
		route("a.example", "/", Backend{"root", 1}),
		route("a.example", "/x/", Backend{"x", 1}),
		route("a.example", "/x/y/", Backend{"y", 1}),
		route("b.example", "/x/", Backend{"b", 1}),
	)
	cases := []struct{ host, target, service string }{
		{"a.example", "/x/y/z", "y"},
		{"a.example", "/x/z", "x"},
		{"a.example", "/x", "root"},
		{"A.EXAMPLE:8080", "/x/?q=/x/y/", "x"},
		{"b.example", "/x/1", "b"},
		{"b.example", "/y/", ""},
		{"c.example", "/", ""},
	}
	Convey("Routes", t, func() {
		for _, c := range cases {
			match, found := t1.Lookup(c.host, c.target, "")
			So(found, ShouldEqual, c.service != "")
			So(match.Service, ShouldEqual, c.service)
		}
	})
}

// Guards against a skewed traffic split: a table that starts its splitters from zero
// at each configuration version never reaches the configured proportion when versions
// follow each other quickly.
func TestWeightsStayExactAcrossVersions(t *testing.T) {
	Convey("Frequent configuration updates do not skew the split", t, func() {
		r := route("a", "/", Backend{"big", 9}, Backend{"small", 1})
		current := table(r)
		counts := map[string]int{}
		for i := range 1000 {
			if i%3 == 0 {
				current = New(Configuration{Version: int64(i), Routes: []Route{r}}, current, 0)
			}
			match, _ := current.Lookup("a", "/", "")
			counts[match.Service]++
		}
		So(counts["big"], ShouldEqual, 900)
		So(counts["small"], ShouldEqual, 100)
	})
	Convey("Changed weights apply from the next call", t, func() {
		current := table(route("a", "/", Backend{"big", 9}, Backend{"small", 1}))
		_, _ = current.Lookup("a", "/", "")
		next := New(Configuration{Routes: []Route{route("a", "/", Backend{"big", 1}, Backend{"small", 9})}}, current, 0)
		counts := map[string]int{}
		for range 10 {
			match, _ := next.Lookup("a", "/", "")
			counts[match.Service]++
		}
		So(counts["small"], ShouldEqual, 9)
	})
}

// After a restart of all nodes, the first calls of each went to the first backend, so that it
// got far more than its share of a short time's calls.
func TestRestartOfAllNodesKeepsWeights(t *testing.T) {
	const nodes, calls = 300, 200
	Convey("The share of each backend stays within 0.2 of its weight", t, func() {
		for _, weight := range []int{50, 30, 10} {
			r := route("a", "/", Backend{"first", weight}, Backend{"second", 100 - weight})
			var tables []*Table
			for i := range nodes {
				tables = append(tables, New(Configuration{Routes: []Route{r}}, nil, uint64(i)))
			}
			first := 0
			for i := range calls {
				if match, _ := tables[i%nodes].Lookup("a", "/", ""); match.Service == "first" {
					first++
				}
			}
			So(float64(first)/calls, ShouldAlmostEqual, float64(weight)/100, 0.2)
		}
	})
}

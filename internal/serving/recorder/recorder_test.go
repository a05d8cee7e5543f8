package recorder_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/serving/recorder"
)

var start = time.Unix(1_700_000_000, 0)

func record(i int) recorder.Record {
	return recorder.Record{
		Tenant: "hall", Key: fmt.Sprintf("order-%032d", i), Fingerprint: "0123456789abcdef0123456789abcdef",
		Token: fmt.Sprintf("%026d", i),
	}
}

func TestLedgerKeepsRecordsForTheWindow(t *testing.T) {
	Convey("a claim, a retry and its end", t, func() {
		l := recorder.New(time.Minute)
		So(l.Claim(3, record(1), start), ShouldBeNil)
		Convey("the same claim again is no conflict", func() {
			So(l.Claim(3, record(1), start), ShouldBeNil)
		})
		Convey("another claim of the key conflicts until the window has passed", func() {
			other := record(1)
			other.Token = "other"
			So(l.Claim(3, other, start.Add(59*time.Second)).Token, ShouldEqual, record(1).Token)
			So(l.Claim(3, other, start.Add(61*time.Second)), ShouldBeNil)
		})
		Convey("a released claim is removed, by its own token only", func() {
			foreign, own := record(1), record(1)
			foreign.Token, foreign.End, own.End = "other", recorder.Released, recorder.Released
			l.Settle(3, foreign)
			So(l.Claim(3, recorder.Record{Tenant: "hall", Key: record(1).Key, Token: "new"}, start), ShouldNotBeNil)
			l.Settle(3, own)
			So(l.Claim(3, recorder.Record{Tenant: "hall", Key: record(1).Key, Token: "new"}, start), ShouldBeNil)
		})
		Convey("a recorded end is not changed", func() {
			ran, unknown := record(1), record(1)
			ran.End, unknown.End = recorder.Ran, recorder.Unknown
			l.Settle(3, ran)
			l.Settle(3, unknown)
			So(l.Export(3, start)[0].End, ShouldEqual, recorder.Ran)
		})
		Convey("exported records keep their age", func() {
			copied := recorder.New(time.Minute)
			copied.Import(3, l.Export(3, start.Add(50*time.Second)), start.Add(50*time.Second))
			So(len(copied.Export(3, start.Add(55*time.Second))), ShouldEqual, 1)
			So(len(copied.Export(3, start.Add(65*time.Second))), ShouldEqual, 0)
		})
	})
}

// BenchmarkClaim measures time and memory of one record. B/op is the memory that a
// replica uses for a record until it expires, without a stored answer.
func BenchmarkClaim(b *testing.B) {
	l := recorder.New(time.Hour)
	records := make([]recorder.Record, b.N)
	for i := range records {
		records[i] = record(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		l.Claim(i%32, records[i], start)
	}
}

package tracker

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var now = time.Unix(1000, 0)

func report(instance string, born, sequence int64) Report {
	return Report{Instance: instance, Born: born, Sequence: sequence, Service: "s", Slots: 4}
}

func TestReportsOutOfOrder(t *testing.T) {
	Convey("A late report of the same start changes nothing", t, func() {
		tr := New()
		So(tr.Accept(report("i", 1, 5), now), ShouldEqual, Changed)
		late := report("i", 1, 4)
		late.Slots = 9
		So(tr.Accept(late, now), ShouldEqual, Outdated)
		So(tr.Current().Slots, ShouldEqual, 4)
		So(tr.Accept(report("i", 1, 6), now), ShouldEqual, Refreshed)
	})
	Convey("A report of an earlier start changes nothing, whatever its sequence", t, func() {
		tr := New()
		tr.Accept(report("new", 20, 1), now)
		So(tr.Accept(report("old", 10, 900), now), ShouldEqual, Outdated)
		So(tr.Current().Instance, ShouldEqual, "new")
	})
	Convey("An upstream that starts again under its ID begins its sequence anew", t, func() {
		tr := New()
		tr.Accept(report("i", 10, 900), now)
		So(tr.Accept(report("i", 20, 1), now), ShouldEqual, Changed)
	})
}

func TestLeavingIsNotTakenBack(t *testing.T) {
	Convey("A ready report after the sign-off of the same start keeps it leaving", t, func() {
		tr := New()
		tr.Accept(report("i", 1, 1), now)
		So(tr.SignOff("i", 0, now), ShouldEqual, Changed)
		tr.Accept(report("i", 1, 2), now.Add(time.Second))
		So(tr.Current().State, ShouldEqual, Leaving)
		So(tr.Current().LeavingSince, ShouldEqual, now)
	})
	Convey("The sign-off of another instance or start changes nothing", t, func() {
		tr := New()
		tr.Accept(report("i", 5, 1), now)
		So(tr.SignOff("other", 0, now), ShouldEqual, Outdated)
		So(tr.SignOff("i", 4, now), ShouldEqual, Outdated)
		So(tr.Current().State, ShouldEqual, Ready)
	})
	Convey("The next start is ready again", t, func() {
		tr := New()
		tr.Accept(report("i", 5, 1), now)
		tr.SignOff("i", 5, now)
		tr.Accept(report("i", 6, 1), now)
		So(tr.Current().State, ShouldEqual, Ready)
	})
}

func TestLostInstanceIsAbsentUntilItReports(t *testing.T) {
	Convey("Another instance at the address makes the known one absent", t, func() {
		tr := New()
		tr.Accept(report("i", 1, 1), now)
		tr.Lost("other")
		So(tr.Current().State, ShouldEqual, Ready)
		tr.Lost("i")
		So(tr.Current().State, ShouldEqual, Absent)
		So(tr.Accept(report("next", 2, 1), now), ShouldEqual, Changed)
	})
}

func TestLeavingThatWasSaidBeforeTheFirstReportHolds(t *testing.T) {
	start := time.Unix(100, 0)
	report := Report{Instance: "i", Born: 5, Sequence: 3, Service: "s", Slots: 4}
	Convey("A process that began after its upstream had signed off", t, func() {
		tr := New()
		So(tr.Left(Start{"i", 5}, start, start.Add(time.Second)), ShouldEqual, Outdated)
		So(tr.Accept(report, start.Add(2*time.Second)), ShouldEqual, Changed)
		So(tr.Current().State, ShouldEqual, Leaving)
		So(tr.Current().LeavingSince.Equal(start), ShouldBeTrue)
		Convey("Another start of the instance is ready", func() {
			next := report
			next.Born, next.Sequence = 9, 1
			So(tr.Accept(next, start.Add(3*time.Second)), ShouldEqual, Changed)
			So(tr.Current().State, ShouldEqual, Ready)
		})
	})
	Convey("A sign-off that names no start means those that began before it", t, func() {
		tr := New()
		So(tr.SignOff("i", 0, start), ShouldEqual, Outdated)
		So(tr.Accept(report, start.Add(time.Second)), ShouldEqual, Changed)
		So(tr.Current().State, ShouldEqual, Leaving)
		So(tr.Current().LeavingSince.Equal(start), ShouldBeTrue)
		next := report
		next.Born, next.Sequence = start.UnixMilli()+1, 1
		So(tr.Accept(next, start.Add(2*time.Second)), ShouldEqual, Changed)
		So(tr.Current().State, ShouldEqual, Ready)
	})
	Convey("A sign-off that comes before a late report holds too", t, func() {
		tr := New()
		So(tr.SignOff("i", 5, start), ShouldEqual, Outdated)
		So(tr.Accept(report, start.Add(time.Second)), ShouldEqual, Changed)
		So(tr.Current().State, ShouldEqual, Leaving)
	})
}

package reporter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/dispatcher"
)

func refusedCall(id string) dispatcher.Event {
	return dispatcher.Event{
		Call: carrier.Call{ID: id, Timeout: time.Second}, Route: "r", Service: "s", Rank: 1, Version: 7,
		Attempts: []dispatcher.Attempt{{
			Node: "n-2", Instance: "i-2", Outcome: carrier.NotRun, Reason: carrier.WaitTooLong, Took: 5 * time.Millisecond,
			Load: balancer.Load{InUse: 4, Slots: 4, Waiting: 9},
		}},
		Result: carrier.Refuse(carrier.WaitTooLong), Status: 503, RetryAfter: 250 * time.Millisecond, Took: 6 * time.Millisecond,
	}
}

func TestLineOfARefusedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		r := New("n-1", "z", &output)
		r.Ended(refusedCall("7"))
		r.Close()
		Convey("The line names the inputs of the decision", t, func() {
			want, err := os.ReadFile(filepath.Join("testdata", "refused.golden"))
			So(err, ShouldBeNil)
			So(output.String(), ShouldEqual, string(want))
		})
	})
}

func TestLinesAreBoundedAndSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		r := New("n-1", "z", &output)
		const calls = 1000
		for i := range calls {
			r.Ended(refusedCall(fmt.Sprint(i)))
			time.Sleep(time.Millisecond / 2)
		}
		time.Sleep(2 * time.Second)
		r.Ended(refusedCall("last"))
		r.Close()
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		summed := 0
		single := 0
		for _, line := range lines {
			var fields struct {
				Event string `json:"event"`
				Count int    `json:"count"`
			}
			if err := json.Unmarshal([]byte(line), &fields); err != nil {
				t.Fatal(err)
			}
			summed += fields.Count
			if fields.Event == "callEnded" {
				single++
			}
		}
		Convey("A second has so many lines at most, and the sums tell of all others", t, func() {
			So(single, ShouldBeLessThanOrEqualTo, 2*callLinesPerSecond+1)
			So(single+summed, ShouldEqual, calls+1)
		})
	})
}

// stuck is an output that never takes a line.
type stuck struct{ release chan struct{} }

// Write implements io.Writer.
func (s stuck) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := stuck{release: make(chan struct{})}
		w := NewWriter(s)
		for range 10 * pendingLines {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		dropped := w.Dropped()
		close(s.release)
		w.Close()
		Convey("Lines without room are dropped and counted", t, func() {
			So(dropped, ShouldBeGreaterThanOrEqualTo, 9*pendingLines-1)
		})
	})
}

func TestNewsOfManyMembersIsBoundedAndSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		r := New("n-1", "z", &output)
		const members = 710
		for i := range members {
			r.MemberFound(balancer.Member{Node: fmt.Sprint(i)}, "peer")
		}
		r.Close()
		Convey("A fleet that starts at once costs few lines, and the sum tells of all", t, func() {
			So(strings.Count(output.String(), "memberFound"), ShouldEqual, memberLinesPerSecond)
			So(output.String(), ShouldContainSubstring, fmt.Sprintf(`"count":%d,"event":"membersSummed"`, members-memberLinesPerSecond))
		})
	})
}

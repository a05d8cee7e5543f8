package picker_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/cluster/merger"
	"github.com/tamarackscale/tamarackscale/internal/serving/picker"
)

// TestChoiceIsUnaffectedByMemberChanges guards against a data race between calls that
// use their endpoint and gossip that replaces the members. Run it with the race
// detector.
func TestChoiceIsUnaffectedByMemberChanges(t *testing.T) {
	Convey("concurrent calls of Pick and Replace", t, func() {
		p := picker.New("a", picker.PowerOfTwo)
		member := merger.Entry{ID: "n", Zone: "a", Service: "orders", State: merger.Ready, Slots: 4, PeerAddress: "10.0.0.1:1"}
		p.Replace([]merger.Entry{member})
		var group sync.WaitGroup
		group.Go(func() {
			for range 1000 {
				member.Sequence++
				p.Replace([]merger.Entry{member})
			}
		})
		inconsistent := 0
		for range 1000 {
			chosen, refusal := p.Pick("orders", 0, nil, time.Now(), rand.IntN)
			if refusal != nil || chosen.ID != "n" || chosen.PeerAddress != "10.0.0.1:1" {
				inconsistent++
				continue
			}
			p.Done(chosen, picker.Result{}, time.Now())
		}
		group.Wait()
		So(inconsistent, ShouldEqual, 0)
	})
}

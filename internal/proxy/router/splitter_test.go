package router

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Shows how far a traffic split may be from its exact proportion at any time.
func TestBackendIsNearItsShareAtAnyTime(t *testing.T) {
	const backends = 8
	random := rand.New(rand.NewPCG(1, 2))
	Convey("No backend is ahead by a whole call or behind by as many calls as there are others", t, func() {
		for range 300 {
			weights := make([]Backend, backends)
			for i := range weights {
				weights[i].Weight = 1 + random.IntN(100)
			}
			s := newSplitter(weights, 0)
			ahead, behind := 0, 0
			for range s.totalWeight {
				_ = s.next()
				ahead = max(ahead, -slices.Min(s.currentWeights))
				behind = max(behind, slices.Max(s.currentWeights))
			}
			So(ahead, ShouldBeLessThan, s.totalWeight)
			So(behind, ShouldBeLessThan, (backends-1)*s.totalWeight)
			So(s.currentWeights, ShouldResemble, make([]int, backends))
		}
	})
}

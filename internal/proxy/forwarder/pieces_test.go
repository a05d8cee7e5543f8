package forwarder

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/fencer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/shaper"
)

// Guards against senders that exhaust the memory of a node with pieces of bodies that they never
// complete: a piece outlives the message that has brought it.
func TestPiecesReserveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A piece that waits for the rest of its body", t, func() {
			account := accountant.New(184 << 20)
			used := func() int64 { return account.Usage(accountant.Messages).Used }
			s := newOffers(executor.New(executor.Config{}))
			s.account, s.shaper = account, shaper.New(10)
			id := fencer.AttemptID{Sender: 1, Number: 1}
			offerOf := func() int {
				o := s.begin(id, executor.Job{Remaining: time.Minute}, 1<<20, time.Now().Add(time.Minute), time.Now())
				_, granted := s.await(o)
				return granted
			}
			granted := offerOf()
			So(granted, ShouldBeBetween, 0, 1<<20)
			_, open := s.addPiece(&PieceArgs{AttemptID: id, Bytes: make([]byte, granted)}, time.Now())
			So(open, ShouldBeTrue)
			So(used(), ShouldEqual, growth*granted)
			// It is released with an offer that is withdrawn, and by the attempt that takes it.
			s.remove(id, carrier.CallerGone)
			So(used(), ShouldEqual, 0)
			granted = offerOf()
			_, _ = s.addPiece(&PieceArgs{AttemptID: id, Bytes: make([]byte, granted)}, time.Now())
			_, reserved, whole := s.take(id, granted)
			So(whole, ShouldBeTrue)
			So(used(), ShouldEqual, growth*granted)
			s.release(reserved)
			So(used(), ShouldEqual, 0)
			// Without memory the offer is void.
			granted = offerOf()
			account.Take(accountant.Messages, account.Usage(accountant.Messages).Limit)
			_, open = s.addPiece(&PieceArgs{AttemptID: id, Bytes: make([]byte, granted)}, time.Now())
			So(open, ShouldBeFalse)
			So(s.open, ShouldBeEmpty)
		})
	})
}

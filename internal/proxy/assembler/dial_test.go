package assembler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/network"
)

// A dial to the store outlives the call that needed the connection. Without a timeout of its own,
// one dial after the other would stay open while the store is cut off.
func TestDialToStoreEndsWithoutItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The store is cut off and nobody cancels the dial", t, func() {
			n := network.New()
			_, err := n.Host("store").Listen("10.0.0.1:80")
			So(err, ShouldBeNil)
			n.Cut(func(string, string) bool { return true })
			p := &Proxy{network: n.Host("vm")}
			start := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err = p.dialStore(ctx, "tcp", "10.0.0.1:80")
			So(err, ShouldNotBeNil)
			So(time.Since(start), ShouldEqual, storeTimeout)
		})
	})
}

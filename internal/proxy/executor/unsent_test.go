package executor_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/retrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/tracker"
	"github.com/tamarackscale/tamarackscale/platform"
)

// interruptedConn is a connection whose writes fail, without a byte written, once the deadline that
// leave causes has passed.
type interruptedConn struct {
	net.Conn
	leave       func()
	interrupted chan struct{}
}

// Write implements net.Conn.
func (c *interruptedConn) Write(b []byte) (int, error) {
	if c.leave == nil {
		return c.Conn.Write(b)
	}
	c.leave()
	<-c.interrupted
	return 0, os.ErrDeadlineExceeded
}

// SetDeadline implements net.Conn.
func (c *interruptedConn) SetDeadline(t time.Time) error {
	if c.leave != nil {
		close(c.interrupted)
	}
	return c.Conn.SetDeadline(t)
}

// Guards against upstreams that count as unreachable, and get no calls, because a caller left in the
// moment in which its call was to be written to a reused connection.
func TestCallerThatLeavesBeforeTheWriteIsNoFailureOfUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The caller of the second call on a connection leaves before a byte is written", t, func() {
			u := &closingUpstream{}
			var conn *interruptedConn
			e := executor.New(executor.Config{
				Dialect: platform.HTTP{}, Changed: func() {}, Observe: observer{},
				Budget: retrier.Budget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					raw, err := u.dial(ctx, address)
					conn = &interruptedConn{Conn: raw, interrupted: make(chan struct{})}
					return conn, err
				},
			})
			e.Heartbeat(tracker.Heartbeat{Instance: "i", Sequence: 1, Service: "s", Address: "upstream", Slots: 64}, time.Now())
			job := executor.Job{
				Call:    carrier.Call{ID: "answered", Method: http.MethodGet, Target: "/", Host: "h"},
				Service: "s", Kind: "k", Objective: time.Second, Remaining: time.Second,
			}
			first, _ := e.Execute(context.Background(), job)
			So(first.Outcome, ShouldEqual, carrier.Run)
			ctx, cancel := context.WithCancel(context.Background())
			conn.leave = cancel
			second, _ := e.Execute(ctx, job)
			So(second.Outcome, ShouldEqual, carrier.NotRun)
			So(second.Reason, ShouldEqual, carrier.CallerGone)
			conn.leave = nil
			e.Close()
			synctest.Wait()
		})
	})
}

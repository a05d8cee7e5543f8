package acceptor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/acceptor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
	"github.com/tamarackscale/tamarackscale/platform"
)

// longIdle is a slowHandler with an idle timeout beyond the timeout of a write.
type longIdle struct{ slowHandler }

func (h longIdle) Limits() router.Limits {
	limits := h.slowHandler.Limits()
	limits.IdleTimeout = time.Minute
	return limits
}

// The write deadline of the last response has passed when the caller asks for an interim
// response. The caller must get both, not a closed connection.
func TestInterimResponseLongAfterLastResponse(t *testing.T) {
	withCaller(t, longIdle{}, func(_ *acceptor.Acceptor, c *caller) {
		send(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, err := c.receive()
		So(err, ShouldBeNil)
		time.Sleep(40 * time.Second)
		send(c, "POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		interim, _, err := c.receive()
		So(err, ShouldBeNil)
		So(interim.StatusCode, ShouldEqual, http.StatusContinue)
	})
}

// untilGone answers the target /first at once; other calls last until the caller has left.
type untilGone struct {
	slowHandler
	running *atomic.Int64
}

func (h untilGone) Handle(ctx context.Context, call carrier.Call, received time.Time) acceptor.Response {
	if call.Target != "/first" {
		h.running.Add(1)
		defer h.running.Add(-1)
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Second):
		}
	}
	return h.slowHandler.Handle(ctx, call, received)
}

// A response can't be written since its caller has left. The calls behind it must be
// cancelled, also when a further request was read and waits for its turn.
func TestFailedWriteCancelsCallsWhileFurtherRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a connection with more requests than may be pipelined", t, func() {
			near, far := net.Pipe()
			l := singleListener{conns: make(chan net.Conn, 1)}
			l.conns <- far
			close(l.conns)
			h := untilGone{running: &atomic.Int64{}}
			h.time = time.Second
			a := acceptor.New(platform.HTTP{}, h, silent{}, accountant.New(0))
			go a.Serve(l)
			c := &caller{Conn: near, reader: bufio.NewReader(near)}
			send(c, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n"+strings.Repeat("GET /more HTTP/1.1\r\nHost: h\r\n\r\n", 64))
			So(near.Close(), ShouldBeNil)
			time.Sleep(5 * time.Second)
			running := h.running.Load()
			a.Close()
			time.Sleep(time.Minute)
			So(running, ShouldEqual, 0)
		})
	})
}

// starvedHandler delays the reading goroutine before it waits for the second request.
type starvedHandler struct {
	slowHandler
	reads *atomic.Int64
}

func (h starvedHandler) Limits() router.Limits {
	if h.reads.Add(1) == 2 {
		time.Sleep(100 * time.Millisecond)
	}
	return h.slowHandler.Limits()
}

// A request arrives well before the stop, but the reading goroutine gets no processor time until
// after it. A passed deadline makes the read fail although there is data, and the connection is
// reset. The caller must get its refusal.
func TestStopAnswersRequestThatArrivedBefore(t *testing.T) {
	withCaller(t, starvedHandler{reads: &atomic.Int64{}}, func(a *acceptor.Acceptor, c *caller) {
		send(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _, err := c.receive()
		So(err, ShouldBeNil)
		go func() { _, _ = io.WriteString(c, "GET /two HTTP/1.1\r\nHost: h\r\n\r\n") }()
		time.Sleep(60 * time.Millisecond)
		a.Stop()
		a.CloseIdle()
		response, _, err := c.receive()
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
	})
}

// stalledConn delays the beginning of each read once it is stalled.
type stalledConn struct {
	net.Conn
	stalled *atomic.Bool
}

func (s stalledConn) Read(b []byte) (int, error) {
	if s.stalled.Load() {
		time.Sleep(100 * time.Millisecond)
	}
	return s.Conn.Read(b)
}

// The process gets no processor time between setting the deadline of a read and the read itself,
// for longer than a retired connection is read. The request that has arrived by then must get its
// refusal all the same.
func TestStopAnswersRequestThatArrivedBeforeStalledRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a connection", t, func() {
			near, far := net.Pipe()
			l := singleListener{conns: make(chan net.Conn, 1)}
			stalled := &atomic.Bool{}
			l.conns <- stalledConn{far, stalled}
			close(l.conns)
			a := acceptor.New(platform.HTTP{}, slowHandler{}, silent{}, accountant.New(0))
			stalled.Store(true)
			go a.Serve(l)
			c := &caller{Conn: near, reader: bufio.NewReader(near)}
			go func() { _, _ = io.WriteString(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n") }()
			time.Sleep(60 * time.Millisecond)
			a.Stop()
			a.CloseIdle()
			response, _, err := c.receive()
			So(near.Close(), ShouldBeNil)
			a.Close()
			time.Sleep(time.Minute)
			So(err, ShouldBeNil)
			So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		})
	})
}

package acceptor_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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

// slowHandler answers every call with its target after a time.
type slowHandler struct{ time time.Duration }

func (h slowHandler) Handle(_ context.Context, call carrier.Call, _ time.Time) acceptor.Response {
	time.Sleep(h.time)
	return acceptor.Response{Answer: carrier.Answer{Status: http.StatusOK, Body: []byte(call.Target)}}
}

func (slowHandler) Nested(carrier.Call) bool { return false }

func (slowHandler) Limits() router.Limits {
	return router.Limits{MaxHeaderBytes: 4 << 10, MaxBodyBytes: 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// silent is an Observer that does nothing.
type silent struct{}

func (silent) Unanswered(carrier.Call, acceptor.Cause) {}

// singleListener accepts one connection.
type singleListener struct{ conns chan net.Conn }

func (l singleListener) Accept() (net.Conn, error) {
	c, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l singleListener) Close() error { return nil }
func (singleListener) Addr() net.Addr { return nil }

// caller is the caller's side of a connection to an acceptor.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (c *caller) receive() (*http.Response, string, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// withCaller runs a test on simulated time with one connection to an acceptor.
func withCaller(t *testing.T, handler acceptor.Handler, run func(a *acceptor.Acceptor, c *caller)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a connection", t, func() {
			near, far := net.Pipe()
			l := singleListener{conns: make(chan net.Conn, 1)}
			l.conns <- far
			close(l.conns)
			a := acceptor.New(platform.HTTP{}, handler, silent{}, accountant.New(0))
			go a.Serve(l)
			run(a, &caller{Conn: near, reader: bufio.NewReader(near)})
			So(near.Close(), ShouldBeNil)
			a.Close()
			time.Sleep(time.Minute)
		})
	})
}

func send(c *caller, text string) {
	_, err := io.WriteString(c, text)
	So(err, ShouldBeNil)
}

// At a planned stop, the idle connections are closed while a request is being read from one
// of them. Its caller must get a response.
func TestIdleCloseSparesRequestBeingRead(t *testing.T) {
	withCaller(t, slowHandler{}, func(a *acceptor.Acceptor, c *caller) {
		send(c, "POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		synctest.Wait()
		a.Stop()
		a.CloseIdle()
		So(a.InFlight(), ShouldEqual, 1)
		send(c, "dy")
		response, _, err := c.receive()
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		synctest.Wait()
		So(a.InFlight(), ShouldEqual, 0)
	})
}

func TestIdleCloseClosesIdleConnection(t *testing.T) {
	withCaller(t, slowHandler{}, func(a *acceptor.Acceptor, c *caller) {
		send(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
		_, body, err := c.receive()
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "/one")
		synctest.Wait()
		a.CloseIdle()
		_, _, err = c.receive()
		So(err, ShouldNotBeNil)
	})
}

// The second of two pipelined requests asks for an interim response while the first is
// served. The interim response must follow the first one's.
func TestInterimResponseFollowsEarlierResponse(t *testing.T) {
	withCaller(t, slowHandler{time: time.Second}, func(_ *acceptor.Acceptor, c *caller) {
		send(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
		send(c, "POST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n")
		_, body, err := c.receive()
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "/one")
		interim, _, err := c.receive()
		So(err, ShouldBeNil)
		So(interim.StatusCode, ShouldEqual, http.StatusContinue)
		send(c, "body")
		_, body, err = c.receive()
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "/two")
	})
}

// A request that exceeds a limit, is malformed or stops midway gets a response that its
// caller can read: the rest of the input is still read for a while, since the connection
// would be reset otherwise.
func TestRejectedRequestGetsResponse(t *testing.T) {
	post := "POST /one HTTP/1.1\r\nHost: h\r\n"
	chunked := post + "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, text string
		status     int
	}{
		{"header too large", post + "X: " + strings.Repeat("x", 12<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"declared body too large", post + "Content-Length: 11\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"chunked body too large by one byte", chunked + "b\r\n01234567890\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"chunk extensions without end", chunked + "1;" + strings.Repeat("x", 64<<10), http.StatusBadRequest},
		{"malformed chunk", chunked + "zz\r\n", http.StatusBadRequest},
		{"body that stops", post + "Content-Length: 4\r\n\r\nbo", http.StatusRequestTimeout},
		{"header that stops", post, http.StatusRequestTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withCaller(t, slowHandler{}, func(_ *acceptor.Acceptor, caller *caller) {
				// The connection may end before all is sent.
				go func() { _, _ = io.WriteString(caller, c.text) }()
				response, _, err := caller.receive()
				So(err, ShouldBeNil)
				So(response.StatusCode, ShouldEqual, c.status)
				send(caller, "more")
			})
		})
	}
}

// dialectHook is HTTP with a hook that runs when a request was read and is being decoded.
type dialectHook struct {
	platform.HTTP
	decoding func()
}

func (d dialectHook) DecodeCall(r *http.Request, body []byte) carrier.Call {
	d.decoding()
	return d.HTTP.DecodeCall(r, body)
}

// readHook is a connection with a hook that runs when bytes were read, before the reader
// has them.
type readHook struct {
	net.Conn
	read func()
}

func (h readHook) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.read()
	}
	return n, err
}

// A stopping node closed connections as idle although a request had been read from them and
// was being passed on. The call was cancelled at another node, and its caller got nothing.
func TestStopClosesNoConnectionWhoseRequestWasRead(t *testing.T) {
	moments := map[string]func(stop func()) (acceptor.Dialect, func(net.Conn) net.Conn){
		"between the read and its record": func(stop func()) (acceptor.Dialect, func(net.Conn) net.Conn) {
			return platform.HTTP{}, func(c net.Conn) net.Conn { return readHook{c, stop} }
		},
		"while the request is decoded": func(stop func()) (acceptor.Dialect, func(net.Conn) net.Conn) {
			return dialectHook{decoding: stop}, func(c net.Conn) net.Conn { return c }
		},
	}
	for name, at := range moments {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("the caller gets the answer", t, func() {
					var a *acceptor.Acceptor
					dialect, wrap := at(func() { a.CloseIdle() })
					near, far := net.Pipe()
					l := singleListener{conns: make(chan net.Conn, 1)}
					l.conns <- wrap(far)
					close(l.conns)
					a = acceptor.New(dialect, slowHandler{time: time.Second}, silent{}, accountant.New(0))
					go a.Serve(l)
					c := &caller{Conn: near, reader: bufio.NewReader(near)}
					send(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
					_, body, err := c.receive()
					So(err, ShouldBeNil)
					So(body, ShouldEqual, "/one")
					So(near.Close(), ShouldBeNil)
					a.Close()
					time.Sleep(time.Minute)
				})
			})
		})
	}
}

// A stopping node answered a call with the last response of a connection while the next
// request was being read from it. That request was dropped.
func TestLastResponseWaitsForRequestBeingRead(t *testing.T) {
	withCaller(t, slowHandler{time: time.Second}, func(a *acceptor.Acceptor, c *caller) {
		send(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\nPOST /two HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		synctest.Wait()
		a.Stop()
		a.CloseIdle()
		response, body, err := c.receive()
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "/one")
		So(response.Close, ShouldBeFalse)
		send(c, "dy")
		response, _, err = c.receive()
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(response.Close, ShouldBeTrue)
	})
}

// The idle timeout ran from the last request, so that a connection was closed too early after
// a slow call, when its caller still counted on it.
func TestIdleTimeoutBeginsWithLastResponse(t *testing.T) {
	withCaller(t, slowHandler{time: 10 * time.Second}, func(_ *acceptor.Acceptor, c *caller) {
		for range 2 {
			send(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
			_, _, err := c.receive()
			So(err, ShouldBeNil)
			time.Sleep(14 * time.Second)
		}
		time.Sleep(2 * time.Second)
		_, _, err := c.receive()
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
	})
}

// The node exits after the shutdown. What it has begun to read gets a response before.
func TestShutdownAnswersWhatIsBeingRead(t *testing.T) {
	withCaller(t, slowHandler{}, func(a *acceptor.Acceptor, c *caller) {
		send(c, "POST /one HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo")
		synctest.Wait()
		a.Stop()
		ended := make(chan struct{})
		go func() {
			a.Shutdown(context.Background())
			close(ended)
		}()
		time.Sleep(time.Second)
		select {
		case <-ended:
			So("the shutdown has ended", ShouldBeBlank)
		default:
		}
		send(c, "dy")
		response, _, err := c.receive()
		So(err, ShouldBeNil)
		So(response.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		<-ended
	})
}

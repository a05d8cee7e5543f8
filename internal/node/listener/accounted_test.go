package listener

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
)

// Bodies of all requests together must not exceed the memory of the process.
func TestRequestsReserveMemory(t *testing.T) {
	Convey("A server whose handler returns the body", t, func() {
		account := accountant.New(184 << 20)
		var held int64
		handler := &accounted{http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			held = account.Usage(accountant.Bodies).Used
			_, _ = io.Copy(w, r.Body)
		}), account}
		exchange := func(size int) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, size))))
			So(account.Usage(accountant.Heads).Used, ShouldEqual, 0)
			So(account.Usage(accountant.SmallHeads).Used, ShouldEqual, 0)
			return w
		}
		Convey("counts a body until it is answered", func() {
			So(exchange(1<<20).Body.Len(), ShouldEqual, 1<<20)
			So(held, ShouldEqual, 1<<20)
			So(account.Usage(accountant.Bodies).Used, ShouldEqual, 0)
		})
		Convey("refuses one for which there is no memory, and serves a small one", func() {
			account.Take(accountant.Bodies, account.Usage(accountant.Bodies).Limit)
			w := exchange(1 << 20)
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Retry-After"), ShouldNotBeEmpty)
			So(exchange(100).Code, ShouldEqual, http.StatusOK)
		})
		Convey("passes one on that the handler will refuse for its length", func() {
			So(exchange(maxReadBytes+1).Body.Len(), ShouldEqual, maxReadBytes+1)
		})
	})
}

// A client that stops in the middle of a body must not hold its memory for ever: a few of them would make
// the server refuse all others.
func TestBodyThatStopsReleasesItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A body that stops short of its end", t, func() {
			account := accountant.New(184 << 20)
			client, conn := net.Pipe()
			l := New(Config{Name: "s", Handler: http.NotFoundHandler(), Account: account, Listen: func() (net.Listener, error) {
				return &pipeListener{conn: conn, done: make(chan struct{})}, nil
			}})
			So(l.Start(t.Context()), ShouldBeNil)
			go func() { _, _ = io.Copy(io.Discard, client) }()
			_, err := io.WriteString(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 100_000))
			So(err, ShouldBeNil)
			synctest.Wait()
			So(account.Usage(accountant.Bodies).Used, ShouldBeGreaterThan, 0)
			time.Sleep(bodyTimeout + time.Second)
			So(account.Usage(accountant.Bodies).Used, ShouldEqual, 0)
			So(account.Usage(accountant.Connections).Used, ShouldEqual, 0)
			_ = client.Close()
			So(l.Stop(t.Context()), ShouldBeNil)
		})
	})
}

// pipeListener accepts one connection.
type pipeListener struct {
	conn net.Conn
	done chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	if conn := p.conn; conn != nil {
		p.conn = nil
		return conn, nil
	}
	<-p.done
	return nil, net.ErrClosed
}

func (p *pipeListener) Close() error {
	close(p.done)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.IPAddr{} }

package listener

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

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

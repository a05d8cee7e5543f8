package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/router"
)

// input is a connection that delivers bytes, and then its end.
type input struct{ *bytes.Reader }

func (input) Write(b []byte) (int, error)      { return len(b), nil }
func (input) Close() error                     { return nil }
func (input) LocalAddr() net.Addr              { return nil }
func (input) RemoteAddr() net.Addr             { return nil }
func (input) SetDeadline(time.Time) error      { return nil }
func (input) SetReadDeadline(time.Time) error  { return nil }
func (input) SetWriteDeadline(time.Time) error { return nil }

// one is a listener with one connection.
type one struct{ conn net.Conn }

func (l *one) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}
func (*one) Close() error   { return nil }
func (*one) Addr() net.Addr { return nil }

type bounds struct{}

func (bounds) Handle(_ context.Context, _ carrier.Call, _ time.Time) Response { return Response{} }
func (bounds) Nested(carrier.Call) bool                                       { return false }
func (bounds) Limits() router.Limits {
	return router.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}
}

// newInput returns a connection with the given input, and its account.
func newInput(tb testing.TB, text []byte) (*conn, *accountant.Account) {
	account := accountant.New(184 << 20)
	raw, err := account.Listen(&one{input{bytes.NewReader(text)}}, "callers", 1, "").AcceptConn()
	if err != nil {
		tb.Fatal(err)
	}
	return newConn(New(decoder{}, bounds{}, nil, account), raw), account
}

// decoder keeps the fields of a request, as the dialects of the product do.
type decoder struct{ Dialect }

func (decoder) DecodeCall(r *http.Request, body []byte) carrier.Call {
	call := carrier.Call{Body: body}
	for name, values := range r.Header {
		for _, value := range values {
			call.Fields = append(call.Fields, carrier.Field{Name: name, Value: value})
		}
	}
	return call
}

var seeds = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET",
	"POST /x HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n4;e=1\r\nbody\r\n0\r\nT: v\r\n\r\nGET",
	"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\na: b\r\n c\r\n\td\r\n~: \r\n!#$%&'*+-.^_`|~: x\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"\r\n\r\n", "GET\r\n", "GET / HTTP/1.1\r\n: x\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 5000) + "\r\n",
}

// A request must be the one that net/http reads: two readers that disagree about its end would take a part
// of one request for the next.
func FuzzReadRequest(f *testing.F) {
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		c, account := newInput(t, text)
		closed := make(chan struct{})
		close(closed)
		got, body, err := c.readRequest(closed)
		c.memory.Release()
		for _, p := range accountant.Purposes() {
			if used := account.Usage(p).Used; used != 0 && p != accountant.Connections {
				t.Fatalf("%v holds %d bytes", p, used)
			}
		}
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		want, wantErr := http.ReadRequest(reader)
		if wantErr != nil {
			t.Fatalf("net/http refuses the request: %v", wantErr)
		}
		wantBody, wantErr := io.ReadAll(want.Body)
		if wantErr != nil || !bytes.Equal(body, wantBody) {
			t.Fatalf("body %q, want %q, %v", body, wantBody, wantErr)
		}
		if got.Method != want.Method || got.RequestURI != want.RequestURI || got.Host != want.Host || !reflect.DeepEqual(got.Header, want.Header) {
			t.Fatalf("request %v, want %v", got, want)
		}
		rest, _ := io.ReadAll(c.reader)
		wantRest, _ := io.ReadAll(reader)
		if !bytes.Equal(rest, wantRest) {
			t.Fatalf("next request begins at %q, want %q", rest, wantRest)
		}
	})
}

// FuzzReadChunks does the same for the chunks of a body.
func FuzzReadChunks(f *testing.F) {
	for _, seed := range []string{
		"0\r\n\r\n", "1\r\nb\r\n0\r\n\r\n", "4;a=\"b\"\r\nbody\r\n0\r\nT: v\r\n\r\nmore", "1\nb\n0\n\n", "0\r\nno field\r\n\r\n", "-1\r\n", "10000000000000000\r\n", "1\r\nbb",
	} {
		f.Add([]byte(seed))
	}
	const head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Fuzz(func(t *testing.T, chunks []byte) {
		c, _ := newInput(t, append([]byte(head), chunks...))
		closed := make(chan struct{})
		close(closed)
		_, body, err := c.readRequest(closed)
		if err != nil {
			return
		}
		want, wantErr := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(head), bytes.NewReader(chunks))))
		if wantErr != nil {
			t.Fatal(wantErr)
		}
		wantBody, wantErr := io.ReadAll(want.Body)
		if wantErr != nil || !bytes.Equal(body, wantBody) {
			t.Fatalf("body %q, want %q, %v", body, wantBody, wantErr)
		}
	})
}

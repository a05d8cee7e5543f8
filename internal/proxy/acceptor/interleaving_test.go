package acceptor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/acceptor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// causes counts the calls without a response by cause.
type causes struct {
	mu    sync.Mutex
	count map[acceptor.Cause]int
}

func (c *causes) Unanswered(_ carrier.Call, cause acceptor.Cause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[cause]++
}

// variedHandler takes a time that the target states in milliseconds.
type variedHandler struct{ slowHandler }

func (variedHandler) Handle(_ context.Context, call carrier.Call, _ time.Time) acceptor.Response {
	ms, _ := strconv.Atoi(path.Base(call.Target))
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return acceptor.Response{Answer: carrier.Answer{Status: http.StatusOK, Body: []byte(call.Target)}}
}

// requestText returns a request, sometimes with a body or the last one of its connection.
func requestText(r *rand.Rand, i int) (text string, last bool) {
	method, more := http.MethodGet, ""
	if r.IntN(3) == 0 {
		method, more = http.MethodPost, "Content-Length: 4\r\n"
	}
	if last = r.IntN(12) == 0; last {
		more += "Connection: close\r\n"
	}
	text = fmt.Sprintf("%s /%d/%d HTTP/1.1\r\nHost: h\r\n%s\r\n", method, i, r.IntN(4)*r.IntN(100), more)
	if method == http.MethodPost {
		text += "body"
	}
	return text, last
}

// sendVaried sends requests in pieces with pauses until the connection ends.
func sendVaried(r *rand.Rand, c net.Conn) {
	for i := range 1 + r.IntN(100) {
		text, last := requestText(r, i)
		for cut := r.IntN(len(text)); len(text) > 0; cut = len(text) {
			if _, err := io.WriteString(c, text[:cut]); err != nil {
				return
			}
			text = text[cut:]
			time.Sleep(time.Duration(r.IntN(3)*r.IntN(30)) * time.Millisecond)
		}
		if last {
			return
		}
	}
}

// Whatever the order in which requests are read, handled and answered and the node is stopped,
// each call that was read gets its response in its turn, unless an earlier one has ended the
// connection. All goroutines end.
func TestStopAmidVariedCallsLosesNone(t *testing.T) {
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0))
			near, far := net.Pipe()
			l := singleListener{conns: make(chan net.Conn, 1)}
			// The reading goroutine is slow at times, which widens what may fall between two steps.
			slow := rand.New(rand.NewPCG(seed, 2))
			dawdle := func() { time.Sleep(time.Duration(slow.IntN(2)*slow.IntN(20)) * time.Millisecond) }
			l.conns <- readHook{far, dawdle}
			close(l.conns)
			lost := &causes{count: map[acceptor.Cause]int{}}
			var decoded atomic.Int64
			a := acceptor.New(dialectHook{decoding: func() { decoded.Add(1); dawdle() }}, variedHandler{}, lost, accountant.New(0))
			go a.Serve(l)
			go sendVaried(rand.New(rand.NewPCG(seed, 1)), near)
			stopped := make(chan time.Duration, 1)
			go func() {
				time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
				a.Stop()
				time.Sleep(time.Duration(r.IntN(2)*r.IntN(50)) * time.Millisecond)
				a.CloseIdle()
				time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
				start := time.Now()
				a.Shutdown(context.Background())
				stopped <- time.Since(start)
			}()
			answered, closed := 0, false
			for c := (&caller{Conn: near, reader: bufio.NewReader(near)}); ; answered++ {
				response, body, err := c.receive()
				if err != nil {
					break
				}
				if closed || (response.StatusCode == http.StatusOK && !strings.HasPrefix(body, fmt.Sprintf("/%d/", answered))) {
					t.Fatalf("seed %d: response %d is %d %q, closed %v", seed, answered, response.StatusCode, body, closed)
				}
				closed = response.Close
			}
			took := <-stopped
			if took > 5*time.Second || a.InFlight() != 0 {
				t.Errorf("seed %d: the shutdown took %v, %d in flight", seed, took, a.InFlight())
			}
			if behind := lost.count[acceptor.BehindLast]; answered+behind != int(decoded.Load()) || (behind > 0 && !closed) {
				t.Errorf("seed %d: %d of %d calls got a response, %v", seed, answered, decoded.Load(), lost.count)
			}
			_ = near.Close()
			time.Sleep(time.Minute)
		})
	}
}

// countingHandler counts the calls that it handles; nested says whether all are nested.
type countingHandler struct {
	slowHandler
	nested  bool
	handled *atomic.Int64
}

func (h countingHandler) Nested(carrier.Call) bool { return h.nested }

func (h countingHandler) Handle(ctx context.Context, call carrier.Call, received time.Time) acceptor.Response {
	h.handled.Add(1)
	return h.slowHandler.Handle(ctx, call, received)
}

// The stop as the proxy does it, with Stop before CloseIdle, while a request is decoded. A nested
// call was passed on and cut; any other one was not passed on and got no refusal.
func TestStopWhileRequestIsDecoded(t *testing.T) {
	for _, nested := range []bool{true, false} {
		t.Run(fmt.Sprintf("nested %v", nested), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var a *acceptor.Acceptor
				near, far := net.Pipe()
				l := singleListener{conns: make(chan net.Conn, 1)}
				l.conns <- far
				close(l.conns)
				stop := func() {
					a.Stop()
					a.CloseIdle()
				}
				h := countingHandler{slowHandler: slowHandler{time: time.Second}, nested: nested, handled: &atomic.Int64{}}
				a = acceptor.New(dialectHook{decoding: stop}, h, silent{}, accountant.New(0))
				go a.Serve(l)
				c := &caller{Conn: near, reader: bufio.NewReader(near)}
				_, _ = io.WriteString(c, "GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
				response, _, err := c.receive()
				status, handled := http.StatusServiceUnavailable, int64(0)
				if nested {
					status, handled = http.StatusOK, 1
				}
				if n := h.handled.Load(); err != nil || response.StatusCode != status || n != handled {
					t.Errorf("the caller got %v (%v); handled %d times", response, err, n)
				}
				_ = near.Close()
				a.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

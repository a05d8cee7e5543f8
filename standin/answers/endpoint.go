package answers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Handler answers one request on a connection, which it may close. The body of the request is not read.
type Handler func(conn net.Conn, r *http.Request)

// Start serves an endpoint on a loopback address, which it returns, until the test ends.
func Start(t testing.TB, answer Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go serve(l, answer)
	return l.Addr().String()
}

// serve answers the first request of each connection and then closes the connection. It ends with the listener.
func serve(l net.Listener, answer Handler) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				answer(conn, r)
			}
		}()
	}
}

// Sending returns a handler that reads the request and sends the text.
func Sending(text string) Handler {
	return func(conn net.Conn, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	}
}

// EarlyBytes is how much of a request's body an early answer waits for.
const EarlyBytes = 64 << 10

// Early returns a handler that sends the text after EarlyBytes of a request's body, and then resets the
// connection, or closes it while the rest of the body is unread. The kernel resets it then too.
func Early(text string, reset bool) Handler {
	return func(conn net.Conn, r *http.Request) {
		if _, err := io.CopyN(io.Discard, r.Body, EarlyBytes); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}

// Stream is an answer that does not end.
type Stream struct {
	Name string
	// Start comes first. Next returns the text that follows, with the number of those before it.
	Start string
	Next  func(n int) string
}

// Endless returns answers that do not end: in a head, in a body or in neither. Bodies begin like JSON. Fields are as in Broken.
func Endless(fields string) []Stream {
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	repeat := func(text string) func(int) string { return func(int) string { return text } }
	return []Stream{
		{"no answer at all", "", repeat("\x00")},
		{"a status line", "HTTP/1.1 200 ", repeat("x")},
		{"a header line", head + "X-Long: ", repeat("x")},
		{"header lines", head, func(n int) string { return fmt.Sprintf("%x:\r\n", n) }},
		{"interim answers", "", repeat("HTTP/1.1 100 Continue\r\n\r\n")},
		{"a body without a length", head + "\r\n{\"", repeat("x")},
		{"a body of a large length", head + "Content-Length: 99999999999\r\n\r\n{\"", repeat("x")},
		{"chunks", chunked + "2\r\n{\"\r\n", repeat("1\r\nx\r\n")},
		{"a chunk size", chunked, repeat("0")},
		{"a chunk extension", chunked + "1;", repeat("x")},
		{"trailer lines", chunked + "1\r\nx\r\n0\r\n", func(n int) string { return fmt.Sprintf("%x:\r\n", n) }},
	}
}

// blockBytes is how much of a stream is written at once.
const blockBytes = 64 << 10

// Handle returns a handler that writes the stream until the connection is closed. Sent counts the bytes.
func (s Stream) Handle(sent *atomic.Int64) Handler {
	return func(conn net.Conn, _ *http.Request) {
		text := s.Start
		for n := 0; ; {
			written, err := io.WriteString(conn, text)
			sent.Add(int64(written))
			if err != nil {
				return
			}
			var block strings.Builder
			for ; block.Len() < blockBytes; n++ {
				block.WriteString(s.Next(n))
			}
			text = block.String()
		}
	}
}

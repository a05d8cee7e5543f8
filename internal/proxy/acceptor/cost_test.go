package acceptor

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
)

// costs are the shapes of requests whose memory BenchmarkHeapPerByteSent measures.
var costs = []struct{ name, text string }{
	{"usualHead", "GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\nX-Timeout-Ms: 1000\r\nAccept: */*\r\nUser-Agent: client/1.0\r\n\r\n"},
	{"shortLines", "GET / HTTP/1.1\r\nHost: h\r\n" + repeated(16<<10, "%x:\r\n") + "\r\n"},
	{"sameShortLine", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 4<<10) + "\r\n"},
	{"foldedLines", "GET / HTTP/1.1\r\nHost: h\r\n" + repeated(16<<10, "%x: \r\n b\r\n\tc\r\n") + "\r\n"},
	{"wholeBody", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("b", 1_000_000)},
	{"largeChunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("b", 64<<10)+"\r\n", 15) + "0\r\n\r\n"},
	{"tinyChunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nb\r\n", 100_000) + "0\r\n\r\n"},
}

func repeated(size int, line string) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, line, i)
	}
	return b.String()
}

// The reservation must cover the memory that is held; otherwise the shares do not bound the process.
func TestReservationCoversHeap(t *testing.T) {
	for _, c := range costs {
		held, reserved := heapOf(t, c.text)
		if c.name != "usualHead" && held > reserved {
			t.Errorf("%s: %d bytes are held and %d reserved", c.name, held, reserved)
		}
	}
}

// heapOf returns the heap that reading a request takes and what it reserves.
func heapOf(tb testing.TB, text string) (held, reserved int64) {
	const requests = 8
	conns := make([]*conn, requests)
	accounts := make([]*accountant.Account, requests)
	results := make([]any, requests)
	for i := range conns {
		conns[i], accounts[i] = newInput(tb, []byte(text))
	}
	closed := make(chan struct{})
	close(closed)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i, c := range conns {
		request, body, err := c.readRequest(closed)
		if err != nil {
			tb.Fatal(err)
		}
		results[i] = c.decode(request, body)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for _, p := range accountant.Purposes() {
		if p != accountant.Connections {
			reserved += accounts[0].Usage(p).Used
		}
	}
	_, _ = fmt.Fprint(io.Discard, len(results))
	runtime.KeepAlive(results)
	runtime.KeepAlive(conns)
	return int64(after.HeapAlloc-before.HeapAlloc) / requests, reserved
}

// BenchmarkHeapPerByteSent measures what a request allocates, holds and reserves for each byte sent.
func BenchmarkHeapPerByteSent(b *testing.B) {
	for _, c := range costs {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			var held, reserved int64
			for b.Loop() {
				held, reserved = heapOf(b, c.text)
			}
			b.ReportMetric(float64(held)/float64(len(c.text)), "held/B")
			b.ReportMetric(float64(reserved)/float64(len(c.text)), "reserved/B")
		})
	}
}

// Calls whose heads do not fit into the share of small heads must count for their handling too, or
// pipelined calls exceed the memory of the process.
func TestCallIsCountedWhileSmallHeadsAreFull(t *testing.T) {
	c, account := newInput(t, []byte(costs[0].text))
	account.Take(accountant.SmallHeads, account.Usage(accountant.SmallHeads).Limit)
	closed := make(chan struct{})
	close(closed)
	request, body, err := c.readRequest(closed)
	if err != nil {
		t.Fatal(err)
	}
	c.decode(request, body)
	if used := account.Usage(accountant.Heads).Used; used < headStep {
		t.Errorf("%d bytes are counted for a call", used)
	}
}

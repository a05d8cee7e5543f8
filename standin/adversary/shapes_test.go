package adversary

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
	"github.com/tamarackscale/tamarackscale/internal/proxy/forwarder"
)

const (
	bodyBytes = 16 << 20
	headBytes = 60 << 10
)

// send writes parts until one fails.
func send(c net.Conn, parts ...string) {
	for _, part := range parts {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
	}
}

// head returns a head with lines up to the given size and a declared body of one byte, which holds the
// head in memory until the byte comes.
func head(size int, line func(i int) string) string {
	var b strings.Builder
	b.WriteString("POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\nContent-Length: 1\r\n")
	for i := 0; b.Len() < size-40; i++ {
		b.WriteString(line(i))
	}
	b.WriteString("\r\n")
	return b.String()
}

// The process had 327 MB with 1,200 such connections: net/http makes a map entry and strings of each line.
func TestManyShortHeaderLines(t *testing.T) {
	withMachine(t, "requests of very many short header lines, without their body", func(m *machine) {
		text := head(headBytes, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })
		m.clients(callerPort, 300, func(_ int, c net.Conn) { send(c, text) })
	})
}

func TestManyOddHeaderLines(t *testing.T) {
	withMachine(t, "requests of folded lines, empty values and strange legal names", func(m *machine) {
		text := head(headBytes, func(i int) string {
			return fmt.Sprintf([...]string{"%x!#~:\r\n", "%x: \r\n b\r\n\tc\r\n", "~%x:\t \r\n"}[i%3], i)
		})
		m.clients(callerPort, 300, func(_ int, c net.Conn) { send(c, text) })
	})
}

// The process had 1,137 MB with 60 such bodies: each was read into a buffer that doubles.
func TestLargeBodiesThatDoNotEnd(t *testing.T) {
	withMachine(t, "bodies whole and piece by piece, which stop short of their end", func(m *machine) {
		whole, piece := strings.Repeat("b", bodyBytes-1), strings.Repeat("b", 64<<10)
		m.clients(callerPort, 16, func(i int, c net.Conn) {
			send(c, request(fmt.Sprint(i), bodyBytes, ""))
			switch {
			case i == 0:
				send(c, whole+"b")
			case i%2 == 0:
				send(c, whole)
			default:
				for range bodyBytes/len(piece) - 1 {
					send(c, piece)
				}
			}
		})
	})
}

const chunkedHead = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestChunkedBodiesInLargeChunks(t *testing.T) {
	withMachine(t, "bodies in chunks of 64 KiB without the last chunk", func(m *machine) {
		chunk := "10000\r\n" + strings.Repeat("b", 64<<10) + "\r\n"
		m.clients(callerPort, 16, func(_ int, c net.Conn) {
			send(c, chunkedHead)
			for range bodyBytes/(64<<10) - 1 {
				send(c, chunk)
			}
		})
	})
}

func TestChunkedBodiesInTinyChunks(t *testing.T) {
	withMachine(t, "bodies in chunks of a byte without the last chunk", func(m *machine) {
		chunks := strings.Repeat("1\r\nb\r\n", 3<<19)
		m.clients(callerPort, 60, func(_ int, c net.Conn) { send(c, chunkedHead, chunks) })
	})
}

func TestHeadersByteAtATime(t *testing.T) {
	withMachine(t, "heads that come a byte at a time", func(m *machine) {
		text := head(headBytes, func(int) string { return "a:\r\n" })
		m.clients(callerPort, 300, func(_ int, c net.Conn) {
			for i := range 200 {
				send(c, text[i:i+1])
				time.Sleep(5 * time.Millisecond)
			}
		})
	})
}

// The process had 128 MB with 60 such connections.
func TestPipelinedRequestsWhoseAnswersAreNotRead(t *testing.T) {
	withMachine(t, "thousands of pipelined requests whose answers are never read", func(m *machine) {
		one := "GET /large/262144 HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\n\r\n"
		m.clients(callerPort, 40, func(_ int, c net.Conn) { send(c, strings.Repeat(one, 100)) })
	})
}

func TestEndlessChunkExtensionsAndTrailers(t *testing.T) {
	withMachine(t, "chunk extensions and trailers without end", func(m *machine) {
		piece := strings.Repeat("e", 64<<10)
		m.clients(callerPort, 40, func(i int, c net.Conn) {
			send(c, chunkedHead, [...]string{"1;", "0\r\nt: ", "1;\r\nb\r\n0\r\n"}[i%3])
			for range 32 {
				if i%3 == 2 {
					send(c, strings.Repeat("t: v\r\n", 8<<10))
					continue
				}
				send(c, piece)
			}
		})
	})
}

func TestBodyAfterRefusal(t *testing.T) {
	withMachine(t, "bodies that go on after the refusal of the request", func(m *machine) {
		piece := strings.Repeat("b", 1<<20)
		m.clients(callerPort, 40, func(_ int, c net.Conn) {
			send(c, request("x", bodyBytes+1, ""))
			for range bodyBytes / len(piece) {
				send(c, piece)
			}
		})
	})
}

// Acceptor.Serve ended at the first error of Accept, so that the node took no connection any more.
func TestConnectionsThatSendNothing(t *testing.T) {
	withMachine(t, "more connections than descriptors", func(m *machine) {
		m.clients(callerPort, 2*descriptorLimit, func(int, net.Conn) {})
	})
}

func TestConnectionsThatAreReset(t *testing.T) {
	withMachine(t, "a thousand connections that are reset in the middle of a request", func(m *machine) {
		for range 10 {
			m.clients(callerPort, 100, func(i int, c net.Conn) {
				send(c, request("x", bodyBytes, strings.Repeat("b", i<<10)))
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			})
		}
	})
}

func TestLargeAnswersOfUpstream(t *testing.T) {
	withMachine(t, "answers of 12 MiB to callers that do not read them", func(m *machine) {
		m.clients(callerPort, 16, func(i int, c net.Conn) {
			send(c, fmt.Sprintf("GET /large/%d HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\n\r\n", 12<<20, i))
		})
	})
}

func TestAnswersOfManyFields(t *testing.T) {
	withMachine(t, "answers of very many short fields to callers that do not read them", func(m *machine) {
		one := "GET /fields/8000 HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\n\r\n"
		m.clients(callerPort, 40, func(_ int, c net.Conn) { send(c, strings.Repeat(one, 100)) })
	})
}

// The servers of net/http take heads of up to 1 MB and keep them while they are read.
func TestReadyAndControlListeners(t *testing.T) {
	withMachine(t, "large heads and silent connections at the ready and control listeners", func(m *machine) {
		text := head(900<<10, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })
		for _, port := range []int{readyPort, controlPort} {
			m.clients(port, 20, func(_ int, c net.Conn) { send(c, text) })
			m.clients(port, descriptorLimit, func(int, net.Conn) {})
		}
		So(m.ready(), ShouldBeTrue)
	})
}

// ready asks the ready listener until it is answered with 200.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.address(readyPort) + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// attempt returns a message of another node with an attempt, as the forwarder writes it.
func attempt(body int) []byte {
	var b bytes.Buffer
	w := msgp.NewWriter(&b)
	_ = w.WriteString("Node.Run")
	_ = w.WriteUint64(1)
	_ = w.WriteString("")
	args := &forwarder.RunArgs{Job: executor.Job{Call: carrier.Call{Method: http.MethodPost, Body: make([]byte, body)}}}
	_ = args.EncodeMsg(w)
	_ = w.Flush()
	return b.Bytes()
}

func TestPortBetweenNodes(t *testing.T) {
	withMachine(t, "messages that stop short of their end, and silent connections, at the port between nodes", func(m *machine) {
		message := attempt(bodyBytes)
		m.clients(peerPort, 16, func(_ int, c net.Conn) { _, _ = c.Write(message[:len(message)-512]) })
		m.clients(peerPort, 2*descriptorLimit, func(int, net.Conn) {})
	})
}

// largest returns a request with a head of 60 KB of short lines and a body of 16 MiB.
func largest() string {
	lines := strings.TrimSuffix(head(60<<10, func(i int) string { return fmt.Sprintf("%x:\r\n", i) }), "\r\n")
	lines = strings.Replace(lines, "Content-Length: 1\r\n", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes), 1)
	return lines + "\r\n" + strings.Repeat("b", bodyBytes)
}

// The mend must not refuse what the limits allow on the smallest VM.
func TestLargestRequestIsServedOnSmallestVM(t *testing.T) {
	Convey("A head of 60 KB of short lines and a body of 16 MiB on a VM of 184 MB", t, func() {
		m := startMachine(t, 184)
		So(m.exchange(largest()), ShouldBeNil)
		m.check(184)
	})
}

func TestLargestRequestIsServedBesideOrdinaryOnes(t *testing.T) {
	Convey("The same while ten clients send ordinary requests of up to 64 KB", t, func() {
		m := startMachine(t, 184)
		done := make(chan struct{})
		var refused atomic.Int64
		var clients sync.WaitGroup
		for range 10 {
			clients.Go(func() {
				for size := 4; ; size = size*2%(64<<10) + 4 {
					select {
					case <-done:
						return
					default:
					}
					if m.exchange(request("ordinary", size, strings.Repeat("b", size))) != nil {
						refused.Add(1)
					}
				}
			})
		}
		large := largest()
		for range 3 {
			So(m.exchange(large), ShouldBeNil)
		}
		close(done)
		clients.Wait()
		So(refused.Load(), ShouldEqual, 0)
		m.check(184)
	})
}

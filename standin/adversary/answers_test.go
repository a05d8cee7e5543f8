package adversary

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/standin/answers"
)

// answerFields mark the answer to the request with ID "x" as one of the upstream.
const answerFields = "X-Request-Id: x\r\nX-Server-Stamp: s\r\n"

// rawRequest returns a request that the raw handler answers, with a body of a size.
func rawRequest(bodySize int) string {
	return strings.Replace(request("x", bodySize, strings.Repeat("b", bodySize)), "POST /x ", "POST /raw/ ", 1)
}

// answer makes the upstream answer with a raw handler.
func (m *machine) answer(handler answers.Handler) { m.upstream.raw.Store(&handler) }

// status sends a request on a connection of its own and returns the status and the stamp of the response.
func (m *machine) status(text string) (int, string, error) {
	conn, err := net.DialTimeout("tcp", m.address(callerPort), 5*time.Second)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("X-Server-Stamp"), err
}

// checkRejected checks that the caller of a request to the raw handler gets 502 in place of its answer.
func (m *machine) checkRejected(text string) {
	status, stamp, err := m.status(text)
	So(err, ShouldBeNil)
	So(status, ShouldEqual, http.StatusBadGateway)
	So(stamp, ShouldBeEmpty)
}

func TestBrokenAnswersAreNotPassedOn(t *testing.T) {
	Convey("An upstream in trouble answers with what is no answer", t, func() {
		m := startMachine(t, memoryLimit)
		for _, a := range answers.Broken(answerFields) {
			Printf("%s; ", a.Name)
			m.answer(answers.Sending(a.Text))
			m.checkRejected(rawRequest(0))
		}
		m.check(memoryLimit)
	})
}

func TestEarlyAnswersThatEndWithResetAreNotPassedOn(t *testing.T) {
	Convey("Uploads are answered before they were read, and the connection is reset", t, func() {
		m := startMachine(t, memoryLimit)
		heads := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 x\r\n", "HTTP/1.0 200 OK\r\n"}
		for i := range 4 * len(heads) {
			m.answer(answers.Early(heads[i%len(heads)]+answerFields+"\r\nthe first part", i/len(heads)%2 == 0))
			m.checkRejected(rawRequest(9 << 20))
		}
		m.check(memoryLimit)
	})
}

func TestAnswersWithoutEnd(t *testing.T) {
	withMachine(t, "many calls are answered without end, in a head, in a body and in neither", func(m *machine) {
		var sent, passedOn atomic.Int64
		for _, stream := range answers.Endless(answerFields) {
			m.answer(stream.Handle(&sent))
			m.clients(callerPort, 60, func(_ int, c net.Conn) {
				send(c, rawRequest(0))
				_ = c.SetReadDeadline(time.Now().Add(patience))
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil && response.StatusCode < http.StatusInternalServerError {
					passedOn.Add(1)
				}
				_ = c.Close()
			})
		}
		So(passedOn.Load(), ShouldEqual, 0)
	})
}

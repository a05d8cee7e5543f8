package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// caller sends requests to one node over kept connections.
type caller struct {
	node *node
	// body is the length of the body of a POST, sent at rate bytes per second if that is not 0.
	body int
	rate float64
	mu   sync.Mutex
	idle []*callerConn
}

// callerConn is one kept connection.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	// kept reports whether the connection has had an answer before, the last one at idleSince.
	kept      bool
	idleSince time.Time
}

// maxIdle is how long an idle connection is reused: four fifths of the idle timeout.
const maxIdle = 12 * time.Second

// take returns an idle connection or opens one.
func (c *caller) take() (*callerConn, error) {
	if conn := c.pop(); conn != nil {
		return conn, nil
	}
	conn, err := net.DialTimeout("tcp", c.node.address(callerPort), time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// pop removes and returns the connection that was used last; nil if there is none that may be reused.
func (c *caller) pop() *callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(conn.idleSince) < maxIdle {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// close closes the idle connections.
func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// call makes one client attempt with an ID of its own and reports whether it got an answer.
func (c *caller) call(method string, r route, timeout time.Duration) bool {
	rec := c.node.fleet.record
	id := rec.send(c.node, r)
	status, err := c.exchange(method, r, id, timeout)
	if err != nil {
		rec.answer(id, 0, err.Error())
		return false
	}
	rec.answer(id, status, "")
	return true
}

func (c *caller) exchange(method string, r route, id string, timeout time.Duration) (int, error) {
	conn, err := c.take()
	if err != nil {
		return 0, err
	}
	c.node.fleet.record.kept(id, conn.kept)
	_ = conn.SetDeadline(time.Now().Add(2*timeout + time.Second))
	length := ""
	if method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", c.body)
	}
	_, err = fmt.Fprintf(conn, "%s %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\n%s\r\n",
		method, r.prefix, r.host, id, timeout.Milliseconds(), length)
	if err == nil {
		err = c.sendBody(conn)
	}
	if err != nil {
		_ = conn.Close()
		return 0, err
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if err != nil {
		_ = conn.Close()
		return 0, err
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil || response.Close {
		_ = conn.Close()
		return response.StatusCode, err
	}
	conn.kept, conn.idleSince = true, time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return response.StatusCode, nil
}

// sendBody sends the body at the caller's rate.
func (c *caller) sendBody(conn net.Conn) error {
	chunk := make([]byte, 64<<10)
	begin := time.Now()
	for n := 0; n < c.body; n += len(chunk) {
		if _, err := conn.Write(chunk[:min(len(chunk), c.body-n)]); err != nil {
			return err
		}
		time.Sleep(time.Until(begin.Add(time.Duration(float64(n) / c.rate * float64(time.Second)))))
	}
	return nil
}

// drive makes calls at a steady rate until the end, each in a goroutine of its own, and
// waits for their answers.
func (c *caller) drive(method string, r route, perSecond float64, timeout time.Duration, until time.Time) {
	var pending sync.WaitGroup
	interval := time.Duration(float64(time.Second) / perSecond)
	for next := time.Now(); next.Before(until); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		pending.Add(1)
		go func() {
			defer pending.Done()
			c.call(method, r, timeout)
		}()
	}
	pending.Wait()
}

// driveAll makes calls from all nodes.
func (f *fleet) driveAll(method string, r route, perSecond float64, timeout time.Duration, until time.Time) {
	var pending sync.WaitGroup
	for _, n := range f.nodes {
		pending.Add(1)
		go func() {
			defer pending.Done()
			(&caller{node: n}).drive(method, r, perSecond/float64(len(f.nodes)), timeout, until)
		}()
	}
	pending.Wait()
}

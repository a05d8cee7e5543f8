package forwarder

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
)

// pipes is a listener of connections in memory.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, open := <-p
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (pipes) Close() error   { return nil }
func (pipes) Addr() net.Addr { return nil }

// withPeer runs a test with a connection to a receiver with an account. The attempts that it sends are
// addressed to another process, so that none is executed.
func withPeer(t *testing.T, run func(account *accountant.Account, peer net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		Convey("a connection of another node", t, func() {
			account := accountant.New(184 << 20)
			receiver, err := NewReceiver(1, nil, nil)
			So(err, ShouldBeNil)
			receiver.UseAccount(account)
			near, far := net.Pipe()
			l := make(pipes, 1)
			l <- far
			go receiver.Serve(account.Listen(l, "peers", 1, ""))
			go func() { _, _ = io.Copy(io.Discard, near) }()
			run(account, near)
			_ = near.Close()
			close(l)
			time.Sleep(time.Minute)
			synctest.Wait()
			So(account.Usage(accountant.Messages).Used, ShouldEqual, 0)
			So(account.Usage(accountant.Connections).Used, ShouldEqual, 0)
		})
	})
}

// sendAttempt sends an attempt with a body but for its last bytes, and returns how many were read.
func sendAttempt(c net.Conn, body, missing int) (int, error) {
	args := &RunArgs{Job: executor.Job{Call: carrier.Call{Body: make([]byte, body)}}}
	data := msgp.AppendString(nil, "Node.Run")
	data = msgp.AppendUint64(data, 1)
	data = msgp.AppendString(data, "")
	var b writer
	if err := msgp.Encode(&b, args); err != nil {
		return 0, err
	}
	data = append(data, b...)
	return c.Write(data[:len(data)-missing])
}

type writer []byte

func (w *writer) Write(b []byte) (int, error) {
	*w = append(*w, b...)
	return len(b), nil
}

// A message that stops short of its end holds its memory, and releases it with its connection or its reply.
func TestMessageReservesMemory(t *testing.T) {
	Convey("A message", t, func() {
		withPeer(t, func(account *accountant.Account, peer net.Conn) {
			_, err := sendAttempt(peer, 1<<20, 512)
			So(err, ShouldBeNil)
			synctest.Wait()
			So(account.Usage(accountant.Messages).Used, ShouldBeBetween, 2<<20-64<<10, 2<<20+64<<10)
		})
		withPeer(t, func(account *accountant.Account, peer net.Conn) {
			_, err := sendAttempt(peer, 1<<20, 0)
			So(err, ShouldBeNil)
			synctest.Wait()
			So(account.Usage(accountant.Messages).Used, ShouldEqual, 0)
		})
	})
}

// A buffered reader dropped the error that came with data, and the message was read to its end.
func TestMessageWithoutMemoryEndsConnection(t *testing.T) {
	withPeer(t, func(account *accountant.Account, peer net.Conn) {
		limit := account.Usage(accountant.Messages).Limit
		account.Take(accountant.Messages, limit)
		sent, err := sendAttempt(peer, 1<<20, 0)
		So(err, ShouldEqual, io.ErrClosedPipe)
		So(sent, ShouldBeLessThan, 128<<10)
		account.Release(accountant.Messages, limit)
		So(account.Usage(accountant.Messages).Refused, ShouldBeGreaterThan, 0)
	})
}

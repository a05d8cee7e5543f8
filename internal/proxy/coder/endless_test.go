package coder

import (
	"io"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
)

// stopAfter is how much an endless message sends at most, so that the test ends without a bound too.
const stopAfter = 8 * maxMessageBytes

// endlessFields writes the reply to the first call on a connection, with header fields without end, and counts
// its bytes.
func endlessFields(conn net.Conn, sent *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	w := msgp.NewWriter(conn)
	_ = w.WriteString("")
	_ = w.WriteUint64(0)
	_ = w.WriteString("")
	// The tuple of an answer begins with its status.
	_ = w.WriteArrayHeader(3)
	_ = w.WriteInt(200)
	_ = w.WriteArrayHeader(1 << 16)
	field := carrier.Field{Name: strings.Repeat("n", 1000), Value: strings.Repeat("v", maxStringBytes)}
	for sent.Load() < stopAfter && field.EncodeMsg(w) == nil {
		sent.Add(int64(len(field.Name) + len(field.Value)))
	}
}

func TestMessageWithoutEndIsNotKept(t *testing.T) {
	Convey("A node answers with header fields without end", t, func() {
		client, server := net.Pipe()
		var sent atomic.Int64
		go endlessFields(server, &sent)
		c := rpc.NewClientWithCodec(NewClientCodec(client))
		So(c.Call("Echo.Job", &carrier.Call{}, &carrier.Answer{}), ShouldNotBeNil)
		So(c.Close(), ShouldBeNil)
		So(sent.Load(), ShouldBeLessThan, 2*maxMessageBytes)
	})
}

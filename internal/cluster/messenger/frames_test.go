package messenger

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/kernel/dialer"
)

// ignoring is a Counter that counts nothing.
type ignoring struct{}

func (ignoring) CountBytes(Scope, bool, int) {}
func (ignoring) CountMessage(string)         {}

// endlessPeer sends a byte without end to each connection. It returns its address; sent counts the bytes.
func endlessPeer(t *testing.T, filler byte, sent *atomic.Int64) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		block := bytes.Repeat([]byte{filler}, 64<<10)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			for err == nil {
				var n int
				n, err = conn.Write(block)
				sent.Add(int64(n))
			}
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// What answers at the address of a node sends bytes without end. Some bytes are the length of a message of
// gigabytes to package gob, which would read it into memory.
func TestReplyWithoutEndIsNotKept(t *testing.T) {
	for _, filler := range []byte{0xf8, 0xfb, 0xfc, 0xfd, 0xfe, 0xff, 0x80, 'x', '\n', 0x7f} {
		Convey("A peer that sends bytes without end", t, func() {
			var sent atomic.Int64
			m := New(dialer.TCP{}, "", ignoring{})
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := Call[ProbeRequest, ProbeReply](ctx, m, Target{Address: endlessPeer(t, filler, &sent)}, ProbeMethod, ProbeRequest{})
			So(err, ShouldNotBeNil)
			So(sent.Load(), ShouldBeLessThan, 2*maxMessageBytes)
		})
	}
}

func TestFramesAreThoseOfGob(t *testing.T) {
	Convey("The messages of an encoder, in pieces of any size", t, func() {
		var encoded bytes.Buffer
		encoder := gob.NewEncoder(&encoded)
		for _, size := range []int{0, 1, 100, 127, 128, 255, 256, 70_000, maxMessageBytes - 100} {
			So(encoder.Encode(make([]byte, size)), ShouldBeNil)
		}
		for _, piece := range []int{1, 7, 4096, encoded.Len()} {
			f := &frames{}
			for rest := encoded.Bytes(); len(rest) > 0; {
				n := min(piece, len(rest))
				if err := f.follow(rest[:n]); err != nil {
					So(err, ShouldBeNil)
				}
				rest = rest[n:]
			}
			So(f.rest, ShouldEqual, 0)
			So(f.prefix, ShouldBeEmpty)
		}
	})
	Convey("A message beyond the limit", t, func() {
		var encoded bytes.Buffer
		So(gob.NewEncoder(&encoded).Encode(make([]byte, maxMessageBytes)), ShouldBeNil)
		var tooLong *LengthError
		So(errors.As((&frames{}).follow(encoded.Bytes()), &tooLong), ShouldBeTrue)
	})
}

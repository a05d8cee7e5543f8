package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tinylib/msgp/msgp"

	"github.com/tamarackscale/tamarackscale/internal/platform/keeper"
	"github.com/tamarackscale/tamarackscale/internal/proxy/balancer"
	"github.com/tamarackscale/tamarackscale/internal/proxy/carrier"
	"github.com/tamarackscale/tamarackscale/internal/proxy/coder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/encoder"
	"github.com/tamarackscale/tamarackscale/internal/proxy/executor"
)

// The revision that a node passes on must keep its era, or the receiver resumes in another one.
func TestPackedPositionKeepsEraAndOrder(t *testing.T) {
	Convey("Positions in their order", t, func() {
		positions := []keeper.Position{{}, {Revision: 7}, {Era: 1}, {Era: 1, Revision: 1 << 40}, {Era: 2, Revision: 3}}
		for i, p := range positions {
			reply := ConfigurationReply{PackedPosition: Pack(p)}
			So(reply.Position(), ShouldResemble, p)
			if i > 0 {
				So(Pack(p), ShouldBeGreaterThan, Pack(positions[i-1]))
			}
		}
	})
}

// bufferConn is a connection that reads from a buffer.
type bufferConn struct{ *bytes.Buffer }

func (bufferConn) Close() error { return nil }

// A message of a few bytes that declares a long array must not cost the memory of that array.
func TestArrayWithoutContentAllocatesNoMemory(t *testing.T) {
	const maxAllocatedBytes = 8 << 10
	const length16Million = "\xdd\x00\xf4\x24\x00"
	fields := []carrier.Field{{Name: "marked"}}
	cases := []struct {
		name string
		sent msgp.Encodable
		// array is the encoding of the array up to the marked text.
		array    string
		received msgp.Decodable
	}{
		{"fields of a call", &RunArgs{Job: executor.Job{Call: carrier.Call{Fields: fields}}}, "\x91\x92\xa6marked", &RunArgs{}},
		{"fields of an answer", &RunReply{Result: carrier.Result{Answer: carrier.Answer{Fields: fields}}}, "\x91\x92\xa6marked", &RunReply{}},
		{"steps of a patch", &ConfigurationReply{Message: encoder.Message{Steps: []encoder.Step{{Literal: []byte("marked")}}}}, "\x91\x93\x00\x00\xc4\x06marked", &ConfigurationReply{}},
		{"members", MemberList{{Node: "marked"}}, "\x91\x9e\xa6marked", &MemberList{}},
	}
	for _, c := range cases {
		Convey("A message that declares 16 million "+c.name+" and ends there", t, func() {
			var whole bytes.Buffer
			So(msgp.Encode(&whole, c.sent), ShouldBeNil)
			head, _, found := bytes.Cut(whole.Bytes(), []byte(c.array))
			So(found, ShouldBeTrue)
			codec := coder.NewClientCodec(bufferConn{bytes.NewBuffer(append(bytes.Clone(head), length16Million...))})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := codec.ReadResponseBody(c.received)
			runtime.ReadMemStats(&after)
			So(errors.Is(err, io.EOF), ShouldBeTrue)
			So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, maxAllocatedBytes)
		})
	}
}

// Releases run side by side: arrays must keep their encoding. The checksums are those of the
// release before arrays were decoded in steps.
func TestArraysKeepTheirEncoding(t *testing.T) {
	lengths := []int{0, 1, 15, 16, 17, 100, 70000}
	encoded := func(message msgp.Encodable) []byte {
		var b bytes.Buffer
		So(msgp.Encode(&b, message), ShouldBeNil)
		return b.Bytes()
	}
	roundTrip := func(message func(length int) msgp.Encodable, received msgp.Decodable) uint32 {
		var all []byte
		for _, length := range lengths {
			sent := encoded(message(length))
			// Decoding into a value in use replaces all of it.
			So(msgp.Decode(bytes.NewReader(sent), received), ShouldBeNil)
			So(bytes.Equal(encoded(received.(msgp.Encodable)), sent), ShouldBeTrue)
			all = append(all, sent...)
		}
		return crc32.ChecksumIEEE(all)
	}
	Convey("Messages with arrays of different lengths", t, func() {
		So(roundTrip(func(length int) msgp.Encodable {
			call := carrier.Call{ID: "c", Body: []byte("body")}
			for i := range length {
				call.Fields = append(call.Fields, carrier.Field{Name: fmt.Sprint("n", i), Value: fmt.Sprint("v", i)})
			}
			return &RunArgs{Job: executor.Job{Call: call, Kind: "k"}}
		}, &RunArgs{}), ShouldEqual, 0x01d58147)
		So(roundTrip(func(length int) msgp.Encodable {
			answer := carrier.Answer{Status: 200, Body: []byte("body")}
			for i := range length {
				answer.Fields = append(answer.Fields, carrier.Field{Name: fmt.Sprint("n", i), Value: fmt.Sprint("v", i)})
			}
			return &RunReply{Result: carrier.Result{Outcome: carrier.Run, Answer: answer}, Version: 3}
		}, &RunReply{}), ShouldEqual, 0x2aa620f3)
		So(roundTrip(func(length int) msgp.Encodable {
			message := encoder.Message{Version: 4, Base: 3}
			for i := range length {
				message.Steps = append(message.Steps, encoder.Step{Offset: i, Length: i % 3, Literal: []byte(fmt.Sprint(i))})
			}
			return &ConfigurationReply{Message: message, Subscribed: true}
		}, &ConfigurationReply{}), ShouldEqual, 0x8b8eb8b0)
		So(roundTrip(func(length int) msgp.Encodable {
			members := MemberList{}
			for i := range length {
				members = append(members, balancer.Member{Node: fmt.Sprint("n", i), Start: int64(i), Slots: i, Draining: i%2 == 0})
			}
			return &members
		}, &MemberList{}), ShouldEqual, 0xf78941ba)
	})
}

package unpacker

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/tinylib/msgp/msgp"
)

// A byte string of megabytes that is declared and does not come took its memory.
func TestByteStringCostsWhatArrives(t *testing.T) {
	Convey("A byte string", t, func() {
		Convey("that ends after its declaration allocates little", func() {
			declared := append([]byte{0xc6, 1, 0, 0, 0}, "few"...)
			var b Bytes
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err := b.DecodeMsg(msgp.NewReader(bytes.NewReader(declared)))
			runtime.ReadMemStats(&after)
			So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
			So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, 64<<10)
		})
		Convey("beyond the limit of the reader is refused", func() {
			reader := msgp.NewReader(bytes.NewReader([]byte{0xc6, 1, 0, 0, 0}))
			reader.SetMaxElements(1 << 20)
			var refused *LengthError
			So(errors.As(new(Bytes).DecodeMsg(reader), &refused), ShouldBeTrue)
		})
		Convey("of any length is decoded as it was encoded, like one of msgp", func() {
			for _, n := range []int{0, 1, 255, 256, 16 << 10, 16<<10 + 1, 70_000, 3_000_000} {
				want := bytes.Repeat([]byte("x"), n)
				got := Bytes("what was there before")
				So(got.DecodeMsg(msgp.NewReader(bytes.NewReader(msgp.AppendBytes(nil, want)))), ShouldBeNil)
				So(bytes.Equal(got, want), ShouldBeTrue)
				var b bytes.Buffer
				So(msgp.Encode(&b, got), ShouldBeNil)
				So(bytes.Equal(b.Bytes(), msgp.AppendBytes(nil, want)), ShouldBeTrue)
			}
		})
	})
}

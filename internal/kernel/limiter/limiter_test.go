package limiter

import (
	"errors"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// endless is input without end. It counts what was read of it.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

func TestReaderStopsAtLimit(t *testing.T) {
	Convey("No byte beyond the limit is read, until the limit is set anew", t, func() {
		exceeded := errors.New("exceeded")
		source := &endless{}
		r := &Reader{Reader: source, Remaining: 100_000, Exceeded: exceeded}
		_, err := io.Copy(io.Discard, r)
		So(err, ShouldEqual, exceeded)
		So(source.read, ShouldEqual, 100_000)
		r.Remaining = 10
		n, err := r.Read(make([]byte, 64))
		So(n, ShouldEqual, 10)
		So(err, ShouldBeNil)
	})
}

package executor

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// endless is a body without end. It counts what was read of it.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

func TestAnswerMemoryIsBounded(t *testing.T) {
	Convey("A body of the maximum size is read, a longer one is not", t, func() {
		m := &memoryLimiter{}
		data, err := m.readAll(bytes.NewReader(make([]byte, maxAnswerBytes)))
		So(err, ShouldBeNil)
		So(data, ShouldHaveLength, maxAnswerBytes)
		body := &endless{}
		_, err = m.readAll(body)
		So(err, ShouldEqual, errAnswerTooLarge)
		So(body.read, ShouldBeLessThanOrEqualTo, maxAnswerBytes+1)
		So(m.used.Load(), ShouldEqual, 0)
	})
	Convey("While others read bodies without end, a small one is refused instead of exceeding the total", t, func() {
		m := &memoryLimiter{}
		m.used.Store(maxAnswersBytes)
		_, err := m.readAll(bytes.NewReader([]byte("small")))
		So(err, ShouldEqual, errAnswerTooLarge)
		So(m.used.Load(), ShouldEqual, maxAnswersBytes)
	})
}

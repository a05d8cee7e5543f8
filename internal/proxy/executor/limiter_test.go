package executor

import (
	"bytes"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
)

// endless is a body without end. It counts what was read of it.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// read reads a body without a declared length with the memory of one answer.
func (m *answerMemory) read(r io.Reader) ([]byte, error) {
	held := m.account.Open(nil)
	defer held.Release()
	return m.readAll(&held, Head{Body: io.NopCloser(r), Length: -1})
}

func TestAnswerMemoryIsBounded(t *testing.T) {
	Convey("A body of the maximum size is read, a longer one is not", t, func() {
		m := &answerMemory{account: accountant.New(0)}
		data, err := m.read(bytes.NewReader(make([]byte, maxAnswerBytes)))
		So(err, ShouldBeNil)
		So(data, ShouldHaveLength, maxAnswerBytes)
		body := &endless{}
		_, err = m.read(body)
		So(err, ShouldEqual, errAnswerTooLarge)
		So(body.read, ShouldBeLessThanOrEqualTo, maxAnswerBytes+1)
		So(m.used.Load(), ShouldEqual, 0)
	})
	Convey("While others read bodies without end, a small one is refused instead of exceeding the total", t, func() {
		m := &answerMemory{account: accountant.New(0)}
		m.used.Store(maxAnswersBytes)
		_, err := m.read(bytes.NewReader([]byte("small")))
		So(err, ShouldEqual, errAnswerTooLarge)
		So(m.used.Load(), ShouldEqual, maxAnswersBytes)
	})
}

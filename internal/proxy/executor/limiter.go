package executor

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the head of one answer, with the interim answers before it.
	maxHeadBytes = 64 << 10
	// maxAnswerBytes bounds the body of one answer.
	maxAnswerBytes = 16 << 20
	// maxAnswersBytes bounds the bodies of all answers that are being read. Without it, an
	// upstream that sends bytes without end on all of its connections would exhaust the
	// memory of a small VM.
	maxAnswersBytes = 32 << 20
	// maxWireBytes bounds a body on the wire, including the framing of its chunks. Bodies in
	// chunks of a few bytes are several times as long on the wire.
	maxWireBytes = 4 * maxAnswerBytes
)

// errAnswerTooLarge reports that an answer, or all answers together, exceeded a limit.
var errAnswerTooLarge = errors.New("answer exceeds its size limit")

// memoryLimiter bounds the bytes that all its readers together have read and not released.
// It is safe for concurrent use.
type memoryLimiter struct{ used atomic.Int64 }

// readAll reads to the end of r. It returns errAnswerTooLarge if r has more than
// maxAnswerBytes or all concurrent reads together more than maxAnswersBytes.
func (m *memoryLimiter) readAll(r io.Reader) ([]byte, error) {
	counted := &memoryReader{Reader: io.LimitReader(r, maxAnswerBytes+1), limiter: m}
	defer func() { m.used.Add(-counted.read) }()
	data, err := io.ReadAll(counted)
	if err == nil && len(data) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return data, err
}

// memoryReader counts the bytes read from one reader.
type memoryReader struct {
	io.Reader
	limiter *memoryLimiter
	read    int64
}

// Read implements io.Reader.
func (r *memoryReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.read += int64(n)
	if r.limiter.used.Add(int64(n)) > maxAnswersBytes {
		return n, errAnswerTooLarge
	}
	return n, err
}

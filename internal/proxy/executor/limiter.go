package executor

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/tamarackscale/tamarackscale/internal/kernel/accountant"
	"github.com/tamarackscale/tamarackscale/internal/kernel/verifier"
)

const (
	// maxHeadBytes bounds the head of one answer, with the interim answers before it.
	maxHeadBytes = verifier.MaxHeadBytes
	// maxAnswerBytes bounds the body of one answer.
	maxAnswerBytes = 16 << 20
	// maxAnswersBytes bounds the memory of all answers that are being read, also if that of the process is
	// not known. Without it, an upstream that sends bytes without end on all of its connections would
	// exhaust the memory of a small VM.
	maxAnswersBytes = 32 << 20
	// maxWireBytes bounds a body on the wire, including the framing of its chunks. Bodies in
	// chunks of a few bytes are several times as long on the wire.
	maxWireBytes = 4 * maxAnswerBytes
)

const (
	// lineBytes is what one line of a head costs beyond its bytes.
	lineBytes = 256
	// shortestLine is the shortest line of a head in bytes.
	shortestLine = 4
	// maxHeadCost is the memory of the largest head, in the shortest lines.
	maxHeadCost = maxHeadBytes + maxHeadBytes/shortestLine*lineBytes
)

// errAnswerTooLarge reports that an answer, or all answers together, exceeded a limit.
var errAnswerTooLarge = errors.New("answer exceeds its size limit")

// answerMemory reserves the memory of answers that are being read. It is safe for concurrent use.
type answerMemory struct {
	account *accountant.Account
	// used is the number of bytes of bodies that are being read.
	used atomic.Int64
}

// reserveHead reserves the memory of the head that is to be read next, and returns a reader whose buffer
// holds all of it. That is the given one, unless the head does not fit into it or is that of an interim
// answer. The cost is then not known before it is parsed: it counts as the largest. The error is
// errAnswerTooLarge or that of verifier.PeekHead.
func (m *answerMemory) reserveHead(held *accountant.Reservation, r *bufio.Reader) (*bufio.Reader, error) {
	head, err := verifier.PeekHead(r)
	large := errors.Is(err, bufio.ErrBufferFull) || err == nil && verifier.IsInterim(head)
	if err != nil && !large {
		return nil, err
	}
	cost := int64(len(head) + bytes.Count(head, []byte("\n"))*lineBytes)
	if large {
		cost = maxHeadCost
	}
	if !held.Grow(accountant.AnswerSizes.Of(cost), cost) {
		return nil, errAnswerTooLarge
	}
	if large {
		r = bufio.NewReaderSize(r, verifier.MaxHeadBytes)
	}
	return r, nil
}

// handOverTime is how long the memory of a large answer stays reserved after it was read. By then the
// connection that writes it, to its caller or to the other node, has reserved memory for it.
const handOverTime = 50 * time.Millisecond

// handOver releases what was reserved for reading an answer. Between the release and the count of the
// next holder, others would take the memory.
func (m *answerMemory) handOver(held *accountant.Reservation) {
	if !held.Holds(accountant.Answers) {
		held.Release()
		return
	}
	later := *held
	time.AfterFunc(handOverTime, later.Release)
}

// readAll reads the body of an answer. It returns errAnswerTooLarge if that has more than maxAnswerBytes or
// there is no memory for it.
func (m *answerMemory) readAll(held *accountant.Reservation, head Head) ([]byte, error) {
	declared := head.Length
	if declared < 0 {
		declared = -1
	}
	counted := &memoryReader{Reader: head.Body, memory: m}
	defer func() { m.used.Add(-counted.read) }()
	data, err := held.ReadAll(counted, accountant.AnswerSizes, declared, maxAnswerBytes)
	if errors.Is(err, accountant.ErrTooLong) || errors.Is(err, accountant.ErrFull) {
		err = errAnswerTooLarge
	}
	return data, err
}

// memoryReader counts the bytes read from one reader.
type memoryReader struct {
	io.Reader
	memory *answerMemory
	read   int64
}

// Read implements io.Reader.
func (r *memoryReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.read += int64(n)
	if r.memory.used.Add(int64(n)) > maxAnswersBytes {
		return n, errAnswerTooLarge
	}
	return n, err
}
